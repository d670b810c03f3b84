#pragma once

#include <compare>
#include <cstdint>
#include <string>
#include <vector>

namespace plumfold::core {

/// A piece of a prompt that requests may share.
struct prompt_part {
    std::string id;
    std::uint64_t tokens = 0;
    auto operator<=>(const prompt_part&) const = default;
};

/// Names the conversation that a prompt returns to. The last part is the request's own; those before it are
/// shared by all requests of the conversation.
/// @return a number that is the same for all its requests, or 0 when the prompt has no parts.
std::uint64_t conversationOf(const std::vector<prompt_part>& parts);

/// @return the tokens of a prompt that other requests may share: all parts but the last.
std::uint64_t sharedTokensOf(const std::vector<prompt_part>& parts);

/// A store or engine from which KV parts can be fetched.
struct part_source {
    std::string address; ///< ip:port
    std::string failureDomain;
    double linkMegabitsPerSecond = 0;
    auto operator<=>(const part_source&) const = default;
};

} // namespace plumfold::core
