#pragma once

#include "plumfold/core/plumfold_configuration_view.hpp"
#include "plumfold/core/plumfold_dispatch_types.hpp"
#include "plumfold/core/plumfold_entry_membership.hpp"
#include "plumfold/core/plumfold_link_budget.hpp"
#include "plumfold/core/plumfold_prefix_index.hpp"
#include "plumfold/core/plumfold_retry_budget.hpp"
#include "plumfold/core/plumfold_router.hpp"
#include "plumfold/core/plumfold_speed_model.hpp"
#include "plumfold/core/plumfold_suspect_registry.hpp"
#include "plumfold/core/plumfold_target_table.hpp"
#include "plumfold/core/plumfold_wait_predictor.hpp"

#include <optional>

namespace plumfold::core {

/// Admits, queues, routes and retries the requests of one entry. Not thread-safe: one thread owns it. It does
/// no I/O; calls return the actions that the caller has to carry out.
class dispatcher {
public:
    explicit dispatcher(dispatch_options options);

    using actions = std::vector<dispatch_action>;

    /// Admits or rejects a new request. An admitted request stays known until it is rejected, cancelled or
    /// finished.
    /// @return start, reject and permit actions, also of other requests that can be dispatched now.
    actions submit(const request_spec& spec, instant now);

    /// Applies the answer of a target's permit owner to an acquire_permit_action. A permit granted after the
    /// request was cancelled is released.
    actions onPermitAnswer(
        request_number request, const std::string& owner, const permit_answer& answer, instant now);

    /// Requeues a request whose permit owner did not answer, and backs off from that target.
    actions onOwnerUnreachable(request_number request, instant now);

    /// Ends a running request: releases its permit and records the outcome.
    actions onFinished(request_number request, const attempt_report& report, instant now);

    /// Ends a failed attempt of a running request, then queues the request for another attempt or rejects it.
    /// @param next the remaining request, with the same number; its weight version is pinned once tokens were
    /// delivered.
    actions retry(const request_spec& next, const attempt_report& report, instant now);

    /// Removes a request whose caller disconnected before it started; has no effect on a running one.
    actions cancel(request_number request, instant now);

    /// Applies a target's report.
    /// @param sentAt when the target sent it; reports older than the known one are ignored.
    actions onReport(const target_report& report, instant sentAt, instant now);
    void onCacheEvents(const cache_events& events) { m_prefixes.apply(events); }

    /// Applies a configuration update.
    /// @param applied set to whether the update fits the known revision; if not, the caller must fetch the
    /// whole configuration.
    actions onConfiguration(const configuration_update& update, bool& applied, instant now);

    /// Notes that a quorum of control VMs confirmed the configuration.
    void onConfigurationConfirmed(instant now) { m_view.confirmed(now); }
    void onPeerState(const entry_peer_state& peer) { m_entries.onPeerUpdate(peer); }

    /// Merges a suspect that another entry or control reported.
    void onSuspect(const suspect_state& state, instant now) { m_suspects.merge(state, now); }
    void onVerdictWithdrawn(std::uint64_t fingerprint) { m_suspects.withdraw(fingerprint); }

    /// @param bytes reserved on this entry's link.
    void onTransferReserved(std::uint64_t bytes, instant now) { m_link.reserve(bytes, now); }
    bool allowsBackgroundTransfer(instant now) const { return m_link.allowsBackground(now); }

    /// Expires targets, entries, permits, suspects and overdue requests, renews permits and dispatches
    /// waiting requests. To be called periodically.
    actions tick(instant now);

    /// Stops this entry from owning targets, before it shuts down.
    void setLeaving() { m_entries.setLeaving(); }

    /// Grants or denies a permit to another entry; denied when this entry does not own the target.
    permit_answer acquireForPeer(const permit_request& request, instant now);
    actions releaseForPeer(permit_id permit, const attempt_measurement& measure, instant now);
    void renewForPeer(const std::string& holder, const std::vector<permit_id>& permits, instant now);

    const configuration_view& view() const { return m_view; }
    const std::string& failureDomain() const { return m_options.failureDomain; }
    const target_table& targets() const { return m_targets; }
    const suspect_registry& suspects() const { return m_suspects; }
    std::vector<std::string> liveEntries() const { return m_entries.peers(); }
    std::size_t waiting() const;
    std::size_t running() const { return m_running; }

private:
    enum class request_stage { waiting, awaiting_permit, running };
    struct pending_request {
        request_spec spec;
        request_stage stage = request_stage::waiting;
        dispatch_plan plan;
        std::string permitTarget; // target of the last permit request to another entry
        std::set<std::string> excluded; // targets of failed attempts
        bool retried = false; // an earlier attempt may have run
    };
    struct request_class { // requests for the same service, or for the same model, adapter and version
        fair_queue queue;
        wait_predictor predictor;
        instant lastEligibleAt {}; // when a target of this class was last eligible
    };

    static std::string classOf(const request_spec& spec);
    waiting_request toWaiting(const request_spec& spec) const;
    std::optional<error_info> admissionError(const request_spec& spec, instant now);
    void enqueue(const request_spec& spec, request_class& requestClass, instant now);
    void dispatchWaiting(instant now, actions& out);
    void dispatchClass(request_class& requestClass, instant now, actions& out);
    bool tryStart(
        pending_request& request, request_class& requestClass, instant now, actions& out, bool& anyEligible);
    void startWithPermit(pending_request& request, const permit_answer& answer, instant now, actions& out);
    void requeue(pending_request& request, instant now);
    void reject(request_number request, error_info error, actions& out);
    milliseconds expectedFirstTokenOf(const pending_request& request, const attempt_report& report) const;
    void release(const pending_request& request, const attempt_report& report, actions& out);
    void recordOutcome(
        const pending_request& request, const attempt_report& report, instant now, actions& out);
    void setRunning(pending_request& request, bool running);
    std::set<std::string> customersAtLimit() const;
    void rejectExpired(instant now, actions& out);
    void renewPermits(instant now, actions& out);

    dispatch_options m_options;
    configuration_view m_view;
    target_table m_targets;
    entry_membership m_entries;
    permit_ledger m_ledger;
    prefix_index m_prefixes;
    speed_model m_speeds;
    link_budget m_link;
    retry_budget m_retries;
    suspect_registry m_suspects;
    router m_router;
    std::map<std::string, request_class> m_classes;
    std::map<request_number, pending_request> m_requests;
    std::map<std::string, std::uint32_t> m_runningByCustomer;
    std::map<std::string, instant> m_permitBackOffUntil; // by target, after a denied permit
    std::size_t m_running = 0;
    instant m_nextRenewal {};
};

} // namespace plumfold::core
