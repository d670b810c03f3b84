// The part of target_selector that selects a model engine for a request of a conversation.

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

} // namespace plumfold::core
