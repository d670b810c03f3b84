#pragma once

#include "plumfold/core/plumfold_configuration.hpp"
#include "plumfold/core/plumfold_target_report.hpp"
#include "plumfold/core/plumfold_time.hpp"

#include <map>
#include <set>
#include <string>
#include <vector>

namespace plumfold::core {

/// An order to load a weight version.
struct load_order {
    std::string target;
    std::string address;
    std::uint64_t incarnation = 0;
    std::string model;
    std::string version;
    auto operator<=>(const load_order&) const = default;
};

/// Brings the targets of one failure domain to the weight versions in force, some at a time. What a target
/// reports decides whether a load has succeeded. A version that fails on several targets and works on none is
/// given up until another one is put in force.
class load_planner {
public:
    /// @param loadTimeout a load that takes longer has failed.
    explicit load_planner(milliseconds loadTimeout);

    /// @param targets the present reports of the failure domain's targets.
    /// @param limit loads at the same time.
    /// @return the orders to give now; they count as given.
    std::vector<load_order> plan(const configuration& config, const std::vector<target_report>& targets,
        std::uint32_t limit, instant now);

    /// A target did not take its order.
    void onOrderRejected(const load_order& order, instant now);

    /// @return the versions that were given up, as "model version".
    std::vector<std::string> abandonedVersions() const;

private:
    struct outstanding_load {
        load_order order;
        instant deadline;
    };
    struct version_record {
        std::set<std::string> failedOn;
        bool hasSucceeded = false;
    };

    void resolveOutstanding(const std::vector<target_report>& targets, instant now);
    bool isAbandoned(const std::string& model, const std::string& version) const;

    milliseconds m_loadTimeout;
    std::map<std::string, outstanding_load> m_outstanding; // by target
    std::map<std::string, instant> m_notBefore; // by target, after a failure
    std::map<std::pair<std::string, std::string>, version_record> m_versions; // by model and version
};

} // namespace plumfold::core
