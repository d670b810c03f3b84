#pragma once

#include "plumfold/runtime/plumfold_http.hpp"
#include "plumfold/runtime/plumfold_metrics.hpp"
#include "plumfold/runtime/plumfold_settings.hpp"

#include <atomic>
#include <memory>

namespace plumfold::forwarding {

/// HTTP listeners for the load balancer's readiness probe and for the Prometheus metrics.
class status_listener {
public:
    /// @throws Poco::Exception when an address cannot be bound.
    status_listener(const runtime::forwarding_settings& settings, const runtime::metrics& metrics);

    void setReady(bool ready) { m_ready = ready; }

private:
    std::atomic<bool> m_ready { false };
    runtime::http_listener m_readiness;
    std::unique_ptr<runtime::http_listener> m_metrics;
};

} // namespace plumfold::forwarding
