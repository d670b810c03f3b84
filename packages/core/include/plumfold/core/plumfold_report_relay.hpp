#pragma once

#include "plumfold/core/plumfold_target_report.hpp"
#include "plumfold/core/plumfold_time.hpp"

#include <map>
#include <string>

namespace plumfold::core {

/// Decides which reports one entry relays to one peer, to keep gossip small. What decides whether a target
/// may be used goes at once; its load goes at once within the failure domain and otherwise with the refresh
/// that keeps it known.
class report_relay {
public:
    /// @param sameDomain whether the peer belongs to this entry's failure domain.
    /// @param refresh interval after which an unchanged report is sent again.
    report_relay(bool sameDomain, milliseconds refresh);

    /// @return whether the report is due for the peer; it counts as sent then.
    bool markSentIfDue(const target_report& report, instant now);

    /// The peer may have missed what was sent.
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
