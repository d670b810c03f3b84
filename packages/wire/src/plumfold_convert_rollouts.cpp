#include "plumfold_convert_support.hpp"

#include <capnp/message.h>
#include <capnp/serialize-packed.h>

#include <algorithm>

namespace plumfold::wire {

namespace {

constexpr unsigned rolloutStateCount = 3;
constexpr unsigned rolloutStageCount = 5;
constexpr unsigned rolloutOutcomeCount = 6;

void write(RolloutTotals::Builder out, const core::rollout_totals& value)
{
    out.setFormerRequests(value.formerRequests);
    out.setNextRequests(value.nextRequests);
    out.setNextBad(value.nextBad);
}

core::rollout_totals read(RolloutTotals::Reader in)
{
    return { in.getFormerRequests(), in.getNextRequests(), in.getNextBad() };
}

/// Writes the members that a record and the command that changes it have in common.
template <class Decided> void writeDecision(RolloutDecision::Builder out, const Decided& value)
{
    out.setState(static_cast<std::uint8_t>(value.state));
    out.setStage(static_cast<std::uint8_t>(value.stage));
    out.setShare(value.share);
    out.setElapsedMs(value.elapsedMs);
    write(out.initTotals(), value.totals);
    out.setReason(value.reason);
}

template <class Decided> void readDecision(RolloutDecision::Reader in, Decided& value)
{
    value.state = checkedEnum<core::rollout_state>(in.getState(), rolloutStateCount);
    value.stage = checkedEnum<core::rollout_stage>(in.getStage(), rolloutStageCount);
    value.share = in.getShare();
    value.elapsedMs = in.getElapsedMs();
    value.totals = read(in.getTotals());
    value.reason = text(in.getReason());
}

std::vector<std::string> listOf(const std::set<std::string>& values)
{
    return { values.begin(), values.end() };
}

std::set<std::string> readTextSet(capnp::List<capnp::Text>::Reader in)
{
    auto values = readTexts(in);
    return { values.begin(), values.end() };
}

void write(RolloutCounts::Builder out, const core::rollout_counts& value)
{
    out.setFailures(value.failures);
    const auto& all = value.latencies;
    auto last = std::find_if(all.rbegin(), all.rend(), [](auto count) { return count > 0; });
    auto used = static_cast<unsigned>(all.rend() - last);
    auto latencies = out.initLatencies(used);
    for (unsigned index = 0; index < used; ++index)
        latencies.set(index, static_cast<std::uint32_t>(all[index]));
}

core::rollout_counts read(RolloutCounts::Reader in)
{
    core::rollout_counts value;
    value.failures = in.getFailures();
    auto latencies = in.getLatencies();
    // A process of a later version may have more classes; an RPC must not fail for it.
    for (unsigned index = 0; index < latencies.size(); ++index)
        value.latencies[std::min<std::size_t>(index, value.latencies.size() - 1)] += latencies[index];
    return value;
}

void write(RolloutRow::Builder out, const core::rollout_report::row& value)
{
    out.setRoute(value.stratum.route);
    out.setSizeClass(value.stratum.sizeClass);
    write(out.initFormer(), value.former);
    write(out.initNext(), value.next);
}

core::rollout_report::row read(RolloutRow::Reader in)
{
    return { { text(in.getRoute()), in.getSizeClass() }, read(in.getFormer()), read(in.getNext()) };
}

} // namespace

void write(ServiceRollout::Builder out, const std::string& service, const core::rollout_record& value)
{
    out.setService(service);
    out.setId(value.id);
    out.setVersion(value.version);
    writeTexts(out.initFormerVersions(value.formerVersions.size()), listOf(value.formerVersions));
    writeTexts(out.initEndedVersions(value.endedVersions.size()), listOf(value.endedVersions));
    out.setDurationMs(value.durationMs);
    out.setOrderedAt(value.orderedAt);
    out.setSequence(value.sequence);
    writeDecision(out.initDecision(), value);
}

std::pair<std::string, core::rollout_record> read(ServiceRollout::Reader in)
{
    core::rollout_record value;
    value.id = in.getId();
    value.version = text(in.getVersion());
    value.formerVersions = readTextSet(in.getFormerVersions());
    value.endedVersions = readTextSet(in.getEndedVersions());
    value.durationMs = in.getDurationMs();
    value.orderedAt = in.getOrderedAt();
    value.sequence = in.getSequence();
    readDecision(in.getDecision(), value);
    return { text(in.getService()), std::move(value) };
}

void write(RolloutReport::Builder out, const core::rollout_report& value)
{
    out.setEntry(value.entry);
    out.setIncarnation(value.incarnation);
    out.setService(value.service);
    out.setRollout(value.rollout);
    out.setNumber(value.number);
    out.setDecision(value.decision);
    out.setFormerRequests(value.formerRequests);
    out.setNextRequests(value.nextRequests);
    out.setFormerInFlight(value.formerInFlight);
    capnp::MallocMessageBuilder message;
    auto rows = message.initRoot<RolloutRows>().initRows(value.rows.size());
    for (unsigned index = 0; index < value.rows.size(); ++index)
        write(rows[index], value.rows[index]);
    kj::VectorOutputStream packed;
    capnp::writePackedMessage(packed, message);
    out.setRows(packed.getArray());
}

core::rollout_report read(RolloutReport::Reader in)
{
    core::rollout_report value;
    value.entry = text(in.getEntry());
    value.incarnation = in.getIncarnation();
    value.service = text(in.getService());
    value.rollout = in.getRollout();
    value.number = in.getNumber();
    value.decision = in.getDecision();
    value.formerRequests = in.getFormerRequests();
    value.nextRequests = in.getNextRequests();
    value.formerInFlight = in.getFormerInFlight();
    kj::ArrayInputStream packed(in.getRows());
    capnp::PackedMessageReader message(packed);
    for (auto each : message.getRoot<RolloutRows>().getRows())
        value.rows.push_back(read(each));
    return value;
}

void write(BeginRollout::Builder out, const core::begin_rollout_command& value)
{
    out.setService(value.service);
    out.setVersion(value.version);
    writeTexts(out.initFormerVersions(value.formerVersions.size()), listOf(value.formerVersions));
    out.setDurationMs(value.durationMs);
    out.setLastKnownRollout(value.lastKnownRollout);
}

core::begin_rollout_command read(BeginRollout::Reader in)
{
    return { text(in.getService()), text(in.getVersion()), readTextSet(in.getFormerVersions()),
        in.getDurationMs(), in.getLastKnownRollout() };
}

void write(DecideRollout::Builder out, const core::decide_rollout_command& value)
{
    out.setService(value.service);
    out.setId(value.id);
    out.setSequence(value.sequence);
    writeDecision(out.initDecision(), value);
}

core::decide_rollout_command read(DecideRollout::Reader in)
{
    core::decide_rollout_command value;
    value.service = text(in.getService());
    value.id = in.getId();
    value.sequence = in.getSequence();
    readDecision(in.getDecision(), value);
    return value;
}

void write(RolloutResult::Builder out, const core::rollout_result& value)
{
    out.setOutcome(static_cast<std::uint8_t>(value.outcome));
    out.setId(value.id);
}

core::rollout_result read(RolloutResult::Reader in)
{
    return { checkedEnum<core::rollout_outcome>(in.getOutcome(), rolloutOutcomeCount), in.getId() };
}

} // namespace plumfold::wire
