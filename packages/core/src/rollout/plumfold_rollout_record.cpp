#include "plumfold/core/rollout/plumfold_rollout_record.hpp"

namespace plumfold::core {

namespace {

/// @return the software versions that must not be used once a rollout has ended.
std::set<std::string> endedVersionsOf(const rollout_record& ended)
{
    auto versions = ended.endedVersions;
    if (ended.state == rollout_state::completed)
        versions.insert(ended.formerVersions.begin(), ended.formerVersions.end());
    else
        versions.insert(ended.version);
    return versions;
}

} // namespace

rollout_result beginRollout(std::optional<rollout_record>& latest, const begin_rollout_command& command,
    unix_milliseconds at, std::uint64_t logIndex)
{
    bool isSame = latest && latest->version == command.version;
    bool isRunning = latest && latest->state == rollout_state::running;
    bool isRecent = latest && at < latest->orderedAt + rolloutRepetitionMs;
    bool isRolledBack = latest && latest->state == rollout_state::rolled_back;
    if (isSame && (!isRolledBack || isRecent))
        return { rollout_outcome::repeated, latest->id };
    if (isRunning)
        return { rollout_outcome::other_running, latest->id };
    if (latest && latest->id != command.lastKnownRollout)
        return { rollout_outcome::outdated, latest->id };
    rollout_record next;
    next.id = logIndex;
    next.version = command.version;
    next.formerVersions = command.formerVersions;
    if (latest)
        next.endedVersions = endedVersionsOf(*latest);
    // Those without a target are forgotten, so that the record does not grow with each rollout.
    std::erase_if(
        next.endedVersions, [&](const auto& version) { return !command.formerVersions.contains(version); });
    next.endedVersions.erase(command.version);
    next.formerVersions.erase(command.version);
    std::erase_if(
        next.formerVersions, [&](const auto& version) { return next.endedVersions.contains(version); });
    next.durationMs = command.durationMs;
    next.orderedAt = at;
    latest = std::move(next);
    return { rollout_outcome::begun, logIndex };
}

rollout_result decideRollout(std::optional<rollout_record>& latest, const decide_rollout_command& command)
{
    bool isCurrent = latest && latest->id == command.id && latest->sequence == command.sequence
        && latest->state == rollout_state::running;
    if (!isCurrent)
        return { rollout_outcome::not_decided, latest ? latest->id : 0 };
    ++latest->sequence;
    latest->state = command.state;
    latest->stage = command.stage;
    latest->share = command.share;
    latest->elapsedMs = command.elapsedMs;
    latest->totals = command.totals;
    latest->reason = command.reason;
    return { rollout_outcome::decided, latest->id };
}

} // namespace plumfold::core
