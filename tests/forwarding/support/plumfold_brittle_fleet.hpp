#pragma once

#include "plumfold_forwarding_system.hpp"

#include <atomic>
#include <chrono>
#include <memory>
#include <mutex>
#include <optional>
#include <string>
#include <thread>
#include <vector>

namespace plumfold::tests {

/// Targets of a forwarding_system with limited room, which may be brittle. One that ends starts again at its
/// address under another name after some time.
class brittle_fleet {
public:
    static constexpr std::chrono::milliseconds restartTime { 3'000 };

    /// @param slots of each target, as announced.
    /// @param waiting requests that may wait at each target.
    brittle_fleet(forwarding_system& system, int size, int slots, int waiting);
    ~brittle_fleet();

    /// Begins or ends the brittle time of all targets.
    void setBrittle(std::optional<brittle_behaviour> behaviour);
    /// @return how often targets have ended.
    int falls() const { return m_falls; }

private:
    using time_point = std::chrono::steady_clock::time_point;
    struct member {
        std::string address;
        std::string name;
        std::uint64_t startedAt = 0;
        std::uint64_t sequence = 0;
        std::unique_ptr<scripted_target> server; // null while it is down
        time_point restartAt {};
    };

    void supervise();
    void start(member& target);
    void announce(member& target);

    forwarding_system& m_system;
    const int m_slots;
    const int m_waiting;
    std::mutex m_mutex;
    std::optional<brittle_behaviour> m_brittle;
    std::vector<member> m_members;
    std::atomic<int> m_falls { 0 };
    std::uint64_t m_starts = 0;
    std::atomic<bool> m_stopping { false };
    std::thread m_thread;
};

} // namespace plumfold::tests
