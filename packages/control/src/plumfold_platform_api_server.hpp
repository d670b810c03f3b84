#pragma once

#include "plumfold_departure_recorder.hpp"
#include "plumfold_deployment_feed.hpp"
#include "plumfold_leader_client.hpp"
#include "plumfold_software_versions.hpp"

#include "plumfold/runtime/plumfold_http.hpp"

namespace plumfold::control {

/// Dependencies of the call handlers. All but the settings are used only on the RPC thread.
struct platform_api_context {
    wire::rpc_thread& rpc;
    const runtime::settings& settings;
    deployment_feed& feed;
    leader_client& leader;
    departure_recorder& departures;
    software_versions& versions;
};

/// HTTP server for the calls of targets and of the platform's operators.
class platform_api_server {
public:
    /// @throws Poco::Exception when the platform address cannot be bound.
    explicit platform_api_server(platform_api_context context);

private:
    platform_api_context m_context;
    runtime::http_listener m_listener;
};

} // namespace plumfold::control
