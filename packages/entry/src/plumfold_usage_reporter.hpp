#pragma once

#include "plumfold_control_client.hpp"

#include <condition_variable>
#include <map>
#include <mutex>
#include <string>
#include <thread>

namespace plumfold::entry {

/// Gathers the usage of finished requests and ships it to control in numbered batches. Each request is
/// counted in exactly one batch and control counts a batch once, so nothing is counted twice. What has not
/// been shipped when the process dies is lost: at most one interval.
class usage_reporter {
public:
    usage_reporter(control_client& control, std::string source, std::uint64_t incarnation);

    /// Ships what is left.
    ~usage_reporter();

    void add(const core::usage_row& row);

private:
    void run();
    bool sendBatch();

    control_client& m_control;
    std::string m_source;
    std::uint64_t m_incarnation;
    std::mutex m_mutex;
    std::condition_variable m_wake;
    bool m_stopping = false;
    std::map<std::pair<std::string, std::string>, core::usage_row> m_pendingRows; // by customer and model
    core::usage_command m_batch; // sent again until control has it
    std::thread m_thread;
};

} // namespace plumfold::entry
