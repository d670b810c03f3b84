#include "process/support/plumfold_process_memory.hpp"
#include "support/plumfold_partitioned_system.hpp"
#include "support/plumfold_serving_system.hpp"

#include <Poco/Exception.h>
#include <Poco/Net/StreamSocket.h>

#include <catch2/catch.hpp>

#include <algorithm>
#include <atomic>
#include <chrono>
#include <cstring>
#include <functional>
#include <future>
#include <memory>
#include <string>
#include <vector>

using namespace plumfold::tests;

namespace {

using namespace std::chrono_literals;
using clock_type = std::chrono::steady_clock;

constexpr std::size_t entryBytes = 160'000'000; // of the smallest machines that run an entry
constexpr std::size_t controlBytes = 256'000'000; // of a control VM's machine
constexpr std::size_t maxSentBytes = 128 << 20; // a process that fails must not exhaust the test machine
constexpr auto sendTime = 4'000ms;
constexpr auto maxOtherAnswerTime = 1'000ms;
constexpr int platformPort = 7080;
constexpr int relayPort = 8002;

/// What a sender sends: a beginning, then a part again and again.
struct endless_message {
    const char* name;
    std::string begin;
    std::string repeated;
};

/// Sends a message without end, until the receiver closes the connection or the time is over.
void sendWithoutEnd(const std::string& address, const endless_message& message)
{
    std::string block;
    while (block.size() < 64 << 10)
        block += message.repeated;
    auto until = clock_type::now() + sendTime;
    try {
        Poco::Net::StreamSocket socket { Poco::Net::SocketAddress(address) };
        socket.setSendTimeout(Poco::Timespan(0, 500'000));
        socket.sendBytes(message.begin.data(), static_cast<int>(message.begin.size()));
        for (std::size_t sent = 0; sent < maxSentBytes && clock_type::now() < until;) {
            try {
                sent += static_cast<std::size_t>(
                    std::max(0, socket.sendBytes(block.data(), static_cast<int>(block.size()))));
            } catch (const Poco::TimeoutException&) {
                // The receiver reads no more for now.
            }
        }
        // What was sent is held until the other senders have sent theirs.
        std::this_thread::sleep_until(until);
    } catch (const Poco::Exception&) {
        // The receiver has closed the connection.
    }
}

std::vector<endless_message> httpMessages(const std::string& method, const std::string& path)
{
    const std::string head = method + ' ' + path + " HTTP/1.1\r\nHost: shop.example\r\n";
    const std::string chunked = head + "Transfer-Encoding: chunked\r\n\r\n";
    return {
        { "method", "", "x" },
        { "target", method + " /", "x" },
        { "header name", head, "x" },
        { "header value", head + "X-Name: ", "x" },
        { "headers", head, "X-Name: value\r\n" },
        { "body", head + "Content-Length: 1000000000000\r\n\r\n", "x" },
        { "chunk extension", chunked + "5;", "x" },
        { "chunks", chunked, "1\r\nx\r\n" },
        { "long chunk", chunked + "fffffff\r\n", "x" },
        { "trailers", chunked + "0\r\n", "X-Name: value\r\n" },
    };
}

class endless_senders_system : public serving_system {
public:
    endless_senders_system() { startAnnouncing(); }

    /// Lets senders without end call an address and, meanwhile, others be served.
    /// @param process that the senders call.
    /// @param maxBytes limit of the memory of that process.
    /// @param isServed sends another request.
    void checkBounds(const std::string& address, const endless_message& message, int senders,
        const std::string& processName, std::size_t maxBytes, const std::function<bool()>& isServed)
    {
        INFO(message.name);
        std::vector<std::future<void>> sending;
        for (int number = 0; number < senders; ++number)
            sending.push_back(std::async(std::launch::async, [&] { sendWithoutEnd(address, message); }));
        std::chrono::milliseconds slowest { 0 };
        int failed = 0;
        auto areSending = [&] {
            return std::any_of(sending.begin(), sending.end(),
                [](const auto& each) { return each.wait_for(0s) != std::future_status::ready; });
        };
        do {
            auto begin = clock_type::now();
            failed += !isServed();
            slowest = std::max(
                slowest, std::chrono::duration_cast<std::chrono::milliseconds>(clock_type::now() - begin));
            std::this_thread::sleep_for(20ms);
        } while (areSending());
        CHECK(process(processName).isRunning());
        CHECK(failed == 0);
        CHECK(slowest <= maxOtherAnswerTime);
        CHECK(peakBytesOf(process(processName).id()) < maxBytes);
        CHECK(isServed());
    }
};

} // namespace

// Guards against callers of a control VM that take the memory of its machine with one or many bodies.
TEST_CASE_METHOD(endless_senders_system,
    "Callers of a control VM that send without end cost bounded memory and leave other callers unaffected",
    "[forwarding][endless_senders]")
{
    constexpr int senders = 24;
    auto read = [&] { return call(1, "GET", "/configuration").first == 200; };
    for (const auto& message : httpMessages("PUT", "/configuration"))
        checkBounds(address(11, platformPort), message, senders, "c1", controlBytes, read);
}

// Guards against another control VM, or whatever reaches the port, that sends RPC messages without end.
TEST_CASE_METHOD(endless_senders_system,
    "Senders of RPC messages without end cost a control VM bounded memory and leave callers unaffected",
    "[forwarding][endless_senders]")
{
    constexpr int senders = 8;
    auto word = [](std::uint32_t first, std::uint32_t second) {
        std::string bytes(8, '\0');
        std::memcpy(bytes.data(), &first, 4);
        std::memcpy(bytes.data() + 4, &second, 4);
        return bytes;
    };
    const std::vector<endless_message> messages {
        { "segment table", word(0xffffff, 1), word(1, 1) },
        { "segment beyond the limit", word(0, 0x7fffffff), word(0, 0) },
        { "long segment", word(0, (60 << 20) / 8), word(0, 0) },
        { "largest sound segment", word(0, (32 << 20) / 8), word(0, 0) },
        { "two segments", word(1, (16 << 20) / 8) + word((16 << 20) / 8, 0), word(0, 0) },
        { "empty messages", "", word(0, 0) },
        { "no messages", "", "x" },
    };
    auto read = [&] { return call(1, "GET", "/configuration").first == 200; };
    for (const auto& message : messages)
        checkBounds(controlAddress(1), message, senders, "c1", controlBytes, read);
}

// Guards against senders that use up the memory for messages and keep sound large ones waiting.
TEST_CASE_METHOD(endless_senders_system,
    "Large configurations are acknowledged while other RPC messages stop within their bytes",
    "[forwarding][endless_senders]")
{
    constexpr int senders = 8;
    constexpr std::uint32_t words = (31 << 20) / 8;
    constexpr auto maxPutTime = 15'000ms;
    constexpr std::size_t documentBytes = 4 << 20;
    std::vector<std::unique_ptr<Poco::Net::StreamSocket>> sockets;
    for (int control : { 1, 2, 3 }) {
        for (int number = 0; number < senders; ++number) {
            auto socket = std::make_unique<Poco::Net::StreamSocket>(
                Poco::Net::SocketAddress(controlAddress(control)));
            const std::uint32_t head[] = { 0, words, 0, 0 };
            socket->sendBytes(head, sizeof(head));
            sockets.push_back(std::move(socket));
        }
    }
    for (int version = 4; version <= 6; ++version) {
        auto body = deployment(version);
        body["comment"] = std::string(documentBytes, 'x');
        auto begin = clock_type::now();
        CHECK(putDeployment(1 + version % 3, body));
        CHECK(clock_type::now() - begin <= maxPutTime);
        CHECK(request(1, "/shop/whole").status == 200);
    }
    for (int control : { 1, 2, 3 })
        CHECK(peakBytesOf(process("c" + std::to_string(control)).id()) < controlBytes);
}

// Guards against an entry that relays requests and sends one without end to its helper.
TEST_CASE_METHOD(endless_senders_system,
    "Entries that send relayed requests without end cost their helper bounded memory",
    "[forwarding][endless_senders]")
{
    constexpr int senders = 16;
    auto serve = [&] { return request(1, "/shop/whole").status == 200; };
    for (auto message : httpMessages("POST", "/shop/whole")) {
        auto headers = message.begin.find("Host:");
        if (headers != std::string::npos)
            message.begin.insert(headers, "Plumfold-Relay-Secret: test\r\n");
        checkBounds(address(21, relayPort), message, senders, "n1", entryBytes, serve);
    }
}

// Guards against a helper whose responses without end take the memory of the entry that relays to it.
TEST_CASE_METHOD(partitioned_system,
    "Responses without end of helpers cost the relaying entry bounded memory",
    "[forwarding][endless_senders]")
{
    constexpr int requestsOfEachKind = 4;
    constexpr auto maxAnswerTime = 3'000ms; // of routes with a deadline of 2 s
    setLink(1, link_state::resetting);
    REQUIRE(eventually([&] {
        request(1, "/stock/whole");
        return logOf("n1").find("event=request_relayed") != std::string::npos;
    }));
    // The list of helpers changes only some seconds after they have ended.
    std::vector<std::unique_ptr<scripted_target>> helpers;
    for (int number : { 2, 3 }) {
        process("n" + std::to_string(number)).kill();
        helpers.push_back(
            std::make_unique<scripted_target>("n" + std::to_string(number), relayAddress(number)));
        helpers.back()->setResponseHeaders("Plumfold-Relay-Outcome: by-target\r\n");
    }
    std::vector<std::future<std::chrono::milliseconds>> sending;
    std::atomic<int> complete { 0 };
    for (const char* path : { "/shop/endless-head", "/shop/endless-interim", "/shop/endless-chunk-line",
             "/shop/endless-body", "/shop/endless-drip", "/notes/endless-event", "/notes/endless-events" }) {
        for (int number = 0; number < requestsOfEachKind; ++number)
            sending.push_back(std::async(std::launch::async, [&, path] {
                auto begin = clock_type::now();
                auto response = request(1, path);
                complete += response.status == 200 && response.isComplete;
                return std::chrono::duration_cast<std::chrono::milliseconds>(clock_type::now() - begin);
            }));
    }
    for (auto& each : sending)
        CHECK(each.get() <= maxAnswerTime);
    CHECK(complete == 0);
    CHECK(helpers[0]->requests().size() + helpers[1]->requests().size() > 0);
    CHECK(process("n1").isRunning());
    CHECK(peakBytesOf(process("n1").id()) < entryBytes);
    setLink(1, link_state::whole);
    CHECK(eventually([&] { return request(1, "/stock/whole").status == 200; }));
}
