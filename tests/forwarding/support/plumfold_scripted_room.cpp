#include "plumfold_scripted_room.hpp"

namespace plumfold::tests {

namespace {

constexpr std::chrono::seconds rejectionWindow { 1 };
constexpr std::chrono::milliseconds stopCheckInterval { 20 };

} // namespace

scripted_room::scripted_room(int slots, int waiting)
    : m_slots(slots)
    , m_waitingLimit(waiting)
{
}

void scripted_room::setBrittle(std::optional<brittle_behaviour> behaviour)
{
    std::lock_guard lock(m_mutex);
    m_brittle = behaviour;
    m_brittleSince = std::chrono::steady_clock::now();
    m_rejections.clear();
}

int scripted_room::waitingLimit() const
{
    bool isShrunk = m_brittle && std::chrono::steady_clock::now() - m_brittleSince >= m_brittle->shrinkDelay;
    return isShrunk ? m_brittle->waiting : m_waitingLimit;
}

scripted_room::result scripted_room::reject()
{
    auto now = std::chrono::steady_clock::now();
    m_rejections.push_back(now);
    while (now - m_rejections.front() >= rejectionWindow)
        m_rejections.pop_front();
    bool isOverloaded = m_brittle && static_cast<int>(m_rejections.size()) > m_brittle->maxRejections;
    return isOverloaded ? result::overloaded : result::rejected;
}

scripted_room::result scripted_room::enter(const std::function<bool()>& isStopping)
{
    std::unique_lock lock(m_mutex);
    if (m_running >= m_slots) {
        if (m_waiting >= waitingLimit())
            return reject();
        ++m_waiting;
        while (m_running >= m_slots && !isStopping())
            m_slotFree.wait_for(lock, stopCheckInterval);
        --m_waiting;
        if (isStopping())
            return result::rejected;
    }
    ++m_running;
    return result::admitted;
}

void scripted_room::leave()
{
    std::lock_guard lock(m_mutex);
    --m_running;
    m_slotFree.notify_one();
}

std::string scripted_room::headers() const
{
    std::lock_guard lock(m_mutex);
    return m_brittle ? "Server-Brittle: " + std::to_string(m_brittle->maxRejections) + "\r\n" : std::string();
}

} // namespace plumfold::tests
