#pragma once

#include "plumfold/core/plumfold_prompt_parts.hpp"

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace plumfold::core {

/// What the repeats of a request have in common, whichever attempt of a caller they belong to.
struct request_content {
    std::string_view customer; ///< Empty for none.
    std::string_view host;
    std::string_view method;
    std::string_view path; ///< With the query.
    std::string_view body;
    const std::vector<prompt_part>& parts; ///< Of the prompt.
};

/// @return a number that is the same for all repeats of a request; never 0.
std::uint64_t fingerprintOf(const request_content& content);

} // namespace plumfold::core
