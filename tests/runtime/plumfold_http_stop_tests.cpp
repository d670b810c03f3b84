#include "plumfold/runtime/plumfold_http.hpp"

#include <catch2/catch.hpp>

#include <Poco/Net/HTTPRequestHandler.h>
#include <Poco/Net/HTTPServerRequest.h>
#include <Poco/Net/HTTPServerResponse.h>
#include <Poco/Net/StreamSocket.h>

#include <array>
#include <atomic>
#include <chrono>
#include <future>
#include <memory>
#include <string>
#include <thread>
#include <unistd.h>
#include <vector>

using namespace plumfold;

namespace {

using namespace std::chrono_literals;

/// The process id keeps concurrent test runs apart.
const std::string address = "127.53." + std::to_string(::getpid() / 250 % 250) + '.'
    + std::to_string(1 + ::getpid() % 250) + ":8090";
constexpr auto slowResponse = 700ms;
constexpr int callerCount = 10;
constexpr const char* slowRequest = "GET /slow HTTP/1.1\r\nHost: listener\r\n\r\n";
constexpr const char* request = "GET / HTTP/1.1\r\nHost: listener\r\n\r\n";

/// Takes its time for /slow.
class counting_handler final : public Poco::Net::HTTPRequestHandler {
public:
    explicit counting_handler(std::atomic<int>& runs)
        : m_runs(runs)
    {
    }

    void handleRequest(
        Poco::Net::HTTPServerRequest& received, Poco::Net::HTTPServerResponse& response) override
    {
        ++m_runs;
        if (received.getURI() == "/slow")
            std::this_thread::sleep_for(slowResponse);
        response.sendBuffer("done", 4);
    }

private:
    std::atomic<int>& m_runs;
};

class counting_factory final : public Poco::Net::HTTPRequestHandlerFactory {
public:
    explicit counting_factory(std::atomic<int>& runs)
        : m_runs(runs)
    {
    }

    Poco::Net::HTTPRequestHandler* createRequestHandler(const Poco::Net::HTTPServerRequest&) override
    {
        return new counting_handler(m_runs);
    }

private:
    std::atomic<int>& m_runs;
};

/// A connection that sends bytes as they are.
class raw_connection {
public:
    raw_connection()
    {
        m_socket.connect(runtime::socketAddress(address));
        m_socket.setReceiveTimeout(Poco::Timespan(3, 0));
    }

    void send(const std::string& bytes)
    {
        try {
            m_socket.sendBytes(bytes.data(), static_cast<int>(bytes.size()));
        } catch (const Poco::Exception&) {
            // Without a response it counts as such.
        }
    }

    /// Reads until there are so many responses or the connection ends.
    /// @return the number of responses since the connection began.
    int receive(int count)
    {
        std::array<char, 4096> part;
        try {
            while (responses() < count) {
                int bytes = m_socket.receiveBytes(part.data(), static_cast<int>(part.size()));
                if (bytes <= 0)
                    break;
                m_received.append(part.data(), static_cast<std::size_t>(bytes));
            }
        } catch (const Poco::Exception&) {
            return responses();
        }
        return responses();
    }

    bool announcesClose() const { return m_received.find("Connection: Close") != std::string::npos; }

private:
    int responses() const
    {
        int count = 0;
        for (auto at = m_received.find("\r\n\r\ndone"); at != std::string::npos;
             at = m_received.find("\r\n\r\ndone", at + 1))
            ++count;
        return count;
    }

    Poco::Net::StreamSocket m_socket;
    std::string m_received;
};

/// A listener with callers that keep their connections.
class stopping_listener {
public:
    stopping_listener() { open(runtime::http_limits {}); }

    void open(runtime::http_limits limits)
    {
        m_listener.reset();
        m_listener = std::make_unique<runtime::http_listener>(address, new counting_factory(m_runs), limits);
    }

    void connect()
    {
        for (int number = 0; number < callerCount; ++number)
            m_callers.push_back(std::make_unique<raw_connection>());
    }

    std::future<void> stopLater()
    {
        return std::async(std::launch::async, [this] { m_listener.reset(); });
    }

    void sendAll(const std::string& bytes)
    {
        for (auto& each : m_callers)
            each->send(bytes);
    }

    /// @return how many of the requests of all callers got no response.
    int unanswered(int sentByEach)
    {
        int count = 0;
        for (auto& each : m_callers)
            count += sentByEach - each->receive(sentByEach);
        return count;
    }

    std::vector<std::unique_ptr<raw_connection>>& callers() { return m_callers; }
    int runs() const { return m_runs; }

private:
    std::atomic<int> m_runs { 0 };
    std::unique_ptr<runtime::http_listener> m_listener;
    std::vector<std::unique_ptr<raw_connection>> m_callers;
};

} // namespace

TEST_CASE_METHOD(stopping_listener, "A request that a listener serves when it stops gets its response",
    "[http][planned_stop]")
{
    connect();
    sendAll(slowRequest);
    std::this_thread::sleep_for(100ms);
    CHECK(runs() == callerCount);
    auto stopped = stopLater();
    CHECK(unanswered(1) == 0);
    stopped.get();
}

TEST_CASE_METHOD(stopping_listener,
    "A request behind one that a listener serves when it stops gets a response", "[http][planned_stop]")
{
    bool isLater = GENERATE(false, true);
    CAPTURE(isLater);
    connect();
    sendAll(isLater ? slowRequest : std::string(slowRequest) + request);
    std::this_thread::sleep_for(100ms);
    auto stopped = stopLater();
    std::this_thread::sleep_for(250ms);
    CHECK(runs() == callerCount);
    if (isLater)
        sendAll(request);
    CHECK(unanswered(2) == 0);
    CHECK(runs() == 2 * callerCount);
    stopped.get();
}

TEST_CASE_METHOD(stopping_listener,
    "A request behind a response that did not announce a close gets a response when the listener stops",
    "[http][planned_stop]")
{
    connect();
    sendAll(request);
    CHECK(unanswered(1) == 0);
    for (auto& each : callers())
        CHECK_FALSE(each->announcesClose());
    auto stopped = stopLater();
    sendAll(request);
    CHECK(unanswered(2) == 0);
    CHECK(runs() == 2 * callerCount);
    stopped.get();
}

TEST_CASE_METHOD(stopping_listener,
    "Requests on connections that wait for a thread get a response when the listener stops",
    "[http][planned_stop]")
{
    runtime::http_limits limits;
    limits.maxConnections = callerCount / 2;
    open(limits);
    connect();
    sendAll("GET /slow HTTP/1.1\r\nHost: listener\r\nConnection: close\r\n\r\n");
    std::this_thread::sleep_for(300ms);
    CHECK(runs() == callerCount / 2);
    auto stopped = stopLater();
    CHECK(unanswered(1) == 0);
    CHECK(runs() == callerCount);
    stopped.get();
}

TEST_CASE_METHOD(stopping_listener,
    "Requests on connections that wait behind kept ones get a response when the listener stops",
    "[http][planned_stop]")
{
    runtime::http_limits limits;
    limits.maxConnections = callerCount / 2;
    open(limits);
    connect();
    sendAll(slowRequest);
    std::this_thread::sleep_for(300ms);
    CHECK(runs() == callerCount / 2);
    auto stopped = stopLater();
    CHECK(unanswered(1) == 0);
    CHECK(runs() == callerCount);
    stopped.get();
}
