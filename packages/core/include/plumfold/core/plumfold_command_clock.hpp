#pragma once

#include "plumfold/core/plumfold_time.hpp"

namespace plumfold::core {

/// Gives the commands of the replicated log their times, which never decrease.
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
    unix_milliseconds m_latest = 0;
};

} // namespace plumfold::core
