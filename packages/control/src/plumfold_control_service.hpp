#pragma once

#include "plumfold_crash_judge.hpp"
#include "plumfold_deployment_feed.hpp"
#include "plumfold_leader_client.hpp"
#include "plumfold_place_issuer.hpp"
#include "plumfold_rollout_controller.hpp"
#include "plumfold_shared_limit_issuer.hpp"
#include "plumfold_software_versions.hpp"
#include "plumfold_stream_origins.hpp"

#include "plumfold/control/plumfold_control_node.hpp"
#include "plumfold/core/plumfold_time.hpp"
#include "plumfold/runtime/plumfold_settings.hpp"
#include "plumfold/wire/plumfold_rpc_thread.hpp"

#include "plumfold.capnp.h"

#include <map>
#include <string>

namespace plumfold::control {

/// Status of an entry according to its latest watch call.
struct entry_status {
    std::string failureDomain;
    std::uint64_t revision = 0;
    core::instant lastSeenAt {};
};

/// State shared by all RPC calls of one control VM. Accessed only on the RPC thread.
struct service_context {
    const runtime::settings& settings;
    control_node& node;
    wire::rpc_thread& rpc;
    deployment_feed& feed;
    leader_client& leader;
    shared_limit_issuer& sharedLimits;
    place_issuer& places;
    crash_judge& crashes;
    software_versions& versions;
    rollout_controller& rollouts;
    stream_origins& streams;
    std::map<std::string, entry_status> entries; ///< By name.
};

/// @return the RPC interface that a control VM serves to peers, entries and operators.
/// @param context must outlive the interface.
wire::Control::Client makeControlService(service_context& context);

} // namespace plumfold::control
