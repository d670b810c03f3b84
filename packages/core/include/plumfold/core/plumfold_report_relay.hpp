#pragma once

#include "plumfold/core/plumfold_target_report.hpp"
#include "plumfold/core/plumfold_time.hpp"

#include <map>
#include <string>

namespace plumfold::core {

/// Decides which target reports one entry relays to one peer, to keep gossip small. Changes that affect
/// whether a target may be used are relayed at once. Load changes are relayed at once within the failure
/// domain, and to other failure domains only with the periodic refresh that keeps the target from expiring
/// there.
class report_relay {
public:
    /// @param sameDomain whether the peer belongs to this entry's failure domain.
    /// @param refresh interval after which a newer report is relayed even without such a change.
    report_relay(bool sameDomain, milliseconds refresh);

    /// @return whether the report is due for the peer; if so, it is recorded as sent.
    bool markSentIfDue(const target_report& report, instant now);

    /// Makes every report due again, for a peer that may have missed earlier ones.
    void reset() { m_sent.clear(); }

private:
    struct sent_report {
        target_report report;
        instant at {};
    };

    bool needsImmediateRelay(const target_report& before, const target_report& now) const;

    bool m_sameDomain;
    milliseconds m_refresh;
    std::map<std::string, sent_report> m_sent; // by target
};

} // namespace plumfold::core
