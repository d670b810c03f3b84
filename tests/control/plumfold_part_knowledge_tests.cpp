#include "plumfold_peer_links.hpp"

#include "support/plumfold_lone_control.hpp"

#include "plumfold/runtime/plumfold_clock.hpp"
#include "plumfold/wire/plumfold_convert.hpp"

#include <Poco/Net/ServerSocket.h>

#include <catch2/catch.hpp>

#include <chrono>
#include <functional>
#include <thread>

using namespace plumfold;

namespace {

using std::chrono::milliseconds;

const std::string store = "127.0.0.9:8500";
constexpr milliseconds feedInterval { 40 };
constexpr milliseconds timeout { 5'000 };

std::string unusedAddress()
{
    Poco::Net::ServerSocket socket(Poco::Net::SocketAddress("127.0.0.1", 0));
    return socket.address().toString();
}

runtime::settings settingsOf(const std::string& address)
{
    runtime::settings out;
    out.process.name = address;
    out.process.failureDomain = "east";
    out.process.clusterSecret = "secret";
    out.control.emplace();
    out.control->address = address;
    return out;
}

/// What the stand-in for another control VM does, and what it has received. Used on its RPC thread.
struct peer_state {
    std::function<std::vector<std::string>(const std::vector<core::part_update>&)> apply;
    bool isReporting = true;
    std::vector<core::part_update> received;
};

class stand_in_peer final : public wire::ControlPeer::Server {
public:
    explicit stand_in_peer(peer_state& state)
        : m_state(state)
    {
    }

    kj::Promise<void> deliver(DeliverContext) override { return kj::READY_NOW; }

    kj::Promise<void> share(ShareContext call) override
    {
        std::vector<core::part_update> updates;
        for (auto each : call.getParams().getParts())
            updates.push_back(wire::read(each));
        m_state.received.insert(m_state.received.end(), updates.begin(), updates.end());
        auto unknown = m_state.apply(updates);
        if (!m_state.isReporting)
            return kj::READY_NOW;
        auto out = call.getResults().initUnknownParts(unknown.size());
        for (unsigned index = 0; index < unknown.size(); ++index)
            out.set(index, unknown[index]);
        return kj::READY_NOW;
    }

private:
    peer_state& m_state;
};

class stand_in_control final : public wire::Control::Server {
public:
    explicit stand_in_control(peer_state& state)
        : m_state(state)
    {
    }

    kj::Promise<void> peer(PeerContext call) override
    {
        call.getResults().setPeer(kj::heap<stand_in_peer>(m_state));
        return kj::READY_NOW;
    }

private:
    peer_state& m_state;
};

/// The feed and the links of a control VM that polls one store, and a stand-in for another control VM, whose
/// feed receives the updates.
class sharing_fixture {
public:
    sharing_fixture()
        : m_peerAddress(unusedAddress())
        , m_settings(settingsOf("127.0.0.1:7000"))
        , m_peerSettings(settingsOf(m_peerAddress))
    {
        m_settings.control->peers.push_back({ "peer", m_peerAddress });
        m_rpc.run([&] {
            m_feed = std::make_unique<control::deployment_feed>(m_rpc, m_settings);
            m_peerFeed = std::make_unique<control::deployment_feed>(m_rpc, m_peerSettings);
            m_leader = std::make_unique<control::leader_client>(m_rpc, m_settings, m_control.node(), *m_feed);
            m_crashes = std::make_unique<control::crash_judge>(*m_feed, *m_leader);
            m_rollouts = std::make_unique<control::rollout_controller>(m_settings, *m_feed,
                [](core::command) -> kj::Promise<control::propose_response> { return kj::NEVER_DONE; });
            m_links = std::make_unique<control::peer_links>(m_rpc, m_settings);
            m_state.apply = [this](const auto& updates) {
                return m_peerFeed->applyPeerParts(m_settings.control->address, updates, 0);
            };
            m_listener = std::make_unique<wire::rpc_listener>(
                m_rpc, m_peerAddress, kj::heap<stand_in_control>(m_state));
            nameStore();
        });
    }

    ~sharing_fixture()
    {
        m_rpc.run([&] {
            m_listener.reset();
            m_links.reset();
            m_rollouts.reset();
            m_crashes.reset();
            m_leader.reset();
            m_peerFeed.reset();
            m_feed.reset();
        });
    }

protected:
    /// Polls and shares until a condition holds.
    /// @return whether it did within the timeout.
    bool shareUntil(const std::function<bool()>& condition, milliseconds atMost = timeout)
    {
        auto until = runtime::now() + atMost;
        while (runtime::now() < until) {
            bool holds = m_rpc.run([&] {
                poll();
                m_links->share(*m_feed, *m_crashes, *m_rollouts);
                return condition();
            });
            if (holds)
                return true;
            std::this_thread::sleep_for(feedInterval);
        }
        return false;
    }

    bool isEqual() const
    {
        const auto* own = m_feed->parts().find(store, runtime::now());
        const auto* other = m_peerFeed->parts().find(store, runtime::now());
        return own && other && own->tokens == other->tokens && own->generation == other->generation;
    }

    std::size_t wholes() const
    {
        std::size_t count = 0;
        for (const auto& each : m_state.received)
            count += each.first == 0 && !each.changes.empty();
        return count;
    }

    void poll()
    {
        std::vector<core::part_change> changes;
        if (!m_hasPolled) {
            m_feed->resetParts(store, generation);
            changes = { { 1, 100 }, { 2, 100 } };
        }
        m_hasPolled = true;
        m_feed->applyPartChanges(store, generation, changes, 0);
    }

    void nameStore()
    {
        core::deployment_state state;
        state.revision = 1;
        state.document.version = 1;
        state.document.text
            = R"({"version":1,"routes":[],"tenants":[],"services":[{"name":"kept","kv-store-address":")"
            + store + R"(","zone":"east","kv-capacity-tokens":10000,"link-mbps":1000}]})";
        control::control_view view;
        view.deployment = std::make_shared<const core::deployment_state>(state);
        view.leases = std::make_shared<const std::map<std::string, core::lease_state>>();
        m_feed->update(view);
    }

    static constexpr std::uint64_t generation = 7;

    std::string m_peerAddress;
    runtime::settings m_settings;
    runtime::settings m_peerSettings;
    tests::lone_control m_control;
    wire::rpc_thread m_rpc;
    peer_state m_state;
    bool m_hasPolled = false;
    std::unique_ptr<control::deployment_feed> m_feed;
    std::unique_ptr<control::deployment_feed> m_peerFeed;
    std::unique_ptr<control::leader_client> m_leader;
    std::unique_ptr<control::crash_judge> m_crashes;
    std::unique_ptr<control::rollout_controller> m_rollouts;
    std::unique_ptr<control::peer_links> m_links;
    std::unique_ptr<wire::rpc_listener> m_listener;
};

} // namespace

