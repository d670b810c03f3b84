#include "plumfold/forwarding/plumfold_forwarding_role.hpp"

#include "plumfold_caller_connection.hpp"
#include "plumfold_deployment_follower.hpp"
#include "plumfold_forwarding_state.hpp"
#include "plumfold_request_forwarder.hpp"
#include "plumfold_status_listener.hpp"

#include "plumfold/platform/plumfold_platform_deployment.hpp"
#include "plumfold/runtime/plumfold_clock.hpp"
#include "plumfold/runtime/plumfold_log.hpp"

#include <optional>
#include <thread>

namespace plumfold::forwarding {

namespace {

constexpr core::milliseconds housekeepingInterval { 500 };
constexpr core::milliseconds linkCheckInterval { 100 };
constexpr core::milliseconds partsExpiryTime { 10'000 };
constexpr core::milliseconds drainCheckInterval { 20 };
/// The load balancer probes readiness every second and removes this entry after two failures.
constexpr core::milliseconds balancerDetectionTime { 3'000 };
/// Requests are accepted in the grace period divided by this at most, so that they can end within it.
constexpr int acceptanceDivisor = 2;
/// Part of the grace period that is reserved for the exit of the process.
constexpr core::milliseconds exitMargin { 500 };
/// Part of the grace period before that in which the last responses are sent.
constexpr core::milliseconds lastResponseMargin { 200 };
constexpr int percent = 100;
/// Share of the time limit for stale weights in which requests are still dispatched to targets that have
/// them. The rest covers the time that a request waits on the target before it starts.
constexpr std::uint64_t staleWeightsPercent = 60;

core::target_selector_options targetSelectorOptions(const runtime::settings& settings)
{
    core::target_selector_options options;
    options.failureDomain = settings.process.failureDomain;
    options.entryName = settings.process.name;
    options.staleWeightsGracePeriod
        = core::milliseconds(settings.forwarding->weightsBoundMs * staleWeightsPercent / percent);
    options.staleWeightsBound = core::milliseconds(settings.forwarding->weightsBoundMs);
    options.holdsNewVersions = settings.forwarding->rollouts;
    return options;
}

core::windowed_retry_budget retryBudget(const runtime::forwarding_settings& settings)
{
    return { settings.retryRatio, core::milliseconds(settings.retryWindowMs) };
}

} // namespace

namespace {

/// An I/O context whose pending operations, and with them the coroutines that wait for them, can be destroyed
/// before the objects that these refer to.
class closable_io_context : public asio::io_context {
public:
    using asio::io_context::io_context;
    /// Destroys all pending operations. None may be running.
    void close() { shutdown(); }
};

} // namespace

class forwarding_role::impl {
public:
    impl(const runtime::settings& settings, wire::rpc_thread& rpc)
        : m_settings(settings)
        , m_sharedLimits(m_io, rpc, m_settings)
        , m_rpc(rpc)
        , m_controlSessions(m_rpc.run([&] { return std::make_unique<control_sessions>(rpc, m_settings); }))
        , m_streamOrigins(m_io, rpc, *m_controlSessions, m_settings)
        , m_crashReports(rpc, *m_controlSessions)
        , m_rateLimits(m_io, rpc, *m_controlSessions)
        , m_places(m_io, rpc, *m_controlSessions)
        , m_state { m_io, m_settings, m_metrics, m_sharedLimits, m_streamOrigins, m_crashReports,
            m_rateLimits, m_places,
            [this](const core::target_demand& demand) { m_follower.reportDemand(demand); },
            [this](
                std::vector<core::rollout_report> reports) { m_follower.reportRollouts(std::move(reports)); },
            nullptr, 0, core::target_selector(targetSelectorOptions(m_settings)),
            retryBudget(*m_settings.forwarding), target_connection_pool(m_io),
            core::buffer_budget(m_settings.forwarding->responseBufferBytes),
            core::buffer_budget(m_settings.forwarding->requestBufferBytes, 0) }
        , m_acceptor(m_io, endpointOf(m_settings.forwarding->callerAddress))
        , m_status(*m_settings.forwarding, m_metrics)
        , m_follower(
              rpc, m_settings,
              [this](control_update update) {
                  asio::post(m_io, [this, update = std::move(update)] { applyUpdate(update); });
              },
              [this](core::deployment_state next) {
                  asio::post(m_io, [this, next = std::move(next)] { applyDeployment(next, runtime::now()); });
              },
              [this](core::instant askedAt) {
                  asio::post(m_io, [this, askedAt] { m_state.rollouts.onConfirmed(askedAt); });
              })
    {
        if (m_settings.forwarding->adaptivePlacement)
            m_state.targetSelector.enableSpeedModel();
        asio::co_spawn(m_io, accept(m_acceptor, false), asio::detached);
        if (!m_settings.forwarding->relayAddress.empty()) {
            m_relayAcceptor.emplace(m_io, endpointOf(m_settings.forwarding->relayAddress));
            asio::co_spawn(m_io, accept(*m_relayAcceptor, true), asio::detached);
        }
        asio::co_spawn(m_io, watchLink(), asio::detached);
        asio::co_spawn(m_io, runHousekeeping(), asio::detached);
        m_thread = std::thread([this] { m_io.run(); });
    }

    ~impl()
    {
        m_io.stop();
        if (m_thread.joinable())
            m_thread.join();
        m_streamOrigins.stop();
        m_crashReports.stop();
        m_rateLimits.stop();
        m_places.stop();
        m_rpc.run([this] { m_controlSessions.reset(); });
        m_io.close();
    }

    void drain()
    {
        m_status.setReady(false);
        auto drainStart = runtime::now();
        auto grace = core::milliseconds(m_settings.process.gracePeriodMs);
        auto drainDeadline = drainStart + std::max(grace - exitMargin, core::milliseconds(0));
        asio::post(m_io, [this, stopAt = drainDeadline - lastResponseMargin] { stopRequests(stopAt); });
        std::this_thread::sleep_until(
            drainStart + std::min(balancerDetectionTime, grace / acceptanceDivisor));
        asio::post(m_io, [this] { stopAcceptingCallers(); });
        std::size_t open = openRequests();
        while (runtime::now() < drainDeadline && open > 0) {
            std::this_thread::sleep_for(drainCheckInterval);
            open = openRequests();
        }
        runtime::log_event("forwarding_drained").with("open_requests", open);
    }

    void setControlSeeds(std::vector<std::string> addresses) { m_follower.setSeeds(std::move(addresses)); }

private:
    /// Limits the time of open and later requests.
    void stopRequests(core::instant stopAt)
    {
        m_state.stopping = true;
        m_state.stopAt = stopAt;
        for (auto* request : m_state.openRequests)
            request->stopBy(stopAt);
    }

    /// Closes the acceptor and idle connections: a request that arrived later might not complete within the
    /// grace period. Those that the callers have begun to send are refused.
    void stopAcceptingCallers()
    {
        m_state.refusesRequests = true;
        closeAcceptor(m_acceptor, false);
        if (m_relayAcceptor)
            closeAcceptor(*m_relayAcceptor, true);
        for (auto* caller : m_state.callerConnections)
            caller->closeIfIdle();
    }

    /// Accepts the connections that wait, which the close would reset.
    void closeAcceptor(asio::ip::tcp::acceptor& acceptor, bool isRelay)
    {
        error_code error;
        acceptor.non_blocking(true, error);
        while (!error) {
            asio::ip::tcp::socket socket(m_io);
            acceptor.accept(socket, error);
            if (!error)
                serve(std::move(socket), isRelay);
        }
        if (error != asio::error::would_block)
            runtime::log_event("accept_failed", runtime::log_level::warning).with("reason", error.message());
        acceptor.close(error);
    }

    void serve(asio::ip::tcp::socket socket, bool isRelay)
    {
        auto connection = std::make_shared<caller_connection>(m_state, std::move(socket), isRelay);
        asio::co_spawn(
            m_io, [connection] { return connection->run(); }, asio::detached);
    }

    std::size_t openRequests()
    {
        return asio::post(m_io, asio::use_future([this] {
            const auto& callers = m_state.callerConnections;
            return static_cast<std::size_t>(std::count_if(
                callers.begin(), callers.end(), [](const auto* each) { return each->isServing(); }));
        })).get();
    }

    void applyUpdate(const control_update& update)
    {
        auto now = runtime::now();
        m_state.targetSelector.applyAnnouncements(update.targets, update.isSnapshot, now);
        m_state.rollouts.logVersions();
        m_state.targetSelector.applyLoads(update.loads, now);
        m_state.targetSelector.setEntryCount(update.entries, now);
        if (m_settings.forwarding->adaptivePlacement)
            applyPlacementCounts(update.entries, now);
        m_sharedLimits.setIssuer(update.sharedLimitIssuer);
        setControl(update.control);
        applyVerdicts(update, now);
        applyParts(update.parts, now);
        m_state.targetClockMs = update.targetClockMs;
        m_state.targetClockReadAt = now;
        for (const auto& each : m_state.targetSelector.applyWeightNamings(update.weightNamings, now))
            runtime::log_event("weights_named")
                .with("model", each.subject)
                .with("version", each.number)
                .with("age_ms", each.age.count());
        m_state.targetSelector.applyReturnAges(update.returns, now);
        applyDemands(update, now);
        m_state.link.setTargetCount(m_state.targetSelector.readyTargets());
        if (update.helpers) {
            m_state.helpers.setHelpers(*update.helpers);
            runtime::log_event("helpers_known").with("count", update.helpers->size());
        }
        m_metrics.set("plumfold_known_targets", static_cast<double>(m_state.targetSelector.size()));
    }

    void applyParts(const std::vector<core::part_update>& updates, core::instant now)
    {
        std::vector<std::string> unknown;
        for (const auto& update : updates) {
            if (m_state.parts.apply(update, now) == core::part_outcome::unknown)
                unknown.push_back(update.holder);
        }
        if (!unknown.empty())
            m_follower.requestWhole(std::move(unknown));
    }

    void applyVerdicts(const control_update& update, core::instant now)
    {
        for (const auto& verdict : m_state.crashScreen.applyVerdicts(update.verdicts, now))
            runtime::log_event("verdict_in_force")
                .with("verdict", verdict.id)
                .with("traits", verdict.traits.size())
                .with("crashes", verdict.crashes)
                .with("keep_for_ms", verdict.keepFor.count());
        if (update.suspects)
            m_state.crashScreen.setSuspects(*update.suspects);
        m_state.reportSuccesses(now);
        m_metrics.set("plumfold_condemned_requests", static_cast<double>(m_state.crashScreen.verdicts()));
    }

    void applyDemands(const control_update& update, core::instant now)
    {
        for (const auto& each : m_state.targetSelector.applyDemands(update.demands, now))
            m_state.logDemand(each, "control");
        if (!update.limitIssuers.empty()) {
            m_rateLimits.setIssuers(update.limitIssuers);
            m_places.setIssuers(update.limitIssuers);
        }
        m_metrics.set(
            "plumfold_rate_limited_targets", static_cast<double>(m_state.targetSelector.limitedTargets()));
    }

    void applyPlacementCounts(std::uint32_t entries, core::instant now)
    {
        m_state.partPlanner.fetches().setEntryCount(entries, now);
        if (!m_state.deployment)
            return;
        for (const auto& service : m_state.deployment->services()) {
            if (service.engine)
                m_state.engineCounts[service.name] = m_state.targetSelector.targetsOf(service.name);
        }
    }

    /// Logs each figure once, however often the deployment changes.
    void logUnusableLinks()
    {
        for (const auto& reason : core::unusableLinks(m_state.deployment->services())) {
            if (m_unusableLinks.insert(reason).second)
                runtime::log_event("kv_link_unusable", runtime::log_level::warning).with("reason", reason);
        }
    }

    void setControl(const std::map<std::string, std::string>& domains)
    {
        if (domains == m_control)
            return;
        m_control = domains;
        m_rpc.post([this, domains] { m_controlSessions->setControl(domains); });
    }

    void applyDeployment(const core::deployment_state& next, core::instant now)
    {
        m_state.targetSelector.setOutOfService(next.outOfService);
        m_state.targetSelector.setReturns(next.returns, now);
        m_state.targetSelector.setWeights(next.weights, now);
        m_state.rollouts.apply(next.rollouts);
        m_state.deploymentRevision = next.revision;
        bool isServiceChanged = next.outOfService != m_outOfService;
        m_outOfService = next.outOfService;
        auto previousVersion = m_state.deployment ? m_state.deployment->version() : 0;
        if (next.document.version > previousVersion) {
            auto decoded = platform::decodeDeployment(next.document.text);
            if (!decoded.ok()) {
                runtime::log_event("deployment_unreadable", runtime::log_level::error)
                    .with("version", next.document.version)
                    .with("reason", std::string(decoded.status().message()));
                return;
            }
            // A former version may have accepted what is refused now.
            if (auto status = decoded->check(); !status.ok()) {
                runtime::log_event("deployment_invalid", runtime::log_level::warning)
                    .with("version", next.document.version)
                    .with("reason", std::string(status.message()));
            }
            m_state.deployment = std::make_shared<const core::deployment>(std::move(*decoded));
            m_state.targetSelector.setServices(m_state.deployment->services());
            m_state.partPlanner.setStores(m_state.deployment->services());
            if (m_settings.forwarding->adaptivePlacement)
                logUnusableLinks();
        }
        if (isServiceChanged || next.document.version > previousVersion) {
            for (auto* request : m_state.openRequests)
                request->onDeploymentChanged();
        }
        runtime::log_event("deployment_in_force")
            .with("revision", next.revision)
            .with("version", next.document.version)
            .with("before", previousVersion)
            .with("requires_customers",
                m_state.deployment && !m_state.deployment->hasCustomers() ? "false" : "true")
            .with("out_of_service", next.outOfService.size());
        m_metrics.set("plumfold_deployment_version", static_cast<double>(next.document.version));
        m_status.setReady(m_state.deployment != nullptr && !m_state.stopping);
    }

    task<void> accept(asio::ip::tcp::acceptor& acceptor, bool isRelay)
    {
        while (true) {
            error_code error;
            asio::ip::tcp::socket socket(m_io);
            co_await acceptor.async_accept(socket, into(error));
            if (error == asio::error::operation_aborted || error == asio::error::bad_descriptor)
                co_return;
            if (error) {
                runtime::log_event("accept_failed", runtime::log_level::warning)
                    .with("reason", error.message());
                co_await pause(drainCheckInterval);
                continue;
            }
            serve(std::move(socket), isRelay);
        }
    }

    task<void> watchLink()
    {
        while (true) {
            co_await pause(linkCheckInterval);
            m_state.checkLink(runtime::now());
            m_state.rollouts.reportIfDue();
            m_state.places.update(runtime::now());
        }
    }

    task<void> runHousekeeping()
    {
        while (true) {
            co_await pause(housekeepingInterval);
            m_state.connections.closeExpired();
            m_state.crashes.expire(runtime::now());
            m_state.parts.expire(runtime::now(), partsExpiryTime);
        }
    }

    task<void> pause(core::milliseconds time)
    {
        error_code ignored;
        asio::steady_timer timer(m_io, time);
        co_await timer.async_wait(into(ignored));
    }

    runtime::settings m_settings;
    closable_io_context m_io { 1 };
    runtime::metrics m_metrics;
    shared_limit_client m_sharedLimits;
    wire::rpc_thread& m_rpc;
    std::set<std::string> m_unusableLinks; // logged already
    std::set<std::string> m_outOfService; // failure domains, as last applied
    std::map<std::string, std::string> m_control; // failure domains of control VMs in service, as last set
    std::unique_ptr<control_sessions> m_controlSessions; // used and destroyed on the RPC thread
    stream_origin_client m_streamOrigins;
    crash_report_client m_crashReports;
    rate_limit_client m_rateLimits;
    place_client m_places;
    forwarding_state m_state;
    asio::ip::tcp::acceptor m_acceptor;
    std::optional<asio::ip::tcp::acceptor> m_relayAcceptor; // for requests of other entries
    status_listener m_status;
    std::thread m_thread;
    deployment_follower m_follower;
};

forwarding_role::forwarding_role(const runtime::settings& settings, wire::rpc_thread& rpc)
    : m_impl(std::make_unique<impl>(settings, rpc))
{
}

forwarding_role::~forwarding_role() = default;

void forwarding_role::drain()
{
    m_impl->drain();
}

void forwarding_role::setControlSeeds(std::vector<std::string> addresses)
{
    m_impl->setControlSeeds(std::move(addresses));
}

} // namespace plumfold::forwarding
