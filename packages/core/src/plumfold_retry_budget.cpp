#include "plumfold/core/plumfold_retry_budget.hpp"

#include <algorithm>

namespace plumfold::core {

retry_budget::retry_budget(double share, double reserve)
    : m_share(share)
    , m_maximum(reserve)
    , m_tokens(reserve)
{
}

void retry_budget::onAttempt()
{
    m_tokens = std::min(m_tokens + m_share, m_maximum);
}

bool retry_budget::tryTake()
{
    if (m_tokens < 1)
        return false;
    m_tokens -= 1;
    return true;
}

} // namespace plumfold::core
