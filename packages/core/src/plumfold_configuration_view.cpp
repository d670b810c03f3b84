#include "plumfold/core/plumfold_configuration_view.hpp"

namespace plumfold::core {

bool configuration_view::apply(const configuration_update& update)
{
    if (m_known && update.revision <= m_configuration.revision())
        return update.revision < m_configuration.revision() || update.digest == m_configuration.digest();
    configuration next;
    if (update.full) {
        next = configuration(update.revision, *update.full);
    } else {
        next = m_configuration;
        for (const auto& each : update.deltas) {
            if (!next.applyDelta(each))
                return false;
        }
    }
    if (next.revision() != update.revision || next.digest() != update.digest)
        return false;
    m_configuration = std::move(next);
    m_known = true;
    return true;
}

milliseconds configuration_view::age(instant now) const
{
    if (!m_confirmedAt)
        return milliseconds::max();
    return std::chrono::duration_cast<milliseconds>(now - *m_confirmedAt);
}

} // namespace plumfold::core
