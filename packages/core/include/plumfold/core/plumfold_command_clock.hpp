#pragma once

#include "plumfold/core/plumfold_time.hpp"

#include <cstdint>
#include <optional>

namespace plumfold::core {

/// Gives the commands of the replicated log their times. These never decrease and advance at least as fast as
/// monotonic time, so that leases end even if the clock of a leader was ahead for a while.
class command_clock {
public:
    /// Records the time of a command in the log.
    /// @param now monotonic time that includes suspensions.
    void observe(unix_milliseconds at, instant now);

    /// @param wallClock time of day of this control VM.
    /// @param now monotonic time that includes suspensions.
    /// @return the time of the next command.
    unix_milliseconds next(unix_milliseconds wallClock, instant now);

private:
    std::optional<std::int64_t> m_offsetMs; // largest lead of the commands' times over monotonic time
};

} // namespace plumfold::core
