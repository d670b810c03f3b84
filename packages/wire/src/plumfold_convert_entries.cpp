#include "plumfold_convert_support.hpp"

namespace plumfold::wire {

namespace {

constexpr unsigned attemptOutcomeCount = 6;

} // namespace

void write(TargetReport::Builder out, const core::target_report& value, core::milliseconds age)
{
    out.setName(value.name);
    out.setIncarnation(value.incarnation);
    out.setAddress(value.address);
    out.setFailureDomain(value.failureDomain);
    out.setIsService(value.isService);
    writeTexts(out.initServices(value.services.size()), value.services);
    auto models = out.initModels(value.models.size());
    for (unsigned index = 0; index < value.models.size(); ++index) {
        models[index].setModel(value.models[index].model);
        models[index].setVersion(value.models[index].version);
        const auto& adapters = value.models[index].adapters;
        writeTexts(models[index].initAdapters(adapters.size()), adapters);
    }
    out.setMaxBatch(value.maxBatch);
    out.setRunning(value.running);
    out.setQueued(value.queued);
    out.setLeaving(value.leaving);
    out.setSequence(value.sequence);
    out.setAgeMs(static_cast<std::uint32_t>(age.count()));
}

core::target_report read(TargetReport::Reader in)
{
    core::target_report value;
    value.name = text(in.getName());
    value.incarnation = in.getIncarnation();
    value.address = text(in.getAddress());
    value.failureDomain = text(in.getFailureDomain());
    value.isService = in.getIsService();
    value.services = readTexts(in.getServices());
    for (auto model : in.getModels())
        value.models.push_back(
            { text(model.getModel()), text(model.getVersion()), readTexts(model.getAdapters()) });
    value.maxBatch = in.getMaxBatch();
    value.running = in.getRunning();
    value.queued = in.getQueued();
    value.leaving = in.getLeaving();
    value.sequence = in.getSequence();
    return value;
}

void write(Suspect::Builder out, const core::suspect_state& value)
{
    out.setFingerprint(value.fingerprint);
    out.setCrashes(value.crashes);
}

core::suspect_state read(Suspect::Reader in)
{
    return core::suspect_state { in.getFingerprint(), in.getCrashes() };
}

void write(PermitOutcome::Builder out, const core::attempt_measurement& value)
{
    out.setKind(static_cast<std::uint8_t>(value.outcome));
    out.setFirstTokenMs(static_cast<std::uint32_t>(value.firstToken.count()));
    out.setReferenceKnown(value.referenceKnown);
    out.setExpectedFirstTokenMs(static_cast<std::uint32_t>(value.expectedFirstToken.count()));
}

core::attempt_measurement read(PermitOutcome::Reader in)
{
    return core::attempt_measurement { checkedEnum<core::attempt_outcome>(in.getKind(), attemptOutcomeCount),
        core::milliseconds(in.getFirstTokenMs()), core::milliseconds(in.getExpectedFirstTokenMs()),
        in.getReferenceKnown() };
}

void write(ChainKey::Builder out, const core::chain_owner& value)
{
    out.setCustomer(value.customer);
    out.setModel(value.model);
    out.setAdapter(value.adapter);
    out.setVersion(value.version);
}

core::chain_owner read(ChainKey::Reader in)
{
    return core::chain_owner { text(in.getCustomer()), text(in.getModel()), text(in.getAdapter()),
        text(in.getVersion()) };
}

} // namespace plumfold::wire
