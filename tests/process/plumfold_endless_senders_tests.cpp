#include "support/plumfold_process_memory.hpp"
#include "support/plumfold_test_system.hpp"

#include <Poco/Exception.h>
#include <Poco/Net/ServerSocket.h>
#include <Poco/Net/StreamSocket.h>

#include <catch2/catch.hpp>

#include <algorithm>
#include <atomic>
#include <chrono>
#include <cstring>
#include <thread>
#include <vector>

using namespace plumfold;

namespace {

using namespace std::chrono_literals;
using clock_type = std::chrono::steady_clock;

constexpr std::size_t entryBytes = 160'000'000; // of the smallest machines that run an entry
constexpr std::size_t storeBytes = 16 << 20; // settings of the tests
constexpr std::size_t storeOverheadBytes = 64 << 20;
constexpr std::size_t maxSentBytes = 128 << 20; // a process that fails must not exhaust the test machine

/// Sends a beginning and then a block again and again, until the peer closes the connection or the limit of
/// the tests is reached.
void sendWithoutEnd(Poco::Net::StreamSocket& socket, const std::string& begin, const std::atomic<bool>& stop)
{
    const std::string block(64 << 10, '\0');
    socket.setSendTimeout(Poco::Timespan(0, 200'000));
    try {
        socket.sendBytes(begin.data(), static_cast<int>(begin.size()));
        for (std::size_t sent = 0; sent < maxSentBytes && !stop;) {
            try {
                sent += static_cast<std::size_t>(
                    std::max(0, socket.sendBytes(block.data(), static_cast<int>(block.size()))));
            } catch (const Poco::TimeoutException&) {
                // The peer reads no more for now.
            }
        }
        while (!stop)
            std::this_thread::sleep_for(20ms);
    } catch (const Poco::Exception&) {
        // The peer has closed the connection.
    }
}

/// A store that sends bytes without end on every connection.
class endless_store {
public:
    endless_store(const std::string& address, std::string begin)
        : m_begin(std::move(begin))
        , m_socket(Poco::Net::SocketAddress(address))
        , m_thread([this] { run(); })
    {
    }
    ~endless_store()
    {
        m_stop = true;
        m_thread.join();
        for (auto& each : m_senders)
            each.join();
    }
    int connections() const { return m_connections; }

private:
    void run()
    {
        while (!m_stop) {
            if (!m_socket.poll(Poco::Timespan(0, 50'000), Poco::Net::Socket::SELECT_READ))
                continue;
            ++m_connections;
            m_senders.emplace_back([this, accepted = m_socket.acceptConnection()]() mutable {
                sendWithoutEnd(accepted, m_begin, m_stop);
            });
        }
    }

    std::string m_begin;
    std::atomic<bool> m_stop { false };
    std::atomic<int> m_connections { 0 };
    Poco::Net::ServerSocket m_socket;
    std::vector<std::thread> m_senders;
    std::thread m_thread;
};

std::string messageHead(std::uint32_t segments, std::uint32_t words)
{
    std::uint32_t numbers[] = { segments - 1, words };
    std::string out(sizeof(numbers), '\0');
    std::memcpy(out.data(), numbers, sizeof(numbers));
    return out;
}

} // namespace

// Guards against a store that takes the memory of an entry, or holds up requests that need no store.
TEST_CASE_METHOD(tests::test_system, "A store that sends without end costs an entry bounded memory and time",
    "[endless_senders]")
{
    constexpr auto maxAnswerTime = 3'000ms;
    startControl();
    startEntry(1);
    startEngine("e1", 1);
    waitForTargets(1, 1);
    waitForRevision(1, 7);
    const std::string conversation(16'384, 's');
    for (const auto& begin : { messageHead(1, (60 << 20) / 8), messageHead(1, 0x7fffffff), std::string() }) {
        endless_store store(storeAddress(), begin);
        auto until = clock_type::now() + 5'000ms;
        for (int number = 0; clock_type::now() < until; ++number) {
            auto begun = clock_type::now();
            // Half of the requests are long enough for a store.
            auto answer = complete(1, number % 2 ? "short" : std::to_string(number) + conversation);
            INFO(answer.status << ' ' << answer.body << ' ' << answer.failure);
            CHECK(answer.ok());
            CHECK(clock_type::now() - begun <= maxAnswerTime);
        }
        CHECK(store.connections() > 0);
        CHECK(tests::peakBytesOf(process("entry-1").id()) < entryBytes);
    }
}

// Guards against engines that take the memory of a store's machine with blocks that were never allocated.
TEST_CASE_METHOD(
    tests::test_system, "Senders without end cost a store bounded memory", "[endless_senders][store]")
{
    constexpr int senders = 8;
    startControl();
    startStore();
    startEntry(1);
    startEngine("e1", 1);
    waitForTargets(1, 1);
    waitForRevision(1, 7);
    const std::string head = "PUT /v1/blocks/1/0 HTTP/1.1\r\nHost: store\r\n";
    for (const auto& begin : { head + "Content-Length: 1000000000000\r\n\r\n",
             head + "Transfer-Encoding: chunked\r\n\r\nfffffff\r\n", head + "X-Name: " }) {
        CAPTURE(begin);
        std::atomic<bool> stop { false };
        std::vector<std::thread> threads;
        for (int number = 0; number < senders; ++number)
            threads.emplace_back([&] {
                try {
                    Poco::Net::StreamSocket socket { Poco::Net::SocketAddress(storeBlockAddress()) };
                    sendWithoutEnd(socket, begin, stop);
                } catch (const Poco::Exception&) {
                    // Refused.
                }
            });
        std::this_thread::sleep_for(3'000ms);
        stop = true;
        for (auto& each : threads)
            each.join();
        CHECK(process("store-1").isRunning());
        CHECK(tests::peakBytesOf(process("store-1").id()) < storeBytes + storeOverheadBytes);
    }
    const std::string conversation(16'384, 's');
    CHECK(eventually([&] {
        return complete(1, conversation).ok() && askTarget("e1", "/counts").value("bytes_exported", 0) > 0;
    }));
}
