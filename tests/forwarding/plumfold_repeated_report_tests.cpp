#include "plumfold/platform/plumfold_platform_target_calls.hpp"

#include <Poco/Net/ServerSocket.h>
#include <Poco/Net/StreamSocket.h>
#include <catch2/catch.hpp>

#include <atomic>
#include <chrono>
#include <string>
#include <thread>

using namespace plumfold;

namespace {

using namespace std::chrono_literals;

/// Answers each request for a report with the number of running requests that equals the number of the
/// request on all connections, and sends the first answer once more, late.
class repeating_target {
public:
    repeating_target()
        : m_listener(Poco::Net::SocketAddress("127.0.0.1:0"))
        , m_thread([this] { run(); })
    {
    }

    ~repeating_target()
    {
        m_stopping = true;
        m_thread.join();
    }

    std::string address() const { return m_listener.address().toString(); }

private:
    void run()
    {
        while (!m_stopping) {
            if (!m_listener.poll(Poco::Timespan(0, 20'000), Poco::Net::Socket::SELECT_READ))
                continue;
            auto socket = m_listener.acceptConnection();
            try {
                serve(socket);
            } catch (const Poco::Exception&) {
                // the reader closed the connection
            }
        }
    }

    void serve(Poco::Net::StreamSocket& socket)
    {
        std::string received;
        while (!m_stopping) {
            if (!socket.poll(Poco::Timespan(0, 20'000), Poco::Net::Socket::SELECT_READ))
                continue;
            char bytes[4096];
            int got = socket.receiveBytes(bytes, sizeof(bytes));
            if (got <= 0)
                return;
            received.append(bytes, static_cast<std::size_t>(got));
            auto end = received.find("\r\n\r\n");
            if (end == std::string::npos)
                continue;
            received.erase(0, end + 4);
            auto response = responseTo(++m_requests);
            socket.sendBytes(response.data(), static_cast<int>(response.size()));
            if (m_requests > 1)
                continue;
            std::this_thread::sleep_for(50ms);
            socket.sendBytes(response.data(), static_cast<int>(response.size()));
        }
    }

    static std::string responseTo(int request)
    {
        auto body = R"({"models":[{"name":"m","version":1}],"busy":false,"sequence":1,"waiting":0,"running":)"
            + std::to_string(request) + R"(,"kv-used":0})";
        return "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: "
            + std::to_string(body.size()) + "\r\n\r\n" + body;
    }

    Poco::Net::ServerSocket m_listener;
    std::atomic<bool> m_stopping { false };
    int m_requests = 0;
    std::thread m_thread;
};

} // namespace

TEST_CASE("A report that a target sends once more is not taken for the answer to a later poll",
    "[platform][late_report]")
{
    repeating_target target;
    platform::target_report_reader reader(target.address(), "t1");
    for (unsigned poll = 1; poll <= 5; ++poll) {
        auto report = reader.read(std::chrono::milliseconds(500));
        if (report.ok())
            CHECK(report->running == poll);
        std::this_thread::sleep_for(100ms);
    }
}
