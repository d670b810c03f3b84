#pragma once

#include "plumfold/client/plumfold_http_caller.hpp"

#include <cstdint>
#include <string>
#include <vector>

namespace plumfold::client {

/// A bounded load of conversations that return. Every conversation has a prompt that grows with each return.
struct load_options {
    std::vector<std::string> entries; ///< Used in turn, as a balancer would.
    std::string apiKey;
    std::string model;
    std::uint32_t requests = 100;
    std::uint32_t concurrency = 4;
    std::uint32_t conversations = 20;
    std::uint32_t firstPromptBytes = 4096;
    std::uint32_t growthBytes = 1024;
    std::uint32_t maxTokens = 16;
    std::uint64_t seed = 1;
    bool retry = false; ///< Sends a refused request again after its Retry-After, at most three times.
    std::string recordFile; ///< One JSON line per answer, with prompt and text.
};

/// The measures of a run.
struct load_report {
    std::uint32_t requests = 0;
    std::uint32_t served = 0;
    std::uint32_t refused = 0;
    std::uint32_t failed = 0; ///< No answer, or one that was not whole.
    std::map<std::string, std::uint32_t> servedByDomain;
    double firstTokenMedianMs = 0;
    double firstToken95Ms = 0;
    std::uint64_t promptTokens = 0;
    std::uint64_t cachedTokens = 0;
    std::uint64_t importBytes = 0; ///< From stores to targets, over all entries.
    std::uint64_t exportBytes = 0;

    /// @return the share of prompt tokens that targets had to compute.
    double recomputedShare() const;
};

/// Runs a load and gathers its measures.
load_report runLoad(const load_options& options);

/// @return the prompt of a conversation at its nth return.
std::string conversationPrompt(const load_options& options, std::uint32_t conversation, std::uint32_t turn);

} // namespace plumfold::client
