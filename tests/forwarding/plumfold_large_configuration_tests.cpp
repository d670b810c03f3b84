#include "support/plumfold_large_configuration.hpp"
#include "support/plumfold_slow_machines.hpp"

#include <catch2/catch.hpp>

using namespace plumfold::tests;
using std::chrono::milliseconds;

namespace {

constexpr double sheetBytesPerSecond = 1.25e6; // 10 Mbit/s
constexpr double sheetProcessorShare = 0.12;
constexpr auto applyBound = large_configuration_system::applyBound;
constexpr auto probeLimit = large_configuration_system::probeLimit;
constexpr int manyRoutes = large_configuration_system::manyRoutes;

/// Adds many routes at once, and one more 0.4 s later.
/// @param routes number of routes that were added before.
void checkGrowth(large_configuration_system& system, int entries, int routes = 0)
{
    int grown = routes + manyRoutes;
    route_probes many(system, entries, system.prefixOf(grown - 1));
    route_probes oneMore(system, entries, system.prefixOf(grown));
    auto manyAt = system.acknowledge(1, system.grown(18, grown));
    std::this_thread::sleep_for(milliseconds(400));
    auto oneMoreAt = system.acknowledge(2, system.grown(21, grown + 1));
    CHECK(many.slowest(manyAt, probeLimit) <= applyBound);
    CHECK(oneMore.slowest(oneMoreAt, probeLimit) <= applyBound);
    many.stop();
    oneMore.stop();
    CHECK(many.regressions() == 0);
    CHECK(oneMore.regressions() == 0);
}

} // namespace

TEST_CASE("Entries behind narrow links serve by a configuration of 1,400 more routes in time",
    "[forwarding][large_configuration]")
{
    constexpr int entries = 12;
    auto share = GENERATE(1.0, 0.4, 0.16); // of the link; other transfers have the rest
    CAPTURE(share);
    large_configuration_system system(entries, sheetBytesPerSecond * share);
    checkGrowth(system, entries);
}

TEST_CASE("Entries on slow machines behind narrow links serve by a configuration that grows again and again "
          "in time",
    "[forwarding][large_configuration]")
{
    constexpr int entries = 12;
    large_configuration_system system(entries, sheetBytesPerSecond);
    slow_machines slow(system.entryProcesses(), sheetProcessorShare);
    for (int routes : { manyRoutes, 2 * manyRoutes }) {
        route_probes probes(system, entries, system.prefixOf(routes - 1));
        auto at = system.acknowledge(1, system.grown(3 + routes / manyRoutes, routes));
        CHECK(probes.slowest(at, probeLimit) <= applyBound);
    }
    checkGrowth(system, entries, 2 * manyRoutes);
}

TEST_CASE("An entry whose connections break again and again serves by a large configuration in time",
    "[forwarding][large_configuration]")
{
    constexpr int entries = 4;
    auto share = GENERATE(0.4, 0.16); // of the link; at the smaller one, a connection carries a part only
    CAPTURE(share);
    large_configuration_system system(entries, sheetBytesPerSecond * share);
    std::atomic<bool> isStopping { false };
    std::thread breaker([&] {
        while (!isStopping) {
            std::this_thread::sleep_for(milliseconds(300));
            for (int process : system.entryProcesses())
                system.links().reset(process);
        }
    });
    route_probes probes(system, entries, system.prefixOf(manyRoutes - 1));
    auto at = system.acknowledge(1, system.grown(18, manyRoutes));
    CHECK(probes.slowest(at, probeLimit) <= applyBound);
    isStopping = true;
    breaker.join();
}

TEST_CASE("An entry that starts behind a narrow link gets a large configuration",
    "[forwarding][large_configuration]")
{
    constexpr milliseconds recoveryBound { 15'000 };
    large_configuration_system system(2, sheetBytesPerSecond * 0.16);
    system.acknowledge(1, system.grown(18, manyRoutes));
    system.process("n1").kill();
    system.startNarrowEntry(1);
    auto startedAt = std::chrono::steady_clock::now();
    route_probes probes(system, 1, system.prefixOf(manyRoutes - 1));
    CHECK(probes.slowest(startedAt, recoveryBound) < recoveryBound);
}

TEST_CASE(
    "A change of one route among 1,400 does not send the others again", "[forwarding][large_configuration]")
{
    constexpr int entries = 4;
    constexpr std::size_t mostBytes = 64 << 10; // for each entry, with the polls of that time
    large_configuration_system system(entries, sheetBytesPerSecond);
    auto prefix = system.prefixOf(manyRoutes);
    system.acknowledge(1, system.grown(18, manyRoutes));
    route_probes before(system, entries, system.prefixOf(manyRoutes - 1));
    REQUIRE(before.slowest(std::chrono::steady_clock::now(), probeLimit) < probeLimit);
    before.stop();
    std::this_thread::sleep_for(milliseconds(500));
    auto sent = system.bytesToAll();
    route_probes probes(system, entries, prefix);
    auto at = system.acknowledge(1, system.grown(21, manyRoutes + 1));
    CHECK(probes.slowest(at, probeLimit) <= applyBound);
    CHECK(system.bytesToAll() - sent <= entries * mostBytes);
}

TEST_CASE("Configurations in quick succession are in force in time behind narrow links",
    "[forwarding][large_configuration]")
{
    constexpr int entries = 12;
    constexpr int versions = 8;
    large_configuration_system system(entries, sheetBytesPerSecond * 0.4);
    std::vector<std::unique_ptr<route_probes>> probes;
    std::vector<large_configuration_system::time_point> acknowledgedAt;
    for (int number = 0; number < versions; ++number)
        probes.push_back(
            std::make_unique<route_probes>(system, entries, system.prefixOf(manyRoutes + number)));
    for (int number = 0; number < versions; ++number) {
        acknowledgedAt.push_back(
            system.acknowledge(1 + number % 3, system.grown(18 + number, manyRoutes + 1 + number)));
        std::this_thread::sleep_for(milliseconds(150));
    }
    for (std::size_t number = 0; number < versions; ++number)
        CHECK(probes[number]->slowest(acknowledgedAt[number], probeLimit) <= applyBound);
    for (const auto& each : probes)
        CHECK(each->regressions() == 0);
}

TEST_CASE("A control VM that is killed does not delay a large configuration behind narrow links",
    "[forwarding][large_configuration]")
{
    constexpr int entries = 12;
    constexpr milliseconds longestStretch { 6'000 }; // while the control group changes
    large_configuration_system system(entries, sheetBytesPerSecond * 0.4);
    auto killed = GENERATE(1, 2, 3);
    CAPTURE(killed);
    route_probes probes(system, entries, system.prefixOf(manyRoutes - 1));
    auto at = system.acknowledge(killed, system.grown(18, manyRoutes));
    system.process("c" + std::to_string(killed)).kill();
    auto bound = applyBound + longestStretch;
    CHECK(probes.slowest(at, bound + milliseconds(1)) <= bound);
    probes.stop();
    CHECK(probes.regressions() == 0);
}
