#include "support/plumfold_silence_system.hpp"

#include <catch2/catch.hpp>

using namespace plumfold::tests;
using namespace std::chrono_literals;

namespace {

constexpr auto silence = 1'200ms;
constexpr auto longSilence = 1'500ms;
constexpr auto returnBound = 1'000ms; ///< Until a target that goes on gets requests again.
constexpr auto requestInterval = 25ms;
constexpr auto announceInterval = 500ms;
/// Retries that a service may get in a window, by the default settings.
constexpr double retryShare = 0.2;
constexpr std::size_t retryExtra = 50;

void checkServed(silence_system& system)
{
    auto arrivals = system.arrivals();
    std::size_t repeats = 0;
    std::vector<std::string> notWhole; // path and status
    for (const auto& each : system.records()) {
        int count = arrivals[each.id];
        if (each.isRepeated) {
            INFO("refused as not run: " << each.path << ' ' << each.id);
            CHECK(count == 0);
            continue;
        }
        if (!silence_system::isServedWhole(each))
            notWhole.push_back(each.path + ' ' + std::to_string(each.response.status)
                + (each.response.isComplete ? "" : " broken off"));
        bool mayRepeat = each.path.starts_with("/stock/") || each.path.starts_with("/words/");
        INFO(each.path << ' ' << each.id << " arrived " << count << " times");
        if (!mayRepeat)
            CHECK(count <= 1);
        repeats += static_cast<std::size_t>(std::max(count - 1, 0));
    }
    CHECK(notWhole == std::vector<std::string>());
    auto allowed
        = retryExtra + static_cast<std::size_t>(retryShare * static_cast<double>(system.records().size()));
    CHECK(repeats <= allowed);
    auto log = system.logOf("n1");
    CHECK(log.find("\"target_ended\"") == std::string::npos);
    CHECK(log.find("crashes_targets") == std::string::npos);
}

} // namespace

TEST_CASE("Every request is served whole while one target after the other falls silent for a second",
    "[forwarding][silence]")
{
    auto model = GENERATE(std::string(), std::string("base"));
    auto keepsQueue = GENERATE(true, false);
    CAPTURE(model, keepsQueue);
    silence_system system(3, model, announceInterval);
    system.startCallers(requestInterval);
    std::vector<silence_system::time_point> wentOnAt;
    for (std::size_t index = 0; index < 3; ++index) {
        system.sleepFor(500ms);
        system.target(index).fallSilent(silence, keepsQueue);
        system.sleepFor(silence);
        wentOnAt.push_back(std::chrono::steady_clock::now());
        system.sleepFor(returnBound);
    }
    system.stopCallers();
    checkServed(system);
    for (std::size_t index = 0; index < 3; ++index) {
        INFO("target " << index);
        CHECK(system.requestsTo(system.target(index), wentOnAt[index], wentOnAt[index] + returnBound) > 0);
    }
}

TEST_CASE("Every request is served whole while all targets of a service fall silent for a second",
    "[forwarding][silence]")
{
    auto model = GENERATE(std::string(), std::string("base"));
    auto keepsQueue = GENERATE(true, false);
    CAPTURE(model, keepsQueue);
    silence_system system(3, model, announceInterval);
    // While no target accepts connections, nothing can be sent, and callers are told when to come back.
    if (!keepsQueue)
        system.repeatRefused();
    system.startCallers(requestInterval);
    system.sleepFor(500ms);
    for (std::size_t index = 0; index < 3; ++index)
        system.target(index).fallSilent(silence, keepsQueue);
    system.sleepFor(silence);
    auto wentOnAt = std::chrono::steady_clock::now();
    system.sleepFor(returnBound);
    system.stopCallers();
    checkServed(system);
    for (std::size_t index = 0; index < 3; ++index) {
        INFO("target " << index);
        CHECK(system.requestsTo(system.target(index), wentOnAt, wentOnAt + returnBound) > 0);
    }
}

TEST_CASE("The only target of a service is not refused requests for a silent second", "[forwarding][silence]")
{
    auto model = GENERATE(std::string(), std::string("base"));
    CAPTURE(model);
    silence_system system(1, model, 2'500ms);
    system.sleepFor(2'500ms); // longer than the answers to earlier requests count
    system.target(0).fallSilent(longSilence, true);
    std::vector<std::thread> requests;
    for (auto pause : { 0ms, 500ms, 600ms, 300ms, 150ms, 200ms }) {
        system.sleepFor(pause);
        for (const auto* path : { "/shop/work", "/stock/work", "/words/events", "/notes/events" })
            requests.emplace_back([&system, path] { system.send(path); });
    }
    for (auto& each : requests)
        each.join();
    checkServed(system);
}
