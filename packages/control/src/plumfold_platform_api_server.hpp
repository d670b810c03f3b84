#pragma once

#include "plumfold_deployment_feed.hpp"
#include "plumfold_leader_client.hpp"

#include "plumfold/runtime/plumfold_http.hpp"

namespace plumfold::control {

/// What the calls of targets and operators need. The feed and the leader client live on the RPC duty.
struct platform_api_context {
    wire::rpc_thread& rpc;
    const runtime::settings& settings;
    deployment_feed& feed;
    leader_client& leader;
};

/// Serves the calls of targets and of the platform's operators over HTTP.
class platform_api_server {
public:
    explicit platform_api_server(platform_api_context context);

private:
    platform_api_context m_context;
    runtime::http_listener m_listener;
};

} // namespace plumfold::control
