#include "plumfold_place_targets.hpp"

#include <algorithm>

namespace plumfold::core {

namespace {

/// An entry that sends no newer figure has stopped asking, and its requests have ended meanwhile.
constexpr milliseconds maxFigureAge { 1'000 };
constexpr milliseconds checkInterval { 50 };
constexpr milliseconds regainInterval { 500 };
constexpr milliseconds idleTime { 10'000 };

} // namespace

place_target_key keyOf(const place_candidate& candidate)
{
    return { candidate.target, candidate.startedAt };
}

void place_target::update(std::uint64_t client, const place_candidate& told, instant now)
{
    updateSlots(told.slots, now);
    auto found = m_withoutPlace.find(client);
    if (found != m_withoutPlace.end()) {
        m_withoutPlaceSum -= found->second.requests;
        m_withoutPlace.erase(found);
    }
    if (told.withoutPlace == 0)
        return;
    m_withoutPlace[client] = { told.withoutPlace, now };
    m_withoutPlaceSum += told.withoutPlace;
}

void place_target::updateSlots(std::uint32_t slots, instant now)
{
    m_slots = slots;
    m_usedAt = now;
}

void place_target::removeHeld(place_outcome outcome, instant now)
{
    if (outcome == place_outcome::rejected) {
        forgetOldFigures(now);
        auto used
            = static_cast<std::uint32_t>(std::min<std::uint64_t>(m_held + m_withoutPlaceSum, UINT32_MAX));
        auto lowered = std::max((m_slots + 1) / 2, used - 1);
        m_loweredRoom = std::min(room(now), lowered);
        m_loweredAt = now;
        m_isLowered = true;
    }
    --m_held;
    m_usedAt = now;
}

std::uint32_t place_target::room(instant now) const
{
    if (!m_isLowered)
        return fullRoom();
    auto regained = static_cast<std::uint64_t>((now - m_loweredAt) / regainInterval);
    return static_cast<std::uint32_t>(std::min<std::uint64_t>(fullRoom(), m_loweredRoom + regained));
}

void place_target::forgetOldFigures(instant now)
{
    if (now < m_nextCheckAt)
        return;
    m_nextCheckAt = now + checkInterval;
    std::erase_if(m_withoutPlace, [&](const auto& each) {
        bool isOld = now - each.second.toldAt > maxFigureAge;
        if (isOld)
            m_withoutPlaceSum -= each.second.requests;
        return isOld;
    });
}

std::int64_t place_target::freeRoom(bool isHalved, instant now)
{
    forgetOldFigures(now);
    std::uint32_t usable = isHalved ? std::max(1u, room(now) / 2) : room(now);
    return static_cast<std::int64_t>(usable) - static_cast<std::int64_t>(m_held + m_withoutPlaceSum);
}

bool place_target::isIdle(instant now) const
{
    return m_held == 0 && waiting.empty() && now - m_usedAt > idleTime;
}

} // namespace plumfold::core
