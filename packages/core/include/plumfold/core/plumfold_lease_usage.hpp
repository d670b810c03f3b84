#pragma once

#include "plumfold/core/plumfold_time.hpp"

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
    /// @param isTakenOver whether another holder had the lease before; it may still use it for useTime.
    /// @return whether the holder acquired the lease; false if it renewed it.
    bool onGranted(instant requestedAt, bool isTakenOver, instant now)
    {
        bool isAcquired = !m_isHeld || now >= m_usableUntil;
        if (isAcquired)
            m_usableFrom = isTakenOver ? now + m_useTime : now;
        m_isHeld = true;
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
    instant m_usableFrom {};
    instant m_usableUntil {};
};

} // namespace plumfold::core
