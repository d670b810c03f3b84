#include "plumfold/core/plumfold_command_clock.hpp"

#include <algorithm>

namespace plumfold::core {

namespace {

std::int64_t monotonicMs(instant now)
{
    return std::chrono::duration_cast<milliseconds>(now.time_since_epoch()).count();
}

} // namespace

void command_clock::observe(unix_milliseconds at, instant now)
{
    auto offset = static_cast<std::int64_t>(at) - monotonicMs(now);
    m_offsetMs = std::max(m_offsetMs.value_or(offset), offset);
}

unix_milliseconds command_clock::next(unix_milliseconds wallClock, instant now)
{
    observe(wallClock, now);
    return static_cast<unix_milliseconds>(monotonicMs(now) + *m_offsetMs);
}

} // namespace plumfold::core
