#pragma once

#include "plumfold/core/plumfold_time.hpp"

#include <cstdint>
#include <optional>

namespace plumfold::core {

/// Tells the holder of a replicated lease when it may act on it, such that two holders never act at the same
/// time, whatever the clock of the lease's record does. All times must include suspensions of the machine.
class lease_usage {
public:
    /// @param useTime how long the lease may be used after it was requested.
    explicit lease_usage(milliseconds useTime)
        : m_useTime(useTime)
    {
    }

    /// Records that the lease was granted or renewed.
    /// @param requestedAt when the request was sent.
    /// @param takeovers how often the lease went from one holder to another. Unless this holder knows that it
    /// had the lease since the latest time, the holder before may still use it for useTime.
    /// @return whether the holder acquired the lease; false if it had it before.
    bool onGranted(instant requestedAt, std::uint64_t takeovers, instant now)
    {
        bool isAcquired = m_takeovers != takeovers;
        if (isAcquired)
            m_usableFrom = takeovers > 0 ? now + m_useTime : now;
        m_isHeld = true;
        m_takeovers = takeovers;
        m_usableUntil = requestedAt + m_useTime;
        return isAcquired;
    }

    /// Records that another holder has the lease.
    /// @return whether it was held before.
    bool onRefused()
    {
        bool wasHeld = m_isHeld;
        m_isHeld = false;
        return wasHeld;
    }

    bool isUsable(instant now) const { return m_isHeld && now >= m_usableFrom && now < m_usableUntil; }
    /// @return the first time at which the lease may be used, if it is renewed until then.
    instant usableFrom() const { return m_usableFrom; }

private:
    milliseconds m_useTime;
    bool m_isHeld = false;
    std::optional<std::uint64_t> m_takeovers; // when it was last held
    instant m_usableFrom {};
    instant m_usableUntil {};
};

} // namespace plumfold::core
