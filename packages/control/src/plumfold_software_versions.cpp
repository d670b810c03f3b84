#include "plumfold_software_versions.hpp"

#include "plumfold/runtime/plumfold_clock.hpp"
#include "plumfold/runtime/plumfold_log.hpp"

namespace plumfold::control {

namespace {

constexpr const char* leasePrefix = "software-version/"; // followed by the service, a slash and the version
constexpr const char* leaseHolder = "targets"; // the same for all control VMs
/// Longer than a stream may last, by a margin for clock steps.
constexpr std::uint32_t leaseMs = 120'000;
constexpr core::unix_milliseconds minLeaseLeftMs = 90'000;
constexpr core::milliseconds retryInterval { 1'000 };
constexpr auto callTimeout = 900 * kj::MILLISECONDS;

} // namespace

std::string software_versions::leaseName(const service_version& version)
{
    return leasePrefix + version.first + '/' + version.second;
}

bool software_versions::isDue(const service_version& version) const
{
    const auto& leases = *m_feed.view().leases;
    auto lease = leases.find(leaseName(version));
    if (lease != leases.end() && lease->second.until >= runtime::unixNow() + minLeaseLeftMs)
        return false;
    auto last = m_renewedAt.find(version);
    return last == m_renewedAt.end() || runtime::now() - last->second >= retryInterval;
}

void software_versions::tick()
{
    std::set<service_version> current;
    for (const auto& [name, each] : m_feed.directory().entries()) {
        if (each.last.state == core::target_state::ready)
            current.emplace(each.last.service, each.last.softwareVersion);
    }
    std::erase_if(m_renewedAt, [&](const auto& each) { return !current.contains(each.first); });
    for (const auto& version : current) {
        if (isDue(version))
            renew(version);
    }
}

void software_versions::renew(const service_version& version)
{
    m_renewedAt[version] = runtime::now();
    core::lease_command command { leaseName(version), leaseHolder, leaseMs };
    m_tasks.add(m_leader.submit(core::command { 0, std::move(command) }, callTimeout)
                    .then([](auto&&) {},
                        [version](kj::Exception&& exception) {
                            runtime::log_event("software_version_not_recorded", runtime::log_level::warning)
                                .with("service", version.first)
                                .with("version", version.second)
                                .with("reason", exception.getDescription().cStr());
                        }));
}

std::set<std::string> software_versions::versionsOf(const std::string& service) const
{
    auto versions = m_feed.directory().softwareVersions(service);
    auto prefix = leaseName({ service, {} });
    auto now = runtime::unixNow();
    for (const auto& [name, lease] : *m_feed.view().leases) {
        if (name.starts_with(prefix) && lease.until > now)
            versions.insert(name.substr(prefix.size()));
    }
    return versions;
}

std::set<std::string> software_versions::formerVersions(
    const std::string& service, const std::string& next) const
{
    auto versions = versionsOf(service);
    for (const auto& [name, each] : m_feed.directory().entries()) {
        if (each.last.service == service && each.last.state == core::target_state::ready)
            versions.insert(each.last.softwareVersion);
    }
    versions.erase(next);
    return versions;
}

} // namespace plumfold::control
