#include "support/plumfold_weights_system.hpp"

#include <catch2/catch.hpp>

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
    system.sleepFor(weights_system::bound + milliseconds(1'000));
    system.stopCallers();
    CHECK(system.lateRequests() == 0);
    CHECK(system.enginesWith(5) == 3);
    CHECK(system.servedShare(namedAt) >= mostRequests);
}