// Guards against increments that a peer ignores for ever because it holds the content of another poller.
TEST_CASE_METHOD(sharing_fixture,
    "A peer that holds another poller's content gets the whole content when that is no longer confirmed",
    "[feed][parts]")
{
    REQUIRE(shareUntil([&] { return isEqual(); }));
    m_rpc.run([&] {
        m_peerFeed->resetParts(store, 9); // as if the peer had polled
        CHECK_FALSE(isEqual());
    });
    CHECK(shareUntil([&] { return isEqual(); }, milliseconds(3'000)));
    m_rpc.run([&] {
        CHECK(wholes() == 2);
        CHECK(m_links->metrics().prometheusText().find("plumfold_parts_resent_total 1") != std::string::npos);
    });
}

// Guards against a peer that has restarted, with the connection kept by a proxy or not, and lacks everything.
TEST_CASE_METHOD(sharing_fixture, "A peer that has lost a content gets it again as a whole", "[feed][parts]")
{
    REQUIRE(shareUntil([&] { return isEqual(); }));
    m_rpc.run([&] { m_peerFeed->applyPeerParts(m_settings.control->address, { { store } }, 0); });
    CHECK(shareUntil([&] { return isEqual(); }, milliseconds(2'000)));
}

// A peer of a former version does not report what it lacks: it gets increments as before.
TEST_CASE_METHOD(sharing_fixture, "A peer that reports nothing gets no content again", "[feed][parts]")
{
    m_rpc.run([&] { m_state.isReporting = false; });
    REQUIRE(shareUntil([&] { return isEqual(); }));
    m_rpc.run([&] { m_peerFeed->applyPeerParts(m_settings.control->address, { { store } }, 0); });
    CHECK_FALSE(shareUntil([&] { return isEqual(); }, milliseconds(2'000)));
    m_rpc.run([&] { CHECK(wholes() == 1); });
}
