#include "plumfold_dispatch_thread.hpp"

#include "plumfold/runtime/plumfold_clock.hpp"
#include "plumfold/runtime/plumfold_log.hpp"

namespace plumfold::entry {

namespace {

constexpr std::size_t ringCapacity = 16384;
constexpr core::milliseconds tickInterval { 10 };
constexpr core::milliseconds publishInterval { 100 };
constexpr core::milliseconds fullRingPause { 1 };

} // namespace

void dispatch_ticket::set(dispatch_result result)
{
    {
        std::lock_guard lock(m_mutex);
        m_result = std::move(result);
    }
    m_changed.notify_one();
}

std::optional<dispatch_result> dispatch_ticket::wait(core::milliseconds timeout)
{
    std::unique_lock lock(m_mutex);
    m_changed.wait_for(lock, timeout, [this] { return m_result.has_value(); });
    return std::exchange(m_result, std::nullopt);
}

dispatch_thread::dispatch_thread(
    core::dispatch_options options, dispatch_outputs outputs, runtime::metrics& metrics)
    : m_dispatcher(std::move(options))
    , m_outputs(std::move(outputs))
    , m_metrics(metrics)
    , m_ring(ringCapacity)
{
    m_snapshot.config = std::make_shared<const core::configuration>();
}

dispatch_thread::~dispatch_thread()
{
    stop();
}

void dispatch_thread::start()
{
    m_thread = std::thread([this] { run(); });
}

void dispatch_thread::stop()
{
    m_stopping = true;
    m_ring.close();
    if (m_thread.joinable())
        m_thread.join();
}

void dispatch_thread::post(dispatch_event event)
{
    // If the event of a finished request were dropped, its permit would be held until the lease expires.
    while (!m_stopping && !m_ring.tryPush(event))
        std::this_thread::sleep_for(fullRingPause);
}

dispatch_snapshot dispatch_thread::snapshot() const
{
    std::lock_guard lock(m_snapshotMutex);
    return m_snapshot;
}

void dispatch_thread::run()
{
    auto nextTick = runtime::now();
    auto nextPublish = runtime::now();
    while (!m_stopping) {
        auto event = m_ring.pop(std::max(nextTick - runtime::now(), std::chrono::steady_clock::duration(0)));
        if (event)
            perform(std::visit([&](auto& each) { return handle(each); }, *event));
        auto now = runtime::now();
        if (now >= nextTick) {
            nextTick = now + tickInterval;
            perform(m_dispatcher.tick(now));
        }
        if (now >= nextPublish) {
            nextPublish = now + publishInterval;
            publish(false);
        }
    }
}

void dispatch_thread::publish(bool configurationChanged)
{
    std::shared_ptr<const core::configuration> config;
    if (configurationChanged)
        config = std::make_shared<const core::configuration>(m_dispatcher.view().config());
    auto now = runtime::now();
    std::lock_guard lock(m_snapshotMutex);
    if (config)
        m_snapshot.config = std::move(config);
    m_snapshot.configurationKnown = m_dispatcher.view().isKnown();
    m_snapshot.digest = m_snapshot.config->digest();
    m_snapshot.waiting = m_dispatcher.waiting();
    m_snapshot.running = m_dispatcher.running();
    m_snapshot.targets = m_dispatcher.targets().all().size();
    m_snapshot.viewAge = m_dispatcher.view().age(now);
    m_snapshot.ownTargets.clear();
    for (const auto& [name, target] : m_dispatcher.targets().all()) {
        if (target.report.failureDomain == m_dispatcher.failureDomain())
            m_snapshot.ownTargets.push_back(target.report);
    }
    m_snapshot.suspects = m_dispatcher.suspects().list();
    m_snapshot.backgroundTransferAllowed = m_dispatcher.allowsBackgroundTransfer(now);
}

// ---------------------------------------------------------------- events

core::dispatcher::actions dispatch_thread::handle(leaving_event&)
{
    m_dispatcher.setLeaving();
    return {};
}

core::dispatcher::actions dispatch_thread::handle(submit_event& event)
{
    m_tickets[event.spec.number] = std::move(event.ticket);
    return m_dispatcher.submit(event.spec, runtime::now());
}

core::dispatcher::actions dispatch_thread::handle(finished_event& event)
{
    return m_dispatcher.onFinished(event.request, event.report, runtime::now());
}

core::dispatcher::actions dispatch_thread::handle(retry_event& event)
{
    m_metrics.count("plumfold_retries_total");
    m_tickets[event.spec.number] = std::move(event.ticket);
    return m_dispatcher.retry(event.spec, event.report, runtime::now());
}

core::dispatcher::actions dispatch_thread::handle(cancel_event& event)
{
    m_tickets.erase(event.request);
    auto actions = m_dispatcher.cancel(event.request, runtime::now());
    // If the request was just started, nobody has read its result, so nothing was sent to the target.
    core::attempt_report unused;
    unused.outcome = core::attempt_outcome::cancelled;
    for (auto& each : m_dispatcher.onFinished(event.request, unused, runtime::now()))
        actions.push_back(std::move(each));
    return actions;
}

core::dispatcher::actions dispatch_thread::handle(report_event& event)
{
    return m_dispatcher.onReport(event.report, event.sentAt, runtime::now());
}

core::dispatcher::actions dispatch_thread::handle(cache_event& event)
{
    m_dispatcher.onCacheEvents(event.events);
    return {};
}

core::dispatcher::actions dispatch_thread::handle(configuration_event& event)
{
    bool fits = true;
    std::uint64_t before = m_dispatcher.view().config().revision();
    bool knownBefore = m_dispatcher.view().isKnown();
    auto actions = m_dispatcher.onConfiguration(event.update, fits, runtime::now());
    if (!fits) {
        m_outputs.refetchConfiguration();
        return actions;
    }
    if (event.confirmed)
        m_dispatcher.onConfigurationConfirmed(runtime::now());
    std::uint64_t after = m_dispatcher.view().config().revision();
    if (after != before || !knownBefore) {
        publish(true);
        runtime::log_event("configuration_in_force").with("revision", after);
    }
    return actions;
}

core::dispatcher::actions dispatch_thread::handle(verdicts_event& event)
{
    std::set<std::uint64_t> present;
    for (const auto& each : event.verdicts) {
        present.insert(each.fingerprint);
        m_dispatcher.onSuspect({ each.fingerprint, each.crashes }, runtime::now());
    }
    for (std::uint64_t fingerprint : m_knownVerdicts) {
        if (!present.contains(fingerprint))
            m_dispatcher.onVerdictWithdrawn(fingerprint);
    }
    m_knownVerdicts = std::move(present);
    return {};
}

core::dispatcher::actions dispatch_thread::handle(peer_event& event)
{
    m_dispatcher.onPeerState(event.peer);
    for (const auto& each : event.suspects)
        m_dispatcher.onSuspect(each, runtime::now());
    return {};
}

core::dispatcher::actions dispatch_thread::handle(suspect_event& event)
{
    m_dispatcher.onSuspect(event.suspect, runtime::now());
    return {};
}

core::dispatcher::actions dispatch_thread::handle(permit_answer_event& event)
{
    if (!event.answer)
        return m_dispatcher.onOwnerUnreachable(event.request, runtime::now());
    return m_dispatcher.onPermitAnswer(event.request, event.owner, *event.answer, runtime::now());
}

core::dispatcher::actions dispatch_thread::handle(permit_request_event& event)
{
    event.respond(m_dispatcher.acquireForPeer(event.request, runtime::now()));
    return {};
}

core::dispatcher::actions dispatch_thread::handle(permit_released_event& event)
{
    return m_dispatcher.releaseForPeer(event.permit, event.measure, runtime::now());
}

core::dispatcher::actions dispatch_thread::handle(permits_renewed_event& event)
{
    m_dispatcher.renewForPeer(event.holder, event.permits, runtime::now());
    return {};
}

core::dispatcher::actions dispatch_thread::handle(transfer_event& event)
{
    m_dispatcher.onTransferReserved(event.bytes, runtime::now());
    return {};
}

// ---------------------------------------------------------------- actions

void dispatch_thread::perform(const core::dispatcher::actions& actions)
{
    for (const auto& action : actions)
        std::visit([&](const auto& each) { perform(each); }, action);
}

void dispatch_thread::perform(const core::start_action& action)
{
    deliverResult(action.request, action.plan);
}

void dispatch_thread::perform(const core::reject_action& action)
{
    m_metrics.count(
        std::string("plumfold_refusals_total{kind=\"") + core::errorKindName(action.error.kind) + "\"}");
    deliverResult(action.request, action.error);
}

void dispatch_thread::deliverResult(core::request_number request, dispatch_result result)
{
    auto found = m_tickets.find(request);
    if (found == m_tickets.end())
        return;
    found->second->set(std::move(result));
    m_tickets.erase(found);
}

} // namespace plumfold::entry
