#pragma once

#include "plumfold/core/plumfold_time.hpp"

#include <cstdint>

namespace plumfold::core {

/// Schedules transfers over one link. A transfer that a request waits for may use the whole link; background
/// copies start only if the backlog of the link is short.
class link_budget {
public:
    /// @param bytesPerSecond capacity of the link.
    explicit link_budget(std::uint64_t bytesPerSecond);

    /// @return how long a transfer that starts now would take, including those already reserved.
    milliseconds estimate(std::uint64_t bytes, instant now) const;

    /// Reserves link time for a transfer.
    void reserve(std::uint64_t bytes, instant now);

    /// @return whether a background copy may start without a noticeable delay for waiting requests.
    bool allowsBackground(instant now) const;

    std::uint64_t bytesReserved() const { return m_bytesReserved; }

private:
    std::uint64_t m_bytesPerSecond;
    std::uint64_t m_bytesReserved = 0;
    instant m_busyUntil {};
};

} // namespace plumfold::core
