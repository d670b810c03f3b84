#include "plumfold/core/plumfold_control_state.hpp"

#include "plumfold/core/plumfold_departure.hpp"

#include <algorithm>

namespace plumfold::core {

namespace {

constexpr std::size_t maxRetainedDeltas = 4096;
constexpr std::size_t maxRetainedResults = 8192;
constexpr std::size_t maxRetainedAuditRecords = 8192;
constexpr unix_milliseconds claimRetentionMs = 24ull * 3600 * 1000;
constexpr std::size_t maxVerdicts = 4'096;
constexpr std::uint32_t minRetryAfterMs = 100;
constexpr std::uint32_t maxRetryAfterMs = 5000;

std::uint32_t retryAfter(unix_milliseconds runUntil, unix_milliseconds at)
{
    std::uint64_t left = runUntil > at ? runUntil - at : 0;
    return static_cast<std::uint32_t>(std::clamp<std::uint64_t>(left / 4, minRetryAfterMs, maxRetryAfterMs));
}

} // namespace

control_state::control_state(control_snapshot snapshot)
    : m_configuration(snapshot.revision, std::move(snapshot.records))
    , m_deltas(snapshot.deltas.begin(), snapshot.deltas.end())
    , m_audit(snapshot.audit.begin(), snapshot.audit.end())
{
    for (auto& kept : snapshot.results) {
        request_key key { kept.operatorName, kept.requestId };
        m_results[key] = kept.result;
        m_resultOrder.push_back(key);
    }
    for (auto& claim : snapshot.claims) {
        m_claimExpiry.emplace(claim.keepUntil, claim.key);
        m_claims.emplace(claim.key, std::move(claim));
    }
    for (auto& row : snapshot.usage)
        m_usage.emplace(std::pair(row.customer, row.model), row);
    for (auto& source : snapshot.usageSources)
        m_usageSources[{ source.source, source.incarnation }] = source.sequence;
    for (const auto& each : snapshot.verdicts)
        m_verdicts[each.fingerprint] = each;
    for (const auto& each : snapshot.leases)
        m_leases[each.name] = each;
    m_lastFence = snapshot.lastFence;
    m_deployment = std::move(snapshot.deployment);
    m_inServiceOrders = std::move(snapshot.inServiceOrders);
}

control_snapshot control_state::snapshot() const
{
    control_snapshot out;
    out.revision = m_configuration.revision();
    out.records = m_configuration.records();
    out.deltas.assign(m_deltas.begin(), m_deltas.end());
    for (const auto& key : m_resultOrder)
        out.results.push_back({ key.first, key.second, m_results.at(key) });
    for (const auto& [key, claim] : m_claims)
        out.claims.push_back(claim);
    out.usage = usage();
    for (const auto& [key, sequence] : m_usageSources)
        out.usageSources.push_back({ key.first, key.second, sequence });
    out.verdicts = verdicts();
    out.audit.assign(m_audit.begin(), m_audit.end());
    for (const auto& [name, each] : m_leases)
        out.leases.push_back(each);
    out.lastFence = m_lastFence;
    out.deployment = m_deployment;
    out.inServiceOrders = m_inServiceOrders;
    return out;
}

command_result control_state::apply(const command& next, std::uint64_t logIndex)
{
    expire(next.at);
    m_logIndex = logIndex;
    if (const auto* order = std::get_if<set_in_service_command>(&next.payload))
        m_inServiceOrders[order->failureDomain] = logIndex;
    return std::visit([&](const auto& payload) { return applyCommand(payload, next.at); }, next.payload);
}

void control_state::expire(unix_milliseconds at)
{
    while (!m_claimExpiry.empty() && m_claimExpiry.begin()->first <= at) {
        m_claims.erase(m_claimExpiry.begin()->second);
        m_claimExpiry.erase(m_claimExpiry.begin());
    }
    std::erase_if(m_verdicts, [&](const auto& each) { return each.second.until <= at; });
}

command_result control_state::applyCommand(const barrier_command&, unix_milliseconds)
{
    return {};
}

command_result control_state::applyCommand(const change_command& next, unix_milliseconds at)
{
    auto kept = m_results.find({ next.operatorName, next.requestId });
    if (kept != m_results.end())
        return kept->second;
    change_result result;
    result.revision = m_configuration.revision();
    if (next.expectedRevision != m_configuration.revision()) {
        result.outcome = change_outcome::conflict;
        result.message = "the configuration is at revision " + std::to_string(m_configuration.revision())
            + ", not " + std::to_string(next.expectedRevision) + ": read it again and repeat the change";
    } else if (auto status = m_configuration.check(next.requestedChange); !status.ok()) {
        result.outcome = change_outcome::invalid;
        result.message = std::string(status.message());
    } else {
        delta accepted = m_configuration.apply(next.requestedChange);
        result.outcome = change_outcome::accepted;
        result.revision = accepted.revision;
        m_audit.push_back({ at, next.operatorName, next.requestId, accepted });
        if (m_audit.size() > maxRetainedAuditRecords)
            m_audit.pop_front();
        m_deltas.push_back(std::move(accepted));
        if (m_deltas.size() > maxRetainedDeltas)
            m_deltas.pop_front();
    }
    storeResult(next, result);
    return result;
}

void control_state::storeResult(const change_command& next, const change_result& result)
{
    request_key key { next.operatorName, next.requestId };
    m_results[key] = result;
    m_resultOrder.push_back(std::move(key));
    if (m_resultOrder.size() <= maxRetainedResults)
        return;
    m_results.erase(m_resultOrder.front());
    m_resultOrder.pop_front();
}

command_result control_state::applyCommand(const claim_command& next, unix_milliseconds at)
{
    claim_result result;
    auto found = m_claims.find(next.key);
    if (found == m_claims.end()) {
        claim_state claim;
        claim.key = next.key;
        claim.fingerprint = next.fingerprint;
        claim.holder = next.holder;
        claim.runUntil = next.runUntil;
        claim.keepUntil = std::max(at, next.runUntil) + claimRetentionMs;
        m_claimExpiry.emplace(claim.keepUntil, claim.key);
        m_claims.emplace(next.key, std::move(claim));
        result.state = claim_status::granted;
        return result;
    }
    const claim_state& claim = found->second;
    if (claim.fingerprint != next.fingerprint) {
        result.state = claim_status::conflict;
        return result;
    }
    // The same attempt retries because the first response was lost; it has not dispatched the request yet.
    if (claim.holder == next.holder && claim.state == claim_status::in_progress) {
        result.state = claim_status::granted;
        return result;
    }
    result.state = claim.state;
    result.response = claim.response;
    if (claim.state != claim_status::in_progress)
        return result;
    if (at > claim.runUntil)
        result.state = claim_status::unknown;
    else
        result.retryAfterMs = retryAfter(claim.runUntil, at);
    return result;
}

command_result control_state::applyCommand(const finish_claim_command& next, unix_milliseconds)
{
    auto found = m_claims.find(next.key);
    if (found == m_claims.end() || found->second.holder != next.holder)
        return {};
    claim_state& claim = found->second;
    if (claim.state == claim_status::completed)
        return {};
    if (next.outcome == claim_outcome::not_run) {
        auto [begin, end] = m_claimExpiry.equal_range(claim.keepUntil);
        for (auto it = begin; it != end; ++it) {
            if (it->second != next.key)
                continue;
            m_claimExpiry.erase(it);
            break;
        }
        m_claims.erase(found);
        return {};
    }
    claim.state = next.outcome == claim_outcome::completed ? claim_status::completed : claim_status::unknown;
    claim.response = next.response;
    return {};
}

command_result control_state::applyCommand(const usage_command& next, unix_milliseconds)
{
    auto& seen = m_usageSources[{ next.source, next.incarnation }];
    if (next.sequence <= seen)
        return {};
    seen = next.sequence;
    for (const auto& row : next.rows) {
        auto& sum = m_usage[{ row.customer, row.model }];
        sum.customer = row.customer;
        sum.model = row.model;
        sum += row;
    }
    return {};
}

command_result control_state::applyCommand(const verdict_command& next, unix_milliseconds at)
{
    auto& kept = m_verdicts[next.fingerprint];
    bool isNew = kept.crashes == 0 || kept.isWithdrawn;
    kept.fingerprint = next.fingerprint;
    kept.crashes = isNew ? next.crashes : std::max(kept.crashes, next.crashes);
    kept.until = at + verdictRetentionMs;
    kept.isWithdrawn = next.withdraw;
    if (!next.withdraw)
        kept.traits = next.traits;
    if (m_verdicts.size() <= maxVerdicts)
        return {};
    m_verdicts.erase(std::min_element(m_verdicts.begin(), m_verdicts.end(),
        [](const auto& left, const auto& right) { return left.second.until < right.second.until; }));
    return {};
}

void control_state::removeExpiredDepartures(unix_milliseconds at)
{
    std::erase_if(m_leases,
        [&](const auto& each) { return each.second.until <= at && parseDepartureLease(each.first); });
}

command_result control_state::applyCommand(const lease_command& next, unix_milliseconds at)
{
    if (parseDepartureLease(next.name))
        removeExpiredDepartures(at);
    bool isFirst = !m_leases.contains(next.name);
    auto& lease = m_leases[next.name];
    bool held = !lease.holder.empty() && at < lease.until;
    if (held && lease.holder != next.holder)
        return lease_result { false, lease.fence };
    if (!held) {
        bool isOther = !lease.holder.empty() && lease.holder != next.holder;
        lease = { next.name, next.holder, 0, ++m_lastFence, lease.takeovers + (isOther ? 1 : 0) };
    }
    lease.until = at + next.durationMs;
    return lease_result { true, lease.fence, lease.takeovers, isFirst };
}

command_result control_state::applyCommand(const adopt_document_command& next, unix_milliseconds)
{
    m_deployment.adopt(next.document);
    return {};
}

command_result control_state::applyCommand(const set_in_service_command& next, unix_milliseconds)
{
    m_deployment.setInService(next.failureDomain, next.inService);
    return {};
}

command_result control_state::applyCommand(const set_current_weights_command& next, unix_milliseconds)
{
    m_deployment.setCurrentWeights(next.model, next.version);
    return {};
}

command_result control_state::applyCommand(const begin_rollout_command& next, unix_milliseconds at)
{
    return m_deployment.begin(next, at, m_logIndex);
}

command_result control_state::applyCommand(const decide_rollout_command& next, unix_milliseconds)
{
    return m_deployment.decide(next);
}

std::optional<std::vector<delta>> control_state::deltasAfter(std::uint64_t revision) const
{
    if (revision == m_configuration.revision())
        return std::vector<delta> {};
    if (m_deltas.empty() || revision > m_configuration.revision() || revision + 1 < m_deltas.front().revision)
        return std::nullopt;
    auto first = m_deltas.begin() + static_cast<std::ptrdiff_t>(revision + 1 - m_deltas.front().revision);
    return std::vector<delta>(first, m_deltas.end());
}

std::vector<usage_row> control_state::usage() const
{
    std::vector<usage_row> rows;
    for (const auto& [key, row] : m_usage)
        rows.push_back(row);
    return rows;
}

std::vector<verdict> control_state::verdicts() const
{
    std::vector<verdict> all;
    for (const auto& [fingerprint, each] : m_verdicts)
        all.push_back(each);
    return all;
}

} // namespace plumfold::core
