#include "plumfold_convert_support.hpp"

namespace plumfold::wire {

namespace {

constexpr unsigned targetStateCount = 3;

} // namespace

void write(DeploymentDocument::Builder out, const core::deployment_document& value)
{
    out.setVersion(value.version);
    out.setText(value.text);
}

core::deployment_document read(DeploymentDocument::Reader in)
{
    return core::deployment_document { in.getVersion(), text(in.getText()) };
}

namespace {

/// Writes all of a state but its document.
void writeWithoutDocument(DeploymentState::Builder out, const core::deployment_state& value)
{
    out.setRevision(value.revision);
    writeTexts(out.initOutOfService(value.outOfService.size()),
        std::vector<std::string>(value.outOfService.begin(), value.outOfService.end()));
    auto weights = out.initWeights(value.weights.size());
    unsigned index = 0;
    for (const auto& [model, version] : value.weights) {
        weights[index].setModel(model);
        weights[index++].setVersion(version);
    }
    auto returns = out.initReturns(value.returns.size());
    index = 0;
    for (const auto& [failureDomain, revision] : value.returns) {
        returns[index].setFailureDomain(failureDomain);
        returns[index++].setRevision(revision);
    }
    auto rollouts = out.initRollouts(value.rollouts.size());
    index = 0;
    for (const auto& [service, rollout] : value.rollouts)
        write(rollouts[index++], service, rollout);
}

} // namespace

void write(DeploymentState::Builder out, const core::deployment_state& value)
{
    writeWithoutDocument(out, value);
    write(out.initDocument(), value.document);
}

void write(DeploymentOutline::Builder out, const core::deployment_state& state,
    const core::document_outline& document)
{
    writeWithoutDocument(out.initState(), state);
    out.getState().initDocument().setVersion(state.document.version);
    out.setDigest(document.digest);
    auto pieces = out.initPieces(document.pieces.size());
    for (unsigned index = 0; index < document.pieces.size(); ++index)
        pieces.set(index, document.pieces[index]);
}

core::document_outline readOutline(DeploymentOutline::Reader in)
{
    core::document_outline value { in.getDigest(), {} };
    for (auto digest : in.getPieces())
        value.pieces.push_back(digest);
    return value;
}

core::deployment_state read(DeploymentState::Reader in)
{
    core::deployment_state value;
    value.revision = in.getRevision();
    value.document = read(in.getDocument());
    for (auto& name : readTexts(in.getOutOfService()))
        value.outOfService.insert(std::move(name));
    for (auto each : in.getWeights())
        value.weights[text(each.getModel())] = each.getVersion();
    for (auto each : in.getReturns())
        value.returns[text(each.getFailureDomain())] = each.getRevision();
    for (auto each : in.getRollouts())
        value.rollouts.insert(read(each));
    return value;
}

void write(EntryAddress::Builder out, const core::entry_address& value)
{
    out.setName(value.name);
    out.setAddress(value.address);
    out.setFailureDomain(value.failureDomain);
}

core::entry_address read(EntryAddress::Reader in)
{
    return { in.getName().cStr(), in.getAddress().cStr(), in.getFailureDomain().cStr() };
}

void write(capnp::List<EventAge>::Builder out, const std::vector<core::event_age>& values)
{
    unsigned index = 0;
    for (const auto& value : values) {
        auto each = out[index++];
        each.setSubject(value.subject);
        each.setNumber(value.number);
        each.setAgeMs(static_cast<std::uint64_t>(value.age.count()));
    }
}

std::vector<core::event_age> readEventAges(capnp::List<EventAge>::Reader in)
{
    std::vector<core::event_age> values;
    for (auto each : in)
        values.push_back({ text(each.getSubject()), each.getNumber(), core::milliseconds(each.getAgeMs()) });
    return values;
}

void write(AnnouncedTarget::Builder out, const core::target_announcement& value)
{
    out.setName(value.name);
    out.setService(value.service);
    out.setAddress(value.address);
    out.setFailureDomain(value.failureDomain);
    out.setSlots(value.slots);
    out.setState(static_cast<std::uint8_t>(value.state));
    out.setColdForMs(static_cast<std::uint32_t>(value.coldFor.count()));
    out.setStartedAt(value.startedAt);
    out.setSequence(value.sequence);
    out.setSoftwareVersion(value.softwareVersion);
    auto models = out.initModels(value.models.size());
    for (unsigned index = 0; index < value.models.size(); ++index) {
        models[index].setModel(value.models[index].model);
        models[index].setVersion(value.models[index].version);
        writeTexts(
            models[index].initAdapters(value.models[index].adapters.size()), value.models[index].adapters);
    }
}

core::target_announcement read(AnnouncedTarget::Reader in)
{
    core::target_announcement value;
    value.name = text(in.getName());
    value.service = text(in.getService());
    value.address = text(in.getAddress());
    value.failureDomain = text(in.getFailureDomain());
    value.slots = in.getSlots();
    value.state = checkedEnum<core::target_state>(in.getState(), targetStateCount);
    value.coldFor = core::milliseconds(in.getColdForMs());
    value.startedAt = in.getStartedAt();
    value.sequence = in.getSequence();
    value.softwareVersion = text(in.getSoftwareVersion());
    for (auto each : in.getModels())
        value.models.push_back(
            { text(each.getModel()), text(each.getVersion()), readTexts(each.getAdapters()) });
    return value;
}

void write(TargetLoad::Builder out, const core::target_load& value)
{
    out.setTarget(value.target);
    out.setRunning(value.running);
    out.setWaiting(value.waiting);
    out.setUsedTokens(value.usedTokens);
    out.setAgeMs(static_cast<std::uint32_t>(value.age.count()));
    out.setBusy(value.isBusy);
}

core::target_load read(TargetLoad::Reader in)
{
    return core::target_load { text(in.getTarget()), in.getRunning(), in.getWaiting(), in.getUsedTokens(),
        core::milliseconds(in.getAgeMs()), in.getBusy() };
}

void write(TargetDemand::Builder out, const core::target_demand& value)
{
    out.setTarget(value.target);
    out.setStartedAt(value.startedAt);
    out.setEpoch(value.epoch);
    out.setLimited(value.maxRequestsPerSecond.has_value());
    out.setMaxRequestsPerSecond(value.maxRequestsPerSecond.value_or(0));
    out.setLeaving(value.isLeaving);
}

core::target_demand read(TargetDemand::Reader in)
{
    core::target_demand value { text(in.getTarget()), in.getStartedAt(), in.getEpoch(), {} };
    if (in.getLimited())
        value.maxRequestsPerSecond = in.getMaxRequestsPerSecond();
    value.isLeaving = in.getLeaving();
    return value;
}

void write(StreamRecord::Builder out, const core::stream_record& value)
{
    out.setStream(value.stream);
    out.setService(value.origin.service);
    out.setSoftwareVersion(value.origin.softwareVersion);
    out.setKeepForMs(static_cast<std::uint32_t>(value.keepFor.count()));
}

core::stream_record read(StreamRecord::Reader in)
{
    return core::stream_record { in.getStream(), { text(in.getService()), text(in.getSoftwareVersion()) },
        core::milliseconds(in.getKeepForMs()) };
}

void write(PartNews::Builder out, const core::part_update& value)
{
    out.setHolder(value.holder);
    out.setGeneration(value.generation);
    out.setFirst(value.first);
    out.setCount(value.count);
    out.setConfirmed(value.confirmed);
    auto changes = out.initChanges(value.changes.size());
    for (unsigned index = 0; index < value.changes.size(); ++index) {
        changes[index].setPart(value.changes[index].part);
        changes[index].setTokens(value.changes[index].tokens);
    }
}

core::part_update read(PartNews::Reader in)
{
    core::part_update value;
    value.holder = text(in.getHolder());
    value.generation = in.getGeneration();
    value.first = in.getFirst();
    value.count = in.getCount();
    value.confirmed = in.getConfirmed();
    for (auto each : in.getChanges())
        value.changes.push_back({ each.getPart(), each.getTokens() });
    return value;
}

void write(PartCursor::Builder out, const core::part_cursor& value)
{
    out.setHolder(value.holder);
    out.setGeneration(value.generation);
    out.setCount(value.count);
}

core::part_cursor read(PartCursor::Reader in)
{
    return core::part_cursor { text(in.getHolder()), in.getGeneration(), in.getCount() };
}

} // namespace plumfold::wire
