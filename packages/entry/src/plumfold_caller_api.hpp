#pragma once

#include "plumfold_entry_context.hpp"

#include "plumfold/runtime/plumfold_http.hpp"

namespace plumfold::entry {

/// HTTP API for callers: /v1/completions, /v1/chat/completions, /v1/models, /v1/services/{name}/...,
/// /healthz, /readyz and /metrics.
class caller_api {
public:
    explicit caller_api(entry_context& context);

    /// Stops accepting connections; open requests continue.
    void stopAccepting() { m_http.stopAccepting(); }

private:
    runtime::http_listener m_http;
};

} // namespace plumfold::entry
