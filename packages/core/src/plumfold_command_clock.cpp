#include "plumfold/core/plumfold_command_clock.hpp"

#include <algorithm>

namespace plumfold::core {

void command_clock::observe(unix_milliseconds at, instant)
{
    m_latest = std::max(m_latest, at);
}

unix_milliseconds command_clock::next(unix_milliseconds wallClock, instant)
{
    m_latest = std::max(m_latest, wallClock);
    return m_latest;
}

} // namespace plumfold::core
