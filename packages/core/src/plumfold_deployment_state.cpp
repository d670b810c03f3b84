#include "plumfold/core/plumfold_deployment_state.hpp"

namespace plumfold::core {

bool deployment_state::adopt(const deployment_document& next)
{
    if (next.version <= document.version)
        return false;
    document = next;
    ++revision;
    return true;
}

bool deployment_state::setInService(const std::string& failureDomain, bool inService)
{
    bool changed
        = inService ? outOfService.erase(failureDomain) > 0 : outOfService.insert(failureDomain).second;
    revision += changed;
    if (changed && inService)
        returns[failureDomain] = revision;
    return changed;
}

bool deployment_state::setCurrentWeights(const std::string& model, std::uint64_t version)
{
    auto& current = weights[model];
    if (version <= current)
        return false;
    current = version;
    ++revision;
    return true;
}

namespace {

/// Applies a command to the latest rollout of a service.
template <class Operation>
rollout_result applyTo(
    std::map<std::string, rollout_record>& rollouts, const std::string& service, Operation operation)
{
    auto found = rollouts.find(service);
    auto latest = found == rollouts.end() ? std::nullopt : std::optional(found->second);
    auto result = operation(latest);
    if (latest)
        rollouts[service] = std::move(*latest);
    return result;
}

} // namespace

rollout_result deployment_state::begin(
    const begin_rollout_command& command, unix_milliseconds at, std::uint64_t logIndex)
{
    auto result = applyTo(rollouts, command.service,
        [&](std::optional<rollout_record>& latest) { return beginRollout(latest, command, at, logIndex); });
    revision += result.outcome == rollout_outcome::begun;
    return result;
}

rollout_result deployment_state::decide(const decide_rollout_command& command)
{
    auto result = applyTo(rollouts, command.service,
        [&](std::optional<rollout_record>& latest) { return decideRollout(latest, command); });
    revision += result.outcome == rollout_outcome::decided;
    return result;
}

} // namespace plumfold::core
