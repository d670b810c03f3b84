#pragma once

#include "plumfold/core/plumfold_deployment.hpp"

#include <compare>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace plumfold::core {

/// One end of a transfer of KV data, as the deployment states it.
struct kv_link {
    std::string failureDomain;
    double megabitsPerSecond = 0;
    double setupMs = 0; ///< Time that this end adds to each transfer.
    auto operator<=>(const kv_link&) const = default;
};

/// Setup of a transfer at the receiving engine, in ms, as the engines' documentation states it.
inline constexpr double engineSetupMs = 5;

/// @return the link of a store as the source of a transfer.
kv_link linkOf(const part_store& store);

/// @return the link of an engine as the receiver of a transfer.
kv_link receivingLinkOf(const engine_limits& engine, const std::string& failureDomain);

/// @return the link of an engine as the source of a transfer.
kv_link sendingLinkOf(double megabitsPerSecond, const std::string& failureDomain);

/// @param bytesPerToken KV data per token.
/// @return the time for which a transfer occupies its links, in ms; nothing if a figure is missing or cannot
/// be right (a rate that is not finite or not above 0, a negative setup, 0 bytes per token).
std::optional<double> transferMs(
    std::uint64_t tokens, std::uint64_t bytesPerToken, const kv_link& source, const kv_link& receiver);

/// @return the services whose figures do not allow a prediction of transfers, with the reason.
std::vector<std::string> unusableLinks(const std::vector<service_limits>& services);

} // namespace plumfold::core
