#include "plumfold/control/plumfold_control_role.hpp"

#include "plumfold_control_service.hpp"
#include "plumfold_crash_judge.hpp"
#include "plumfold_load_poller.hpp"
#include "plumfold_part_pollers.hpp"
#include "plumfold_peer_links.hpp"
#include "plumfold_place_issuer.hpp"
#include "plumfold_platform_api_server.hpp"
#include "plumfold_rollout_controller.hpp"
#include "plumfold_shared_limit_issuer.hpp"
#include "plumfold_weight_rollout_thread.hpp"

#include "plumfold/runtime/plumfold_clock.hpp"
#include "plumfold/runtime/plumfold_secrets.hpp"
#include "plumfold/wire/plumfold_rpc_connection.hpp"

#include <algorithm>
#include <future>

namespace plumfold::control {

namespace {

constexpr int minElectionTimeoutsOfLoss = 4;
/// A planned stop waits this long for the group: as long as an election takes.
constexpr int electionTimeoutsOfLeave = 3;
constexpr core::milliseconds leaveMargin { 100 }; // for the control thread to answer
constexpr auto feedInterval = 40 * kj::MILLISECONDS;
constexpr auto rolloutDecisionTimeout = 900 * kj::MILLISECONDS;

/// Passes the outcome of a planned stop to the thread that stops the process.
class leave_completion final : public completion<core::removal_state> {
public:
    explicit leave_completion(std::promise<core::removal_state> outcome)
        : m_outcome(std::move(outcome))
    {
    }

    void done(core::removal_state state) override { m_outcome.set_value(state); }

private:
    std::promise<core::removal_state> m_outcome;
};

} // namespace

class control_role::impl {
public:
    impl(const runtime::settings& settings, wire::rpc_thread& rpc, std::unique_ptr<durable_log> log,
        std::function<void(const std::string&)> onDiskFailure)
        : m_settings(settings)
        , m_rpc(rpc)
    {
        m_rpc.run([&] {
            m_links = std::make_unique<peer_links>(rpc, m_settings);
            m_feed = std::make_unique<deployment_feed>(rpc, m_settings);
            m_tasks = std::make_unique<wire::task_group>();
        });
        control_node_options options;
        // Initial members know each other by address only, so the address is the Raft node name.
        bool hasSeeds = !m_settings.control->seeds.empty();
        options.name = hasSeeds ? m_settings.control->address : m_settings.process.name;
        options.address = m_settings.control->address;
        options.failureDomain = m_settings.process.failureDomain;
        options.isInitialMember = m_settings.control->firstStart;
        options.electionTimeout = core::milliseconds(m_settings.control->electionTimeoutMs);
        // A member that only waits for a new leader is not lost.
        options.exchangeTimeout = minElectionTimeoutsOfLoss * options.electionTimeout;
        options.memberTimeout
            = std::max(core::milliseconds(m_settings.control->memberTimeoutMs), options.exchangeTimeout);
        options.snapshotEveryEntries = m_settings.control->snapshotEveryEntries;
        options.seed = runtime::randomNumber();
        auto send = [this](std::vector<core::raft_message> messages) {
            m_rpc.post([this, messages = std::move(messages)] {
                for (const auto& message : messages)
                    m_links->send(message);
            });
        };
        auto onViewChanged = [this](control_view view) {
            m_rpc.post([this, view = std::move(view)] {
                m_links->setMembers(view.members);
                m_feed->update(view);
                if (m_crashes)
                    m_crashes->followLog();
            });
        };
        m_node = std::make_unique<control_node>(
            std::move(options), std::move(log), send, onViewChanged, std::move(onDiskFailure));
        m_rpc.run([&] {
            m_leader = std::make_unique<leader_client>(m_rpc, m_settings, *m_node, *m_feed);
            m_sharedLimits = std::make_unique<shared_limit_issuer>(m_settings, *m_feed, *m_leader);
            m_places = std::make_unique<place_issuer>(m_rpc.timer(), m_sharedLimits->failureDomains(),
                [this](const std::string& domain) { return m_sharedLimits->holdsLease(domain); });
            m_crashes = std::make_unique<crash_judge>(*m_feed, *m_leader);
            m_departures = std::make_unique<departure_recorder>(*m_feed, *m_leader);
            m_versions = std::make_unique<software_versions>(*m_feed, *m_leader);
            bool servesPlatform = !m_settings.control->platformAddress.empty();
            m_streams = std::make_unique<stream_origins>(
                *m_versions, servesPlatform ? m_settings.process.dataFolder : std::string());
            m_rollouts
                = std::make_unique<rollout_controller>(m_settings, *m_feed, [this](core::command command) {
                      return m_leader->submit(std::move(command), rolloutDecisionTimeout);
                  });
            m_context = std::make_unique<service_context>(
                service_context { m_settings, *m_node, m_rpc, *m_feed, *m_leader, *m_sharedLimits, *m_places,
                    *m_crashes, *m_versions, *m_rollouts, *m_streams, {} });
            m_listener = std::make_unique<wire::rpc_listener>(
                m_rpc, runtime::listenAddress(*m_settings.control), makeControlService(*m_context));
            m_tasks->add(feedLoop());
        });
        if (m_settings.control->platformAddress.empty())
            return;
        m_apiServer = std::make_unique<platform_api_server>(
            platform_api_context { m_rpc, m_settings, *m_feed, *m_leader, *m_departures, *m_versions });
        m_weights = std::make_unique<weight_rollout_thread>(m_rpc, m_settings, *m_feed, *m_leader);
        m_parts = std::make_unique<part_pollers>(m_rpc, *m_feed);
        m_loads = std::make_unique<load_poller>(m_rpc, *m_feed);
    }

