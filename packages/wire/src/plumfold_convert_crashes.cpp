#include "plumfold_convert_support.hpp"

#include <algorithm>
#include <limits>

namespace plumfold::wire {

namespace {

std::uint32_t millisecondsOf(core::milliseconds time)
{
    constexpr std::int64_t most = std::numeric_limits<std::uint32_t>::max();
    return static_cast<std::uint32_t>(std::clamp<std::int64_t>(time.count(), 0, most));
}

} // namespace

void write(CrashSuspect::Builder out, const core::crash_suspect& value)
{
    out.setTrait(value.trait);
    out.setCrashes(value.crashes);
}

core::crash_suspect read(CrashSuspect::Reader in)
{
    return core::crash_suspect { in.getTrait(), in.getCrashes() };
}

void write(RequestTraits::Builder out, const core::request_traits& value)
{
    out.setFingerprint(value.fingerprint);
    out.setCustomer(value.customer);
    out.setIsolated(value.isIsolated);
    writeNumbers(out.initParts(value.parts.size()), value.parts);
}

core::request_traits read(RequestTraits::Reader in)
{
    return core::request_traits { in.getFingerprint(), in.getCustomer(), in.getIsolated(),
        readNumbers<std::vector<std::uint64_t>>(in.getParts()) };
}

void write(CrashReport::Builder out, const core::crash_report& value)
{
    out.setTarget(value.target);
    out.setStartedAt(value.startedAt);
    out.setService(value.service);
    writeList(out.initVictims(value.victims.size()), value.victims);
    out.setAgeMs(millisecondsOf(value.age));
}

core::crash_report read(CrashReport::Reader in)
{
    return core::crash_report { text(in.getTarget()), in.getStartedAt(), text(in.getService()),
        readList(in.getVictims()), core::milliseconds(in.getAgeMs()) };
}

void write(SuspectSuccess::Builder out, const core::suspect_success& value)
{
    out.setTrait(value.trait);
    out.setAgeMs(millisecondsOf(value.age));
}

core::suspect_success read(SuspectSuccess::Reader in)
{
    return core::suspect_success { in.getTrait(), core::milliseconds(in.getAgeMs()) };
}

void write(RecordedSuccess::Builder out, const core::recorded_success& value)
{
    out.setTrait(value.trait);
    out.setOrigin(value.origin);
    out.setNumber(value.number);
    out.setAgeMs(millisecondsOf(value.age));
}

core::recorded_success read(RecordedSuccess::Reader in)
{
    return core::recorded_success { in.getTrait(), in.getOrigin(), in.getNumber(),
        core::milliseconds(in.getAgeMs()) };
}

void write(CrashVerdict::Builder out, const core::crash_verdict& value)
{
    out.setId(value.id);
    writeNumbers(out.initTraits(value.traits.size()), value.traits);
    out.setCrashes(value.crashes);
    out.setKeepForMs(millisecondsOf(value.keepFor));
    out.setWithdrawn(value.isWithdrawn);
}

core::crash_verdict read(CrashVerdict::Reader in)
{
    return core::crash_verdict { in.getId(), readNumbers<std::set<std::uint64_t>>(in.getTraits()),
        in.getCrashes(), core::milliseconds(in.getKeepForMs()), in.getWithdrawn() };
}

} // namespace plumfold::wire
