#pragma once

#include "plumfold_asio.hpp"
#include "plumfold_crash_detector.hpp"
#include "plumfold_crash_report_client.hpp"
#include "plumfold_entry_places.hpp"
#include "plumfold_entry_rollouts.hpp"
#include "plumfold_rate_limit_client.hpp"
#include "plumfold_shared_limit_client.hpp"
#include "plumfold_stream_origin_client.hpp"
#include "plumfold_target_connection_pool.hpp"

#include "plumfold/core/plumfold_admission.hpp"
#include "plumfold/core/plumfold_buffer_budget.hpp"
#include "plumfold/core/plumfold_crash_screen.hpp"
#include "plumfold/core/plumfold_deployment.hpp"
#include "plumfold/core/plumfold_link_health.hpp"
#include "plumfold/core/plumfold_part_directory.hpp"
#include "plumfold/core/plumfold_relay_helpers.hpp"
#include "plumfold/core/plumfold_target_selector.hpp"
#include "plumfold/core/plumfold_windowed_retry_budget.hpp"
#include "plumfold/runtime/plumfold_log.hpp"
#include "plumfold/runtime/plumfold_metrics.hpp"
#include "plumfold/runtime/plumfold_settings.hpp"

#include <functional>
#include <memory>
#include <set>

namespace plumfold::forwarding {

class caller_connection;
class request_forwarder;

/// State shared by all requests of an entry. Accessed only on the event loop thread.
struct forwarding_state {
    asio::io_context& io;
    const runtime::settings& settings;
    runtime::metrics& metrics;
    shared_limit_client& sharedLimits;
    stream_origin_client& streamOrigins;
    crash_report_client& crashReports;
    rate_limit_client& rateLimits;
    place_client& placeClient;
    std::function<void(const core::target_demand&)> reportDemand; ///< To control VMs.
    entry_rollouts::reporter reportRollouts; ///< To control VMs.
    std::shared_ptr<const core::deployment> deployment; ///< Null until the first one is received.
    std::uint64_t deploymentRevision = 0;
    core::target_selector targetSelector;
    core::windowed_retry_budget retryBudget;
    target_connection_pool connections;
    core::buffer_budget responseBuffers;
    core::buffer_budget requestBodies; ///< Of requests that are received or served.
    crash_detector crashes { io, connections };
    core::crash_screen crashScreen {};
    core::admission admission {};
    core::part_directory parts {};
    core::part_planner partPlanner {};
    std::map<std::string, std::size_t> engineCounts {}; ///< By service.
    std::set<std::string> impossibleLoads {}; ///< Services whose engines' figures were logged.
    core::link_health link {}; ///< To all targets.
    core::relay_helpers helpers { settings.process.failureDomain };
    entry_rollouts rollouts { settings, metrics, targetSelector, reportRollouts };
    entry_places places { settings, targetSelector, placeClient };
    std::uint64_t targetClockMs = 0; ///< The targets' clock as last reported; 0: unknown.
    core::instant targetClockReadAt {}; ///< When targetClockMs was received.
    bool stopping = false; ///< Graceful shutdown: responses close their connections.
    bool refusesRequests = false; ///< Graceful shutdown: later requests might not end in time.
    std::optional<core::instant> stopAt; ///< Graceful shutdown: when open requests get a final response.
    std::set<request_forwarder*> openRequests {}; ///< Each adds and removes itself.
    std::set<caller_connection*> callerConnections {}; ///< Open connections; each adds and removes itself.

    /// Judges the link to all targets anew.
    void checkLink(core::instant now)
    {
        auto change = link.update(now);
        if (!change)
            return;
        // Back-offs were earned by the link.
        targetSelector.clearBackoffs(now);
        runtime::log_event(change->isLost ? "link_lost" : "link_regained")
            .with("failed_targets", change->failedTargets)
            .with("silent_targets", change->silentTargets)
            .with("ready_targets", targetSelector.readyTargets())
            .with("helpers_known", helpers.empty() ? "false" : "true");
        metrics.set("plumfold_link_lost", change->isLost ? 1 : 0);
    }

    /// Logs that a target has named, changed or ended a limit, or leaves.
    /// @param source from which this entry knows it.
    static void logDemand(const core::target_demand& demand, const char* source)
    {
        runtime::log_event(demand.isLeaving   ? "target_leaving"
                : demand.maxRequestsPerSecond ? "target_limited"
                                              : "target_not_limited")
            .with("target", demand.target)
            .with("started_at", demand.startedAt)
            .with("max_requests_per_second", core::limitText(demand))
            .with("epoch", demand.epoch)
            .with("source", source);
    }

    /// Tells control VMs of suspects that have succeeded here.
    void reportSuccesses(core::instant now)
    {
        auto successes = crashScreen.takeSuccesses(now);
        if (!successes.empty())
            crashReports.send({ {}, std::move(successes), {} });
    }
};

} // namespace plumfold::forwarding