    ~impl()
    {
        // Stop accepting calls first, then the control thread, then close the connections it sends through.
        m_apiServer.reset();
        m_weights.reset();
        m_parts.reset();
        m_loads.reset();
        m_rpc.run([&] { m_listener.reset(); });
        m_node.reset();
        m_rpc.flush();
        m_rpc.run([&] {
            m_tasks.reset();
            m_rollouts.reset();
            m_streams.reset();
            m_versions.reset();
            m_departures.reset();
            m_crashes.reset();
            m_places.reset();
            m_sharedLimits.reset();
            m_leader.reset();
            m_links.reset();
            m_feed.reset();
        });
    }

    void beginLeaving()
    {
        std::promise<core::removal_state> outcome;
        m_left = outcome.get_future();
        auto time = electionTimeoutsOfLeave * core::milliseconds(m_settings.control->electionTimeoutMs);
        m_leaveDeadline = runtime::now() + time;
        m_node->post(leave_event { m_leaveDeadline, std::make_unique<leave_completion>(std::move(outcome)) });
    }

    void waitUntilLeft()
    {
        if (m_left.valid())
            m_left.wait_until(m_leaveDeadline + leaveMargin);
    }

private:
    kj::Promise<void> feedLoop()
    {
        m_feed->tick();
        m_crashes->tick();
        m_rollouts->tick();
        m_links->share(*m_feed, *m_crashes, *m_rollouts);
        if (!m_settings.control->platformAddress.empty()) {
            m_sharedLimits->tick();
            m_places->followLeases();
            m_versions->tick();
        }
        return m_rpc.timer().afterDelay(feedInterval).then([this] { return feedLoop(); });
    }

    runtime::settings m_settings;
    wire::rpc_thread& m_rpc;
    std::unique_ptr<peer_links> m_links;
    std::unique_ptr<control_node> m_node;
    std::unique_ptr<deployment_feed> m_feed;
    std::unique_ptr<leader_client> m_leader;
    std::unique_ptr<shared_limit_issuer> m_sharedLimits;
    std::unique_ptr<place_issuer> m_places;
    std::unique_ptr<crash_judge> m_crashes;
    std::unique_ptr<departure_recorder> m_departures;
    std::unique_ptr<software_versions> m_versions;
    std::unique_ptr<stream_origins> m_streams;
    std::unique_ptr<rollout_controller> m_rollouts;
    std::unique_ptr<wire::task_group> m_tasks;
    std::unique_ptr<service_context> m_context;
    std::unique_ptr<wire::rpc_listener> m_listener;
    std::unique_ptr<platform_api_server> m_apiServer;
    std::unique_ptr<weight_rollout_thread> m_weights;
    std::unique_ptr<part_pollers> m_parts;
    std::unique_ptr<load_poller> m_loads;
    std::future<core::removal_state> m_left; // of a planned stop
    core::instant m_leaveDeadline {};
};

absl::StatusOr<std::unique_ptr<control_role>> control_role::start(const runtime::settings& settings,
    wire::rpc_thread& rpc, std::function<void(const std::string&)> onDiskFailure)
{
    auto log = durable_log::open(settings.process.dataFolder, settings.control->maxDataBytes);
    if (!log.ok())
        return log.status();
    auto initialMembers = runtime::seedAddresses(*settings.control);
    bool isInitialMember = settings.control->firstStart
        && std::find(initialMembers.begin(), initialMembers.end(), settings.control->address)
            != initialMembers.end();
    if (isInitialMember) {
        if (auto status = (*log)->bootstrap(initialMembers); !status.ok())
            return status;
    }
    auto implementation = std::make_unique<impl>(settings, rpc, std::move(*log), std::move(onDiskFailure));
    return std::unique_ptr<control_role>(new control_role(std::move(implementation)));
}

control_role::control_role(std::unique_ptr<impl> implementation)
    : m_impl(std::move(implementation))
{
}

control_role::~control_role() = default;

void control_role::beginLeaving()
{
    m_impl->beginLeaving();
}

void control_role::waitUntilLeft()
{
    m_impl->waitUntilLeft();
}

} // namespace plumfold::control
