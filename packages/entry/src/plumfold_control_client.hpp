#pragma once

#include "plumfold/core/plumfold_commands.hpp"
#include "plumfold/core/plumfold_configuration_view.hpp"
#include "plumfold/core/plumfold_control_state.hpp"
#include "plumfold/wire/plumfold_rpc_connection.hpp"

#include "plumfold.capnp.h"

#include <absl/status/statusor.h>

#include <functional>
#include <map>
#include <string>
#include <vector>

namespace plumfold::entry {

struct control_client_options {
    std::string name;
    std::string failureDomain;
    std::string secret;
    std::vector<std::string> addresses;
};

/// The response of a control VM to a watch request.
struct watch_update {
    core::configuration_update update;
    bool isCaughtUp = false; ///< Whether the control VM was connected to a quorum.
    std::vector<core::verdict> verdicts;
};

/// Watches the configuration and submits commands to the leading control VM. Runs on the RPC thread; the
/// public functions may be called from any other thread.
class control_client {
public:
    using listener = std::function<void(watch_update)>;

    /// @param onUpdate called on the RPC thread with each response to a watch request.
    control_client(wire::rpc_thread& rpc, control_client_options options, listener onUpdate);
    ~control_client();

    /// Submits a command to the leader and waits for its result. Commands are idempotent, so a command
    /// can be retried after its response was lost.
    /// @return unavailable if no quorum responded within the timeout; the command may have been applied
    /// nevertheless.
    absl::StatusOr<core::command_result> submit(const core::command& command, core::milliseconds timeout);

    /// Submits a command without waiting and retries until it is applied or the timeout expires.
    void submitAsync(core::command command, core::milliseconds timeout);

    /// Makes the next watch request fetch the whole configuration.
    void refetch();

    /// Raises the known revision, so that watch requests return only later changes. Earlier revisions are
    /// ignored.
    void advanceKnownRevision(std::uint64_t revision, std::uint64_t digest);

private:
    struct link {
        kj::Own<wire::rpc_connection> connection;
        kj::Maybe<wire::EntrySession::Client> session;
    };

    kj::Promise<wire::EntrySession::Client> sessionAt(const std::string& address);
    kj::Promise<void> watchLoop();
    kj::Promise<void> watchOnce();
    kj::Promise<core::command_result> submitUntil(core::command command, kj::TimePoint deadline);
    kj::Promise<core::command_result> submitOnce(const core::command& command, const std::string& address);
    void drop(const std::string& address);
    void advanceLeaderCandidate();

    wire::rpc_thread& m_rpc;
    control_client_options m_options;
    listener m_onUpdate;
    std::map<std::string, link> m_links;
    std::size_t m_watchIndex = 0;
    std::string m_leader;
    std::size_t m_leaderIndex = 0;
    bool m_wasConfirmed = false;
    unsigned m_watchFailures = 0;
    std::uint64_t m_knownRevision = 0;
    std::uint64_t m_knownDigest = 0;
    bool m_refetch = true;
    kj::Own<wire::task_group> m_tasks;
};

} // namespace plumfold::entry
