#include "plumfold_convert_support.hpp"

namespace plumfold::wire {

namespace {

constexpr unsigned recordKindCount = 7;

} // namespace

void write(Record::Builder out, const core::record& value)
{
    std::visit(overloaded {
                   [&](const core::customer_record& r) {
                       auto to = out.initCustomer();
                       to.setName(r.name);
                       to.setKeyHash(r.keyHash);
                       to.setWeight(r.weight);
                       to.setMaxInFlight(r.maxInFlight);
                       to.setMaxQueued(r.maxQueued);
                       writeTexts(to.initModels(r.models.size()), r.models);
                   },
                   [&](const core::model_record& r) {
                       auto to = out.initModel();
                       to.setName(r.name);
                       to.setMaxPromptBytes(r.maxPromptBytes);
                       to.setMaxTokens(r.maxTokens);
                   },
                   [&](const core::adapter_record& r) {
                       auto to = out.initAdapter();
                       to.setName(r.name);
                       to.setModel(r.model);
                   },
                   [&](const core::weight_version_record& r) {
                       auto to = out.initWeightVersion();
                       to.setModel(r.model);
                       to.setVersion(r.version);
                   },
                   [&](const core::failure_domain_record& r) {
                       auto to = out.initFailureDomain();
                       to.setName(r.name);
                       to.setInService(r.inService);
                       to.setMaxConcurrentLoads(r.maxConcurrentLoads);
                   },
                   [&](const core::target_record& r) {
                       auto to = out.initTarget();
                       to.setName(r.name);
                       to.setInService(r.inService);
                       to.setChecksFencing(r.checksFencing);
                   },
                   [&](const core::service_record& r) {
                       auto to = out.initService();
                       to.setName(r.name);
                       to.setRepeatable(r.repeatable);
                       to.setTimeoutMs(r.timeoutMs);
                   },
               },
        value);
}

core::record read(Record::Reader in)
{
    switch (in.which()) {
    case Record::CUSTOMER: {
        auto from = in.getCustomer();
        return core::customer_record { text(from.getName()), text(from.getKeyHash()), from.getWeight(),
            from.getMaxInFlight(), from.getMaxQueued(), readTexts(from.getModels()) };
    }
    case Record::MODEL: {
        auto from = in.getModel();
        return core::model_record { text(from.getName()), from.getMaxPromptBytes(), from.getMaxTokens() };
    }
    case Record::ADAPTER:
        return core::adapter_record { text(in.getAdapter().getName()), text(in.getAdapter().getModel()) };
    case Record::WEIGHT_VERSION: {
        auto from = in.getWeightVersion();
        return core::weight_version_record { text(from.getModel()), text(from.getVersion()) };
    }
    case Record::FAILURE_DOMAIN: {
        auto from = in.getFailureDomain();
        return core::failure_domain_record { text(from.getName()), from.getInService(),
            from.getMaxConcurrentLoads() };
    }
    case Record::TARGET: {
        auto from = in.getTarget();
        return core::target_record { text(from.getName()), from.getInService(), from.getChecksFencing() };
    }
    case Record::SERVICE: {
        auto from = in.getService();
        return core::service_record { text(from.getName()), from.getRepeatable(), from.getTimeoutMs() };
    }
    }
    KJ_FAIL_REQUIRE("an unknown kind of record: upgrade this process");
}

void write(Change::Builder out, const core::change& value)
{
    if (const auto* put = std::get_if<core::record>(&value)) {
        write(out.initPut(), *put);
        return;
    }
    const auto& key = std::get<core::record_key>(value);
    auto to = out.initRemove();
    to.setKind(static_cast<std::uint16_t>(key.kind));
    to.setName(key.name);
}

core::change read(Change::Reader in)
{
    if (in.isPut())
        return read(in.getPut());
    auto from = in.getRemove();
    return core::record_key { checkedEnum<core::record_kind>(from.getKind(), recordKindCount),
        text(from.getName()) };
}

void write(Delta::Builder out, const core::delta& value)
{
    out.setRevision(value.revision);
    write(out.initChange(), value.appliedChange);
}

core::delta read(Delta::Reader in)
{
    return core::delta { in.getRevision(), read(in.getChange()) };
}

void write(ConfigurationUpdate::Builder out, const core::configuration_update& value)
{
    out.setRevision(value.revision);
    out.setDigest(value.digest);
    if (value.full)
        writeList(out.initFull(value.full->size()), *value.full);
    else
        writeList(out.initDeltas(value.deltas.size()), value.deltas);
}

core::configuration_update read(ConfigurationUpdate::Reader in)
{
    core::configuration_update value;
    value.revision = in.getRevision();
    value.digest = in.getDigest();
    if (in.isFull())
        value.full = readList(in.getFull());
    else
        value.deltas = readList(in.getDeltas());
    return value;
}

} // namespace plumfold::wire
