#pragma once

#include <compare>
#include <cstdint>
#include <map>
#include <set>
#include <string>

namespace plumfold::core {

/// A deployment as its operators wrote it. Control replicates the text; who uses it decodes it.
struct deployment_document {
    std::uint64_t version = 0; ///< 0: none was accepted yet.
    std::string text;
    auto operator<=>(const deployment_document&) const = default;
};

/// What operators put in force for the forwarding of requests.
struct deployment_state {
    std::uint64_t revision = 0; ///< Grows with every change below.
    deployment_document document;
    std::set<std::string> outOfService; ///< Failure domains that get no new work.
    std::map<std::string, std::uint64_t> weights; ///< The named weight version of each model.
    bool operator==(const deployment_state&) const = default;

    /// Puts a document in force unless one with the same or a higher version is.
    /// @return whether it is in force now.
    bool adopt(const deployment_document& next);

    /// Takes a failure domain out of service or back into it.
    /// @return whether that changed anything.
    bool setInService(const std::string& failureDomain, bool inService);

    /// Names a model's weight version unless the same or a higher one is named.
    /// @return whether it is named now.
    bool setCurrentWeights(const std::string& model, std::uint64_t version);
};

/// Commands of the replicated log that change the deployment state. Each may be applied again without harm.
struct adopt_document_command {
    deployment_document document;
};
struct set_in_service_command {
    std::string failureDomain;
    bool inService = true;
};
struct set_current_weights_command {
    std::string model;
    std::uint64_t version = 0;
};

} // namespace plumfold::core
