#pragma once

#include "plumfold/core/plumfold_configuration.hpp"
#include "plumfold/core/plumfold_target_report.hpp"
#include "plumfold/core/plumfold_time.hpp"

#include <cstddef>
#include <cstdint>
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

/// @param targets number of targets that share the work.
/// @return the number of targets that load weights at the same time; at least 1.
constexpr std::size_t concurrentLoads(std::size_t targets, std::uint64_t percent)
{
    std::size_t loads = targets * percent / 100;
    return loads > 0 ? loads : 1;
}

/// Rolls out the current weight versions to the targets of one failure domain, with a limited number of
/// concurrent loads. Whether a load has succeeded is decided by the target's report. A version that fails on
/// several targets and succeeds on none is abandoned until another version becomes current.
class load_planner {
public:
    /// @param loadTimeout time after which a load counts as failed.
    explicit load_planner(milliseconds loadTimeout);

    /// @param targets the latest reports of the failure domain's targets.
    /// @param limit maximum number of concurrent loads.
    /// @return the orders to send now; they are recorded as outstanding.
    std::vector<load_order> plan(const configuration& config, const std::vector<target_report>& targets,
        std::uint32_t limit, instant now);

    /// Removes an outstanding order that its target rejected; the target gets no order during a back-off.
    void onOrderRejected(const load_order& order, instant now);

    /// @return the abandoned versions, as "model version".
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

    /// Removes the orders that have succeeded or failed and records their results.
    void resolveOutstanding(const std::vector<target_report>& targets, instant now);
    bool isAbandoned(const std::string& model, const std::string& version) const;

    milliseconds m_loadTimeout;
    std::map<std::string, outstanding_load> m_outstanding; ///< By target.
    std::map<std::string, instant> m_notBefore; ///< End of the back-off after a failure, by target.
    std::map<std::pair<std::string, std::string>, version_record> m_versions; ///< By model and version.
};

} // namespace plumfold::core
