#include "plumfold_shared_limit_issuer.hpp"

#include "plumfold/runtime/plumfold_clock.hpp"
#include "plumfold/runtime/plumfold_log.hpp"

#include <algorithm>

namespace plumfold::control {

namespace {

constexpr std::uint64_t renewalsPerLease = 6;
/// A control VM that has just started does not yet know those of other failure domains.
constexpr core::milliseconds peerDiscoveryTime { 5'000 };
constexpr auto leaseCallTimeout = 900 * kj::MILLISECONDS;
constexpr core::milliseconds maxGrantAge { 60'000 }; // of a target's latest grant
constexpr core::milliseconds retryWithoutLease { 300 };

} // namespace

shared_limit_issuer::shared_limit_issuer(
    const runtime::settings& settings, deployment_feed& feed, leader_client& leader)
    : m_settings(settings)
    , m_feed(feed)
    , m_leader(leader)
    , m_startedAt(runtime::nowWithSuspension())
{
    auto domains = settings.process.failureDomains;
    if (domains.empty())
        domains.push_back(settings.process.failureDomain);
    for (const auto& domain : domains) {
        m_domains.emplace(domain,
            domain_grants { core::lease_usage(core::milliseconds(settings.control->sharedLimitLeaseMs)),
                core::cold_start_limiter(domain, domains, core::startGrantLifetime),
                core::retry_reserve(domain, domains, static_cast<std::uint64_t>(settings.control->retryExtra),
                    core::milliseconds(settings.control->retryWindowMs)),
                {} });
    }
}

std::vector<std::string> shared_limit_issuer::failureDomains() const
{
    std::vector<std::string> names;
    for (const auto& [domain, grants] : m_domains)
        names.push_back(domain);
    return names;
}

bool shared_limit_issuer::holdsLease(const std::string& failureDomain) const
{
    auto found = m_domains.find(failureDomain);
    return found != m_domains.end() && found->second.lease.isUsable(runtime::nowWithSuspension());
}

void shared_limit_issuer::tick()
{
    auto now = runtime::nowWithSuspension();
    bool arePeersKnown = now - m_startedAt > peerDiscoveryTime;
    for (auto& [domain, grants] : m_domains) {
        grants.coldStarts.removeIdle(now, maxGrantAge);
        grants.limitedStarts.removeIdle(now, maxGrantAge);
        bool isOwn = domain == m_settings.process.failureDomain;
        bool isDue = !grants.isRenewing && now >= grants.nextRenewalAt && (isOwn || arePeersKnown);
        if (isDue && m_feed.sharedLimitIssuerOf(domain) == m_settings.control->address)
            renew(domain, grants);
    }
}

void shared_limit_issuer::renew(const std::string& failureDomain, domain_grants& grants)
{
    auto requestedAt = runtime::nowWithSuspension();
    grants.nextRenewalAt
        = requestedAt + core::milliseconds(m_settings.control->sharedLimitLeaseMs / renewalsPerLease);
    grants.isRenewing = true;
    core::lease_command command { sharedLimitLeaseName(failureDomain), m_settings.control->address,
        static_cast<std::uint32_t>(m_settings.control->sharedLimitLeaseMs) };
    auto submitted = m_leader.submit(core::command { 0, std::move(command) }, leaseCallTimeout);
    m_tasks.add(submitted.then(
        [this, failureDomain, &grants, requestedAt](propose_response response) {
            grants.isRenewing = false;
            if (const auto* result = std::get_if<core::lease_result>(&response.result))
                onLeaseResult(failureDomain, grants, requestedAt, *result);
        },
        [&grants, failureDomain](kj::Exception&& exception) {
            grants.isRenewing = false;
            runtime::log_event("shared_limit_lease_not_renewed", runtime::log_level::warning)
                .with("failure_domain", failureDomain)
                .with("reason", exception.getDescription().cStr());
        }));
}

void shared_limit_issuer::onLeaseResult(const std::string& failureDomain, domain_grants& grants,
    core::instant requestedAt, const core::lease_result& result)
{
    auto now = runtime::nowWithSuspension();
    if (!result.granted) {
        if (grants.lease.onRefused())
            runtime::log_event("shared_limit_lease_lost").with("failure_domain", failureDomain);
        return;
    }
    if (!grants.lease.onGranted(requestedAt, result.takeovers, now))
        return;
    grants.limitedStarts.restart(grants.lease.usableFrom());
    if (!result.isFirst) {
        grants.coldStarts.restart(grants.lease.usableFrom());
        grants.retries.restart(grants.lease.usableFrom());
    }
    runtime::log_event("shared_limit_lease_taken")
        .with("failure_domain", failureDomain)
        .with("fence", result.fence)
        .with("takeovers", result.takeovers);
}

core::grant_decision shared_limit_issuer::tryStart(
    const std::string& failureDomain, const std::string& service, const std::string& target)
{
    auto now = runtime::nowWithSuspension();
    auto found = m_domains.find(failureDomain);
    if (found == m_domains.end() || !found->second.lease.isUsable(now))
        return { false, retryWithoutLease };
    double perSecond = m_feed.coldRequestsPerSecond(service);
    core::cold_start_rate rate { perSecond,
        perSecond * m_settings.control->coldOvershoot + m_settings.control->coldSlack };
    return found->second.coldStarts.tryStart(target, rate, now);
}

std::optional<core::grant_decision> shared_limit_issuer::tryLimitedStart(
    const std::string& failureDomain, const core::target_demand& demand)
{
    auto now = runtime::nowWithSuspension();
    auto found = m_domains.find(failureDomain);
    if (found == m_domains.end() || !found->second.lease.isUsable(now))
        return std::nullopt;
    auto limit = demand.maxRequestsPerSecond.value_or(0);
    if (auto known = m_feed.demands().maxRequestsPerSecond(demand.target, demand.startedAt))
        limit = std::min(limit, *known);
    return found->second.limitedStarts.tryStart(demand.target, demand.startedAt, limit, now);
}

bool shared_limit_issuer::tryRetry(const std::string& failureDomain, const std::string& service)
{
    auto now = runtime::nowWithSuspension();
    auto found = m_domains.find(failureDomain);
    return found != m_domains.end() && found->second.lease.isUsable(now)
        && found->second.retries.tryTake(service, now);
}

} // namespace plumfold::control
