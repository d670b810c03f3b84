#pragma once

#include "plumfold_forwarding_system.hpp"

#include <atomic>
#include <chrono>
#include <mutex>
#include <random>
#include <string>
#include <thread>
#include <vector>

namespace plumfold::tests {

/// A request of kept_callers, and how it ended.
struct kept_request {
    std::string id;
    int status = 0; ///< 0: no response.
    bool isComplete = false;
    bool isBehind = false; ///< In one segment behind a request that had a response.
    bool isCloseAnnounced = false; ///< By a response before it on its connection.
    std::chrono::steady_clock::time_point sentAt {};
    std::chrono::steady_clock::duration
        openFor {}; ///< From sentAt until it had a response or none could come.
};

/// Callers that use a connection until it is closed. They send up to four requests behind each other, in one
/// segment or one after another, before they read the responses.
class kept_callers {
public:
    /// @param entries numbers of the entries, 1 to this.
    kept_callers(forwarding_system& system, int entries, int callers, unsigned seed);
    ~kept_callers();

    void stop();

    /// @return all requests; to be called after stop().
    const std::vector<kept_request>& requests() const { return m_requests; }

private:
    void run(unsigned seed);
    bool exchange(raw_caller& caller, std::minstd_rand& random);

    forwarding_system& m_system;
    unsigned m_entries;
    std::atomic<bool> m_isStopping { false };
    std::mutex m_mutex;
    std::vector<kept_request> m_requests;
    std::vector<std::thread> m_threads;
};

} // namespace plumfold::tests
