#pragma once

#include "plumfold/core/plumfold_deployment_state.hpp"
#include "plumfold/core/plumfold_part_directory.hpp"
#include "plumfold/core/plumfold_target_board.hpp"
#include "plumfold/core/plumfold_target_directory.hpp"
#include "plumfold/runtime/plumfold_settings.hpp"
#include "plumfold/wire/plumfold_rpc_connection.hpp"

#include "plumfold.capnp.h"

#include <functional>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace plumfold::forwarding {

/// What a control VM received this entry.
struct control_update {
    std::optional<core::deployment_state> deployment; ///< Set when it changed.
    std::vector<core::target_announcement> targets; ///< Those that changed.
    bool isSnapshot = false; ///< The targets are all that there are.
    std::uint32_t entries = 1; ///< Entries that follow any control VM.
    std::vector<core::part_news> parts;
    std::vector<core::target_load> loads;
    std::uint64_t targetClockMs = 0; ///< The targets' clock in milliseconds; 0: not known.
};

/// Follows the deployment and the targets at one control VM, the nearest that is in touch with a quorum.
class deployment_follower {
public:
    using listener = std::function<void(control_update)>;

    /// @param onUpdate called on the RPC duty.
    deployment_follower(wire::rpc_thread& rpc, const runtime::settings& settings, listener onUpdate);
    ~deployment_follower();

    /// Takes other control VMs to start from.
    void setSeeds(std::vector<std::string> addresses);

private:
    kj::Promise<void> loop();
    kj::Promise<void> connect();
    kj::Promise<void> followOnce();
    void applyFollowResponse(capnp::Response<wire::EntrySession::FollowResults> response);
    void applyControlAddresses(capnp::List<wire::ControlAddress>::Reader control);
    void onFailure(const kj::Exception& exception);
    std::string nextAddress();

    wire::rpc_thread& m_rpc;
    const runtime::settings& m_settings;
    listener m_onUpdate;
    std::vector<std::string> m_seeds;
    std::map<std::string, std::string> m_controlDomains; // failure domains by address, as last received
    std::string m_address;
    kj::Own<wire::rpc_connection> m_connection;
    kj::Maybe<wire::EntrySession::Client> m_session;
    std::uint64_t m_knownDeployment = 0;
    std::uint64_t m_feedId = 0;
    std::uint64_t m_knownChange = 0;
    bool m_confirmed = false; // a quorum confirmed what we know once
    bool m_justConnected = true;
    bool m_prefersLocal = false; // a nearer control VM is known than the one that we follow
    std::map<std::string, core::part_cursor> m_parts; // what is known of each holder
    unsigned m_failures = 0;
    kj::Own<wire::task_group> m_tasks;
};

} // namespace plumfold::forwarding
