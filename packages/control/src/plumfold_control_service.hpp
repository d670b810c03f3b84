#pragma once

#include "plumfold_deployment_feed.hpp"
#include "plumfold_leader_client.hpp"

#include "plumfold/control/plumfold_control_node.hpp"
#include "plumfold/core/plumfold_time.hpp"
#include "plumfold/runtime/plumfold_settings.hpp"
#include "plumfold/wire/plumfold_rpc_thread.hpp"

#include "plumfold.capnp.h"

#include <map>
#include <string>

namespace plumfold::control {

/// An entry as its watch calls show it.
struct entry_status {
    std::string failureDomain;
    std::uint64_t revision = 0;
    core::instant lastSeenAt {};
};

/// What all calls of one control VM share. Lives on the RPC duty.
struct service_context {
    const runtime::settings& settings;
    control_node& node;
    wire::rpc_thread& rpc;
    deployment_feed& feed;
    leader_client& leader;
    std::map<std::string, entry_status> entries;
};

/// @return the interface that a control VM serves to its callers.
wire::Control::Client makeControlService(service_context& context);

} // namespace plumfold::control
