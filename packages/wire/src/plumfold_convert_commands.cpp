#include "plumfold_convert_support.hpp"

namespace plumfold::wire {

namespace {

constexpr unsigned changeOutcomeCount = 3;
constexpr unsigned claimStatusCount = 5;
constexpr unsigned claimOutcomeCount = 3;

} // namespace

namespace {

void write(ClaimKey::Builder out, const core::claim_key& value)
{
    out.setCustomer(value.customer);
    out.setKey(value.key);
}

core::claim_key read(ClaimKey::Reader in)
{
    return core::claim_key { text(in.getCustomer()), text(in.getKey()) };
}

void write(StoredAnswer::Builder out, const core::stored_response& value)
{
    out.setStatus(value.status);
    out.setContentType(value.contentType);
    out.setBody(data(value.body));
    out.setTruncated(value.truncated);
}

core::stored_response read(StoredAnswer::Reader in)
{
    return core::stored_response { in.getStatus(), text(in.getContentType()), text(in.getBody()),
        in.getTruncated() };
}

void writeCommand(Command::Builder out, const core::barrier_command&)
{
    out.setBarrier();
}

void writeCommand(Command::Builder out, const core::change_command& value)
{
    auto to = out.initChange();
    to.setOperatorName(value.operatorName);
    to.setRequestId(value.requestId);
    to.setExpectedRevision(value.expectedRevision);
    wire::write(to.initChange(), value.requestedChange);
}

void writeCommand(Command::Builder out, const core::claim_command& value)
{
    auto to = out.initClaim();
    write(to.initKey(), value.key);
    to.setFingerprint(value.fingerprint);
    to.setHolder(value.holder);
    to.setRunUntil(value.runUntil);
}

void writeCommand(Command::Builder out, const core::finish_claim_command& value)
{
    auto to = out.initFinishClaim();
    write(to.initKey(), value.key);
    to.setHolder(value.holder);
    to.setOutcome(static_cast<std::uint8_t>(value.outcome));
    write(to.initAnswer(), value.response);
}

void writeCommand(Command::Builder out, const core::usage_command& value)
{
    auto to = out.initUsage();
    to.setSource(value.source);
    to.setIncarnation(value.incarnation);
    to.setSequence(value.sequence);
    auto rows = to.initRows(value.rows.size());
    for (unsigned index = 0; index < value.rows.size(); ++index)
        wire::write(rows[index], value.rows[index]);
}

void writeCommand(Command::Builder out, const core::lease_command& value)
{
    auto to = out.initLease();
    to.setName(value.name);
    to.setHolder(value.holder);
    to.setDurationMs(value.durationMs);
}

void writeCommand(Command::Builder out, const core::verdict_command& value)
{
    auto to = out.initVerdict();
    to.setFingerprint(value.fingerprint);
    to.setCrashes(value.crashes);
    to.setWithdraw(value.withdraw);
    writeNumbers(to.initTraits(value.traits.size()), value.traits);
}

void writeCommand(Command::Builder out, const core::adopt_document_command& value)
{
    wire::write(out.initAdoptDocument(), value.document);
}

void writeCommand(Command::Builder out, const core::set_in_service_command& value)
{
    auto to = out.initSetInService();
    to.setFailureDomain(value.failureDomain);
    to.setInService(value.inService);
    to.setConditional(value.lastKnownOrder.has_value());
    to.setLastKnownOrder(value.lastKnownOrder.value_or(0));
}

void writeCommand(Command::Builder out, const core::set_current_weights_command& value)
{
    auto to = out.initNameWeights();
    to.setModel(value.model);
    to.setVersion(value.version);
}

void writeCommand(Command::Builder out, const core::begin_rollout_command& value)
{
    wire::write(out.initBeginRollout(), value);
}

void writeCommand(Command::Builder out, const core::decide_rollout_command& value)
{
    wire::write(out.initDecideRollout(), value);
}

} // namespace

void write(Command::Builder out, const core::command& value)
{
    out.setAt(value.at);
    std::visit([&](const auto& one) { writeCommand(out, one); }, value.payload);
}

core::command read(Command::Reader in)
{
    core::command value;
    value.at = in.getAt();
    switch (in.which()) {
    case Command::BARRIER:
        value.payload = core::barrier_command {};
        return value;
    case Command::CHANGE: {
        auto from = in.getChange();
        value.payload = core::change_command { text(from.getOperatorName()), text(from.getRequestId()),
            from.getExpectedRevision(), read(from.getChange()) };
        return value;
    }
    case Command::CLAIM: {
        auto from = in.getClaim();
        value.payload = core::claim_command { read(from.getKey()), from.getFingerprint(),
            text(from.getHolder()), from.getRunUntil() };
        return value;
    }
    case Command::FINISH_CLAIM: {
        auto from = in.getFinishClaim();
        value.payload = core::finish_claim_command { read(from.getKey()), text(from.getHolder()),
            checkedEnum<core::claim_outcome>(from.getOutcome(), claimOutcomeCount), read(from.getAnswer()) };
        return value;
    }
    case Command::USAGE: {
        auto from = in.getUsage();
        value.payload = core::usage_command { text(from.getSource()), from.getIncarnation(),
            from.getSequence(), readList(from.getRows()) };
        return value;
    }
    case Command::LEASE: {
        auto from = in.getLease();
        value.payload
            = core::lease_command { text(from.getName()), text(from.getHolder()), from.getDurationMs() };
        return value;
    }
    case Command::ADOPT_DOCUMENT:
        value.payload = core::adopt_document_command { read(in.getAdoptDocument()) };
        return value;
    case Command::SET_IN_SERVICE: {
        auto from = in.getSetInService();
        core::set_in_service_command order { text(from.getFailureDomain()), from.getInService(), {} };
        if (from.getConditional())
            order.lastKnownOrder = from.getLastKnownOrder();
        value.payload = std::move(order);
        return value;
    }
    case Command::NAME_WEIGHTS:
        value.payload = core::set_current_weights_command { text(in.getNameWeights().getModel()),
            in.getNameWeights().getVersion() };
        return value;
    case Command::BEGIN_ROLLOUT:
        value.payload = read(in.getBeginRollout());
        return value;
    case Command::DECIDE_ROLLOUT:
        value.payload = read(in.getDecideRollout());
        return value;
    case Command::VERDICT: {
        auto from = in.getVerdict();
        value.payload = core::verdict_command { from.getFingerprint(), from.getCrashes(), from.getWithdraw(),
            readNumbers<std::set<std::uint64_t>>(from.getTraits()) };
        return value;
    }
    }
    KJ_FAIL_REQUIRE("an unknown kind of command: upgrade this process");
}

void write(ChangeResult::Builder out, const core::change_result& value)
{
    out.setOutcome(static_cast<std::uint8_t>(value.outcome));
    out.setRevision(value.revision);
    out.setMessage(value.message);
}

core::change_result read(ChangeResult::Reader in)
{
    return core::change_result { checkedEnum<core::change_outcome>(in.getOutcome(), changeOutcomeCount),
        in.getRevision(), text(in.getMessage()) };
}

void write(CommandResult::Builder out, const core::command_result& value)
{
    if (const auto* changed = std::get_if<core::change_result>(&value)) {
        write(out.initChange(), *changed);
    } else if (const auto* claimed = std::get_if<core::claim_result>(&value)) {
        auto to = out.initClaim();
        to.setState(static_cast<std::uint8_t>(claimed->state));
        write(to.initAnswer(), claimed->response);
        to.setRetryAfterMs(claimed->retryAfterMs);
    } else if (const auto* leased = std::get_if<core::lease_result>(&value)) {
        auto to = out.initLease();
        to.setGranted(leased->granted);
        to.setFence(leased->fence);
        to.setTakeovers(leased->takeovers);
        to.setFirst(leased->isFirst);
    } else if (const auto* rolledOut = std::get_if<core::rollout_result>(&value)) {
        write(out.initRollout(), *rolledOut);
    } else {
        out.setNone();
    }
}

core::command_result read(CommandResult::Reader in)
{
    switch (in.which()) {
    case CommandResult::NONE:
        return std::monostate {};
    case CommandResult::CHANGE:
        return read(in.getChange());
    case CommandResult::ROLLOUT:
        return read(in.getRollout());
    case CommandResult::LEASE:
        return core::lease_result { in.getLease().getGranted(), in.getLease().getFence(),
            in.getLease().getTakeovers(), in.getLease().getFirst() };
    case CommandResult::CLAIM: {
        auto from = in.getClaim();
        return core::claim_result { checkedEnum<core::claim_status>(from.getState(), claimStatusCount),
            read(from.getAnswer()), from.getRetryAfterMs() };
    }
    }
    KJ_FAIL_REQUIRE("an unknown kind of result: upgrade this process");
}

void write(UsageRow::Builder out, const core::usage_row& value)
{
    out.setCustomer(value.customer);
    out.setModel(value.model);
    out.setRequests(value.requests);
    out.setPromptTokens(value.promptTokens);
    out.setCachedTokens(value.cachedTokens);
    out.setOutputTokens(value.outputTokens);
    out.setFailed(value.failed);
}

core::usage_row read(UsageRow::Reader in)
{
    return core::usage_row { text(in.getCustomer()), text(in.getModel()), in.getRequests(),
        in.getPromptTokens(), in.getCachedTokens(), in.getOutputTokens(), in.getFailed() };
}

void write(ClaimState::Builder out, const core::claim_state& value)
{
    write(out.initKey(), value.key);
    out.setFingerprint(value.fingerprint);
    out.setHolder(value.holder);
    out.setState(static_cast<std::uint8_t>(value.state));
    out.setRunUntil(value.runUntil);
    out.setKeepUntil(value.keepUntil);
    write(out.initAnswer(), value.response);
}

core::claim_state read(ClaimState::Reader in)
{
    core::claim_state value;
    value.key = read(in.getKey());
    value.fingerprint = in.getFingerprint();
    value.holder = text(in.getHolder());
    value.state = checkedEnum<core::claim_status>(in.getState(), claimStatusCount);
    value.runUntil = in.getRunUntil();
    value.keepUntil = in.getKeepUntil();
    value.response = read(in.getAnswer());
    return value;
}

void write(RememberedResult::Builder out, const core::stored_change_result& value)
{
    out.setOperatorName(value.operatorName);
    out.setRequestId(value.requestId);
    write(out.initResult(), value.result);
}

core::stored_change_result read(RememberedResult::Reader in)
{
    return core::stored_change_result { text(in.getOperatorName()), text(in.getRequestId()),
        read(in.getResult()) };
}

void write(UsageSource::Builder out, const core::usage_source& value)
{
    out.setSource(value.source);
    out.setIncarnation(value.incarnation);
    out.setSequence(value.sequence);
}

core::usage_source read(UsageSource::Reader in)
{
    return core::usage_source { text(in.getSource()), in.getIncarnation(), in.getSequence() };
}

void write(LeaseState::Builder out, const core::lease_state& value)
{
    out.setName(value.name);
    out.setHolder(value.holder);
    out.setUntil(value.until);
    out.setFence(value.fence);
    out.setTakeovers(value.takeovers);
}

core::lease_state read(LeaseState::Reader in)
{
    return core::lease_state { text(in.getName()), text(in.getHolder()), in.getUntil(), in.getFence(),
        in.getTakeovers() };
}

void write(AuditRecord::Builder out, const core::audit_record& value)
{
    out.setAt(value.at);
    out.setOperatorName(value.operatorName);
    out.setRequestId(value.requestId);
    write(out.initDelta(), value.appliedDelta);
}

core::audit_record read(AuditRecord::Reader in)
{
    return core::audit_record { in.getAt(), text(in.getOperatorName()), text(in.getRequestId()),
        read(in.getDelta()) };
}

void write(Verdict::Builder out, const core::verdict& value)
{
    out.setFingerprint(value.fingerprint);
    out.setCrashes(value.crashes);
    out.setUntil(value.until);
    out.setWithdrawn(value.isWithdrawn);
    writeNumbers(out.initTraits(value.traits.size()), value.traits);
}

core::verdict read(Verdict::Reader in)
{
    return core::verdict { in.getFingerprint(), in.getCrashes(), in.getUntil(), in.getWithdrawn(),
        readNumbers<std::set<std::uint64_t>>(in.getTraits()) };
}

void write(ControlSnapshot::Builder out, const core::control_snapshot& value)
{
    out.setRevision(value.revision);
    writeList(out.initRecords(value.records.size()), value.records);
    writeList(out.initDeltas(value.deltas.size()), value.deltas);
    writeList(out.initResults(value.results.size()), value.results);
    writeList(out.initClaims(value.claims.size()), value.claims);
    writeList(out.initUsage(value.usage.size()), value.usage);
    writeList(out.initUsageSources(value.usageSources.size()), value.usageSources);
    writeList(out.initVerdicts(value.verdicts.size()), value.verdicts);
    writeList(out.initAudit(value.audit.size()), value.audit);
    writeList(out.initLeases(value.leases.size()), value.leases);
    out.setLastFence(value.lastFence);
    write(out.initDeployment(), value.deployment);
    auto orders = out.initInServiceOrders(value.inServiceOrders.size());
    unsigned index = 0;
    for (const auto& [failureDomain, logIndex] : value.inServiceOrders) {
        orders[index].setFailureDomain(failureDomain);
        orders[index++].setLogIndex(logIndex);
    }
}

core::control_snapshot read(ControlSnapshot::Reader in)
{
    core::control_snapshot value;
    value.revision = in.getRevision();
    value.records = readList(in.getRecords());
    value.deltas = readList(in.getDeltas());
    value.results = readList(in.getResults());
    value.claims = readList(in.getClaims());
    value.usage = readList(in.getUsage());
    value.usageSources = readList(in.getUsageSources());
    value.verdicts = readList(in.getVerdicts());
    value.audit = readList(in.getAudit());
    value.leases = readList(in.getLeases());
    value.lastFence = in.getLastFence();
    value.deployment = read(in.getDeployment());
    for (auto order : in.getInServiceOrders())
        value.inServiceOrders[text(order.getFailureDomain())] = order.getLogIndex();
    return value;
}

} // namespace plumfold::wire
