#pragma once

#include "plumfold_deployment_feed.hpp"

#include "plumfold/platform/plumfold_platform_target_calls.hpp"

#include <atomic>
#include <map>
#include <memory>
#include <thread>

namespace plumfold::control {

/// Thread that polls the load reports of the model engines assigned to this control VM, so that an engine is
/// not polled by every entry. Marks engines that do not respond as silent.
class load_poller {
public:
    load_poller(wire::rpc_thread& rpc, deployment_feed& feed);
    ~load_poller();

private:
    struct polled_target {
        std::string address;
        std::unique_ptr<platform::target_report_reader> reader;
        unsigned failures = 0; // consecutive
        core::instant firstFailureAt {}; // of these
    };

    void run();
    void pollEngines();

    wire::rpc_thread& m_rpc;
    deployment_feed& m_feed;
    std::map<std::string, polled_target> m_targets; // by name
    std::atomic<bool> m_stopping { false };
    std::thread m_thread;
};

} // namespace plumfold::control
