#pragma once

#include "plumfold_forwarding_system.hpp"

#include <chrono>
#include <functional>
#include <memory>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

namespace plumfold::tests {

/// Targets of a forwarding_system that crash while they run certain requests. Each starts again at its
/// address under another name after some time.
class crashing_fleet {
public:
    using condition = std::function<bool(const recorded_request&)>;
    using time_point = std::chrono::steady_clock::time_point;

    /// @param isCrashing selects the requests that crash their target.
    crashing_fleet(forwarding_system& system, int size, condition isCrashing);
    ~crashing_fleet();

    /// Crashes a target whatever it runs; no effect while it is down.
    void crash(int number);

    /// @param selected selects some of the requests that crash their targets; null: all.
    /// @return when these requests arrived at targets, in order.
    std::vector<time_point> arrivals(const condition& selected = {}) const;
    /// @return when targets crashed that had received such a request, in order; for null, when any crashed.
    std::vector<time_point> crashes(const condition& selected = {}) const;

private:
    struct member {
        std::string address;
        std::string name;
        std::uint64_t startedAt = 0;
        std::uint64_t sequence = 0;
        std::unique_ptr<scripted_target> server; // null while it is down
        time_point restartAt {};
    };

    std::vector<recorded_request> crashingRequests(const scripted_target& target) const;
    void supervise();
    void start(member& target);
    void announce(member& target);

    forwarding_system& m_system;
    condition m_isCrashing;
    mutable std::mutex m_mutex;
    std::vector<member> m_members;
    struct crashed_target {
        time_point at {};
        std::vector<recorded_request> crashing; // requests that crash targets
    };
    std::vector<crashed_target> m_crashes;
    std::uint64_t m_starts = 0;
    std::atomic<bool> m_stopping { false };
    std::thread m_thread;
};

} // namespace plumfold::tests
