#pragma once

#include "plumfold/core/plumfold_time.hpp"

#include <compare>
#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <utility>
#include <vector>

namespace plumfold::core {

/// A target that has not loaded the current weight version of one of its models.
struct outdated_target {
    std::string name;
    std::string address; ///< ip:port
    std::string model;
    std::uint64_t currentVersion = 0;
    auto operator<=>(const outdated_target&) const = default;
};

/// What a target reports about the load that it was ordered.
enum class load_progress {
    complete, ///< It has the version.
    running, ///< It executes an order.
    idle, ///< It neither has the version nor executes an order.
    unknown, ///< Its report could not be read.
};

/// Decides which target is ordered next to load its model's current weights. Performs no I/O and reads no
/// clock.
class weight_rollout {
public:
    /// Forgets loads and failures of all targets but these, and loads of other versions.
    void retain(const std::vector<outdated_target>& targets);

    /// @return the targets whose load has to be checked now.
    std::vector<outdated_target> dueChecks(const std::vector<outdated_target>& targets, instant now) const;

    /// @param limits number of targets that load weights at the same time, by model.
    /// @return the targets to order now, within the limits; those that have failed least often come first.
    std::vector<outdated_target> dueOrders(const std::vector<outdated_target>& targets,
        const std::map<std::string, std::size_t>& limits, instant now) const;

    /// Records that a target may execute an order.
    void onOrdered(const outdated_target& target, instant now);
    /// Records that a target could not be ordered. It is tried again after a back-off.
    void onNotOrdered(const outdated_target& target, instant now);
    /// Records the result of a check.
    /// @return whether the order counts as lost.
    bool onChecked(const outdated_target& target, load_progress progress, instant now);

private:
    using load_key = std::pair<std::string, std::string>; // target and model
    /// A load that was ordered, or found running before its order.
    struct load {
        std::uint64_t version = 0;
        instant orderedAt {};
        instant nextCheck {};
        instant placeUntil {}; // until when it counts as one of the concurrent loads
    };
    struct failure_record {
        unsigned count = 0;
        instant nextOrder {};
    };

    static load_key keyOf(const outdated_target& target) { return { target.name, target.model }; }
    bool isLoading(const std::string& target) const;
    failure_record failuresOf(const outdated_target& target) const;
    void addFailure(const outdated_target& target, instant now);

    std::map<load_key, load> m_loads;
    std::map<load_key, failure_record> m_failures;
};

} // namespace plumfold::core
