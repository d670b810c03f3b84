#include "support/plumfold_disturbances.hpp"
#include "support/plumfold_weights_system.hpp"

#include <catch2/catch.hpp>

#include <random>

using namespace plumfold::tests;
using std::chrono::milliseconds;

namespace {

constexpr double mostRequests = 0.9;

} // namespace

TEST_CASE("No request begins on old weights after their time at an entry that restarts after the naming",
    "[forwarding][weights]")
{
    weights_system system("t4");
    system.startCallers();
    system.name(5);
    system.sleepFor(milliseconds(2'800));
    system.process("n1").kill();
    system.startEntry(1);
    SECTION("the entry only") { }
    SECTION("and a control VM after the other before it")
    {
        for (int number = 1; number <= 3; ++number) {
            system.process("c" + std::to_string(number)).kill();
            system.startControl(number);
            system.sleepFor(milliseconds(700));
        }
        system.process("n1").kill();
        system.startEntry(1);
    }
    system.eventually([&] { return system.sendRequest(1) == 200; });
    auto calmSince = std::chrono::steady_clock::now();
    system.sleepFor(milliseconds(6'000));
    system.stopCallers();
    CHECK(system.lateRequests() == 0);
    CHECK(system.enginesWith(5) == 3);
    CHECK(system.servedShare(calmSince) >= mostRequests);
}

TEST_CASE("No request begins on old weights after their time at an entry that is suspended over the naming",
    "[forwarding][weights]")
{
    weights_system system("t4");
    system.startCallers();
    system.process("n1").pause();
    system.name(5);
    SECTION("of one version")
    {
        system.sleepFor(milliseconds(4'000));
    }
    SECTION("of two versions")
    {
        system.sleepFor(milliseconds(3'000));
        system.name(6);
        system.sleepFor(milliseconds(1'000));
    }
    system.process("n1").resume();
    system.sleepFor(milliseconds(1'000));
    auto calmSince = std::chrono::steady_clock::now();
    system.sleepFor(milliseconds(5'000));
    system.stopCallers();
    CHECK(system.lateRequests() == 0);
    CHECK(system.servedShare(calmSince) >= mostRequests);
}

TEST_CASE(
    "An engine that does not execute orders does not hold up the other engines", "[forwarding][weights]")
{
    auto behaviour = GENERATE(order_behaviour::ignore, order_behaviour::never_respond);
    weights_system system("t1", behaviour);
    system.startCallers();
    system.name(5);
    auto namedAt = std::chrono::steady_clock::now();
    system.sleepFor(weights_system::defaultBound + milliseconds(1'000));
    system.stopCallers();
    CHECK(system.lateRequests() == 0);
    CHECK(system.enginesWith(5) == 3);
    CHECK(system.servedShare(namedAt) >= mostRequests);
}

TEST_CASE(
    "No request begins on old weights after their time while control VMs and entries stop, restart and are "
    "suspended",
    "[forwarding][weights][soak]")
{
    weights_system system("t4");
    std::minstd_rand random(soakSeed());
    system.startCallers();
    auto begin = std::chrono::steady_clock::now();
    auto restartControl = [&] {
        auto number = static_cast<int>(1 + random() % 3);
        system.process("c" + std::to_string(number)).kill();
        system.startControl(number);
    };
    auto disturbEntry = [&] {
        auto number = static_cast<int>(1 + random() % weights_system::entries);
        auto name = "n" + std::to_string(number);
        if (random() % 2 == 0) {
            system.process(name).kill();
            system.startEntry(number);
            return;
        }
        system.process(name).pause();
        system.sleepFor(milliseconds(200 + random() % 2'500));
        system.process(name).resume();
    };
    constexpr std::uint64_t lastVersion = 8;
    for (std::uint64_t version = 5; version <= lastVersion; ++version) {
        // At least two control VMs keep running, so that when versions were named is not forgotten.
        restartControl();
        system.sleepFor(milliseconds(500 + random() % 1'500));
        system.name(version);
        for (int count = 0; count < 3; ++count) {
            system.sleepFor(milliseconds(300 + random() % 1'500));
            disturbEntry();
        }
    }
    for (int number = 1; number <= weights_system::entries; ++number)
        system.eventually([&] { return system.sendRequest(number) == 200; });
    auto calmSince = std::chrono::steady_clock::now();
    system.sleepFor(weights_system::defaultBound);
    system.stopCallers();
    CHECK(system.lateRequests() == 0);
    CHECK(system.enginesWith(lastVersion) == 3);
    CHECK(system.servedShare(calmSince) >= mostRequests);
    CHECK(system.servedShare(begin) >= 0.5);
}

TEST_CASE(
    "No request that waits at an engine begins on old weights after their time", "[forwarding][weights]")
{
    constexpr milliseconds bound { 2'000 };
    weights_system system("", order_behaviour::ignore, bound);
    auto begin = std::chrono::steady_clock::now();
    system.setQueueTime(milliseconds(1'200));
    system.startCallers("/stock/whole");
    system.sleepFor(milliseconds(3'000));
    auto namedAt = std::chrono::steady_clock::now();
    system.name(5);
    system.sleepFor(2 * bound);
    system.stopCallers();
    CHECK(system.lateRequests() == 0);
    CHECK(system.servedShare(begin, namedAt) >= mostRequests);
}
