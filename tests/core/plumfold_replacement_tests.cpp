#include "support/plumfold_raft_cluster.hpp"

#include <catch2/catch.hpp>

#include <algorithm>

using namespace plumfold;
using tests::raft_cluster;

namespace {

constexpr int downMs = 250; // of a node that is restarted or replaced
/// Time after its start in which a node still counts as lost: eight election timeouts, as on the platform.
constexpr int catchUpMs = 1'200;
constexpr int commitMs = 200;

/// How one node is replaced by another one of its failure domain.
struct replacement {
    bool isLeader = false;
    bool isPlanned = false; ///< The successor starts first, and the node is told to stop.
};

std::string choose(raft_cluster& cluster, bool isLeader)
{
    for (int waited = 0; !cluster.leader() && waited < catchUpMs; waited += downMs)
        cluster.run(downMs);
    auto leader = cluster.leader();
    REQUIRE(leader);
    if (isLeader)
        return *leader;
    auto names = cluster.present();
    return *std::find_if(names.begin(), names.end(), [&](const auto& name) { return name != *leader; });
}

void replace(raft_cluster& cluster, const replacement& how)
{
    auto name = choose(cluster, how.isLeader);
    if (how.isPlanned) {
        cluster.addSuccessor(name);
        cluster.run(catchUpMs);
        // Another one may lead by now; this one leaves all the same.
        cluster.stop(name);
        cluster.retire(name);
        return;
    }
    cluster.retire(name);
    cluster.run(downMs);
    cluster.addSuccessor(name);
    cluster.run(catchUpMs);
}

/// A loss of one node that a group has to bear.
struct loss {
    const char* name;
    void (*strike)(raft_cluster& cluster, const std::string& name);
};

constexpr loss losses[] = {
    { "it ends",
        [](raft_cluster& cluster, const std::string& name) {
            cluster.crash(name);
            cluster.run(catchUpMs);
        } },
    { "it loses its disk",
        [](raft_cluster& cluster, const std::string& name) {
            cluster.crash(name);
            cluster.run(downMs);
            cluster.restart(name, true);
            cluster.run(catchUpMs);
        } },
    { "it is cut off",
        [](raft_cluster& cluster, const std::string& name) {
            cluster.isolate(name);
            cluster.run(catchUpMs);
        } },
};

/// @return all sequences of that many replacements.
std::vector<std::vector<replacement>> sequences(int length)
{
    std::vector<std::vector<replacement>> all { {} };
    for (int step = 0; step < length; ++step) {
        std::vector<std::vector<replacement>> longer;
        for (const auto& each : all) {
            for (int variant = 0; variant < 4; ++variant) {
                longer.push_back(each);
                longer.back().push_back({ variant % 2 == 1, variant / 2 == 1 });
            }
        }
        all = std::move(longer);
    }
    return all;
}

std::string textOf(const std::vector<replacement>& steps)
{
    std::string text;
    for (const auto& each : steps)
        text += std::string(each.isPlanned ? "planned " : "gone ")
            + (each.isLeader ? "leader, " : "follower, ");
    return text;
}

} // namespace

// Guards against members that are gone and still count when the next one is lost.
TEST_CASE("A group bears the loss of a node right after replacements in any order, whoever leads",
    "[raft][lost_voter]")
{
    int size = GENERATE(3, 4, 5);
    int length = GENERATE(2, 3);
    for (const auto& steps : sequences(length)) {
        for (const auto& loss : losses) {
            for (bool isLeader : { false, true }) {
                CAPTURE(size, textOf(steps), loss.name, isLeader);
                raft_cluster cluster(size, 21, {});
                for (const auto& each : steps)
                    replace(cluster, each);
                loss.strike(cluster, choose(cluster, isLeader));
                CHECK(cluster.proposeToLeader("after"));
                cluster.run(commitMs);
                bool isCommitted = !cluster.applied().empty() && cluster.applied().back() == "after";
                CHECK(isCommitted);
            }
        }
    }
}

// Guards against a group that shrinks when its nodes are told to stop and start again.
TEST_CASE("A group whose nodes are restarted one after the other keeps all its voters", "[raft][lost_voter]")
{
    int size = GENERATE(3, 4, 5);
    bool hasAddition = GENERATE(false, true);
    CAPTURE(size, hasAddition);
    raft_cluster cluster(size, 22, {});
    if (hasAddition) {
        cluster.addSuccessor("a");
        cluster.run(catchUpMs);
    }
    for (const auto& name : cluster.present()) {
        CAPTURE(name);
        cluster.stop(name);
        cluster.run(downMs);
        CHECK(cluster.proposeToLeader("without " + name));
        cluster.restart(name);
        cluster.run(catchUpMs);
        CHECK(cluster.voterNames() == cluster.present());
    }
    CHECK(cluster.proposeToLeader("last"));
    cluster.run(commitMs);
    CHECK(cluster.applied().back() == "last");
}
