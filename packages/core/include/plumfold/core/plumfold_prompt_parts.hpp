#pragma once

#include <compare>
#include <cstdint>
#include <string>
#include <vector>

namespace plumfold::core {

/// A section of a prompt whose KV data requests may share.
struct prompt_part {
    std::string id;
    std::uint64_t tokens = 0;
    auto operator<=>(const prompt_part&) const = default;
};

/// Identifies the conversation of a prompt by the last part that its requests share. The last part of a
/// prompt is specific to the request; those before it are shared by all requests of the conversation.
/// @return a number that is the same for all requests of the conversation, or 0 when the prompt has no parts.
std::uint64_t conversationOf(const std::vector<prompt_part>& parts);

/// @return the number of tokens in the parts that other requests may share: all but the last.
std::uint64_t sharedTokensOf(const std::vector<prompt_part>& parts);

/// How long engines need to have the shared parts of a prompt that they do not hold.
struct shared_parts_cost {
    std::string failureDomain; ///< Of the store with the last shared part.
    double localMs = 0; ///< Engines in that failure domain.
    double remoteMs = 0; ///< All other engines.
    auto operator<=>(const shared_parts_cost&) const = default;
};

/// A store or engine from which KV parts can be fetched.
struct part_source {
    std::string address; ///< ip:port
    std::string failureDomain;
    double linkMegabitsPerSecond = 0;
    auto operator<=>(const part_source&) const = default;
};

} // namespace plumfold::core
