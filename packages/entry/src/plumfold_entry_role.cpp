#include "plumfold/entry/plumfold_entry_role.hpp"

#include "plumfold_caller_api.hpp"
#include "plumfold_entry_context.hpp"
#include "plumfold_peer_mesh.hpp"
#include "plumfold_target_listener.hpp"
#include "plumfold_weight_load_thread.hpp"

#include "plumfold/entry/plumfold_http_target_adapter.hpp"
#include "plumfold/runtime/plumfold_clock.hpp"
#include "plumfold/runtime/plumfold_log.hpp"
#include "plumfold/runtime/plumfold_secrets.hpp"

#include <algorithm>
#include <thread>

namespace plumfold::entry {

namespace {

constexpr core::milliseconds drainCheckInterval { 20 };
constexpr core::milliseconds condemnTimeout { 60'000 };
/// Part of the grace period that is reserved for the exit of the process. The listener for callers accepts
/// nothing by then; the other one needs up to 350 ms to stop.
constexpr core::milliseconds exitMargin { 600 };
/// Part of the grace period before that in which the last responses are sent.
constexpr core::milliseconds lastResponseMargin { 300 };
/// The two margins take at most the grace period divided by this.
constexpr int marginDivisor = 2;

core::dispatch_options dispatchOptions(const runtime::settings& settings, std::uint64_t seed)
{
    core::dispatch_options options;
    options.entry = settings.process.name;
    options.failureDomain = settings.process.failureDomain;
    options.maxViewAge = core::milliseconds(settings.entry->viewBoundMs);
    options.targetExpiry = core::milliseconds(settings.entry->targetExpiryMs);
    options.maxQueueWait = core::milliseconds(settings.entry->maxQueueWaitMs);
    options.maxTimeToFirstToken = core::milliseconds(settings.entry->firstTokenBoundMs);
    options.linkBytesPerSecond = settings.entry->linkBytesPerSecond;
    options.seed = seed;
    return options;
}

control_client_options controlOptions(const runtime::settings& settings)
{
    return { settings.process.name, settings.process.failureDomain, settings.process.clusterSecret,
        settings.entry->control };
}

} // namespace

class entry_role::impl {
public:
    impl(const runtime::settings& settings, wire::rpc_thread& rpc)
        : m_settings(settings)
        , m_incarnation(runtime::randomNumber() | 1)
        , m_traces(m_settings.process.traceFile, m_settings.process.name)
        , m_dispatchThread(dispatchOptions(m_settings, m_incarnation), outputs(), m_metrics)
        , m_mesh(rpc, m_settings, m_incarnation, m_dispatchThread)
        , m_control(rpc, controlOptions(m_settings),
              [this](watch_update received) { onWatchUpdate(std::move(received)); })
        , m_stores(rpc, m_settings.entry->stores, m_settings.process.clusterSecret)
        , m_usage(m_control, m_settings.process.name, m_incarnation)
        , m_context { m_settings, m_incarnation, m_dispatchThread, m_mesh, m_targets, m_control, m_stores,
            m_usage, m_metrics, m_traces }
        , m_targetListener(
              std::make_unique<target_listener>(m_settings.entry->targetAddress, m_dispatchThread, m_mesh))
        , m_callers(std::make_unique<caller_api>(m_context))
    {
        m_dispatchThread.start();
        m_weightLoadThread = std::make_unique<weight_load_thread>(m_context);
    }

    // Stops the users of the dispatch thread first, then the thread itself. The members that it uses are
    // destroyed last.
    ~impl()
    {
        m_context.aborting = true;
        m_weightLoadThread.reset();
        m_callers.reset();
        m_targetListener.reset();
        m_dispatchThread.stop();
    }

    void drain()
    {
        m_context.stopping = true;
        m_dispatchThread.post(leaving_event {});
        m_mesh.setLeaving();
        auto grace = core::milliseconds(m_settings.process.gracePeriodMs);
        auto margin = std::min(exitMargin + lastResponseMargin, grace / marginDivisor);
        auto stopAt = runtime::now() + grace - margin;
        waitForRequests(stopAt);
        m_context.aborting = true;
        m_targets.endCalls();
        m_context.receivingCallers.shutdown();
        m_callers->stopAccepting();
        waitForRequests(
            stopAt + margin * lastResponseMargin.count() / (exitMargin + lastResponseMargin).count());
        runtime::log_event("entry_drained").with("open_requests", m_context.openRequests.load());
    }

private:
    void waitForRequests(core::instant until) const
    {
        while (m_context.openRequests > 0 && runtime::now() < until)
            std::this_thread::sleep_for(drainCheckInterval);
    }

    dispatch_outputs outputs()
    {
        dispatch_outputs out;
        out.requestPermit
            = [this](const core::acquire_permit_action& action) { m_mesh.requestPermit(action); };
        out.release = [this](const core::release_permit_action& action) { m_mesh.release(action); };
        out.renew = [this](const core::renew_permits_action& action) { m_mesh.renew(action); };
        out.condemn = [this](const core::condemn_action& action) {
            runtime::log_event("request_condemned", runtime::log_level::warning)
                .with("fingerprint", action.fingerprint)
                .with("crashes", action.crashes);
            core::verdict_command verdict { action.fingerprint, action.crashes, false };
            m_control.submitAsync(core::command { 0, verdict }, condemnTimeout);
        };
        out.refetchConfiguration = [this] { m_control.refetch(); };
        return out;
    }

    void onWatchUpdate(watch_update received)
    {
        m_dispatchThread.tryPost(configuration_event { std::move(received.update), received.isCaughtUp });
        m_dispatchThread.tryPost(verdicts_event { std::move(received.verdicts) });
    }

    runtime::settings m_settings;
    std::uint64_t m_incarnation;
    runtime::metrics m_metrics;
    runtime::trace_writer m_traces;
    dispatch_thread m_dispatchThread;
    peer_mesh m_mesh;
    control_client m_control;
    store_client m_stores;
    usage_reporter m_usage;
    http_target_adapter m_targets;
    std::unique_ptr<weight_load_thread> m_weightLoadThread;
    entry_context m_context;
    std::unique_ptr<target_listener> m_targetListener;
    std::unique_ptr<caller_api> m_callers;
};

entry_role::entry_role(const runtime::settings& settings, wire::rpc_thread& rpc)
    : m_impl(std::make_unique<impl>(settings, rpc))
{
}

entry_role::~entry_role() = default;

void entry_role::drain()
{
    m_impl->drain();
}

} // namespace plumfold::entry
