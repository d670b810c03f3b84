#include "support/plumfold_raft_cluster.hpp"

#include <catch2/catch.hpp>
#include <rapidcheck/catch.h>

#include <algorithm>

using namespace plumfold;
using tests::fault_rates;
using tests::raft_cluster;

namespace {

constexpr int settlingMs = 2'000; // longer than the timeout of a member
constexpr int outageMs = 1'500;

/// Ends a node for good and starts another one in its failure domain.
std::string replace(raft_cluster& cluster, const std::string& name)
{
    cluster.retire(name);
    auto successor = cluster.addSuccessor(name);
    cluster.run(settlingMs);
    return successor;
}

} // namespace

// Guards against voters that are gone and count towards the quorum for ever.
TEST_CASE("A group whose members are replaced one after the other keeps its quorum", "[raft][lost_voter]")
{
    int size = GENERATE(3, 4, 5);
    CAPTURE(size);
    raft_cluster cluster(size, 11, {});
    for (int round = 0; round < 2 * size; ++round) {
        CAPTURE(round);
        replace(cluster, cluster.present().front());
        REQUIRE(cluster.leader());
        CHECK(cluster.voterNames() == cluster.present());
        CHECK(cluster.proposeToLeader(std::to_string(round)));
    }
    cluster.run(200);
    CHECK(cluster.applied().size() == static_cast<std::size_t>(2 * size));
}

TEST_CASE("A voter that is stopped after its successor has joined is removed", "[raft][lost_voter]")
{
    raft_cluster cluster(4, 12, {});
    std::string old = *cluster.leader();
    cluster.addSuccessor(old);
    cluster.run(settlingMs);
    CHECK(cluster.voters() == 5);
    cluster.retire(old);
    cluster.run(settlingMs);
    CHECK(cluster.voterNames() == cluster.present());
}

// Guards against a group that shrinks while members are only out of reach.
TEST_CASE("A voter without a successor stays a member through a long outage", "[raft][lost_voter]")
{
    raft_cluster cluster(4, 13, {});
    auto names = cluster.present();
    std::string leader = *cluster.leader();
    for (const auto& name : names) {
        if (name == leader)
            continue;
        cluster.isolate(name);
        cluster.run(outageMs);
        CHECK(cluster.voterNames() == names);
        cluster.reconnectAll();
        cluster.run(settlingMs);
    }
    CHECK(cluster.voterNames() == names);
}

TEST_CASE("A node that was removed while it was out of reach joins again", "[raft][lost_voter]")
{
    raft_cluster cluster(4, 14, {});
    std::string leader = *cluster.leader();
    std::string cut = leader == "a" ? "b" : "a";
    cluster.isolate(cut);
    cluster.addSuccessor(cut);
    cluster.run(settlingMs);
    CHECK(cluster.voters() == 4);
    auto voters = cluster.voterNames();
    CHECK(std::find(voters.begin(), voters.end(), cut) == voters.end());
    SECTION("with its memory")
    {
        cluster.reconnectAll();
    }
    SECTION("after a restart with its disk")
    {
        cluster.crash(cut);
        cluster.reconnectAll();
        cluster.restart(cut);
    }
    SECTION("after a restart with an empty disk")
    {
        cluster.crash(cut);
        cluster.reconnectAll();
        cluster.restart(cut, true);
    }
    cluster.run(settlingMs);
    CHECK(cluster.voterNames() == cluster.present());
    CHECK(cluster.voters() == 5);
    CHECK(cluster.proposeToLeader("after"));
    cluster.run(200);
    CHECK(cluster.applied().back() == "after");
}

