#pragma once

#include "plumfold/core/plumfold_prompt_parts.hpp"

#include <compare>
#include <cstdint>
#include <set>
#include <string_view>
#include <vector>

namespace plumfold::core {

/// What the repeats of a request have in common, whichever attempt of a caller they belong to.
struct request_content {
    std::string_view customer; ///< Empty for none.
    bool isIsolated = false; ///< The customer's prompt parts are not those of others, even if named alike.
    std::string_view host;
    std::string_view method;
    std::string_view path; ///< With the query.
    std::string_view model; ///< That reads the prompt.
    std::string_view body;
    const std::vector<prompt_part>& parts; ///< Of the prompt.
};

/// What a request may share with other requests that crash targets.
struct request_traits {
    std::uint64_t fingerprint = 0; ///< The same for all repeats of the request.
    std::uint64_t customer = 0; ///< Hash of the customer's name.
    bool isIsolated = false; ///< See request_content.
    std::vector<std::uint64_t> parts; ///< Hashes of the prompt's parts, without the last one, sorted.
    auto operator<=>(const request_traits&) const = default;
};

request_traits traitsOf(const request_content& content);

/// Scope of a trait.
enum class trait_kind : std::uint8_t {
    request, ///< All repeats of one request.
    customer_part, ///< All requests of one customer with a part in their prompts.
    shared_part, ///< All requests with the part, of all customers that are not isolated.
};

/// A property of a request that may be why it crashes targets.
struct request_trait {
    std::uint64_t id = 0; ///< Differs between kinds, too.
    trait_kind kind = trait_kind::request;
    std::uint64_t wider = 0; ///< Of a customer's part: id of the same part for all customers; 0: none.
    auto operator<=>(const request_trait&) const = default;
};

/// Ids of traits that apply together.
using trait_set = std::set<std::uint64_t>;

/// @return the traits of a request, its fingerprint first.
std::vector<request_trait> listTraits(const request_traits& request);

/// @param traits of a request.
bool hasTrait(const std::vector<request_trait>& traits, std::uint64_t id);

/// @param traits of a request.
bool hasTraits(const std::vector<request_trait>& traits, const trait_set& ids);

} // namespace plumfold::core
