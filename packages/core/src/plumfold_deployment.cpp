#include "plumfold/core/plumfold_deployment.hpp"

#include <absl/strings/ascii.h>
#include <absl/strings/str_cat.h>
#include <algorithm>
#include <cmath>
#include <set>

namespace plumfold::core {

namespace {

/// Effective priorities per customer priority, distinguished by the priority of the route.
constexpr std::uint32_t routeRanks = 3;

bool isPathCharacter(char c)
{
    auto byte = static_cast<unsigned char>(c);
    return !absl::ascii_isspace(byte) && !absl::ascii_iscntrl(byte) && c != '?' && c != '#';
}

absl::Status checkRoute(const route& checked, const deployment& whole)
{
    if (checked.host.empty())
        return absl::InvalidArgumentError(absl::StrCat("route ", checked.name, " has no host: name one"));
    if (!host_name(checked.host).isValid())
        return absl::InvalidArgumentError(absl::StrCat(
            "the host of route ", checked.name, " is no name or address, with or without a port"));
    bool hasSlashes = !checked.pathPrefix.empty() && checked.pathPrefix.front() == '/'
        && checked.pathPrefix.back() == '/';
    if (!hasSlashes)
        return absl::InvalidArgumentError(
            absl::StrCat("the path prefix of route ", checked.name, " must begin and end with a slash"));
    if (!std::all_of(checked.pathPrefix.begin(), checked.pathPrefix.end(), isPathCharacter))
        return absl::InvalidArgumentError(absl::StrCat("the path prefix of route ", checked.name,
            " has a blank, a control character, a query or a fragment, which no path has"));
    if (checked.timeout.count() <= 0)
        return absl::InvalidArgumentError(
            absl::StrCat("the timeout of route ", checked.name, " is 0: give a longer one"));
    double weights = 0;
    for (const auto& share : checked.shares) {
        if (!whole.findService(share.service))
            return absl::InvalidArgumentError(absl::StrCat("route ", checked.name,
                " names the unknown service ", share.service, ": declare it among the services"));
        weights += share.weight;
    }
    if (!(weights > 0))
        return absl::InvalidArgumentError(
            absl::StrCat("the weights of route ", checked.name, " add up to 0: raise one"));
    return absl::OkStatus();
}

/// @return whether a header can have the value, and is received as it was sent.
bool isHeaderValue(const std::string& text)
{
    auto isControl = [](unsigned char c) { return absl::ascii_iscntrl(c); };
    return !text.empty() && std::none_of(text.begin(), text.end(), isControl)
        && absl::StripAsciiWhitespace(text) == text;
}

absl::Status checkCustomer(const customer_access& checked)
{
    if (!isHeaderValue(checked.name))
        return absl::InvalidArgumentError(absl::StrCat("the name of customer \"", checked.name,
            "\" is empty, begins or ends with a blank or has a control character"));
    for (const auto& key : checked.keys) {
        if (key.empty())
            return absl::InvalidArgumentError(absl::StrCat(
                "customer ", checked.name, " has an empty key, which requests without a key have"));
        if (!isHeaderValue(key))
            return absl::InvalidArgumentError(absl::StrCat("customer ", checked.name,
                " has a key that begins or ends with a blank or has a control character"));
    }
    return absl::OkStatus();
}

} // namespace

deployment::deployment(std::uint64_t version, std::vector<route> routes, std::vector<service_limits> services,
    caller_limits limits, std::optional<std::vector<customer_access>> customers)
    : m_version(version)
    , m_routes(std::move(routes))
    , m_services(std::move(services))
    , m_limits(limits)
    , m_customers(std::move(customers))
{
    for (std::size_t index = 0; index < m_routes.size(); ++index)
        addRoute(index);
    for (std::size_t index = 0; m_customers && index < m_customers->size(); ++index) {
        for (const auto& key : m_customers->at(index).keys)
            m_customersByKey.emplace(key, index);
    }
    for (std::size_t index = 0; index < m_services.size(); ++index)
        m_servicesByName.emplace(m_services[index].name, index);
}

/// Of several routes with the same host and prefix, which check() refuses, the first whose host is in normal
/// form is used, or else the first. Former versions accepted hosts that differ in case, and served by the one
/// in normal form.
void deployment::addRoute(std::size_t index)
{
    const auto& added = m_routes[index];
    auto [place, isFirst] = m_routesByHost[host_name(added.host)].emplace(added.pathPrefix, index);
    if (isFirst)
        return;
    const auto& known = m_routes[place->second];
    if (!host_name(known.host).isWrittenAs(known.host) && host_name(added.host).isWrittenAs(added.host))
        place->second = index;
}

absl::Status deployment::check() const
{
    for (std::size_t index = 0; index < m_routes.size(); ++index) {
        const route& each = m_routes[index];
        if (auto status = checkRoute(each, *this); !status.ok())
            return status;
        if (m_routesByHost.at(host_name(each.host)).at(each.pathPrefix) != index)
            return absl::InvalidArgumentError(absl::StrCat(
                "two routes have host ", each.host, " and prefix ", each.pathPrefix, ": remove one"));
    }
    for (std::size_t index = 0; index < m_services.size(); ++index) {
        if (m_servicesByName.at(m_services[index].name) != index)
            return absl::InvalidArgumentError(
                absl::StrCat("two services have the name ", m_services[index].name, ": rename one"));
    }
    std::set<std::string_view> names;
    for (std::size_t index = 0; m_customers && index < m_customers->size(); ++index) {
        const auto& each = m_customers->at(index);
        if (auto status = checkCustomer(each); !status.ok())
            return status;
        if (!names.insert(each.name).second)
            return absl::InvalidArgumentError(
                absl::StrCat("two customers have the name ", each.name, ": rename one or join their keys"));
        for (const auto& key : each.keys) {
            if (m_customersByKey.at(key) != index)
                return absl::InvalidArgumentError(absl::StrCat(
                    "customer ", each.name, " shares a key with another customer: give each its own"));
        }
    }
    return absl::OkStatus();
}

const route* deployment::findRoute(const host_name& host, std::string_view path) const
{
    const auto* found = findRouteOf(host, path);
    return found || host.port().empty() ? found : findRouteOf(host.withoutPort(), path);
}

const route* deployment::findRouteOf(const host_name& host, std::string_view path) const
{
    auto prefixes = m_routesByHost.find(host);
    if (prefixes == m_routesByHost.end())
        return nullptr;
    path = path.substr(0, path.find('?'));
    // Prefixes end with a slash, so only the path's prefixes up to a slash can match; the longest is tried
    // first.
    for (auto slash = path.rfind('/'); slash != std::string_view::npos; slash = path.rfind('/', slash - 1)) {
        auto found = prefixes->second.find(path.substr(0, slash + 1));
        if (found != prefixes->second.end())
            return &m_routes[found->second];
        if (slash == 0)
            break;
    }
    return nullptr;
}

bool deployment::requiresCustomer(const route& requestRoute) const
{
    return hasCustomers() && !requestRoute.isPublic;
}

const customer_access* deployment::findCustomer(std::string_view key) const
{
    auto found = key.empty() ? m_customersByKey.end() : m_customersByKey.find(key);
    return found == m_customersByKey.end() ? nullptr : &m_customers->at(found->second);
}

const customer_access* deployment::findCustomerNamed(std::string_view name) const
{
    if (!m_customers)
        return nullptr;
    auto found = std::find_if(
        m_customers->begin(), m_customers->end(), [&](const auto& each) { return each.name == name; });
    return found == m_customers->end() ? nullptr : &*found;
}

const service_limits* deployment::findService(std::string_view name) const
{
    auto found = m_servicesByName.find(name);
    return found == m_servicesByName.end() ? nullptr : &m_services[found->second];
}

std::uint32_t effectivePriorityOf(const route& requestRoute, const customer_access* customer)
{
    auto priority = customer ? customer->priority.value_or(requestRoute.priority) : requestRoute.priority;
    return std::min(
        priority * routeRanks + std::min(requestRoute.priority, routeRanks - 1), lowestEffectivePriority);
}

const std::string* chooseService(const route& requestRoute, std::uint64_t draw)
{
    double total = 0;
    for (const auto& share : requestRoute.shares)
        total += share.weight;
    // The upper 53 bits of the draw, as a fraction of 1.
    constexpr int unusedBits = 11;
    double place = std::ldexp(static_cast<double>(draw >> unusedBits), unusedBits - 64) * total;
    const std::string* last = nullptr;
    for (const auto& share : requestRoute.shares) {
        if (share.weight <= 0)
            continue;
        last = &share.service;
        if (place < share.weight)
            break;
        place -= share.weight;
    }
    return last;
}

} // namespace plumfold::core
