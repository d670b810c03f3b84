#include "plumfold_deployment_feed.hpp"

#include "plumfold/core/plumfold_departure.hpp"
#include "plumfold/core/plumfold_hash.hpp"
#include "plumfold/platform/plumfold_platform_deployment.hpp"
#include "plumfold/runtime/plumfold_clock.hpp"
#include "plumfold/runtime/plumfold_log.hpp"
#include "plumfold/runtime/plumfold_secrets.hpp"

#include <algorithm>

namespace plumfold::control {

namespace {

constexpr core::milliseconds followerTimeout { 5'000 };
constexpr core::milliseconds peerTimeout { 5'000 };
constexpr core::milliseconds maxTargetAge { 60'000 }; // of leaving and silent targets
constexpr core::milliseconds maxLoadReportAge { 2'000 };
constexpr core::milliseconds maxPartsAge { 10'000 };
constexpr core::milliseconds maxDemandAge { 60'000 }; // of targets that are not known any more

bool isPresent(const control_peer_state& peer)
{
    return runtime::now() - peer.lastSeenAt < peerTimeout;
}

const char* stateName(core::target_state state)
{
    constexpr const char* names[] = { "ready", "leaving", "silent" };
    return names[static_cast<int>(state)];
}

} // namespace

std::string sharedLimitLeaseName(const std::string& failureDomain)
{
    return "shared-limits/" + failureDomain;
}

deployment_feed::deployment_feed(wire::rpc_thread& rpc, const runtime::settings& settings)
    : m_rpc(rpc)
    , m_settings(settings)
    , m_id(runtime::randomNumber() | 1)
{
    m_view.deployment = std::make_shared<const core::deployment_state>();
    m_view.leases = std::make_shared<const std::map<std::string, core::lease_state>>();
}

void deployment_feed::update(control_view view)
{
    if (view.deployment->revision != m_view.deployment->revision) {
        runtime::log_event("deployment_applied")
            .with("revision", view.deployment->revision)
            .with("version", view.deployment->document.version)
            .with("out_of_service", view.deployment->outOfService.size())
            .with("log_index", view.appliedIndex);
    }
    if (view.isCaughtUp != m_view.isCaughtUp)
        runtime::log_event(view.isCaughtUp ? "quorum_regained" : "quorum_lost")
            .with("term", view.term)
            .with("leader", view.leaderAddress);
    bool newDocument = view.deployment->document.version != m_view.deployment->document.version;
    bool hasNewLeases = view.leases != m_view.leases;
    m_view = std::move(view);
    if (hasNewLeases)
        applyDepartures();
    auto now = runtime::nowWithSuspension();
    m_weights.observeLatest(m_view.deployment->weights, now);
    m_returns.observeLatest(m_view.deployment->returns, now);
    if (newDocument) {
        m_document.update(m_view.deployment->document.text);
        updateServices();
    }
    wake();
}

void deployment_feed::logTarget(const char* event, const core::target_announcement& target)
{
    runtime::log_event(event)
        .with("target", target.name)
        .with("service", target.service)
        .with("address", target.address)
        .with("state", stateName(target.state))
        .with("started_at", target.startedAt)
        .with("sequence", target.sequence)
        .with("version", target.softwareVersion.empty() ? std::string("none") : target.softwareVersion)
        .with("cold_ms", target.coldFor.count())
        .with("weights", target.models.empty() ? std::string("none") : target.models.front().version);
}

bool deployment_feed::lacksModels(const core::target_announcement& target) const
{
    return target.models.empty() && m_modelServices.contains(target.service);
}

void deployment_feed::onAnnouncement(const core::target_announcement& target)
{
    auto before = m_directory.latestChange();
    bool applied = m_directory.apply(target, true, runtime::now());
    if (!applied)
        logTarget("announcement_outdated", target);
    markLeavingTargets();
    if (m_directory.latestChange() == before)
        return;
    logTarget("target_changed", target);
    wake();
}

void deployment_feed::onTargetUnresponsive(const std::string& target)
{
    if (!m_directory.markSilent(target))
        return;
    logTarget("target_unresponsive", m_directory.entries().at(target).last);
    wake();
}

void deployment_feed::onTargetLeft(const std::string& target)
{
    if (!m_directory.markLeaving(target, runtime::now()))
        return;
    logTarget("target_left", m_directory.entries().at(target).last);
    wake();
}

void deployment_feed::onWeightsLoaded(
    const std::string& target, const std::string& model, std::uint64_t version)
{
    if (m_directory.setWeights(target, model, std::to_string(version)))
        wake();
}

void deployment_feed::applyPeerUpdate(
    const std::string& from, control_peer_state state, const std::vector<core::target_announcement>& targets)
{
    state.lastSeenAt = runtime::now();
    state.followers = std::move(m_peers[from].followers);
    m_peers[from] = std::move(state);
    auto before = m_directory.latestChange();
    for (const auto& target : targets)
        m_directory.apply(target, false, runtime::now());
    markLeavingTargets();
    if (m_directory.latestChange() != before)
        wake();
}

void deployment_feed::updateServices()
{
    auto decoded = platform::decodeDeployment(m_view.deployment->document.text);
    if (!decoded.ok()) {
        runtime::log_event("deployment_unreadable", runtime::log_level::error)
            .with("reason", std::string(decoded.status().message()));
        return;
    }
    m_stores.clear();
    m_coldRates.clear();
    m_modelServices.clear();
    for (const auto& service : decoded->services()) {
        m_coldRates[service.name] = service.coldRequestsPerSecond;
        if (service.store)
            m_stores.push_back(*service.store);
        if (service.engine && !service.engine->models.empty())
            m_modelServices.insert(service.name);
    }
}

std::vector<std::string> deployment_feed::assignedStores() const
{
    std::vector<std::string> assigned;
    for (const auto& store : m_stores) {
        if (isAssignedTo(store.failureDomain))
            assigned.push_back(store.address);
    }
    return assigned;
}

std::vector<std::string> deployment_feed::assignedHolders() const
{
    auto assigned = assignedStores();
    for (const auto& engine : assignedEngines())
        assigned.push_back(engine.address);
    return assigned;
}

std::string deployment_feed::assigneeOf(const std::string& failureDomain) const
{
    auto domains = controlDomains();
    auto assignee = std::find_if(
        domains.begin(), domains.end(), [&](const auto& each) { return each.second == failureDomain; });
    return assignee == domains.end() ? domains.begin()->first : assignee->first;
}

/// @return whether this control VM normally is the only one that polls the stores and engines of a failure
/// domain.
bool deployment_feed::isAssignedTo(const std::string& failureDomain) const
{
    return assigneeOf(failureDomain) == m_settings.control->address;
}

std::string deployment_feed::sharedLimitIssuerOf(const std::string& failureDomain) const
{
    auto domains = controlDomains();
    auto assignee = assigneeOf(failureDomain);
    auto lease = m_view.leases->find(sharedLimitLeaseName(failureDomain));
    if (lease == m_view.leases->end())
        return assignee;
    auto holder = domains.find(lease->second.holder);
    bool isLocalBetter
        = holder != domains.end() && holder->second != failureDomain && domains[assignee] == failureDomain;
    return holder == domains.end() || isLocalBetter ? assignee : lease->second.holder;
}

double deployment_feed::coldRequestsPerSecond(const std::string& service) const
{
    auto found = m_coldRates.find(service);
    return found == m_coldRates.end() ? 0 : found->second;
}

std::vector<core::target_announcement> deployment_feed::assignedEngines() const
{
    auto assigned = polledEngines();
    std::erase_if(assigned, [](const auto& each) { return each.state != core::target_state::ready; });
    return assigned;
}

std::vector<core::target_announcement> deployment_feed::polledEngines() const
{
    std::vector<core::target_announcement> engines;
    for (const auto& [name, entry] : m_directory.entries()) {
        bool isEngine = !entry.last.models.empty() && entry.last.state != core::target_state::leaving;
        if (isEngine && isAssignedTo(entry.last.failureDomain))
            engines.push_back(entry.last);
    }
    return engines;
}

void deployment_feed::updateLoads(const std::vector<core::target_load>& loads, bool isDirect)
{
    for (const auto& load : loads)
        m_loadReports[load.target] = { load, runtime::now() - load.age, isDirect };
}

std::vector<core::target_load> deployment_feed::loads(bool directOnly) const
{
    std::vector<core::target_load> out;
    auto now = runtime::now();
    for (const auto& [target, known] : m_loadReports) {
        if (now - known.sentAt > maxLoadReportAge || (directOnly && !known.isDirect))
            continue;
        out.push_back(known.load);
        out.back().age = std::chrono::duration_cast<core::milliseconds>(now - known.sentAt);
    }
    return out;
}

void deployment_feed::updateTargetClock(std::uint64_t clock)
{
    if (clock == 0)
        return;
    m_targetClock = clock;
    m_targetClockReadAt = runtime::now();
}

std::uint64_t deployment_feed::targetClock() const
{
    if (m_targetClock == 0)
        return 0;
    auto age = std::chrono::duration_cast<core::milliseconds>(runtime::now() - m_targetClockReadAt);
    return m_targetClock + static_cast<std::uint64_t>(age.count());
}

std::vector<std::string> deployment_feed::applyPeerParts(
    const std::string& from, const std::vector<core::part_update>& parts, std::uint64_t clock)
{
    std::vector<std::string> unknown;
    for (const auto& update : parts) {
        if (m_parts.apply(update, runtime::now(), from) == core::part_outcome::unknown)
            unknown.push_back(update.holder);
    }
    updateTargetClock(clock);
    return unknown;
}

void deployment_feed::applyPeerEvents(
    const std::vector<core::event_age>& namings, const std::vector<core::event_age>& returns)
{
    auto now = runtime::nowWithSuspension();
    m_weights.observe(namings, now);
    m_returns.observe(returns, now);
}

void deployment_feed::applyDemands(const std::vector<core::target_demand>& demands)
{
    auto before = m_demands.latestChange();
    for (const auto& each : demands) {
        if (!m_demands.apply(each, runtime::now()))
            continue;
        runtime::log_event("target_demand_known")
            .with("target", each.target)
            .with("started_at", each.startedAt)
            .with("epoch", each.epoch)
            .with("max_requests_per_second", core::limitText(each))
            .with("leaving", each.isLeaving ? "true" : "false");
    }
    markLeavingTargets();
    if (m_demands.latestChange() != before)
        wake();
}

/// A target that has left stays so, whichever of its announcements arrive late and whatever processes have
/// ended since.
void deployment_feed::applyDepartures()
{
    std::vector<core::target_demand> leaving;
    for (const auto& each : core::departuresOf(*m_view.leases))
        leaving.push_back({ each.target, each.startedAt, 0, std::nullopt, true });
    applyDemands(leaving);
}

/// An announcement that says "ready" is older than a response that says otherwise.
void deployment_feed::markLeavingTargets()
{
    for (const auto& [name, each] : m_demands.entries()) {
        auto known = m_directory.entries().find(name);
        bool isSameIncarnation
            = known != m_directory.entries().end() && known->second.last.startedAt == each.demand.startedAt;
        if (each.demand.isLeaving && isSameIncarnation)
            onTargetLeft(name);
    }
}

void deployment_feed::resetParts(const std::string& holder, std::uint64_t generation)
{
    m_parts.reset(holder, generation, runtime::now());
}

bool deployment_feed::applyPartChanges(const std::string& holder, std::uint64_t generation,
    const std::vector<core::part_change>& changes, std::uint64_t clock)
{
    updateTargetClock(clock);
    auto known = m_parts.holders().find(holder);
    // Another control VM may poll the holder as well, and its update may have replaced this generation.
    if (known == m_parts.holders().end() || known->second.generation != generation)
        return false;
    for (const auto& change : changes)
        m_parts.apply(holder, change);
    m_parts.confirm(holder, runtime::now());
    return true;
}

void deployment_feed::removeParts(const std::string& holder, std::uint64_t generation)
{
    auto known = m_parts.holders().find(holder);
    if (known != m_parts.holders().end() && known->second.generation == generation)
        m_parts.apply({ holder, 0, 0, 0, false, {} }, runtime::now());
}

void deployment_feed::recordFollower(const core::entry_address& entry)
{
    m_followers[entry.name] = { entry, runtime::now() };
}

void deployment_feed::applyPeerFollowers(const std::string& from, std::vector<core::entry_address> followers)
{
    m_peers[from].followers = std::move(followers);
}

std::vector<core::entry_address> deployment_feed::followers() const
{
    std::vector<core::entry_address> out;
    for (const auto& [name, each] : m_followers) {
        if (!each.address.address.empty())
            out.push_back(each.address);
    }
    return out;
}

std::vector<core::entry_address> deployment_feed::helpersOf(
    const std::string& entry, const std::string& failureDomain) const
{
    auto known = followers();
    for (const auto& [address, state] : m_peers) {
        if (isPresent(state))
            known.insert(known.end(), state.followers.begin(), state.followers.end());
    }
    // An entry that changes its control VM is listed by both for a time.
    std::sort(known.begin(), known.end());
    known.erase(std::unique(known.begin(), known.end(),
                    [](const auto& left, const auto& right) { return left.name == right.name; }),
        known.end());
    return core::selectHelpers(entry, failureDomain, std::move(known));
}

void deployment_feed::setCrashVerdicts(
    std::vector<core::verdict> verdicts, std::vector<core::crash_suspect> suspects)
{
    if (suspects != m_suspects) {
        m_suspects = std::move(suspects);
        m_suspectsDigest = 0;
        for (const auto& each : m_suspects)
            m_suspectsDigest = core::hashBytes(
                std::to_string(each.trait) + ' ' + std::to_string(each.crashes), m_suspectsDigest);
    }
    if (verdicts == m_verdicts)
        return;
    m_verdicts = std::move(verdicts);
    m_verdictsDigest = 0;
    for (const auto& each : m_verdicts) {
        auto text = std::to_string(each.fingerprint) + ' ' + std::to_string(each.until) + ' '
            + std::to_string(each.isWithdrawn);
        m_verdictsDigest = core::hashBytes(text, m_verdictsDigest);
    }
    wake();
}

std::vector<core::crash_verdict> deployment_feed::crashVerdicts() const
{
    std::vector<core::crash_verdict> out;
    auto now = runtime::unixNow();
    for (const auto& each : m_verdicts) {
        core::milliseconds keepFor(each.until > now ? each.until - now : 0);
        out.push_back({ each.fingerprint, each.traits, each.crashes, keepFor, each.isWithdrawn });
    }
    return out;
}

void deployment_feed::tick()
{
    auto now = runtime::now();
    // A suspended process receives no announcements, so their absence does not mean that targets are silent.
    if (m_pauses.tick(runtime::nowWithSuspension()))
        m_directory.restartAnnouncementTimeouts(now);
    auto announcementTimeout = core::milliseconds(m_settings.control->targetSilenceMs);
    auto silent = m_directory.detectSilent(now, announcementTimeout);
    for (const auto& name : silent)
        logTarget("target_silent", m_directory.entries().at(name).last);
    m_directory.removeStale(now, maxTargetAge);
    m_demands.removeStale(
        [this](const std::string& target) { return m_directory.entries().contains(target); }, now,
        maxDemandAge);
    m_parts.expire(now, maxPartsAge);
    std::erase_if(
        m_loadReports, [&](const auto& each) { return now - each.second.sentAt > maxLoadReportAge; });
    std::erase_if(m_peers, [](const auto& each) { return !isPresent(each.second); });
    std::erase_if(
        m_followers, [&](const auto& each) { return now - each.second.lastSeenAt > followerTimeout; });
    if (!silent.empty())
        wake();
}

core::milliseconds deployment_feed::possibleWait() const
{
    return m_pauses.possibleWait(runtime::nowWithSuspension());
}

std::map<std::string, std::string> deployment_feed::controlDomains() const
{
    std::map<std::string, std::string> domains;
    for (const auto& [address, state] : m_peers) {
        if (isPresent(state))
            domains[address] = state.failureDomain;
    }
    domains[m_settings.control->address] = m_settings.process.failureDomain;
    return domains;
}

std::uint32_t deployment_feed::entryCount() const
{
    auto count = static_cast<std::uint32_t>(m_followers.size());
    for (const auto& [address, state] : m_peers) {
        if (isPresent(state))
            count += state.entries;
    }
    return std::max(count, 1u);
}

std::string deployment_feed::announceAddressIn(const std::string& failureDomain) const
{
    const auto& port = m_settings.control->platformAddress;
    for (const auto& [address, domain] : controlDomains()) {
        if (domain == failureDomain)
            return address.substr(0, address.rfind(':')) + port.substr(port.rfind(':'));
    }
    return {};
}

kj::Promise<void> deployment_feed::waitUntil(std::function<bool()> done)
{
    if (done())
        return kj::READY_NOW;
    auto pair = kj::newPromiseAndFulfiller<void>();
    m_waiters.push_back({ std::move(done), kj::mv(pair.fulfiller) });
    return kj::mv(pair.promise);
}

void deployment_feed::wake()
{
    m_waiters.remove_if([](waiter& each) {
        if (!each.fulfiller->isWaiting())
            return true;
        if (!each.done())
            return false;
        each.fulfiller->fulfill();
        return true;
    });
}

kj::Promise<void> deployment_feed::waitForUpdate(std::uint64_t deployment, std::uint64_t change,
    std::uint64_t verdicts, std::uint64_t demand, kj::Duration atMost)
{
    auto changed = waitUntil([this, deployment, change, verdicts, demand] {
        return m_view.deployment->revision > deployment || m_directory.latestChange() != change
            || m_verdictsDigest != verdicts || m_demands.latestChange() != demand || !m_view.isCaughtUp;
    });
    return changed.exclusiveJoin(m_rpc.timer().afterDelay(atMost));
}

kj::Promise<void> deployment_feed::waitForApplied(std::uint64_t index, kj::Duration atMost)
{
    auto applied = waitUntil([this, index] { return m_view.appliedIndex >= index; });
    return m_rpc.timer().timeoutAfter(atMost, kj::mv(applied));
}

} // namespace plumfold::control
