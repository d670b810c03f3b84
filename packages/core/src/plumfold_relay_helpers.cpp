#include "plumfold/core/plumfold_relay_helpers.hpp"

#include "plumfold/core/plumfold_hash.hpp"

#include <algorithm>

namespace plumfold::core {

namespace {

constexpr std::size_t maxHelpers = 8;
constexpr std::size_t maxLocalHelpers = 3;
/// Requests of one entry at one helper.
constexpr std::uint32_t maxInFlight = 64;
/// A remote helper is selected once the local ones have as many more own requests in flight.
constexpr std::uint32_t localPreference = 4;
constexpr milliseconds unavailableTime { 1'000 };

} // namespace

std::vector<entry_address> selectHelpers(
    const std::string& entry, const std::string& failureDomain, std::vector<entry_address> all)
{
    std::erase_if(all, [&](const auto& each) { return each.name == entry || each.address.empty(); });
    std::sort(all.begin(), all.end(), [&](const auto& left, const auto& right) {
        auto seed = hashBytes(entry);
        return std::pair(hashBytes(left.name, seed), left) > std::pair(hashBytes(right.name, seed), right);
    });
    std::vector<entry_address> selected;
    auto add = [&](bool isLocal, std::size_t limit) {
        for (const auto& each : all) {
            if (selected.size() < limit && (each.failureDomain == failureDomain) == isLocal)
                selected.push_back(each);
        }
    };
    add(true, maxLocalHelpers);
    add(false, maxHelpers);
    std::sort(selected.begin(), selected.end());
    return selected;
}

std::uint64_t digestOf(const std::vector<entry_address>& helpers)
{
    std::uint64_t digest = 0;
    for (const auto& each : helpers)
        digest = hashBytes(each.name + ' ' + each.address + ' ' + each.failureDomain, digest);
    return digest;
}

void relay_helpers::setHelpers(const std::vector<entry_address>& helpers)
{
    for (auto& [name, each] : m_helpers)
        each.isKnown = false;
    for (const auto& each : helpers) {
        auto& known = m_helpers[each.name];
        known.address = each;
        known.isKnown = true;
    }
    std::erase_if(
        m_helpers, [](const auto& each) { return !each.second.isKnown && each.second.inFlight == 0; });
}

std::optional<entry_address> relay_helpers::choose(const std::set<std::string>& excluded, instant now)
{
    tracked_helper* best = nullptr;
    auto cost = [&](const tracked_helper& helper) {
        return helper.inFlight + (helper.address.failureDomain == m_failureDomain ? 0 : localPreference);
    };
    for (auto& [name, each] : m_helpers) {
        bool isUsable = each.isKnown && each.inFlight < maxInFlight && now >= each.unavailableUntil
            && !excluded.contains(name);
        if (isUsable && (!best || cost(each) < cost(*best)))
            best = &each;
    }
    if (!best)
        return std::nullopt;
    ++best->inFlight;
    return best->address;
}

void relay_helpers::onEnded(const std::string& name, bool isUnavailable, instant now)
{
    auto found = m_helpers.find(name);
    if (found == m_helpers.end())
        return;
    found->second.inFlight -= found->second.inFlight > 0;
    if (isUnavailable)
        found->second.unavailableUntil = now + unavailableTime;
    if (!found->second.isKnown && found->second.inFlight == 0)
        m_helpers.erase(found);
}

} // namespace plumfold::core
