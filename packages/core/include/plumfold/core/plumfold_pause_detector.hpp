#pragma once

#include "plumfold/core/plumfold_time.hpp"

#include <optional>

namespace plumfold::core {

/// Detects that this process stood still, for example because its machine was suspended, by the gaps between
/// regular ticks. Performs no I/O and reads no clock; all times must include suspensions.
class pause_detector {
public:
    /// A gap of this length or more is a pause.
    static constexpr milliseconds minPause { 700 };
    /// Time after a pause in which messages that arrived during it may still be read.
    static constexpr milliseconds backlogTime { 1'000 };

    /// To be called regularly, at intervals well below minPause.
    /// @return whether the process stood still since the last call.
    bool tick(instant now);

    /// @return for how long a message that is read now may have waited at most because of a pause; 0 if there
    /// was none.
    milliseconds possibleWait(instant now) const;

private:
    std::optional<instant> m_lastTick;
    instant m_pauseStart {};
    std::optional<instant> m_pauseEnd;
};

} // namespace plumfold::core
