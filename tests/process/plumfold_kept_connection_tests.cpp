#include "support/plumfold_test_system.hpp"

#include <catch2/catch.hpp>

#include <Poco/Net/StreamSocket.h>

#include <array>
#include <chrono>
#include <csignal>
#include <future>
#include <memory>
#include <thread>
#include <vector>

using namespace plumfold;
using tests::test_system;

namespace {

using namespace std::chrono_literals;

constexpr int callerCount = 10;
constexpr std::uint32_t slowTokens = 40;

/// A connection that sends bytes as they are.
class raw_connection {
public:
    explicit raw_connection(const std::string& address)
    {
        m_socket.connect(Poco::Net::SocketAddress(address));
        m_socket.setReceiveTimeout(Poco::Timespan(12, 0));
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
            while (countOf("HTTP/1.1 ") < count) {
                int bytes = m_socket.receiveBytes(part.data(), static_cast<int>(part.size()));
                if (bytes <= 0)
                    break;
                m_received.append(part.data(), static_cast<std::size_t>(bytes));
            }
        } catch (const Poco::Exception&) {
            return countOf("HTTP/1.1 ");
        }
        return countOf("HTTP/1.1 ");
    }

    int countOf(const std::string& text) const
    {
        int count = 0;
        for (auto at = m_received.find(text); at != std::string::npos; at = m_received.find(text, at + 1))
            ++count;
        return count;
    }

private:
    Poco::Net::StreamSocket m_socket;
    std::string m_received;
};

/// An entry with an engine and callers that keep their connections.
class kept_connections : public test_system {
public:
    kept_connections()
    {
        startControl();
        startEntry(1);
        startEngine("engine", 1, { "--token-us", "20000", "--max-batch", "16", "--cold-requests", "0" });
        waitForTargets(1, 1);
        waitForRevision(1, 7);
        REQUIRE(eventually([&] { return complete(1, "warm", 1).ok(); }));
    }

    void connect(int count = callerCount)
    {
        for (int number = 0; number < count; ++number)
            m_callers.push_back(std::make_unique<raw_connection>(callerAddress(1)));
    }

    static std::string requestBytes(const std::string& prompt, std::uint32_t tokens)
    {
        auto body = client::completionBody("base", prompt, tokens, false);
        return std::string("POST /v1/completions HTTP/1.1\r\nHost: entry\r\nAuthorization: Bearer ") + apiKey
            + "\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
    }

    void sendAll(const std::string& bytes)
    {
        for (auto& each : m_callers)
            each->send(bytes);
    }

    std::future<int> stopLater()
    {
        return std::async(std::launch::async, [this] { return process("entry-1").stop(); });
    }

    /// @return how many of the requests of all callers got no response.
    int unanswered(int sentByEach)
    {
        int count = 0;
        for (auto& each : m_callers)
            count += sentByEach - each->receive(sentByEach);
        return count;
    }

    int countOf(const std::string& text)
    {
        int count = 0;
        for (auto& each : m_callers)
            count += each->countOf(text);
        return count;
    }

private:
    std::vector<std::unique_ptr<raw_connection>> m_callers;
};

} // namespace

TEST_CASE_METHOD(kept_connections, "A request behind one that an entry serves when it stops gets a response",
    "[planned_stop]")
{
    bool isLater = GENERATE(false, true);
    CAPTURE(isLater);
    connect(1);
    auto first = requestBytes("first", slowTokens);
    auto behind = requestBytes("behind", 1);
    sendAll(isLater ? first : first + behind);
    std::this_thread::sleep_for(200ms);
    auto stopped = stopLater();
    std::this_thread::sleep_for(250ms);
    if (isLater)
        sendAll(behind);
    CHECK(unanswered(2) == 0);
    CAPTURE(countOf("HTTP/1.1 200"), countOf("HTTP/1.1 503"), logOf("engine").size());
    CHECK(countOf("HTTP/1.1 200") >= 1);
    CHECK(stopped.get() == 0);
}

TEST_CASE_METHOD(kept_connections,
    "A request behind a response that did not announce a close gets a response when the entry stops",
    "[planned_stop]")
{
    auto delay = std::chrono::milliseconds(GENERATE(0, 5));
    CAPTURE(delay.count());
    connect();
    sendAll(requestBytes("first", 1));
    REQUIRE(unanswered(1) == 0);
    REQUIRE(countOf("Connection: Close") == 0);
    process("entry-1").signal(SIGTERM);
    std::this_thread::sleep_for(delay);
    sendAll(requestBytes("second", 1));
    CHECK(unanswered(2) == 0);
    CAPTURE(countOf("HTTP/1.1 200"), countOf("HTTP/1.1 503"), logOf("engine").size());
    CHECK(countOf("HTTP/1.1 200") >= callerCount);
    CHECK(process("entry-1").stop() == 0);
}

TEST_CASE_METHOD(kept_connections,
    "Requests on connections that wait for an entry get a response when it stops", "[planned_stop]")
{
    process("entry-1").pause();
    connect();
    sendAll(requestBytes("waits", 1));
    process("entry-1").signal(SIGTERM);
    process("entry-1").resume();
    CHECK(unanswered(1) == 0);
    CAPTURE(countOf("HTTP/1.1 200"), countOf("HTTP/1.1 503"), logOf("engine").size());
    CHECK(process("entry-1").stop() == 0);
}
