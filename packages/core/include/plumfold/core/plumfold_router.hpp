#pragma once

#include "plumfold/core/plumfold_configuration_view.hpp"
#include "plumfold/core/plumfold_dispatch_types.hpp"
#include "plumfold/core/plumfold_entry_membership.hpp"
#include "plumfold/core/plumfold_link_budget.hpp"
#include "plumfold/core/plumfold_prefix_index.hpp"
#include "plumfold/core/plumfold_speed_model.hpp"
#include "plumfold/core/plumfold_target_table.hpp"

#include <map>
#include <optional>
#include <random>

namespace plumfold::core {

/// State that the selection of a target depends on.
struct routing_view {
    const configuration_view& config;
    const target_table& targets;
    const entry_membership& entries;
    const prefix_index& prefixes;
    const speed_model& speeds;
    const link_budget& link;
    const std::map<std::string, instant>& fullUntil; ///< By target.
};

/// The result of a target selection.
struct routing_choice {
    std::optional<dispatch_plan> plan; ///< Empty if no target can accept the request now.
    bool anyEligible = false; ///< Some target could accept it later.
};

/// Selects targets by predicted time to first token.
class router {
public:
    router(const dispatch_options& options);

    routing_choice choose(const request_spec& spec, const std::set<std::string>& excluded,
        const routing_view& view, instant now);

private:
    /// Predicted execution of a request on a target.
    struct estimate {
        std::uint32_t cachedBlocks = 0;
        std::uint32_t importBlocks = 0;
        milliseconds firstToken { 0 };
    };

    /// @return whether the target may run the request, regardless of its load.
    bool isAllowed(const request_spec& spec, const std::string& version, const known_target& target,
        const routing_view& view, instant now) const;
    static estimate estimateFor(
        const request_spec& spec, std::uint32_t cachedBlocks, const routing_view& view, instant now);
    milliseconds costOf(const known_target& target, const estimate& expected) const;
    static dispatch_plan makePlan(const known_target& target, const estimate& expected,
        const std::string& version, const routing_view& view);

    milliseconds m_maxViewAge;
    std::string m_failureDomain;
    std::mt19937_64 m_random;
};

} // namespace plumfold::core
