#pragma once

#include "plumfold_control_client.hpp"

#include <condition_variable>
#include <map>
#include <mutex>
#include <string>
#include <thread>

namespace plumfold::entry {

/// Collects the usage of finished requests and sends it to the control VMs in numbered batches. Each request
/// is in exactly one batch and they count a batch once, so nothing is counted twice. If the process crashes,
/// unsent usage is lost: at most that of one interval while a quorum is available.
class usage_reporter {
public:
    /// @param source name of this entry.
    usage_reporter(control_client& control, std::string source, std::uint64_t incarnation);

    /// Sends the remaining usage.
    ~usage_reporter();

    /// Adds the usage of a request. Thread-safe.
    void add(const core::usage_row& row);

private:
    void run();
    /// Sends the unconfirmed batch, or else a new one.
    /// @return whether the control VMs have applied a batch.
    bool sendBatch();

    control_client& m_control;
    std::string m_source;
    std::uint64_t m_incarnation;
    std::mutex m_mutex;
    std::condition_variable m_wake;
    bool m_stopping = false;
    std::map<std::pair<std::string, std::string>, core::usage_row> m_pendingRows; // by customer and model
    core::usage_command m_batch; // sent until the control VMs confirm it
    std::thread m_thread;
};

} // namespace plumfold::entry
