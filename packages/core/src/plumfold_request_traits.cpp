#include "plumfold/core/plumfold_request_traits.hpp"

#include "plumfold/core/plumfold_hash.hpp"

#include <algorithm>
#include <string>

namespace plumfold::core {

namespace {

constexpr std::size_t maxParts = 32; // that are looked at

/// Hashes a value after others. Its size separates it from the next one.
std::uint64_t chain(std::uint64_t hash, std::string_view value)
{
    return hashBytes(value, hashBytes(std::to_string(value.size()), hash));
}

/// @param scope different for each customer, and for all customers.
std::uint64_t combine(std::string_view scope, std::uint64_t part)
{
    return std::max<std::uint64_t>(chain(chain(0, scope), std::to_string(part)), 1);
}

} // namespace

request_traits traitsOf(const request_content& content)
{
    request_traits out;
    std::uint64_t hash = 0;
    for (auto each : { content.customer, content.host, content.method, content.path, content.body })
        hash = chain(hash, each);
    for (const auto& part : content.parts)
        hash = chain(hash, part.id);
    out.fingerprint = std::max<std::uint64_t>(hash, 1);
    out.customer = chain(0, content.customer);
    out.isIsolated = content.isIsolated;
    auto model = chain(0, content.model);
    for (std::size_t index = 0; index + 1 < content.parts.size() && index < maxParts; ++index)
        out.parts.push_back(chain(model, content.parts[index].id));
    std::sort(out.parts.begin(), out.parts.end());
    out.parts.erase(std::unique(out.parts.begin(), out.parts.end()), out.parts.end());
    return out;
}

std::vector<request_trait> listTraits(const request_traits& request)
{
    std::vector<request_trait> all { { request.fingerprint, trait_kind::request, 0 } };
    for (auto part : request.parts) {
        auto shared = request.isIsolated ? 0 : combine("all customers", part);
        all.push_back({ combine(std::to_string(request.customer), part), trait_kind::customer_part, shared });
        if (!request.isIsolated)
            all.push_back({ shared, trait_kind::shared_part, 0 });
    }
    return all;
}

bool hasTrait(const std::vector<request_trait>& traits, std::uint64_t id)
{
    return std::any_of(traits.begin(), traits.end(), [&](const auto& each) { return each.id == id; });
}

bool hasTraits(const std::vector<request_trait>& traits, const trait_set& ids)
{
    return std::all_of(ids.begin(), ids.end(), [&](std::uint64_t id) { return hasTrait(traits, id); });
}

} // namespace plumfold::core
