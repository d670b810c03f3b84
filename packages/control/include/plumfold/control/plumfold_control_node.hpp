#pragma once

#include "plumfold/control/plumfold_durable_log.hpp"
#include "plumfold/core/plumfold_configuration_view.hpp"
#include "plumfold/core/plumfold_control_state.hpp"
#include "plumfold/core/plumfold_raft_node.hpp"
#include "plumfold/runtime/plumfold_bounded_ring.hpp"

#include <atomic>
#include <functional>
#include <map>
#include <memory>
#include <thread>
#include <variant>

namespace plumfold::control {

/// Receives the answer of a call, once, on the control duty thread.
template <class T> class completion {
public:
    virtual ~completion() = default;
    virtual void done(T response) = 0;
};

/// The answer to a proposed command.
struct propose_response {
    bool accepted = false; ///< false: this node did not take the command and it will never be applied.
    std::string leaderAddress;
    std::string message;
    core::command_result result;
    std::uint64_t logIndex = 0; ///< accepted: where the command stands in the log.
};

/// What a control VM holds and how current that is.
struct control_view {
    std::shared_ptr<const core::deployment_state> deployment;
    std::uint64_t appliedIndex = 0;
    bool isCaughtUp = false; ///< In touch with a quorum.
    bool isLeader = false;
    std::uint64_t term = 0;
    std::string leaderAddress; ///< Empty while none is known.
    core::raft_membership members;
};

/// The answer to a watch.
struct watch_response {
    core::configuration_update update;
    bool isCaughtUp = false; ///< Whether this node was in touch with a quorum.
    std::vector<core::verdict> verdicts;
};

/// What this node knows of itself and the system.
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

struct peer_message_event {
    core::raft_message message;
};
struct propose_event {
    core::command command;
    std::unique_ptr<completion<propose_response>> callback;
};
struct watch_event {
    std::uint64_t knownRevision = 0;
    std::uint64_t knownDigest = 0;
    core::instant deadline {};
    std::unique_ptr<completion<watch_response>> callback;
};
struct status_event {
    std::unique_ptr<completion<status_response>> callback;
};
struct bootstrap_event {
    std::unique_ptr<completion<propose_response>> callback;
};
struct transfer_leadership_event { };

using control_event = std::variant<transfer_leadership_event, peer_message_event, propose_event, watch_event,
    status_event, bootstrap_event>;

/// Options of one control VM.
struct control_node_options {
    std::string name;
    std::string address;
    core::milliseconds electionTimeout { 400 };
    std::uint64_t snapshotEveryEntries = 10'000;
    std::uint64_t seed = 1;
};

/// The control duty: one thread that owns the replicated log, its files and the state behind it. Other
/// threads hand it events through a bounded ring.
class control_node {
public:
    using sender = std::function<void(std::vector<core::raft_message>)>;
    using view_listener = std::function<void(control_view)>;

    /// @param send takes messages for other control VMs; called on the duty thread.
    /// @param viewed is told every change of the view; called on the duty thread.
    /// @param failed called once when the disk fails; the process must end.
    control_node(control_node_options options, std::unique_ptr<durable_log> log, sender send,
        view_listener onViewChanged, std::function<void(const std::string&)> onDiskFailure);
    ~control_node();

    /// @return false when the ring is full: the caller must answer "not accepted".
    bool post(control_event event) { return m_ring.tryPush(std::move(event)); }

private:
    struct pending_proposal {
        std::uint64_t term;
        std::unique_ptr<completion<propose_response>> callback;
    };

    void run();
    void handle(transfer_leadership_event& event);
    void handle(peer_message_event& event);
    void handle(propose_event& event);
    void handle(watch_event& event);
    void handle(status_event& event);
    void handle(bootstrap_event& event);
    bool processOutput();
    void apply(const core::log_entry& entry);
    void completeWatches();
    watch_response makeWatchResponse(std::uint64_t knownRevision) const;
    void maybeCompact();
    void publishView();
    void logRoleChange();
    propose_response rejection(std::string message) const;

    control_node_options m_options;
    std::unique_ptr<durable_log> m_log;
    core::control_state m_state;
    std::uint64_t m_appliedIndex = 0;
    std::uint64_t m_appliedTerm = 0;
    core::raft_membership m_appliedMembers;
    core::raft_node m_raft;
    core::unix_milliseconds m_lastCommandTime = 0;
    sender m_send;
    view_listener m_onViewChanged;
    control_view m_view; // as last told
    core::raft_role m_loggedRole = core::raft_role::follower;
    std::function<void(const std::string&)> m_onDiskFailure;
    std::map<std::uint64_t, pending_proposal> m_proposals;
    std::vector<watch_event> m_watches;
    runtime::bounded_ring<control_event> m_ring;
    std::atomic<bool> m_stopping { false };
    std::thread m_thread;
};

} // namespace plumfold::control
