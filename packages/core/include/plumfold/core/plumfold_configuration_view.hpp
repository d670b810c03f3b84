#pragma once

#include "plumfold/core/plumfold_configuration.hpp"
#include "plumfold/core/plumfold_time.hpp"

#include <optional>

namespace plumfold::core {

/// News of the configuration, from control or from another entry.
struct configuration_update {
    std::uint64_t revision = 0;
    std::uint64_t digest = 0;
    std::optional<std::vector<record>> full; ///< Set when the deltas are no longer kept.
    std::vector<delta> deltas;
};

/// The configuration that is in force on one entry. Never steps back to an older revision.
class configuration_view {
public:
    /// Applies an update.
    /// @return false when the update does not fit; the caller must ask for the whole configuration.
    bool apply(const configuration_update& update);

    /// Notes an answer of a control VM that was in touch with a quorum.
    void confirmed(instant now) { m_confirmedAt = now; }

    /// @return whether a quorum has confirmed the view within the bound.
    bool isFresh(instant now, milliseconds maxAge) const
    {
        return m_confirmedAt && now - *m_confirmedAt <= maxAge;
    }

    /// @return time since a quorum confirmed the view; the largest value when it never did.
    milliseconds age(instant now) const;

    bool isKnown() const { return m_known; }
    const configuration& config() const { return m_configuration; }

private:
    configuration m_configuration;
    bool m_known = false;
    std::optional<instant> m_confirmedAt;
};

} // namespace plumfold::core
