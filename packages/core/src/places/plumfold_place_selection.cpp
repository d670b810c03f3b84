// The part of target_selector that lists targets for requests that need a place.

#include "plumfold/core/plumfold_target_selector.hpp"

#include <algorithm>

namespace plumfold::core {

namespace {

/// Issuers refuse requests for a place that name more candidates.
constexpr std::size_t maxPlaceCandidates = 8;
/// Issuers refuse candidates that announce more slots.
constexpr std::uint32_t maxPlaceSlots = 10'000;

} // namespace

std::vector<place_candidate> target_selector::placeCandidates(const placement_request& request, instant now)
{
    auto listed = listCandidates(request, now).targets;
    if (listed.empty() && mayFallBack(request, now)) {
        auto other = request;
        other.isCohortFallback = true;
        listed = listCandidates(other, now).targets;
    }
    std::erase_if(
        listed, [](const auto* each) { return each->last.slots == 0 || each->last.slots > maxPlaceSlots; });
    std::sort(listed.begin(), listed.end(),
        [&](const auto* left, const auto* right) { return plainCost(*left) < plainCost(*right); });
    listed.resize(std::min(listed.size(), maxPlaceCandidates));
    std::vector<place_candidate> out;
    out.reserve(listed.size());
    for (const auto* each : listed)
        out.push_back({ each->last.name, each->last.startedAt, each->last.slots, each->inFlight });
    return out;
}

std::uint32_t target_selector::usableSlots(const std::string& service, instant now) const
{
    std::uint32_t slots = 0;
    for (const auto& [name, target] : m_targets) {
        bool isUsable = target.last.service == service && isResponsive(target, now)
            && !m_outOfService.contains(target.last.failureDomain) && now >= target.backoffUntil
            && now >= target.restsUntil && !m_demands.isLeaving(name, target.last.startedAt)
            && target.rollout.role != rollout_role::barred;
        if (isUsable)
            slots += std::min(target.last.slots, maxPlaceSlots);
    }
    return slots;
}

} // namespace plumfold::core