// Guards against a leader that keeps its place although a quorum has exchanged it, or that is out for good.
TEST_CASE("A leader that is cut off while another node joins in its failure domain joins again",
    "[raft][lost_voter]")
{
    int size = GENERATE(3, 4, 5);
    CAPTURE(size);
    raft_cluster cluster(size, 18, {});
    std::string cut = *cluster.leader();
    cluster.isolate(cut);
    cluster.addSuccessor(cut);
    cluster.run(2 * settlingMs);
    auto voters = cluster.voterNames();
    CHECK(std::find(voters.begin(), voters.end(), cut) == voters.end());
    CHECK(cluster.proposeToLeader("meanwhile"));
    cluster.reconnectAll();
    cluster.run(settlingMs);
    CHECK(cluster.voterNames() == cluster.present());
    CHECK(cluster.proposeToLeader("after"));
    cluster.run(200);
    CHECK(cluster.applied().back() == "after");
}

// Guards against the exchange of a node that was cut off only for a moment.
TEST_CASE("A node that is cut off for less than the timeout while another one joins stays a voter",
    "[raft][lost_voter]")
{
    raft_cluster cluster(4, 19, {});
    std::string cut = *cluster.leader() == "a" ? "b" : "a";
    cluster.isolate(cut);
    cluster.addSuccessor(cut);
    cluster.run(200);
    cluster.reconnectAll();
    cluster.run(settlingMs);
    CHECK(cluster.voters() == 5);
    CHECK(cluster.voterNames() == cluster.present());
}

TEST_CASE("Of two silent voters of a failure domain one is removed for one successor", "[raft][lost_voter]")
{
    raft_cluster cluster(5, 15, {}); // a, c and e are in one failure domain
    std::string leader = *cluster.leader();
    if (leader != "b" && leader != "d") {
        cluster.crash(leader);
        cluster.run(settlingMs);
        cluster.restart(leader);
        cluster.run(settlingMs);
        leader = *cluster.leader();
    }
    REQUIRE((leader == "b" || leader == "d"));
    cluster.retire("a");
    cluster.run(50);
    cluster.crash("c");
    cluster.addSuccessor("a");
    cluster.run(settlingMs);
    auto voters = cluster.voterNames();
    CHECK(std::find(voters.begin(), voters.end(), "a") == voters.end());
    CHECK(std::find(voters.begin(), voters.end(), "c") != voters.end());
    cluster.restart("c");
    cluster.run(settlingMs);
    CHECK(cluster.voterNames() == cluster.present());
}

TEST_CASE("A member reports its failure domain to a group that does not know it", "[raft][lost_voter]")
{
    raft_cluster cluster(3, 17, {});
    cluster.run(settlingMs);
    for (const auto& member : cluster.node(*cluster.leader()).members().members) {
        CAPTURE(member.node);
        CHECK_FALSE(member.failureDomain.empty());
        CHECK_FALSE(member.isAddition);
    }
}

TEST_CASE("The safety properties hold while members are replaced under injected faults",
    "[raft][property][lost_voter]")
{
    rc::prop("replacements, message drop, duplication and reordering, partitions, crashes and pauses", [] {
        fault_rates faults;
        faults.replace = *rc::gen::inRange(1, 8);
        faults.drop = *rc::gen::inRange(0, 20);
        faults.duplicate = *rc::gen::inRange(0, 10);
        faults.reorder = *rc::gen::inRange(0, 30);
        faults.partition = *rc::gen::inRange(0, 6);
        faults.crash = *rc::gen::inRange(0, 6);
        faults.loseDisk = *rc::gen::inRange(0, 2);
        faults.pause = *rc::gen::inRange(0, 4);
        auto seed = *rc::gen::arbitrary<std::uint64_t>();
        raft_cluster cluster(*rc::gen::inRange(3, 7), seed, faults);
        for (int count = 0; count < 400; ++count) {
            cluster.step();
            if (count % 3 == 0)
                cluster.proposeToLeader(std::to_string(count));
            if (count % 97 == 96)
                cluster.compactAll();
        }
        cluster.heal();
        RC_ASSERT(cluster.leader().has_value());
        RC_ASSERT(cluster.voterNames() == cluster.present());
        RC_ASSERT(cluster.proposeToLeader("last"));
        cluster.run(1000);
        RC_ASSERT(cluster.applied().back() == "last");
        RC_ASSERT(cluster.allAcknowledgedApplied());
        RC_CLASSIFY(cluster.replaced() > 1, "several replacements");
    });
}
