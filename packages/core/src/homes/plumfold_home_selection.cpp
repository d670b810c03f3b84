// The part of target_selector that selects a model engine by home.

#include "plumfold/core/homes/plumfold_home_choice.hpp"
#include "plumfold/core/plumfold_hash.hpp"
#include "plumfold/core/plumfold_target_selector.hpp"

#include <map>
#include <string>
#include <utility>
#include <vector>

namespace plumfold::core {

namespace {

/// Counts for engines without a current load report.
constexpr double unknownReportAgeMs = 500;
/// A prompt with more to prefill delays the steps of running streams by more than one chunk of the prefill.
constexpr double maxChunkTokens = 4'096;

} // namespace

void target_selector::setPosition(const entry_position& position)
{
    bool isOnlyDomain = position.entries >= m_entries;
    if (!m_hasHomes || (position == m_position && isOnlyDomain == m_isOnlyDomain))
        return;
    m_position = position;
    m_isOnlyDomain = isOnlyDomain;
    assignHomes();
}

/// Divides the engines of this entry's failure domain by service. If all entries are in this failure domain,
/// they divide the engines of the other ones, too.
void target_selector::assignHomes()
{
    if (!usesHomes())
        return;
    std::map<std::pair<std::string, std::string>, std::vector<tracked_target*>> groups;
    for (auto& [name, target] : m_targets) {
        target.homeShare = 0;
        bool isHomeDomain = target.last.failureDomain == m_options.failureDomain;
        if ((isHomeDomain || m_isOnlyDomain) && target.last.state != target_state::leaving)
            groups[{ target.last.service, target.last.failureDomain }].push_back(&target);
    }
    for (auto& [key, targets] : groups) {
        std::vector<std::string> names;
        names.reserve(targets.size());
        for (const auto* target : targets)
            names.push_back(target->last.name);
        auto shares = homeShares(m_position, names);
        for (std::size_t index = 0; index < targets.size(); ++index)
            targets[index]->homeShare = shares[index];
    }
}

void target_selector::onFirstEvent(const std::string& target, std::uint64_t prompt, instant now)
{
    if (auto found = m_targets.find(target); prompt != 0 && found != m_targets.end())
        found->second.backlog.finish(prompt, now);
}

void target_selector::recordPrompt(
    tracked_target& target, const prompt_time& time, placement& out, instant now)
{
    if (!m_hasHomes)
        return;
    out.prompt = ++m_lastPrompt;
    target.backlog.start(out.prompt, time.fetchMs, time.prefillMs, now);
    if (usesHomes())
        out.homeShare = target.homeShare;
}

target_selector::prompt_time target_selector::promptTime(
    const tracked_target& target, const placement_request& request, bool isPreferred) const
{
    double rate = latencyOf(target.last.service).prefillTokensPerMs;
    double missMs = cacheMissMs(target, request, isPreferred);
    bool isFetched = request.storedIn || !request.holders.empty();
    if (request.sharedCost)
        isFetched = missMs < static_cast<double>(request.sharedTokens) / rate;
    double ownMs = static_cast<double>(request.promptTokens - request.sharedTokens) / rate;
    return isFetched ? prompt_time { missMs, ownMs } : prompt_time { 0, ownMs + missMs };
}

target_selector::tracked_target* target_selector::selectByHome(
    std::vector<tracked_target*>& candidates, const placement_request& request, instant now) const
{
    const auto* preferred = preferredTarget(candidates, request.session);
    std::vector<home_candidate> engines;
    engines.reserve(candidates.size());
    for (const auto* target : candidates) {
        double wait = waitMs(*target, request, now);
        double own = prefillMs(*target, request, target == preferred) + staleWeightsPenalty(*target, request);
        bool isReported = target->load && now - target->loadAt < m_options.maxLoadAge;
        double age = isReported ? std::chrono::duration<double, std::milli>(now - target->loadAt).count()
                                : unknownReportAgeMs;
        bool hasStreams = target->inFlight > target->backlog.unfinished();
        engines.push_back(
            { wait, own, target->homeShare, age, hasStreams, hashBytes(target->last.name, request.session) });
    }
    constexpr milliseconds second { 1'000 };
    unseen_work unseen;
    if (auto work = m_sessionWork.find(request.service); work != m_sessionWork.end())
        unseen.perMs = work->second.expected(second, now) / static_cast<double>(second.count()) * m_entries
            / static_cast<double>(candidates.size());
    auto toPrefill = static_cast<double>(request.promptTokens);
    if (request.storedIn || !request.holders.empty())
        toPrefill -= static_cast<double>(request.sharedTokens);
    return candidates[chooseEngine(engines, unseen, toPrefill > maxChunkTokens)];
}

} // namespace plumfold::core
