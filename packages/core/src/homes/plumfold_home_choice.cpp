#include "plumfold/core/homes/plumfold_home_choice.hpp"

#include "plumfold/core/plumfold_hash.hpp"

#include <algorithm>
#include <limits>

namespace plumfold::core {

namespace {

/// Costs that differ by less are equal. A prompt with much to prefill prefers engines without own streams
/// among equal ones.
constexpr double equalMs = 4;

} // namespace

double unseen_work::expectedMs(const home_candidate& engine) const
{
    double timeMs = engine.reportAgeMs + engine.waitMs + engine.ownMs;
    return (1 - engine.homeShare) * std::max(perMs * timeMs, floorMs);
}

std::size_t chooseEngine(
    const std::vector<home_candidate>& candidates, const unseen_work& unseen, bool isLong)
{
    constexpr double none = std::numeric_limits<double>::infinity();
    std::vector<double> costs;
    costs.reserve(candidates.size());
    std::size_t best = candidates.size();
    double bestMs = none;
    for (const auto& each : candidates) {
        double cost = each.waitMs + each.ownMs + unseen.expectedMs(each)
            + (isLong && each.hasOwnStreams ? equalMs : 0);
        if (cost < bestMs) {
            best = costs.size();
            bestMs = cost;
        }
        costs.push_back(cost);
    }
    if (best == candidates.size() || candidates[best].homeShare > 0)
        return best;
    // Other entries know the same of foreign engines, so the least loaded one would attract them all.
    double level = bestMs + std::max(unseen.expectedMs(candidates[best]), equalMs);
    double bestScore = -none;
    for (std::size_t index = 0; index < candidates.size(); ++index) {
        if (candidates[index].homeShare > 0 || costs[index] >= level)
            continue;
        double score = rendezvousScore(candidates[index].key, level - costs[index]);
        if (score <= bestScore)
            continue;
        best = index;
        bestScore = score;
    }
    return best;
}

} // namespace plumfold::core
