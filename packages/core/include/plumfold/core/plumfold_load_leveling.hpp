#pragma once

#include "plumfold/core/plumfold_time.hpp"

#include <vector>

namespace plumfold::core {

/// Estimates how much work arrives per time, as an exponentially decaying average.
class work_rate {
public:
    /// @param costMs time that a target needs for the work.
    void add(double costMs, instant now);

    /// @return the work that arrives in a time, in ms.
    double expected(milliseconds time, instant now) const;

private:
    double decayed(instant now) const;

    double m_work = 0; // ms of work, decayed
    instant m_decayedAt {};
};

/// Entries that select targets by the same report would all select the least-loaded one until the next
/// report. If each selects among the targets below this level, in proportion to how far they are below it,
/// the work that arrives meanwhile fills them evenly.
/// @param waitsMs waiting time of each target at the time of the report.
/// @param arrivingMs work of all entries that arrives after the report.
/// @return the waiting time to which the work raises the targets with the shortest ones; infinite if there is
/// no target.
double levelAfterArrivals(std::vector<double> waitsMs, double arrivingMs);

} // namespace plumfold::core
