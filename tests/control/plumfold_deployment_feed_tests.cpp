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
