#pragma once

#include "plumfold/core/plumfold_time.hpp"

#include <array>
#include <cstddef>

namespace plumfold::core {

/// Sizes of the segments of a journal, in bytes.
struct segment_limits {
    std::size_t minBytes = 64 << 10; ///< A segment with less is not worth a change.
    std::size_t maxBytes = 8 << 20; ///< The other segment is dropped then, also if its records are wanted.
};

/// Decides when a journal of records that expire begins its other one of two segments, whose content is
/// dropped by that.
class segment_rotation {
public:
    explicit segment_rotation(segment_limits limits = {})
        : m_limits(limits)
    {
    }

    /// @return the number of the segment that records are appended to: 0 or 1.
    std::size_t current() const { return m_current; }

    /// Counts what was appended to a segment, or read from it at the start.
    /// @param keptUntil when the last one of the records expires.
    void onAppended(std::size_t segment, std::size_t bytes, instant keptUntil);

    /// @return whether the other segment should become the current one.
    bool isDue(instant now) const;

    /// Makes the other segment, which is empty now, the current one.
    void rotate();

private:
    struct segment {
        std::size_t bytes = 0;
        instant keptUntil {};
    };

    segment_limits m_limits;
    std::array<segment, 2> m_segments;
    std::size_t m_current = 0;
};

} // namespace plumfold::core
