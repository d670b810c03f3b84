#pragma once

#include "plumfold/core/plumfold_configuration.hpp"
#include "plumfold/core/plumfold_time.hpp"

#include <optional>

namespace plumfold::core {

/// Update of the configuration, from control or from another entry.
struct configuration_update {
    std::uint64_t revision = 0;
    std::uint64_t digest = 0;
    std::optional<std::vector<record>> full; ///< The whole configuration, when the deltas are no longer kept.
    std::vector<delta> deltas;
};

/// The configuration as known to one entry. Never reverts to an older revision.
class configuration_view {
public:
    /// Applies an update.
    /// @return false when the update does not continue the known revision or its digest does not match; the
    /// caller must request the whole configuration.
    bool apply(const configuration_update& update);

    /// Records a response of a control VM that was in contact with a quorum.
    void confirmed(instant now) { m_confirmedAt = now; }

    /// @return whether a quorum confirmed the view within the maximum age.
    bool isFresh(instant now, milliseconds maxAge) const
    {
        return m_confirmedAt && now - *m_confirmedAt <= maxAge;
    }

    /// @return the time since a quorum confirmed the view; milliseconds::max() when none has.
    milliseconds age(instant now) const;

    /// @return whether any update was applied yet.
    bool isKnown() const { return m_known; }
    const configuration& config() const { return m_configuration; }

private:
    configuration m_configuration;
    bool m_known = false;
    std::optional<instant> m_confirmedAt;
};

} // namespace plumfold::core
