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

/// Every decision of one entry about its requests: which waits, which starts, where, which is refused. One
/// duty thread owns it. Calls return what has to be done.
class dispatcher {
public:
    explicit dispatcher(dispatch_options options);

    using actions = std::vector<dispatch_action>;

    /// A request asks for a target. It ends up in exactly one start or refuse action, or in cancel().
    actions submit(const request_spec& spec, instant now);

    /// The owner of a target's permits has answered.
    actions permitAnswered(
        request_number request, const std::string& owner, const permit_answer& answer, instant now);

    /// The owner could not be asked.
    actions permitUnanswered(request_number request, instant now);

    /// A started request has ended; its permit goes back.
    actions finished(request_number request, const attempt_report& report, instant now);

    /// A started request's attempt has failed and the caller still waits. Either starts it again or refuses
    /// it.
    /// @param next the request as it goes on, with the same number; its version is pinned when tokens were
    /// delivered.
    actions retry(const request_spec& next, const attempt_report& report, instant now);

    /// The caller has left before the request started.
    actions cancel(request_number request, instant now);

    actions onReport(const target_report& report, instant sentAt, instant now);
    void onCacheEvents(const cache_events& events) { m_prefixes.apply(events); }
    actions onConfiguration(const configuration_update& update, bool& fits, instant now);
    void onConfirmed(instant now) { m_view.confirmed(now); }
    void onEntryHeard(const entry_peer_state& peer) { m_entries.onPeerUpdate(peer); }
    void onSuspect(const suspect_state& state, instant now) { m_suspects.learn(state, now); }
    void onVerdictWithdrawn(std::uint64_t fingerprint) { m_suspects.withdraw(fingerprint); }
    void onTransferReserved(std::uint64_t bytes, instant now) { m_link.reserve(bytes, now); }
    bool allowsBackgroundTransfer(instant now) const { return m_link.allowsBackground(now); }
    actions tick(instant now);
    void setLeaving() { m_entries.setLeaving(); }

    /// Another entry asks for a permit of a target that this entry owns.
    permit_answer acquireFor(const permit_request& request, instant now);
    actions releaseFor(permit_id permit, const attempt_measurement& measure, instant now);
    void renewFor(const std::string& holder, const std::vector<permit_id>& permits, instant now);

    const configuration_view& view() const { return m_view; }
    const std::string& failureDomain() const { return m_options.failureDomain; }
    const target_table& targets() const { return m_targets; }
    const suspect_registry& suspects() const { return m_suspects; }
    std::vector<std::string> liveEntries() const { return m_entries.peers(); }
    std::size_t waiting() const;
    std::size_t running() const { return m_running; }

private:
    enum class stage { waiting, asking, running };
    struct pending_request {
        request_spec spec;
        stage where = stage::waiting;
        dispatch_plan plan;
        std::string asked; // target whose owner is being asked
        std::set<std::string> excluded; // targets that failed this request
        bool retried = false;
    };
    struct work_class { // requests that compete for the same targets
        fair_queue queue;
        wait_predictor predictor;
        instant lastEligible {};
    };

    static std::string classOf(const request_spec& spec);
    waiting_request toWaiting(const request_spec& spec) const;
    std::optional<error_info> admissionError(const request_spec& spec, instant now);
    void enqueue(const request_spec& spec, work_class& group, instant now);
    void pump(instant now, actions& out);
    void pumpClass(work_class& group, instant now, actions& out);
    bool tryStart(pending_request& request, work_class& group, instant now, actions& out, bool& anyEligible);
    void startOn(pending_request& request, const permit_answer& answer, instant now, actions& out);
    void giveBack(pending_request& request, instant now);
    void refuse(request_number request, error_info error, actions& out);
    milliseconds expectedOf(const pending_request& request, const attempt_report& report) const;
    void release(const pending_request& request, const attempt_report& report, actions& out);
    void learnFrom(const pending_request& request, const attempt_report& report, instant now, actions& out);
    void setRunning(pending_request& request, bool running);
    std::set<std::string> customersAtLimit() const;
    void refuseOverdue(instant now, actions& out);
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
    std::map<std::string, work_class> m_classes;
    std::map<request_number, pending_request> m_requests;
    std::map<std::string, std::uint32_t> m_runningOf; // by customer
    std::map<std::string, instant> m_fullUntil; // by target, from refused permits
    std::size_t m_running = 0;
    instant m_nextRenewal {};
};

} // namespace plumfold::core
