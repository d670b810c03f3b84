#pragma once

#include "plumfold/core/rollout/plumfold_rollout_record.hpp"

#include <compare>
#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>

namespace plumfold::core {

/// The text of a deployment as written by operators. Control VMs replicate it undecoded.
struct deployment_document {
    std::uint64_t version = 0; ///< 0: no document was accepted yet.
    std::string text;
    auto operator<=>(const deployment_document&) const = default;
};

/// Operator settings for the forwarding of requests.
struct deployment_state {
    std::uint64_t revision = 0; ///< Incremented with every change of the members below.
    deployment_document document;
    std::set<std::string> outOfService; ///< Failure domains that get no new requests.
    /// Revision at which each failure domain was last returned to service.
    std::map<std::string, std::uint64_t> returns;
    std::map<std::string, std::uint64_t> weights; ///< Current weight version of each model.
    std::map<std::string, rollout_record> rollouts; ///< Latest rollout of software versions by service.
    bool operator==(const deployment_state&) const = default;

    /// Replaces the document if the next one has a higher version.
    /// @return whether the document was replaced.
    bool adopt(const deployment_document& next);

    /// Takes a failure domain out of service or returns it to service.
    /// @return whether the state changed.
    bool setInService(const std::string& failureDomain, bool inService);

    /// Sets the current weight version of a model if it is higher than the present one.
    /// @return whether the version was set.
    bool setCurrentWeights(const std::string& model, std::uint64_t version);

    /// Begins a rollout of a service, see beginRollout().
    rollout_result begin(const begin_rollout_command& command, unix_milliseconds at, std::uint64_t logIndex);

    /// Applies a decision on a rollout, see decideRollout().
    rollout_result decide(const decide_rollout_command& command);
};

/// Commands of the replicated log that change the deployment state. All are idempotent.
struct adopt_document_command {
    deployment_document document;
};
struct set_in_service_command {
    std::string failureDomain;
    bool inService = true;
    /// Log index of the last such command for the failure domain that was known when the operator's call was
    /// received; 0: none. The leader rejects the command if it knows a later one. Nothing: no condition.
    std::optional<std::uint64_t> lastKnownOrder;
};
struct set_current_weights_command {
    std::string model;
    std::uint64_t version = 0;
};

} // namespace plumfold::core
