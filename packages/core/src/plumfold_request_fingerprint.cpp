#include "plumfold/core/plumfold_request_fingerprint.hpp"

#include "plumfold/core/plumfold_hash.hpp"

#include <algorithm>

namespace plumfold::core {

std::uint64_t fingerprintOf(const request_content& content)
{
    std::uint64_t hash = 0;
    // The size separates a value from the next one.
    auto add = [&](std::string_view value) {
        hash = hashBytes(value, hashBytes(std::to_string(value.size()), hash));
    };
    for (auto each : { content.customer, content.host, content.method, content.path, content.body })
        add(each);
    for (const auto& part : content.parts)
        add(part.id);
    return std::max<std::uint64_t>(hash, 1);
}

} // namespace plumfold::core
