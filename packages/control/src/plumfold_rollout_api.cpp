#include "plumfold_rollout_api.hpp"

#include "plumfold/runtime/plumfold_clock.hpp"
#include "plumfold/runtime/plumfold_log.hpp"

namespace plumfold::control {

namespace {

using Poco::Net::HTTPResponse;

api_response responseTo(const core::rollout_result& result)
{
    switch (result.outcome) {
    case core::rollout_outcome::begun:
    case core::rollout_outcome::repeated:
        return {};
    case core::rollout_outcome::other_running:
        return errorResponse(HTTPResponse::HTTP_CONFLICT,
            "a rollout of the service to another version is running: wait for its end");
    default:
        return errorResponse(HTTPResponse::HTTP_SERVICE_UNAVAILABLE,
            "a later rollout of the service was ordered: this order was not carried out, try again");
    }
}

} // namespace

kj::Promise<void> rollout_api::confirm()
{
    auto left = std::chrono::ceil<core::milliseconds>(m_deadline - runtime::nowWithSuspension());
    auto timeout = std::max<std::int64_t>(left.count(), 0) * kj::MILLISECONDS;
    return m_rpc.timer().timeoutAfter(timeout, m_leader.confirm(timeout));
}

bool rollout_api::isServiceKnown(const platform::begin_rollout_call& call) const
{
    if (m_feed.hasService(call.service))
        return true;
    // An order that was accepted is acknowledged again, although the service was removed meanwhile.
    const auto& rollouts = m_feed.view().deployment->rollouts;
    auto latest = rollouts.find(call.service);
    return latest != rollouts.end() && latest->second.version == call.version
        && latest->second.state != core::rollout_state::rolled_back;
}

std::optional<api_response> rollout_api::check(const platform::begin_rollout_call& call) const
{
    if (m_feed.view().deployment->document.text.empty())
        return errorResponse(
            HTTPResponse::HTTP_SERVICE_UNAVAILABLE, "no configuration was accepted yet: try again");
    if (!isServiceKnown(call))
        return errorResponse(
            HTTPResponse::HTTP_BAD_REQUEST, "the configuration has no service \"" + call.service + '"');
    const auto& rollouts = m_feed.view().deployment->rollouts;
    auto latest = rollouts.find(call.service);
    bool isOtherRunning = latest != rollouts.end() && latest->second.state == core::rollout_state::running
        && latest->second.version != call.version;
    if (isOtherRunning)
        return responseTo({ core::rollout_outcome::other_running, latest->second.id });
    return std::nullopt;
}

kj::Promise<std::optional<api_response>> rollout_api::checkBeforeProposal(
    const platform::begin_rollout_call& call)
{
    if (!check(call))
        return std::optional<api_response>();
    // Callers do not repeat an order after such a refusal, and this control VM may lag behind. An order that
    // is refused because another rollout runs must not be proposed at all: the message of an earlier attempt
    // may reach a leader after the end of that rollout, whose id it names as the latest.
    return confirm().then([this, call] { return check(call); });
}

core::begin_rollout_command rollout_api::makeCommand(const platform::begin_rollout_call& call) const
{
    core::begin_rollout_command command { call.service, call.version,
        m_versions.formerVersions(call.service, call.version), call.durationMs, 0 };
    const auto& rollouts = m_feed.view().deployment->rollouts;
    auto latest = rollouts.find(call.service);
    command.lastKnownRollout = latest == rollouts.end() ? 0 : latest->second.id;
    return command;
}

kj::Promise<api_response> rollout_api::order(const platform::begin_rollout_call& call)
{
    // A rollout that becomes known while this order waits for an answer counts as a later one, so all
    // attempts use the same command.
    core::command command { 0, makeCommand(call) };
    return checkBeforeProposal(call).then(
        [this, command](std::optional<api_response> refusal) -> kj::Promise<api_response> {
            if (refusal)
                return std::move(*refusal);
            return m_leader.submit([command] { return command; }, m_deadline)
                .then([](propose_response response) -> api_response {
                    const auto* result = std::get_if<core::rollout_result>(&response.result);
                    return responseTo(result ? *result : core::rollout_result {});
                });
        });
}

api_response rollout_api::begin(const platform::begin_rollout_call& call)
{
    api_response response;
    try {
        response = m_rpc.run([&] { return order(call); });
    } catch (const kj::Exception& exception) {
        response = unavailableResponse(exception);
    }
    if (response.status != HTTPResponse::HTTP_OK)
        runtime::log_event("rollout_refused", runtime::log_level::warning)
            .with("service", call.service)
            .with("version", call.version)
            .with("status", static_cast<int>(response.status))
            .with("reason", response.body);
    return response;
}

api_response rollout_api::read(const platform::read_rollout_call& call)
{
    try {
        return m_rpc.run([&] {
            return confirm().then([&]() -> api_response {
                const auto& rollouts = m_feed.view().deployment->rollouts;
                auto latest = rollouts.find(call.service);
                if (latest == rollouts.end())
                    return errorResponse(
                        HTTPResponse::HTTP_NOT_FOUND, "the service never had a rollout of its version");
                return { HTTPResponse::HTTP_OK, platform::encodeRollout(latest->second, call.isDetailed) };
            });
        });
    } catch (const kj::Exception& exception) {
        return unavailableResponse(exception);
    }
}

} // namespace plumfold::control
