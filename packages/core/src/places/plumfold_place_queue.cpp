#include "plumfold_place_queue.hpp"

#include <algorithm>

namespace plumfold::core {

namespace {

/// Weight of one grant in the recent share of each level; about the latest 100 grants count.
constexpr double fading = 0.99;

} // namespace

void place_queue::push(const waiting_request& request)
{
    auto& level = m_levels[request.priority];
    level.requests.push(request);
    ++level.customers[request.customer];
    ++m_size;
}

void place_queue::countRemoval(const waiting_request& request)
{
    auto& level = m_levels.at(request.priority);
    auto customer = level.customers.find(request.customer);
    if (--customer->second == 0)
        level.customers.erase(customer);
    if (level.requests.size() == 0)
        level.passedOver = 0;
    --m_size;
}

void place_queue::remove(const waiting_request& request)
{
    if (m_levels.at(request.priority).requests.remove(request.request))
        countRemoval(request);
}

const waiting_request* place_queue::next() const
{
    const level_queue* mostUrgent = nullptr;
    const level_queue* longestPassedOver = nullptr;
    for (const auto& [priority, level] : m_levels) {
        if (level.requests.size() == 0)
            continue;
        if (!mostUrgent)
            mostUrgent = &level;
        else if (!longestPassedOver || level.passedOver > longestPassedOver->passedOver)
            longestPassedOver = &level;
    }
    if (!mostUrgent)
        return nullptr;
    bool isLessUrgentDue = longestPassedOver && m_urgentGrants >= maxUrgentGrants;
    return (isLessUrgentDue ? longestPassedOver : mostUrgent)->requests.front({});
}

void place_queue::grant(const waiting_request& request)
{
    bool doLessUrgentWait = false;
    bool doMoreUrgentWait = false;
    for (auto& [priority, level] : m_levels) {
        level.recentGrants *= fading;
        bool isWaiting = level.requests.size() > 0;
        doMoreUrgentWait |= isWaiting && priority < request.priority;
        if (priority > request.priority && isWaiting) {
            doLessUrgentWait = true;
            ++level.passedOver;
        }
    }
    m_urgentGrants = doLessUrgentWait && !doMoreUrgentWait ? m_urgentGrants + 1 : 0;
    auto& level = m_levels.at(request.priority);
    level.recentGrants += 1 - fading;
    level.passedOver = 0;
    level.requests.start(request.request);
    countRemoval(request);
}

double place_queue::moreUrgentShare(std::uint8_t level) const
{
    double moreUrgent = 0;
    double all = 0;
    for (const auto& [priority, each] : m_levels) {
        all += each.recentGrants;
        if (priority < level)
            moreUrgent += each.recentGrants;
    }
    return all > 0 ? moreUrgent / all : 0;
}

double place_queue::grantsBefore(std::uint8_t level, const std::string& customer) const
{
    std::size_t moreUrgent = 0;
    std::size_t sameLevel = 0;
    std::size_t waitingLevels = 1; // less urgent than the most urgent one, this one included
    bool isMostUrgent = true;
    for (const auto& [priority, each] : m_levels) {
        if (each.requests.size() == 0)
            continue;
        if (priority < level) {
            moreUrgent += each.requests.size();
            waitingLevels += isMostUrgent ? 0 : 1;
            isMostUrgent = false;
        } else if (priority > level) {
            ++waitingLevels;
        } else {
            // Customers take turns, so that of each other one, as many go first as this one has, and one
            // more.
            auto own = each.requests.sizeOf(customer);
            for (const auto& [name, waiting] : each.customers)
                sameLevel += name == customer ? own : std::min(waiting, own + 1);
        }
    }
    // More urgent requests that arrive meanwhile take their part, but not all: less urgent levels get every
    // ninth grant in turn.
    double share = std::max(1 - moreUrgentShare(level), 1e-3);
    double byUrgency = static_cast<double>(moreUrgent + sameLevel) / share;
    if (moreUrgent == 0)
        return byUrgency;
    auto byTurn = (sameLevel + 1) * waitingLevels * (maxUrgentGrants + 1);
    return std::min(byUrgency, static_cast<double>(byTurn));
}

} // namespace plumfold::core
