#pragma once

#include "plumfold/client/plumfold_http_caller.hpp"

#include <cstdint>
#include <string>
#include <vector>

namespace plumfold::client {

/// A fixed number of requests from multi-turn conversations. The prompt of a conversation grows with each
/// turn.
struct load_options {
    std::vector<std::string> entries; ///< Used round-robin, as by a load balancer.
    std::string apiKey;
    std::string model;
    std::uint32_t requests = 100;
    std::uint32_t concurrency = 4;
    std::uint32_t conversations = 20;
    std::uint32_t firstPromptBytes = 4096;
    std::uint32_t growthBytes = 1024; ///< Added to the prompt per turn.
    std::uint32_t maxTokens = 16;
    std::uint64_t seed = 1;
    bool retry = false; ///< Retries a failed request after its Retry-After, at most three times.
    std::string recordFile; ///< One JSON line per response, with prompt and text.
};

/// The results of a load run.
struct load_report {
    std::uint32_t requests = 0;
    std::uint32_t served = 0; ///< Complete responses.
    std::uint32_t refused = 0; ///< Error responses.
    std::uint32_t failed = 0; ///< No response or an incomplete one.
    std::map<std::string, std::uint32_t> servedByDomain; ///< By failure domain.
    double firstTokenMedianMs = 0;
    double firstToken95Ms = 0; ///< 95th percentile.
    std::uint64_t promptTokens = 0;
    std::uint64_t cachedTokens = 0;
    std::uint64_t importBytes = 0; ///< From stores to targets, sum over all entries.
    std::uint64_t exportBytes = 0; ///< From targets to stores, sum over all entries.

    /// @return the share of prompt tokens that were not cached; 0 without prompt tokens.
    double recomputedShare() const;
};

/// Runs a load and collects its results. Blocks until every request has ended.
load_report runLoad(const load_options& options);

/// @param turn counted from 0.
/// @return the prompt of a conversation at that turn; earlier turns are its prefixes.
std::string conversationPrompt(const load_options& options, std::uint32_t conversation, std::uint32_t turn);

} // namespace plumfold::client
