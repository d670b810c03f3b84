// The part of target_selector that selects one of the candidates for a request.

#include "plumfold/core/plumfold_target_selector.hpp"

#include "plumfold/core/plumfold_hash.hpp"

#include <algorithm>
#include <cmath>

namespace plumfold::core {

namespace {

/// Predicted times that differ by less are equal.
constexpr double equalMs = 1;

} // namespace

/// @return the waiting time to which the work that has arrived since the targets' load reports has raised
/// those with the shortest ones, if all entries spread it evenly; 0 if there are no reports.
double target_selector::expectedLevelMs(const std::vector<tracked_target*>& candidates,
    const std::vector<double>& waitsMs, const placement_request& request, instant now) const
{
    milliseconds ages { 0 };
    int reports = 0;
    for (const auto* target : candidates) {
        if (!target->load || now - target->loadAt >= m_options.maxLoadAge)
            continue;
        ages += std::chrono::duration_cast<milliseconds>(now - target->loadAt);
        ++reports;
    }
    auto work = m_sessionWork.find(request.service);
    if (reports == 0 || work == m_sessionWork.end())
        return 0;
    return levelAfterArrivals(waitsMs, work->second.expected(ages / reports, now) * m_entries);
}

/// Rendezvous hashing, so that all entries prefer the same target for a conversation.
target_selector::tracked_target* target_selector::preferredTarget(
    const std::vector<tracked_target*>& candidates, std::uint64_t session) const
{
    tracked_target* preferred = nullptr;
    std::uint64_t bestScore = 0;
    for (auto* target : candidates) {
        auto score = hashBytes(target->last.name, session);
        if (preferred && score <= bestScore)
            continue;
        preferred = target;
        bestScore = score;
    }
    return preferred;
}

target_selector::tracked_target* target_selector::selectForSession(
    std::vector<tracked_target*>& candidates, const placement_request& request, instant now) const
{
    if (usesHomes())
        return selectByHome(candidates, request, now);
    auto* preferred = preferredTarget(candidates, request.session);
    std::vector<double> waits;
    waits.reserve(candidates.size());
    for (const auto* target : candidates)
        waits.push_back(waitMs(*target, request, now));
    double level = expectedLevelMs(candidates, waits, request, now);
    tracked_target* best = nullptr;
    double bestMs = 0;
    double bestScore = 0;
    for (std::size_t index = 0; index < candidates.size(); ++index) {
        auto* target = candidates[index];
        double ms = std::max(waits[index], level) + prefillMs(*target, request, target == preferred)
            + staleWeightsPenalty(*target, request);
        bool isEqual = best && std::abs(ms - bestMs) < equalMs;
        // All entries choose the same one for a conversation, as far as their reports agree.
        double score = rendezvousScore(
            hashBytes(target->last.name, request.session), std::max(level - waits[index], equalMs));
        if (best && (isEqual ? score <= bestScore : ms > bestMs))
            continue;
        best = target;
        bestMs = isEqual ? std::min(ms, bestMs) : ms;
        bestScore = score;
    }
    return best;
}

target_selector::tracked_target* target_selector::selectTarget(
    std::vector<tracked_target*>& candidates, const placement_request& request, instant now) const
{
    if (candidates.empty())
        return nullptr;
    if (request.session != 0)
        return selectForSession(candidates, request, now);
    return *std::min_element(candidates.begin(), candidates.end(),
        [&](const auto* left, const auto* right) { return plainCost(*left) < plainCost(*right); });
}

/// @return what a request without a session costs on a target; the lowest is chosen.
std::tuple<double, std::uint64_t, std::string> target_selector::plainCost(const tracked_target& target) const
{
    bool isRemote = target.last.failureDomain != m_options.failureDomain;
    // A remote target is selected once the local ones have a whole batch more in flight.
    double load = static_cast<double>(target.inFlight) * m_entries / std::max(target.last.slots, 1u);
    // Equal ones are ranked differently by each entry, which spreads requests over idle targets.
    return { load + (isRemote ? 1.0 : 0.0), hashBytes(m_options.entryName, hashBytes(target.last.name)),
        target.last.name };
}

/// A penalty instead of an exclusion: otherwise the first targets that have loaded a new version would get
/// all requests.
/// @return what is added to the predicted time, in ms.
double target_selector::staleWeightsPenalty(
    const tracked_target& target, const placement_request& request) const
{
    return hasCurrentWeights(target, request.model) ? 0 : m_options.staleWeightsPenaltyMs;
}

} // namespace plumfold::core
