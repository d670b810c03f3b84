#include "plumfold/core/plumfold_pause_detector.hpp"

namespace plumfold::core {

bool pause_detector::tick(instant now)
{
    bool isPause = m_lastTick && now - *m_lastTick >= minPause;
    if (isPause) {
        // Pauses in quick succession count as one: what arrived in the first may be read after the last.
        if (!m_pauseEnd || *m_lastTick - *m_pauseEnd >= backlogTime)
            m_pauseStart = *m_lastTick;
        m_pauseEnd = now;
    }
    m_lastTick = now;
    return isPause;
}

milliseconds pause_detector::possibleWait(instant now) const
{
    auto since = [&](instant start) { return std::chrono::duration_cast<milliseconds>(now - start); };
    // The message may be read before the first tick after the pause.
    bool isUnnoticed = m_lastTick && now - *m_lastTick >= minPause;
    bool isRecent = m_pauseEnd && m_lastTick && (isUnnoticed ? *m_lastTick : now) - *m_pauseEnd < backlogTime;
    if (isRecent)
        return since(m_pauseStart);
    return isUnnoticed ? since(*m_lastTick) : milliseconds(0);
}

} // namespace plumfold::core
