#pragma once

#include "plumfold_deployment_feed.hpp"

#include "plumfold/platform/plumfold_platform_target_calls.hpp"

#include <atomic>
#include <map>
#include <memory>
#include <thread>

namespace plumfold::control {

/// The duty that reads the reports of the model engines nearest to this control VM, so that each is asked
/// once and not by every entry.
class load_poller {
public:
    load_poller(wire::rpc_thread& rpc, deployment_feed& feed);
    ~load_poller();

private:
    struct polled_target {
        std::string address;
        std::unique_ptr<platform::target_report_reader> reader;
        unsigned failures = 0; // in a row
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
