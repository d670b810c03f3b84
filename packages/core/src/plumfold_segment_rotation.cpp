#include "plumfold/core/plumfold_segment_rotation.hpp"

#include <algorithm>

namespace plumfold::core {

void segment_rotation::onAppended(std::size_t segment, std::size_t bytes, instant keptUntil)
{
    auto& each = m_segments.at(segment);
    each.bytes += bytes;
    each.keptUntil = std::max(each.keptUntil, keptUntil);
}

bool segment_rotation::isDue(instant now) const
{
    const auto& current = m_segments.at(m_current);
    const auto& other = m_segments.at(1 - m_current);
    if (current.bytes < m_limits.minBytes)
        return false;
    return other.keptUntil <= now || current.bytes >= m_limits.maxBytes;
}

void segment_rotation::rotate()
{
    m_current = 1 - m_current;
    m_segments.at(m_current) = {};
}

} // namespace plumfold::core
