#include "plumfold/core/plumfold_weight_rollout.hpp"

#include <algorithm>

namespace plumfold::core {

namespace {

constexpr milliseconds checkInterval { 300 };
/// A load that no report shows as running counts as one of the concurrent loads for this time.
constexpr milliseconds unconfirmedPlaceTime { 1'000 };
/// An order counts as lost if its target is idle after this time.
constexpr milliseconds idleTimeout { 2'000 };
/// An order counts as lost after this time if the report of its target cannot be read. An order without a
/// response may still be executed some seconds later.
constexpr milliseconds unknownTimeout { 6'000 };
constexpr milliseconds initialBackoff { 500 };
constexpr milliseconds maxBackoff { 4'000 };
constexpr unsigned maxDoublings = 3; // from the initial to the maximum back-off

} // namespace

void weight_rollout::retain(const std::vector<outdated_target>& targets)
{
    std::map<load_key, std::uint64_t> versions;
    for (const auto& each : targets)
        versions[keyOf(each)] = each.currentVersion;
    std::erase_if(m_loads, [&](const auto& each) {
        auto found = versions.find(each.first);
        return found == versions.end() || found->second != each.second.version;
    });
    std::erase_if(m_failures, [&](const auto& each) { return !versions.contains(each.first); });
}

std::vector<outdated_target> weight_rollout::dueChecks(
    const std::vector<outdated_target>& targets, instant now) const
{
    std::vector<outdated_target> due;
    for (const auto& each : targets) {
        auto found = m_loads.find(keyOf(each));
        if (found != m_loads.end() && now >= found->second.nextCheck)
            due.push_back(each);
    }
    return due;
}

std::vector<outdated_target> weight_rollout::dueOrders(const std::vector<outdated_target>& targets,
    const std::map<std::string, std::size_t>& limits, instant now) const
{
    std::map<std::string, std::size_t> places = limits;
    for (const auto& [key, each] : m_loads) {
        if (auto left = places.find(key.second); left != places.end() && now < each.placeUntil)
            left->second -= left->second > 0;
    }
    auto candidates = targets;
    std::erase_if(candidates,
        [&](const auto& each) { return isLoading(each.name) || now < failuresOf(each).nextOrder; });
    std::sort(candidates.begin(), candidates.end(), [&](const auto& left, const auto& right) {
        return std::pair(failuresOf(left).count, left) < std::pair(failuresOf(right).count, right);
    });
    std::vector<outdated_target> due;
    for (auto& each : candidates) {
        auto left = places.find(each.model);
        if (left == places.end() || left->second == 0)
            continue;
        --left->second;
        due.push_back(std::move(each));
    }
    return due;
}

void weight_rollout::onOrdered(const outdated_target& target, instant now)
{
    m_loads[keyOf(target)] = { target.currentVersion, now, now + checkInterval, now + unconfirmedPlaceTime };
}

void weight_rollout::onNotOrdered(const outdated_target& target, instant now)
{
    addFailure(target, now);
}

bool weight_rollout::onChecked(const outdated_target& target, load_progress progress, instant now)
{
    auto found = m_loads.find(keyOf(target));
    if (found == m_loads.end())
        return false;
    auto& load = found->second;
    load.nextCheck = now + checkInterval;
    if (progress == load_progress::complete) {
        m_loads.erase(found);
        m_failures.erase(keyOf(target));
        return false;
    }
    if (progress == load_progress::running) {
        load.placeUntil = now + unconfirmedPlaceTime;
        return false;
    }
    auto timeout = progress == load_progress::idle ? idleTimeout : unknownTimeout;
    if (now - load.orderedAt <= timeout)
        return false;
    m_loads.erase(found);
    addFailure(target, now);
    return true;
}

/// @return whether a target has a load of any model.
bool weight_rollout::isLoading(const std::string& target) const
{
    return std::any_of(
        m_loads.begin(), m_loads.end(), [&](const auto& each) { return each.first.first == target; });
}

weight_rollout::failure_record weight_rollout::failuresOf(const outdated_target& target) const
{
    auto found = m_failures.find(keyOf(target));
    return found == m_failures.end() ? failure_record {} : found->second;
}

void weight_rollout::addFailure(const outdated_target& target, instant now)
{
    auto& record = m_failures[keyOf(target)];
    record.nextOrder
        = now + std::min(initialBackoff * (1 << std::min(record.count, maxDoublings)), maxBackoff);
    ++record.count;
}

} // namespace plumfold::core
