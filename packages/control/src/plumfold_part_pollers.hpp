#pragma once

#include "plumfold_deployment_feed.hpp"

#include "plumfold/platform/plumfold_platform_target_calls.hpp"

#include <atomic>
#include <map>
#include <memory>
#include <thread>

namespace plumfold::control {

/// Long-polls the part events of the stores and engines assigned to this control VM, with one thread per
/// holder, and applies them to the feed.
class part_pollers {
public:
    part_pollers(wire::rpc_thread& rpc, deployment_feed& feed);
    ~part_pollers();

private:
    class poller;

    void run();

    wire::rpc_thread& m_rpc;
    deployment_feed& m_feed;
    std::map<std::string, std::unique_ptr<poller>> m_pollers; // by address of the holder
    std::atomic<bool> m_stopping { false };
    std::thread m_thread;
};

} // namespace plumfold::control
