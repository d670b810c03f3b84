#pragma once

#include <chrono>
#include <condition_variable>
#include <deque>
#include <functional>
#include <mutex>
#include <optional>
#include <string>

namespace plumfold::tests {

/// How a brittle target behaves.
struct brittle_behaviour {
    int maxRejections = 0; ///< In any second; one more ends the target.
    int waiting = 0; ///< Requests that may wait, from `shrinkDelay` after the brittle time began.
    std::chrono::milliseconds shrinkDelay { 3'000 };
};

/// The room of a target: slots that run requests, and places for requests that wait for a slot.
class scripted_room {
public:
    enum class result {
        admitted, ///< leave() must follow.
        rejected,
        overloaded, ///< Rejected, and the target ends.
    };

    scripted_room(int slots, int waiting);

    /// Begins or ends the brittle time.
    void setBrittle(std::optional<brittle_behaviour> behaviour);

    /// Waits for a slot.
    /// @param isStopping ends the wait; the request is then rejected.
    result enter(const std::function<bool()>& isStopping);
    void leave();

    /// @return the response headers by which a target says that it is brittle.
    std::string headers() const;

private:
    int waitingLimit() const;
    result reject();

    const int m_slots;
    const int m_waitingLimit;
    mutable std::mutex m_mutex;
    std::condition_variable m_slotFree;
    int m_running = 0;
    int m_waiting = 0;
    std::optional<brittle_behaviour> m_brittle;
    std::chrono::steady_clock::time_point m_brittleSince {};
    std::deque<std::chrono::steady_clock::time_point> m_rejections; // of the last second
};

} // namespace plumfold::tests
