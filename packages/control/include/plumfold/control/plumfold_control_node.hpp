#pragma once

#include "plumfold/control/plumfold_durable_log.hpp"
#include "plumfold/core/plumfold_command_clock.hpp"
#include "plumfold/core/plumfold_configuration_view.hpp"
#include "plumfold/core/plumfold_control_state.hpp"
#include "plumfold/core/plumfold_raft_node.hpp"
#include "plumfold/runtime/plumfold_bounded_ring.hpp"

#include <atomic>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <thread>
#include <utility>
#include <variant>
#include <vector>

namespace plumfold::control {

/// Receives the response to an event, at most once, on the control thread.
template <class T> class completion {
public:
    virtual ~completion() = default;
    virtual void done(T response) = 0;
};

/// Response to a proposed command.
struct propose_response {
    bool accepted = false; ///< true: committed and applied; false: this proposal will never be applied.
    std::string leaderAddress; ///< Set if not accepted and the leader is known.
    std::string message; ///< Why the command was not accepted and what to do.
    core::command_result result;
    std::uint64_t logIndex = 0; ///< Index of the command in the log, if accepted.
};

/// Applied state of a control VM and its view of the group.
struct control_view {
    std::shared_ptr<const core::deployment_state> deployment;
    std::uint64_t appliedIndex = 0;
    bool isCaughtUp = false; ///< See core::raft_node::isCaughtUp().
    bool isLeader = false;
    std::uint64_t term = 0;
    std::string leaderAddress; ///< Empty while no leader is known.
    core::raft_membership members;
    /// Latest state of each lease, by its name. Another map whenever a lease has changed.
    std::shared_ptr<const std::map<std::string, core::lease_state>> leases;
    std::vector<core::verdict> verdicts; ///< Includes those that were withdrawn.
    std::map<std::string, std::uint64_t> inServiceOrders; ///< See core::control_state::inServiceOrders().
};

/// Response to a watch.
struct watch_response {
    core::configuration_update update;
    bool isCaughtUp = false; ///< See core::raft_node::isCaughtUp().
    std::vector<core::verdict> verdicts;
};

/// Raft status of a node and statistics of its applied state.
struct status_response {
    std::string node;
    core::raft_role role = core::raft_role::follower;
    std::uint64_t term = 0;
    std::uint64_t commitIndex = 0;
    std::uint64_t appliedIndex = 0;
    std::uint64_t revision = 0;
    core::raft_membership members;
    std::uint64_t claims = 0;
    std::vector<core::usage_row> usage;
    std::vector<core::audit_record> audit;
};

/// A Raft message from another control VM.
struct peer_message_event {
    core::raft_message message;
};
/// Proposes a command for the replicated log. Completes once the command is applied or rejected.
struct propose_event {
    core::command command;
    std::unique_ptr<completion<propose_response>> callback;
};
/// Waits for a change of the configuration. Completes at once if revision or digest differ from the known
/// ones.
struct watch_event {
    std::uint64_t knownRevision = 0;
    std::uint64_t knownDigest = 0;
    core::instant deadline {}; ///< When to respond even if the configuration has not changed.
    std::unique_ptr<completion<watch_response>> callback;
};
struct status_event {
    std::unique_ptr<completion<status_response>> callback;
};
/// Creates a group with this node as its only voter.
struct bootstrap_event {
    std::unique_ptr<completion<propose_response>> callback;
};
/// Removes this node from the group in exchange for its successor, if it has one, before a planned stop; see
/// core::raft_node::requestRemoval(). Completes with what became of it, at the deadline in any case.
struct leave_event {
    core::instant deadline {};
    std::unique_ptr<completion<core::removal_state>> callback;
};

using control_event = std::variant<leave_event, peer_message_event, propose_event, watch_event, status_event,
    bootstrap_event>;

/// Options of one control VM.
struct control_node_options {
    std::string name; ///< Raft node name.
    std::string address; ///< ip:port at which the node accepts RPC connections.
    std::string failureDomain;
    bool isInitialMember = false; ///< See core::raft_options.
    core::milliseconds exchangeTimeout { 2'000 }; ///< See core::raft_options.
    core::milliseconds memberTimeout { 4'000 }; ///< See core::raft_options.
    core::milliseconds electionTimeout { 400 }; ///< See core::raft_options.
    std::uint64_t snapshotEveryEntries = 10'000; ///< Applied entries after which the log is compacted.
    std::uint64_t snapshotEveryBytes = 16 << 20; ///< Size beyond which the log is compacted, too.
    std::uint64_t seed = 1; ///< Of the random election timeouts.
};

/// Runs a Raft node on a thread of its own, the control thread, which owns the write-ahead log and the state
/// machine. Other threads post events to it through a bounded queue.
class control_node {
public:
    using sender = std::function<void(std::vector<core::raft_message>)>;
    using view_listener = std::function<void(control_view)>;

    /// @param log the opened data folder, whose state has not been taken yet.
    /// @param send sends messages to other control VMs; called on the control thread.
    /// @param onViewChanged called on the control thread with each changed view.
    /// @param onDiskFailure called on the control thread when the log or a snapshot cannot be written; the
    /// process must exit.
    control_node(control_node_options options, std::unique_ptr<durable_log> log, sender send,
        view_listener onViewChanged, std::function<void(const std::string&)> onDiskFailure);
    ~control_node();

    /// Queues an event for the control thread.
    /// @return false if the queue is full or closed. The event is dropped and its callback is not called.
    bool post(control_event event) { return m_ring.tryPush(std::move(event)); }

private:
    struct pending_proposal {
        std::uint64_t term;
        std::vector<std::unique_ptr<completion<propose_response>>> callbacks;
        /// Version and digest of the proposed document, if it is one.
        std::optional<std::pair<std::uint64_t, std::uint64_t>> document;
        /// Failure domain that the proposed command takes out of service or returns to it; empty: none.
        std::string failureDomain;
    };

    void run();
    void handle(leave_event& event);
    void handle(peer_message_event& event);
    void handle(propose_event& event);
    void handle(watch_event& event);
    void handle(status_event& event);
    void handle(bootstrap_event& event);
    /// @return false if the log cannot be written.
    bool processOutput();
    void apply(const core::log_entry& entry);
    void handOverLead();
    bool joinsPendingProposal(propose_event& event);
    bool mayFollowLaterOrder(const core::set_in_service_command& order) const;
    void completeWatches();
    void completeLeave();
    watch_response makeWatchResponse(std::uint64_t knownRevision) const;
    bool isCompactionDue() const;
    bool canMakeRoom() const;
    void maybeCompact();
    void publishView();
    void logRoleChange();
    void logMemberChanges(const core::raft_membership& next) const;
    propose_response rejection(std::string message) const;

    control_node_options m_options;
    std::unique_ptr<durable_log> m_log;
    core::milliseconds m_handOverInterval { 1'000 };
    std::uint64_t m_handOverTerm = 0; // in which this control VM last handed the lead over
    core::instant m_nextHandOver {}; // without room on the disk, not before this time
    core::control_state m_state;
    bool m_haveLeasesChanged = true; // since the view was last published
    std::uint64_t m_appliedIndex = 0;
    std::uint64_t m_appliedTerm = 0;
    core::raft_membership m_appliedMembers;
    core::raft_node m_raft;
    core::command_clock m_commandClock;
    sender m_send;
    view_listener m_onViewChanged;
    control_view m_view; // as last published
    core::raft_role m_loggedRole = core::raft_role::follower;
    std::function<void(const std::string&)> m_onDiskFailure;
    std::map<std::uint64_t, pending_proposal> m_proposals; // by log index
    /// Proposals that wait until the log is compacted. That must not happen while entries are not persisted.
    std::vector<propose_event> m_awaitingRoom;
    std::vector<watch_event> m_watches;
    std::optional<leave_event> m_leave; // until it completes
    runtime::bounded_ring<control_event> m_ring;
    std::atomic<bool> m_stopping { false };
    std::thread m_thread;
};

} // namespace plumfold::control
