// The part of request_forwarder that acquires places on the targets of contended services.

#include "plumfold_request_forwarder.hpp"

#include "plumfold/runtime/plumfold_clock.hpp"
#include "plumfold/runtime/plumfold_log.hpp"

namespace plumfold::forwarding {

namespace {

/// A request whose places could not be used this often, since their targets had become unusable, is sent
/// without one.
constexpr unsigned maxUnusedPlaces = 3;

const char* nameOf(place_result result)
{
    constexpr const char* names[] = { "none", "granted", "refused", "no_issuer" };
    return names[static_cast<int>(result)];
}

} // namespace

const char* request_forwarder::placeResultName() const
{
    return nameOf(m_placeResult);
}

bool request_forwarder::needsPlace()
{
    return m_placeResult != place_result::no_issuer && m_unusedPlaces < maxUnusedPlaces
        && m_state.places.isNeeded(*m_deployment, m_service, runtime::now());
}

/// Ends the wait for a place, if there is one.
void request_forwarder::dropPlaceWait(place_drop reason)
{
    m_placeDrop = reason;
    m_placeWait.drop();
}

core::place_request request_forwarder::placeRequest(const core::placement_request& request)
{
    core::place_request out;
    out.service = m_service;
    out.customer = customerName();
    out.priority = priority();
    out.maxWait = core::maxPlaceWait(
        timeLeft(), m_route->latencyTarget, core::admission::maxWaitShare(priority()), m_placeWaitTime);
    out.candidates = m_state.targetSelector.placeCandidates(request, runtime::now());
    for (auto& each : out.candidates) {
        auto held = static_cast<std::uint32_t>(m_state.places.client().heldOn(each.target));
        each.withoutPlace -= std::min(each.withoutPlace, held);
    }
    return out;
}

/// Asks for a place of a request for which a target was chosen. What was checked before may have changed
/// while the request waited, so the target is chosen anew.
/// @param selection receives the target on which a place was granted.
/// @param place receives the place.
task<place_step> request_forwarder::acquirePlace(
    const core::placement_request& request, core::placement_result& selection, place_holder& place)
{
    m_state.targetSelector.onAttemptEnded(selection.chosen->target, core::attempt_result::not_started,
        core::target_selector::expectedTokens(request), runtime::now(), selection.chosen->prompt);
    selection.chosen.reset();
    auto asked = placeRequest(request);
    if (asked.candidates.empty()) {
        recordPlaceResult(place_result::no_issuer);
        co_return place_step::repeat;
    }
    auto askedAt = runtime::nowWithSuspension();
    auto acquired = co_await m_state.places.client().acquire(std::move(asked), m_placeWait);
    auto waited = std::chrono::duration_cast<core::milliseconds>(runtime::nowWithSuspension() - askedAt);
    m_placeWaitTime += waited;
    if (m_callerDisconnected)
        co_return place_step::over;
    if (m_placeWait.isDropped() && m_placeDrop == place_drop::stopping) {
        // Others serve it.
        m_isUnavailable = m_relayed.has_value();
        rejectUnlessRun("stopping", core::milliseconds(0));
        co_return place_step::over;
    }
    if (runtime::now() >= m_deadline) {
        classifyFailure(beast::error::timeout);
        co_return place_step::over;
    }
    if (m_placeWait.isDropped())
        co_return place_step::repeat;
    const auto& decision = acquired.decision;
    if (!decision || decision->refusal == core::place_refusal::unusable) {
        recordPlaceResult(place_result::no_issuer);
        co_return place_step::repeat;
    }
    m_state.places.onDecision(m_service, *decision, waited, runtime::now());
    if (decision->refusal != core::place_refusal::none) {
        recordPlaceResult(place_result::refused);
        rejectUnlessRun("no_room", decision->retryAfter);
        co_return place_step::over;
    }
    recordPlaceResult(place_result::granted);
    if (!useGrantedTarget(*decision, selection)) {
        ++m_unusedPlaces;
        co_return place_step::repeat;
    }
    place = std::move(acquired.place);
    co_return place_step::send;
}

/// @return whether the target of a place may still get the request.
bool request_forwarder::useGrantedTarget(
    const core::place_decision& decision, core::placement_result& selection)
{
    bool isRelayDue = !m_relayed && !m_isTrial && m_state.link.isLost() && !m_state.helpers.empty();
    if (isRelayDue || !m_state.targetSelector.isIncarnation(decision.target, decision.startedAt))
        return false;
    // The rollout's plan and the time left may have changed since the request was made.
    auto again = placementRequest();
    again.onlyTarget = decision.target;
    selection = m_state.targetSelector.choose(again, runtime::now());
    return selection.chosen.has_value();
}

void request_forwarder::recordPlaceResult(place_result result)
{
    m_placeResult = result;
    m_state.metrics.count(
        "plumfold_places_total{service=\"" + m_service + "\",result=\"" + placeResultName() + "\"}");
    m_state.metrics.observe("plumfold_place_wait_ms", static_cast<double>(m_placeWaitTime.count()));
}

/// Refuses a request that no target has run; one that may have run gets the response of its last attempt.
void request_forwarder::rejectUnlessRun(const char* reason, core::milliseconds retryAfter)
{
    m_reason = reason;
    if (!m_mayHaveExecuted && !m_streamStarted)
        reject(http::status::service_unavailable, reason, retryAfter);
}

/// Runs an attempt and ends the place of the request, if it has one.
task<core::attempt_result> request_forwarder::attemptWithPlace(
    const core::placement& placement, place_holder& place)
{
    m_isTargetFull = false;
    m_state.places.onSent(m_service, runtime::now());
    auto result = co_await attempt(placement);
    m_state.places.onEnded(m_service, m_isTargetFull, runtime::now());
    bool hasRun = result == core::attempt_result::answered || result == core::attempt_result::failed;
    place.end(m_isTargetFull ? core::place_outcome::rejected
            : hasRun         ? core::place_outcome::served
                             : core::place_outcome::unused);
    co_return result;
}

} // namespace plumfold::forwarding
