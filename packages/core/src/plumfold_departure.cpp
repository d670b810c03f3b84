#include "plumfold/core/plumfold_departure.hpp"

#include <charconv>

namespace plumfold::core {

namespace {

const std::string leasePrefix = "departure/"; // followed by the target, a slash and its start

} // namespace

std::string departureLeaseName(const departure& each)
{
    return leasePrefix + each.target + '/' + std::to_string(each.startedAt);
}

std::optional<departure> parseDepartureLease(const std::string& leaseName)
{
    auto slash = leaseName.rfind('/');
    if (!leaseName.starts_with(leasePrefix) || slash < leasePrefix.size())
        return std::nullopt;
    departure out;
    out.target = leaseName.substr(leasePrefix.size(), slash - leasePrefix.size());
    const char* end = leaseName.data() + leaseName.size();
    auto [parsedTo, error] = std::from_chars(leaseName.data() + slash + 1, end, out.startedAt);
    if (error != std::errc() || parsedTo != end)
        return std::nullopt;
    return out;
}

std::vector<departure> departuresOf(const std::map<std::string, lease_state>& leases)
{
    std::vector<departure> out;
    for (auto each = leases.lower_bound(leasePrefix);
         each != leases.end() && each->first.starts_with(leasePrefix); ++each) {
        if (auto parsed = parseDepartureLease(each->first))
            out.push_back(std::move(*parsed));
    }
    return out;
}

} // namespace plumfold::core
