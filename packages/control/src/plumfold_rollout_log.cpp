#include "plumfold_rollout_log.hpp"

#include "plumfold/core/rollout/plumfold_rollout_names.hpp"
#include "plumfold/runtime/plumfold_log.hpp"

#include <absl/strings/str_join.h>

namespace plumfold::control {

namespace {

void logRecord(const char* event, const std::string& service, const core::rollout_record& rollout)
{
    runtime::log_event(event)
        .with("service", service)
        .with("version", rollout.version)
        .with("id", rollout.id)
        .with("sequence", rollout.sequence)
        .with("state", core::rolloutStateName(rollout.state))
        .with("stage", core::rolloutStageName(rollout.stage))
        .with("share", rollout.share)
        .with("former_versions", absl::StrJoin(rollout.formerVersions, ","))
        .with("duration_ms", rollout.durationMs)
        .with("elapsed_ms", rollout.elapsedMs)
        .with("former_requests", rollout.totals.formerRequests)
        .with("next_requests", rollout.totals.nextRequests)
        .with("next_bad", rollout.totals.nextBad)
        .with("reason", rollout.reason);
}

} // namespace

void logRollout(
    const core::command& command, const core::command_result& result, const core::deployment_state& state)
{
    const auto* changed = std::get_if<core::rollout_result>(&result);
    if (!changed)
        return;
    if (const auto* order = std::get_if<core::begin_rollout_command>(&command.payload);
        order && changed->outcome == core::rollout_outcome::begun)
        logRecord("rollout_ordered", order->service, state.rollouts.at(order->service));
    if (const auto* decision = std::get_if<core::decide_rollout_command>(&command.payload);
        decision && changed->outcome == core::rollout_outcome::decided)
        logRecord("rollout_decided", decision->service, state.rollouts.at(decision->service));
}

} // namespace plumfold::control
