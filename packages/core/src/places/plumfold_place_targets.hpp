#pragma once

#include "plumfold/core/places/plumfold_place_types.hpp"

#include <map>
#include <set>
#include <string>
#include <tuple>

namespace plumfold::core {

/// One incarnation of a target.
struct place_target_key {
    std::string target;
    unix_milliseconds startedAt = 0;
    auto operator<=>(const place_target_key&) const = default;
};

place_target_key keyOf(const place_candidate& candidate);

/// Room of one incarnation of a target, as all entries together use it.
class place_target {
public:
    /// Records what an entry tells of the target.
    void update(std::uint64_t client, const place_candidate& told, instant now);
    /// Records the number of slots only.
    void updateSlots(std::uint32_t slots, instant now);

    void addHeld() { ++m_held; }
    /// @param outcome a rejection lowers the room.
    void removeHeld(place_outcome outcome, instant now);

    /// @return how many more requests fit. Negative if more are there than fit.
    /// @param isHalved whether only half of the room is granted.
    std::int64_t freeRoom(bool isHalved, instant now);

    /// @return whether nothing is known of the target that matters.
    bool isIdle(instant now) const;

    /// Requests that wait and name this target: by urgency, then deadline, then number.
    std::set<std::tuple<std::uint8_t, instant, std::uint64_t>> waiting;

private:
    struct unplaced {
        std::uint32_t requests = 0;
        instant toldAt {};
    };

    std::uint32_t fullRoom() const { return m_slots + (m_slots + 3) / 4; }
    std::uint32_t room(instant now) const;
    void forgetOldFigures(instant now);

    std::uint32_t m_slots = 1;
    std::uint64_t m_held = 0;
    std::map<std::uint64_t, unplaced> m_withoutPlace; // by client, only those above 0
    std::uint64_t m_withoutPlaceSum = 0;
    instant m_nextCheckAt {};
    std::uint32_t m_loweredRoom = 0; // room right after the latest rejection
    instant m_loweredAt {};
    bool m_isLowered = false;
    instant m_usedAt {};
};

} // namespace plumfold::core
