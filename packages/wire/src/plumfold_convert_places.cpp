#include "plumfold_convert_support.hpp"

#include <algorithm>
#include <limits>

namespace plumfold::wire {

namespace {

constexpr unsigned placeOutcomeCount = 3;
constexpr unsigned placeRefusalCount = 4;

void write(PlaceId::Builder out, const core::place_id& value)
{
    out.setClient(value.client);
    out.setNumber(value.number);
}

core::place_id read(PlaceId::Reader in)
{
    return { in.getClient(), in.getNumber() };
}

void write(PlaceCandidate::Builder out, const core::place_candidate& value)
{
    out.setTarget(value.target);
    out.setStartedAt(value.startedAt);
    out.setSlots(value.slots);
    out.setWithoutPlace(value.withoutPlace);
}

core::place_candidate read(PlaceCandidate::Reader in)
{
    return { text(in.getTarget()), in.getStartedAt(), in.getSlots(), in.getWithoutPlace() };
}

/// @return a duration as it can be sent: at least 0, at most some weeks.
std::uint32_t boundedMs(core::milliseconds time)
{
    constexpr std::int64_t maxMs = std::numeric_limits<std::uint32_t>::max();
    return static_cast<std::uint32_t>(std::clamp<std::int64_t>(time.count(), 0, maxMs));
}

} // namespace

void write(PlaceRequest::Builder out, const core::place_request& value)
{
    write(out.initId(), value.id);
    out.setService(value.service);
    out.setCustomer(value.customer);
    out.setPriority(value.priority);
    out.setMaxWaitMs(boundedMs(value.maxWait));
    auto candidates = out.initCandidates(static_cast<unsigned>(value.candidates.size()));
    for (unsigned index = 0; index < candidates.size(); ++index)
        write(candidates[index], value.candidates[index]);
}

core::place_request read(PlaceRequest::Reader in)
{
    core::place_request value { read(in.getId()), text(in.getService()), text(in.getCustomer()),
        in.getPriority(), core::milliseconds(in.getMaxWaitMs()), {} };
    for (auto each : in.getCandidates())
        value.candidates.push_back(read(each));
    return value;
}

void write(HeldPlace::Builder out, const core::held_place& value)
{
    write(out.initId(), value.id);
    write(out.initTarget(), value.target);
}

core::held_place read(HeldPlace::Reader in)
{
    return { read(in.getId()), read(in.getTarget()) };
}

void write(PlaceEnd::Builder out, const core::place_end& value)
{
    write(out.initId(), value.id);
    out.setOutcome(static_cast<std::uint8_t>(value.outcome));
}

core::place_end read(PlaceEnd::Reader in)
{
    return { read(in.getId()), checkedEnum<core::place_outcome>(in.getOutcome(), placeOutcomeCount) };
}

void write(PlaceDecision::Builder out, const core::place_decision& value)
{
    out.setTarget(value.target);
    out.setStartedAt(value.startedAt);
    out.setRefusal(static_cast<std::uint8_t>(value.refusal));
    out.setRetryAfterMs(boundedMs(value.retryAfter));
}

core::place_decision read(PlaceDecision::Reader in)
{
    return { text(in.getTarget()), in.getStartedAt(),
        checkedEnum<core::place_refusal>(in.getRefusal(), placeRefusalCount),
        core::milliseconds(in.getRetryAfterMs()) };
}

} // namespace plumfold::wire
