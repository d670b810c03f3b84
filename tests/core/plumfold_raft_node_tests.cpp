#include "support/plumfold_raft_cluster.hpp"

#include <catch2/catch.hpp>
#include <rapidcheck/catch.h>

using namespace plumfold;
using tests::fault_rates;
using tests::raft_cluster;

// Guards against a group without a leader for good: the node with the longer log has the lower term, and
// nobody names it the higher one.
TEST_CASE("A node whose term is behind is elected if it has the longest log", "[raft]")
{
    raft_cluster cluster(3, 31, {});
    std::string longest = *cluster.leader();
    auto names = cluster.present();
    std::string ahead = names[0] == longest ? names[1] : names[0];
    cluster.isolate(ahead);
    REQUIRE(cluster.proposeToLeader("committed"));
    cluster.run(100);
    for (const auto& name : names) {
        if (name != longest && name != ahead)
            cluster.crash(name);
    }
    // Transfers of the leadership whose votes are lost raise the term without a leader.
    for (int count = 0; count < 3; ++count) {
        core::raft_message transfer;
        transfer.kind = core::message_kind::timeout_now;
        transfer.term = cluster.node(ahead).term();
        cluster.node(ahead).step(transfer, core::instant(std::chrono::hours(1)));
    }
    cluster.run(1'000);
    cluster.reconnectAll();
    cluster.run(3'000);
    CHECK(cluster.leader() == longest);
}

TEST_CASE("A bootstrapped group adds the other nodes as voters", "[raft]")
{
    raft_cluster cluster(3, 1, {});
    CHECK(cluster.voters() == 3);
    CHECK(cluster.proposeToLeader("one"));
    cluster.run(200);
    CHECK(cluster.applied() == std::vector<std::string> { "one" });
}

TEST_CASE("A partitioned leader steps down and its proposals are never acknowledged", "[raft]")
{
    raft_cluster cluster(3, 2, {});
    std::string old = *cluster.leader();
    cluster.isolate(old);
    REQUIRE(cluster.node(old).propose("lost", core::instant(std::chrono::hours(2))));
    cluster.run(2000);
    CHECK(cluster.node(old).role() != core::raft_role::leader);
    REQUIRE(cluster.leader());
    CHECK(*cluster.leader() != old);
    REQUIRE(cluster.proposeToLeader("kept"));
    cluster.run(200);
    cluster.reconnectAll();
    cluster.run(1000);
    CHECK(cluster.applied() == std::vector<std::string> { "kept" });
}

TEST_CASE("A node does not disrupt the leader when it reconnects after a partition", "[raft]")
{
    raft_cluster cluster(3, 3, {});
    std::string leader = *cluster.leader();
    std::string other = leader == "b" ? "c" : "b";
    auto term = cluster.node(leader).term();
    cluster.isolate(other);
    cluster.run(3000);
    cluster.reconnectAll();
    cluster.run(1000);
    CHECK(cluster.node(leader).term() == term);
    CHECK(*cluster.leader() == leader);
}

TEST_CASE("A node that lost its disk rejoins as a learner under a new incarnation, and a later loss of "
          "another node is tolerated",
    "[raft]")
{
    raft_cluster cluster(3, 4, {});
    for (int count = 0; count < 20; ++count)
        cluster.proposeToLeader("before " + std::to_string(count));
    cluster.run(500);
    for (int loss = 0; loss < 2; ++loss) {
        std::string leader = *cluster.leader();
        std::string victim = leader == "a" ? "b" : "a";
        cluster.crash(victim);
        cluster.restart(victim, true);
        CHECK_FALSE(cluster.node(victim).isMember());
        cluster.run(3000);
        CHECK(cluster.voters() == 3);
        // The node is a voter again, so the group tolerates the failure of another node.
        cluster.crash(leader);
        cluster.run(3000);
        REQUIRE(cluster.leader());
        CHECK(cluster.proposeToLeader("after " + std::to_string(loss)));
        cluster.run(500);
        cluster.restart(leader);
        cluster.run(2000);
    }
    CHECK(cluster.applied().size() == 22);
}

TEST_CASE("A node whose next entry was compacted catches up by a snapshot", "[raft]")
{
    raft_cluster cluster(3, 5, {});
    std::string leader = *cluster.leader();
    std::string victim = leader == "a" ? "b" : "a";
    cluster.crash(victim);
    for (int count = 0; count < 50; ++count) {
        cluster.proposeToLeader(std::to_string(count));
        cluster.run(20);
    }
    cluster.run(500);
    cluster.compactAll();
    cluster.restart(victim);
    cluster.run(2000);
    CHECK(cluster.node(victim).commitIndex() == cluster.node(*cluster.leader()).commitIndex());
}

TEST_CASE("A leadership transfer completes without an election timeout", "[raft]")
{
    raft_cluster cluster(3, 6, {});
    std::string old = *cluster.leader();
    cluster.run(100);
    REQUIRE(cluster.node(old).transferLeadership(core::instant(std::chrono::hours(1))));
    cluster.run(60); // less than the election timeout of 150 ms
    REQUIRE(cluster.leader());
    CHECK(*cluster.leader() != old);
}

TEST_CASE(
    "The safety properties hold and acknowledged commands persist under injected faults", "[raft][property]")
{
    rc::prop("message drop, duplication and reordering, partitions, crashes, pauses and lost disks", [] {
        fault_rates faults;
        faults.drop = *rc::gen::inRange(0, 20);
        faults.duplicate = *rc::gen::inRange(0, 10);
        faults.reorder = *rc::gen::inRange(0, 30);
        faults.partition = *rc::gen::inRange(0, 6);
        faults.crash = *rc::gen::inRange(0, 6);
        faults.loseDisk = *rc::gen::inRange(0, 4);
        faults.pause = *rc::gen::inRange(0, 4);
        auto seed = *rc::gen::arbitrary<std::uint64_t>();
        raft_cluster cluster(*rc::gen::element(3, 5), seed, faults);
        for (int count = 0; count < 300; ++count) {
            cluster.step();
            if (count % 3 == 0)
                cluster.proposeToLeader(std::to_string(count));
            if (count % 97 == 96)
                cluster.compactAll();
        }
        cluster.heal();
        RC_ASSERT(cluster.leader().has_value());
        RC_ASSERT(cluster.proposeToLeader("last"));
        cluster.run(1000);
        RC_ASSERT(cluster.applied().back() == "last");
        RC_ASSERT(cluster.allAcknowledgedApplied());
        RC_CLASSIFY(cluster.acknowledged() > 20, "more than 20 acknowledged");
        RC_CLASSIFY(cluster.elections() > 1, "several elections");
    });
}
