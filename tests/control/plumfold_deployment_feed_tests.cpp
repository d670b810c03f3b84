#include "plumfold_deployment_feed.hpp"

#include <catch2/catch.hpp>

#include <chrono>
#include <thread>

using namespace plumfold;

namespace {

constexpr std::chrono::milliseconds peerTimeout { 5'000 };
constexpr std::chrono::milliseconds margin { 200 };

runtime::settings settingsOf(const std::string& address)
{
    runtime::settings out;
    out.process.failureDomain = "east";
    out.control.emplace();
    out.control->address = address;
    return out;
}

} // namespace

// Guards against entries of control VMs that are gone: limits that all entries share would shrink for ever.
TEST_CASE("Entries that followed a control VM that is gone are not counted", "[feed][lost_voter]")
{
    auto settings = settingsOf("127.0.0.1:7000");
    wire::rpc_thread rpc;
    control::deployment_feed feed(rpc, settings);
    feed.applyPeerUpdate("127.0.0.2:7000", { "west", 5, {}, {} }, {});
    feed.recordFollower({ "n1", "", "east" });
    CHECK(feed.entryCount() == 6);
    std::this_thread::sleep_for(peerTimeout + margin);
    feed.recordFollower({ "n1", "", "east" });
    CHECK(feed.entryCount() == 1);
    feed.tick();
    CHECK(feed.entryCount() == 1);
    feed.applyPeerUpdate("127.0.0.2:7000", { "west", 2, {}, {} }, {});
    CHECK(feed.entryCount() == 3);
}

// Guards against homes that overlap: an entry that changes its control VM is listed by both for a time.
TEST_CASE("An entry's position counts each entry of its failure domain once", "[feed][homes]")
{
    auto settings = settingsOf("127.0.0.1:7000");
    wire::rpc_thread rpc;
    control::deployment_feed feed(rpc, settings);
    feed.recordFollower({ "n2", "127.0.1.2:80", "east" });
    feed.recordFollower({ "n4", "127.0.1.4:80", "east" });
    CHECK(feed.positionOf("n2", "east") == core::entry_position { 0, 2 });
    feed.applyPeerUpdate("127.0.0.2:7000", { "west", 3, {}, {} }, {});
    feed.applyPeerFollowers("127.0.0.2:7000",
        { { "n1", "127.0.1.1:80", "east" }, { "n2", "127.0.1.2:80", "east" },
            { "n3", "127.0.1.3:80", "west" } });
    CHECK(feed.positionOf("n1", "east") == core::entry_position { 0, 3 });
    CHECK(feed.positionOf("n2", "east") == core::entry_position { 1, 3 });
    CHECK(feed.positionOf("n4", "east") == core::entry_position { 2, 3 });
    CHECK(feed.positionOf("n3", "west") == core::entry_position { 0, 1 });
    CHECK_FALSE(feed.positionOf("n5", "east").isKnown());
}
