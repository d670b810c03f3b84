#include "support/plumfold_serving_system.hpp"

#include "plumfold/platform/plumfold_platform_target_calls.hpp"

#include <catch2/catch.hpp>

#include <algorithm>
#include <chrono>
#include <fstream>
#include <functional>
#include <future>
#include <thread>
#include <unistd.h>

using namespace plumfold::tests;

namespace {

using namespace std::chrono_literals;
using clock_type = std::chrono::steady_clock;

constexpr int concurrentRequests = 16;
constexpr auto deadline = 2'000ms;
constexpr auto maxAnswerTime = deadline + 500ms;
constexpr auto maxOtherAnswerTime = 1'000ms; // latency target of the other routes
constexpr std::size_t maxGrowthBytes = 64 << 20;

std::size_t residentBytesOf(int process)
{
    std::size_t total = 0;
    std::size_t resident = 0;
    std::ifstream("/proc/" + std::to_string(process) + "/statm") >> total >> resident;
    return resident * static_cast<std::size_t>(::sysconf(_SC_PAGESIZE));
}

/// Routes to a target that sends bytes without end, beside those of the other tests.
class endless_system : public serving_system {
public:
    endless_system()
    {
        auto next = deployment(4);
        next["services"].push_back({ { "name", "endless" }, { "connection-limit", 100 } });
        auto addRoute = [&](const char* prefix, const char* kind, bool resumable) {
            auto route = next["routes"][0];
            route["name"] = prefix;
            route["path-prefix"] = prefix;
            route["kind"] = kind;
            route["service"] = "endless";
            route["resumable"] = resumable;
            next["routes"].push_back(route);
        };
        addRoute("/plain/", "unsafe", false);
        addRoute("/stream/", "streaming", false);
        addRoute("/resumable/", "streaming", true);
        putDeployment(1, next);
        forwarding_system::startTarget("endless", "endless");
        startAnnouncing();
        eventually([&] { return request(1, "/plain/whole").status == 200; });
    }

    /// Sends requests to the endless target and, meanwhile, to the others.
    void checkBounds(const std::string& path)
    {
        INFO(path);
        auto before = residentBytesOf(process("n1").id());
        std::atomic<std::size_t> mostBytes { before };
        std::vector<std::future<std::chrono::milliseconds>> endless;
        std::atomic<int> complete { 0 };
        for (int count = 0; count < concurrentRequests; ++count)
            endless.push_back(std::async(std::launch::async, [&] {
                auto start = clock_type::now();
                auto response = request(1, path);
                complete += response.status == 200 && response.isComplete;
                return std::chrono::duration_cast<std::chrono::milliseconds>(clock_type::now() - start);
            }));
        std::chrono::milliseconds slowestOther { 0 };
        int failedOthers = 0;
        auto end = clock_type::now() + deadline;
        while (clock_type::now() < end) {
            auto start = clock_type::now();
            failedOthers += request(1, "/shop/whole").status != 200;
            auto took = std::chrono::duration_cast<std::chrono::milliseconds>(clock_type::now() - start);
            slowestOther = std::max(slowestOther, took);
            mostBytes = std::max(mostBytes.load(), residentBytesOf(process("n1").id()));
        }
        std::chrono::milliseconds slowest { 0 };
        for (auto& each : endless)
            slowest = std::max(slowest, each.get());
        CHECK(complete == 0);
        CHECK(slowest <= maxAnswerTime);
        CHECK(failedOthers == 0);
        CHECK(slowestOther <= maxOtherAnswerTime);
        CHECK(mostBytes - before <= maxGrowthBytes);
    }
};

} // namespace

TEST_CASE_METHOD(endless_system,
    "An answer without end costs bounded time and memory and leaves other callers unaffected",
    "[forwarding][endless]")
{
    for (const char* behaviour : { "endless-head", "endless-interim", "endless-chunk-line", "endless-body",
             "endless-foreign", "endless-drip" })
        checkBounds(std::string("/plain/") + behaviour);
}

TEST_CASE_METHOD(endless_system,
    "A stream without end costs bounded time and memory and leaves other callers unaffected",
    "[forwarding][endless]")
{
    for (const char* route : { "/stream/", "/resumable/" }) {
        for (const char* behaviour :
            { "endless-event", "endless-events", "endless-chunk-line", "endless-drip" })
            checkBounds(std::string(route) + behaviour);
    }
}

TEST_CASE("What control reads of a target costs bounded time and memory, whatever the target sends",
    "[forwarding][endless]")
{
    constexpr auto timeout = 400ms;
    constexpr auto maxCallTime = timeout + 2'000ms;
    scripted_target target("endless", "127.0.0.77:0");
    for (const char* behaviour :
        { "endless-head", "endless-interim", "endless-chunk-line", "endless-body", "endless-drip" }) {
        INFO(behaviour);
        target.setControlBehaviour(behaviour);
        auto before = residentBytesOf(::getpid());
        auto check = [&](const char* call, const std::function<bool()>& succeeds) {
            INFO(call);
            auto start = clock_type::now();
            CHECK_FALSE(succeeds());
            CHECK(clock_type::now() - start <= maxCallTime);
            CHECK(residentBytesOf(::getpid()) <= before + maxGrowthBytes);
        };
        plumfold::platform::target_client client(timeout);
        check("report", [&] { return client.readReport(target.address(), "endless").ok(); });
        plumfold::platform::target_report_reader reports(target.address(), "endless");
        check("repeated report", [&] { return reports.read(timeout).ok(); });
        plumfold::platform::part_event_reader events(target.address());
        check("events", [&] { return events.read(0, 0ms).ok(); });
        check("list", [&] { return events.list().ok(); });
    }
}
