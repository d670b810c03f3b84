#pragma once

#include "plumfold_dispatch_thread.hpp"
#include "plumfold_peer_mesh.hpp"

#include "plumfold/runtime/plumfold_http.hpp"

#include <memory>
#include <string>

namespace plumfold::entry {

/// HTTP server that receives the announcements, load reports and cache events of targets. Only this class and
/// the target adapter depend on the targets' protocol.
///
/// `POST /v1/targets/announce` with a JSON body: name, incarnation, address, failure_domain, kind ("engine"
/// or "service"), models [{model, version, adapters}], services, max_batch, running, queued, leaving,
/// sequence, and optionally cache {sequence, complete, added, removed}.
class target_listener {
public:
    target_listener(const std::string& address, dispatch_thread& dispatchThread, peer_mesh& mesh);

private:
    runtime::http_listener m_http;
};

} // namespace plumfold::entry
