#include "process/support/plumfold_process_memory.hpp"
#include "support/plumfold_serving_system.hpp"

#include "plumfold/platform/plumfold_platform_target_calls.hpp"

#include <catch2/catch.hpp>

#include <algorithm>
#include <chrono>
#include <future>
#include <string>
#include <unistd.h>
#include <vector>

using namespace plumfold::tests;

namespace {

using namespace std::chrono_literals;
using clock_type = std::chrono::steady_clock;

constexpr std::size_t documentBytes = 4 << 20; // the largest body that callers may send
constexpr std::size_t controlBytes = 256'000'000; // of a control VM's machine
constexpr auto maxOtherAnswerTime = 1'000ms;

std::string repeat(const std::string& text, std::size_t bytes)
{
    std::string out;
    out.reserve(bytes + text.size());
    while (out.size() < bytes)
        out += text;
    return out;
}

struct costly_document {
    std::string name;
    std::string text;
};

/// @return documents of a size that take many times as much memory when they are parsed.
std::vector<costly_document> costlyDocuments(std::size_t bytes)
{
    std::string keys = "{";
    for (std::size_t number = 0; keys.size() < bytes; ++number)
        keys += "\"" + std::to_string(number) + "\":0,";
    return {
        { "nested arrays, not closed",
            "{\"service\":\"shop\",\"zone\":\"east\",\"x\":" + repeat("[", bytes) },
        { "nested arrays", repeat("[", bytes / 2) + repeat("]", bytes / 2) },
        { "nested objects", repeat("{\"x\":", bytes) },
        { "arrays beside each other", "{\"x\":[" + repeat("[],", bytes) + "[]]}" },
        { "objects beside each other", "{\"x\":[" + repeat("{\"a\":0},", bytes) + "{}]}" },
        { "numbers", "{\"x\":[" + repeat("0,", bytes) + "0]}" },
        { "keys", keys + "\"x\":0}" },
    };
}

struct costly_call {
    const char* method;
    const char* path;
    int status; ///< With which it is refused.
};

} // namespace

// Guards against control VMs that end because a small document takes all their memory.
TEST_CASE_METHOD(serving_system, "Costly documents in calls cost a control VM bounded memory and time",
    "[forwarding][costly_documents]")
{
    constexpr int callers = 4;
    startAnnouncing();
    // Rollouts are not enabled here, but their orders are read before that is looked up.
    auto call
        = GENERATE(costly_call { "PUT", "/instances/odd", 400 }, costly_call { "PUT", "/configuration", 400 },
            costly_call { "POST", "/version-put", 400 }, costly_call { "POST", "/rollouts", 404 });
    for (const auto& document : costlyDocuments(documentBytes)) {
        INFO(call.path << ": " << document.name);
        std::vector<std::future<int>> calling;
        calling.reserve(callers);
        for (int caller = 0; caller < callers; ++caller) {
            calling.push_back(std::async(std::launch::async,
                [&] { return forwarding_system::call(1, call.method, call.path, document.text).first; }));
        }
        auto begin = clock_type::now();
        CHECK(forwarding_system::call(1, "GET", "/configuration").first == 200);
        CHECK(clock_type::now() - begin <= maxOtherAnswerTime);
        for (auto& each : calling)
            CHECK(each.get() == call.status);
        REQUIRE(process("c1").isRunning());
        REQUIRE(peakBytesOf(process("c1").id()) < controlBytes);
    }
    CHECK(request(1, "/shop/whole").status == 200);
}

// Guards against targets whose reports or lists take the memory of the machine that reads them.
TEST_CASE("Costly documents of a target cost their reader bounded memory", "[forwarding][costly_documents]")
{
    constexpr std::size_t maxGrowthBytes = 64 << 20;
    scripted_target target("costly", "127.0.0.77:0");
    target.setControlBehaviour("raw");
    for (const auto& document : costlyDocuments(documentBytes)) {
        target.setRawResponse("HTTP/1.1 200 OK\r\nContent-Length: " + std::to_string(document.text.size())
                + "\r\n\r\n" + document.text,
            raw_ending::close);
        auto check = [&](const char* call, const std::function<bool()>& succeeds) {
            INFO(document.name << ": " << call);
            auto before = std::max(peakBytesOf(::getpid()), residentBytesOf(::getpid()) + maxGrowthBytes);
            CHECK_FALSE(succeeds());
            CHECK(peakBytesOf(::getpid()) <= before);
        };
        plumfold::platform::target_client client(1'000ms);
        check("report", [&] { return client.readReport(target.address(), "costly").ok(); });
        plumfold::platform::target_report_reader reports(target.address(), "costly");
        check("repeated report", [&] { return reports.read(1'000ms).ok(); });
        plumfold::platform::part_event_reader events(target.address());
        check("events", [&] { return events.read(0, 0ms).ok(); });
        check("list", [&] { return events.list().ok(); });
    }
}
