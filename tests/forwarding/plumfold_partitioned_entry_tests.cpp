#include "support/plumfold_partitioned_system.hpp"

#include <catch2/catch.hpp>

using namespace plumfold::tests;
using std::chrono::milliseconds;

namespace {

/// Share of the others' rate at which callers of cut entries are at least served.
constexpr double leastShareOfOthers = 2.0 / 3;
constexpr double mostRequests = 0.9;

void checkServed(const partitioned_system& system)
{
    auto cut = system.duringCut(true);
    auto others = system.duringCut(false);
    auto cutLater = system.afterCut(true);
    auto othersLater = system.afterCut(false);
    INFO("during the cut " << cut.served << " of " << cut.sent << ", at the others " << others.served
                           << " of " << others.sent << "; after it " << cutLater.served << " of "
                           << cutLater.sent << " and " << othersLater.served << " of " << othersLater.sent);
    CHECK(cut.sent > 0);
    CHECK(others.share() >= mostRequests);
    CHECK(cut.share() >= leastShareOfOthers * others.share());
    CHECK(cutLater.share() >= leastShareOfOthers * othersLater.share());
    CHECK(system.repeatedRuns() == 0);
    CHECK(system.falselyRefused() == 0);
}

void run(partitioned_system& system, const std::set<int>& entries, link_state state)
{
    system.startCallers();
    system.sleepFor(milliseconds(1'000));
    system.cut(entries, state);
    system.sleepFor(milliseconds(5'000));
    system.stopCallers();
}

} // namespace

TEST_CASE(
    "Callers of entries whose connections to all targets are reset are served", "[forwarding][partition]")
{
    partitioned_system system;
    run(system, GENERATE(std::set<int> { 1 }, std::set<int> { 1, 3 }), link_state::resetting);
    checkServed(system);
}

TEST_CASE("Callers of entries whose connections to all targets hang are served", "[forwarding][partition]")
{
    partitioned_system system;
    run(system, GENERATE(std::set<int> { 1 }, std::set<int> { 1, 3 }), link_state::hanging);
    checkServed(system);
}

TEST_CASE("Callers of an entry that keeps its connections to targets but gets no new ones are served",
    "[forwarding][partition]")
{
    partitioned_system system;
    run(system, { 1 }, link_state::refusing);
    checkServed(system);
}

TEST_CASE("A caller that leaves cancels its relayed request at the target", "[forwarding][partition]")
{
    partitioned_system system;
    system.setLink(1, link_state::resetting);
    REQUIRE(system.eventually([&] {
        system.request(1, "/stock/whole");
        return system.logOf("n1").find("event=link_lost") != std::string::npos;
    }));
    raw_caller caller(system.callerAddress(1));
    auto receivedBefore = system.received();
    caller.send(partitioned_system::requestBytes("/shop/never", partitioned_system::nextId(), "order"));
    REQUIRE(system.eventually([&] { return system.received() > receivedBefore; }));
    auto cancelledBefore = system.cancelled();
    caller.close();
    system.sleepFor(milliseconds(500));
    CHECK(system.cancelled() == cancelledBefore + 1);
}

TEST_CASE("Requests at the relay address need the cluster secret", "[forwarding][partition]")
{
    partitioned_system system;
    auto receivedBefore = system.received();
    auto send = [&](const std::string& secret) {
        raw_caller caller(system.relayAddress(1));
        caller.send(partitioned_system::requestBytes("/shop/whole", partitioned_system::nextId(), "order",
            { { "Api-Key", "" }, { "Plumfold-Relay-Secret", secret }, { "Plumfold-Relay-Customer", "espuma" },
                { "Plumfold-Relay-Service", "shop" }, { "Plumfold-Relay-Time-Left", "1000" },
                { "Plumfold-Relay-Attempts-Left", "1" } }));
        return caller.receive().status;
    };
    CHECK(send("") == 403);
    CHECK(send("guess") == 403);
    CHECK(system.received() == receivedBefore);
    CHECK(send("test") == 200);
    CHECK(system.received() == receivedBefore + 1);
    // The headers give a caller nothing at the address for callers.
    auto response = system.request(1, "/shop/whole", "order",
        { { "Api-Key", "unknown" }, { "Plumfold-Relay-Secret", "test" },
            { "Plumfold-Relay-Customer", "espuma" }, { "Plumfold-Relay-Service", "shop" } });
    CHECK(response.status == 401);
}

TEST_CASE(
    "When all entries are cut from all targets, requests are refused at once", "[forwarding][partition]")
{
    partitioned_system system;
    run(system, { 1, 2, 3 }, GENERATE(link_state::resetting, link_state::hanging));
    auto cut = system.duringCut(true);
    auto later = system.afterCut(true);
    INFO("refused at once " << cut.refusedAtOnce << " of " << cut.sent << "; served after it " << later.served
                            << " of " << later.sent);
    CHECK(cut.refusedAtOnce >= mostRequests * cut.sent);
    CHECK(later.share() >= leastShareOfOthers);
    CHECK(system.repeatedRuns() == 0);
    CHECK(system.falselyRefused() == 0);
}
