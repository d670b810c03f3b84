#pragma once

#include "plumfold/core/plumfold_deployment_state.hpp"
#include "plumfold/core/plumfold_part_directory.hpp"
#include "plumfold/core/plumfold_target_directory.hpp"
#include "plumfold/core/plumfold_target_selector.hpp"
#include "plumfold/runtime/plumfold_settings.hpp"
#include "plumfold/wire/plumfold_rpc_connection.hpp"

#include "plumfold.capnp.h"

#include <functional>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace plumfold::forwarding {

/// What a control VM told this entry.
struct follow_news {
    std::optional<core::deployment_state> deployment; ///< Set when it changed.
    std::vector<core::target_announcement> targets; ///< Those that changed.
    bool everything = false; ///< The targets are all that there are.
    std::uint32_t entries = 1; ///< Entries that follow any control VM.
    std::vector<core::part_update> parts;
    std::vector<core::target_load> loads;
    std::uint64_t targetClock = 0; ///< The targets' clock in milliseconds; 0: not known.
};

/// Follows the deployment and the targets at one control VM, the nearest that is in touch with a quorum.
class deployment_follower {
public:
    using listener = std::function<void(follow_news)>;

    /// @param onNews called on the RPC duty.
    deployment_follower(wire::rpc_thread& rpc, const runtime::settings& settings, listener onNews);
    ~deployment_follower();

    /// Takes other control VMs to start from.
    void setSeeds(std::vector<std::string> addresses);

private:
    kj::Promise<void> loop();
    kj::Promise<void> connect();
    kj::Promise<void> followOnce();
    void take(capnp::Response<wire::EntrySession::FollowResults> response);
    void takeControl(capnp::List<wire::ControlAddress>::Reader control);
    void onFailure(const kj::Exception& exception);
    std::string nextAddress();

    wire::rpc_thread& m_rpc;
    const runtime::settings& m_settings;
    listener m_onNews;
    std::vector<std::string> m_seeds;
    std::map<std::string, std::string> m_control; // failure domains by address, as last told
    std::string m_address;
    kj::Own<wire::rpc_connection> m_connection;
    kj::Maybe<wire::EntrySession::Client> m_session;
    std::uint64_t m_knownDeployment = 0;
    std::uint64_t m_feed = 0;
    std::uint64_t m_knownChange = 0;
    bool m_confirmed = false; // a quorum confirmed what we know once
    bool m_justConnected = true;
    bool m_wantsNear = false; // a nearer control VM is known than the one that we follow
    std::map<std::string, core::part_cursor> m_parts; // what is known of each holder
    unsigned m_failures = 0;
    kj::Own<wire::task_group> m_tasks;
};

} // namespace plumfold::forwarding
