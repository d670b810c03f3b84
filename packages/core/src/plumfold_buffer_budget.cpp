#include "plumfold/core/plumfold_buffer_budget.hpp"

namespace plumfold::core {

bool buffer_share::resize(std::size_t bytes)
{
    auto counted = bytes > m_budget.m_uncountedBytes ? bytes - m_budget.m_uncountedBytes : 0;
    auto usedByOthers = m_budget.m_usedBytes - m_countedBytes;
    bool isGrowing = counted > m_countedBytes;
    if (isGrowing && usedByOthers + 2 * counted > m_budget.m_totalBytes)
        return false;
    m_budget.m_usedBytes = usedByOthers + counted;
    m_countedBytes = counted;
    return true;
}

} // namespace plumfold::core
