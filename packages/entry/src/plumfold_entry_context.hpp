#pragma once

#include "plumfold_control_client.hpp"
#include "plumfold_dispatch_thread.hpp"
#include "plumfold_peer_mesh.hpp"
#include "plumfold_store_client.hpp"
#include "plumfold_usage_reporter.hpp"

#include "plumfold/entry/plumfold_target_adapter.hpp"
#include "plumfold/runtime/plumfold_metrics.hpp"
#include "plumfold/runtime/plumfold_settings.hpp"
#include "plumfold/runtime/plumfold_socket_group.hpp"
#include "plumfold/runtime/plumfold_trace.hpp"

#include <atomic>

namespace plumfold::entry {

/// State shared by the threads that serve callers.
struct entry_context {
    const runtime::settings& settings;
    std::uint64_t incarnation;
    dispatch_thread& dispatchThread;
    peer_mesh& mesh;
    target_adapter& targets;
    control_client& control;
    store_client& stores;
    usage_reporter& usage;
    runtime::metrics& metrics;
    runtime::trace_writer& traces;
    std::atomic<bool> stopping { false }; ///< New requests are rejected.
    std::atomic<bool> aborting {
        false
    }; ///< The grace period is nearly over: open requests end with an error.
    std::atomic<int> openRequests { 0 };
    std::atomic<std::uint64_t> activeExports { 0 }; ///< Threads that are starting an export of KV blocks.
    /// Connections on which a request is being received.
    runtime::socket_group receivingCallers { runtime::socket_group::direction::receive };
};

} // namespace plumfold::entry
