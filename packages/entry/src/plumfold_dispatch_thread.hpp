#pragma once

#include "plumfold/core/plumfold_control_state.hpp"
#include "plumfold/core/plumfold_dispatcher.hpp"
#include "plumfold/runtime/plumfold_bounded_ring.hpp"
#include "plumfold/runtime/plumfold_metrics.hpp"

#include <condition_variable>
#include <functional>
#include <memory>
#include <mutex>
#include <optional>
#include <thread>
#include <variant>

namespace plumfold::entry {

/// The plan for a dispatched request, or the error of a rejected one.
using dispatch_result = std::variant<core::dispatch_plan, core::error_info>;

/// Passes a dispatch result from the dispatch thread to the thread that waits for it. Ownership is shared,
/// since either side may finish first.
class dispatch_ticket {
public:
    void set(dispatch_result result);
    /// @return the result; nothing if there was none within the timeout.
    std::optional<dispatch_result> wait(core::milliseconds timeout);

private:
    std::mutex m_mutex;
    std::condition_variable m_changed;
    std::optional<dispatch_result> m_result;
};

struct submit_event {
    core::request_spec spec;
    std::shared_ptr<dispatch_ticket> ticket;
};
struct finished_event {
    core::request_number request;
    core::attempt_report report;
};
struct retry_event {
    core::request_spec spec;
    core::attempt_report report;
    std::shared_ptr<dispatch_ticket> ticket;
};
struct cancel_event {
    core::request_number request;
};
struct report_event {
    core::target_report report;
    core::instant sentAt;
};
struct cache_event {
    core::cache_events events;
};
struct configuration_event {
    core::configuration_update update;
    bool confirmed; ///< Whether it came from a control VM that is connected to a quorum.
};
struct verdicts_event {
    std::vector<core::verdict> verdicts;
};
struct peer_event {
    core::entry_peer_state peer;
    std::vector<core::suspect_state> suspects;
};
struct suspect_event {
    core::suspect_state suspect;
};
struct permit_answer_event {
    core::request_number request;
    std::string owner;
    std::optional<core::permit_answer> answer; ///< Empty if the owner could not be reached.
};
struct permit_request_event {
    core::permit_request request;
    std::function<void(core::permit_answer)> respond; ///< Called on the dispatch thread.
};
struct permit_released_event {
    core::permit_id permit;
    core::attempt_measurement measure;
};
struct permits_renewed_event {
    std::string holder;
    std::vector<core::permit_id> permits;
};
struct transfer_event {
    std::uint64_t bytes;
};
struct leaving_event { };

using dispatch_event = std::variant<leaving_event, submit_event, finished_event, retry_event, cancel_event,
    report_event, cache_event, configuration_event, verdicts_event, peer_event, permit_answer_event,
    permit_request_event, permit_released_event, permits_renewed_event, transfer_event, suspect_event>;

/// Callbacks for the actions that need other components. They are called on the dispatch thread.
struct dispatch_outputs {
    std::function<void(const core::acquire_permit_action&)> requestPermit;
    std::function<void(const core::release_permit_action&)> release;
    std::function<void(const core::renew_permits_action&)> renew;
    std::function<void(const core::condemn_action&)> condemn;
    std::function<void()>
        refetchConfiguration; ///< Called if an update did not apply to the known configuration.
};

/// A copy of the dispatcher's state for other threads.
struct dispatch_snapshot {
    std::shared_ptr<const core::configuration> config;
    bool configurationKnown = false;
    std::uint64_t digest = 0;
    std::size_t waiting = 0;
    std::size_t running = 0;
    std::size_t targets = 0;
    core::milliseconds viewAge { 0 };
    std::vector<core::suspect_state> suspects;
    std::vector<core::target_report> ownTargets; ///< Targets in the local failure domain.
    bool backgroundTransferAllowed = true;
};

/// Thread that owns the dispatcher. Other threads post events to it through a bounded ring.
class dispatch_thread {
public:
    dispatch_thread(core::dispatch_options options, dispatch_outputs outputs, runtime::metrics& metrics);
    ~dispatch_thread();

    /// Starts the thread. Earlier events stay in the ring until then.
    void start();
    /// Stops the thread. Later events are dropped.
    void stop();

    /// Posts an event and waits while the ring is full.
    void post(dispatch_event event);

    /// Posts an event that may be lost.
    /// @return false if the ring was full.
    bool tryPost(dispatch_event event) { return m_ring.tryPush(std::move(event)); }

    dispatch_snapshot snapshot() const;

    core::request_number nextRequest() { return m_nextRequest++; }

private:
    void run();
    core::dispatcher::actions handle(leaving_event& event);
    core::dispatcher::actions handle(submit_event& event);
    core::dispatcher::actions handle(finished_event& event);
    core::dispatcher::actions handle(retry_event& event);
    core::dispatcher::actions handle(cancel_event& event);
    core::dispatcher::actions handle(report_event& event);
    core::dispatcher::actions handle(cache_event& event);
    core::dispatcher::actions handle(configuration_event& event);
    core::dispatcher::actions handle(verdicts_event& event);
    core::dispatcher::actions handle(peer_event& event);
    core::dispatcher::actions handle(suspect_event& event);
    core::dispatcher::actions handle(permit_answer_event& event);
    core::dispatcher::actions handle(permit_request_event& event);
    core::dispatcher::actions handle(permit_released_event& event);
    core::dispatcher::actions handle(permits_renewed_event& event);
    core::dispatcher::actions handle(transfer_event& event);

    void perform(const core::dispatcher::actions& actions);
    void perform(const core::start_action& action);
    void perform(const core::reject_action& action);
    void perform(const core::acquire_permit_action& action) { m_outputs.requestPermit(action); }
    void perform(const core::release_permit_action& action) { m_outputs.release(action); }
    void perform(const core::renew_permits_action& action) { m_outputs.renew(action); }
    void perform(const core::condemn_action& action) { m_outputs.condemn(action); }
    void deliverResult(core::request_number request, dispatch_result result);
    void publish(bool configurationChanged);

    core::dispatcher m_dispatcher;
    dispatch_outputs m_outputs;
    runtime::metrics& m_metrics;
    std::map<core::request_number, std::shared_ptr<dispatch_ticket>> m_tickets;
    std::set<std::uint64_t> m_knownVerdicts;
    mutable std::mutex m_snapshotMutex;
    dispatch_snapshot m_snapshot;
    std::atomic<core::request_number> m_nextRequest { 1 };
    std::atomic<bool> m_stopping { false };
    runtime::bounded_ring<dispatch_event> m_ring;
    std::thread m_thread;
};

} // namespace plumfold::entry
