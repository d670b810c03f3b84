#pragma once

#include "plumfold/core/plumfold_time.hpp"

#include <cstddef>
#include <string>
#include <unordered_map>

namespace plumfold::core {

/// Limits how fast an estimate follows the number of entries. A control VM may count far too many or too few
/// for some seconds, which must not turn all fetches on or off.
class entry_count_filter {
public:
    /// Applies a reported count. After the first one, the count goes from 1 to what is reported within
    /// rampTime, so that a wrong report right after a start counts only until it is corrected.
    void update(double count, instant now);

    /// @return the count to calculate with, at least 1.
    double count() const { return m_count; }

    /// With 2 s, entries of a loaded site that start together fetch too much meanwhile: 0.055 of the first
    /// events in the first 2 s were late (tests/core/plumfold_fetch_placement_tests.cpp), 0.041 with this.
    static constexpr milliseconds rampTime { 1'000 };

private:
    double m_count = 1;
    bool m_isKnown = false;
    instant m_updatedAt {};
    instant m_rampEndsAt {};
};

/// Estimates how busy the links of a group (all stores, or all engines of a service) are, from the transfers
/// that one entry plans. The other entries are assumed to plan as many.
class link_occupancy {
public:
    /// Records a transfer.
    /// @param holdMs how long it occupies the link; ignored unless finite and above 0.
    void record(const std::string& link, double holdMs, instant now);

    /// @param entries that plan transfers on the same links.
    /// @param links number of links in the group; 0 counts as 1.
    /// @return the share of time in which a link is busy; above 1 if more is planned than it carries. One
    /// entry plans few transfers for each link, so its estimate is mostly the mean over the group.
    double utilisation(const std::string& link, double entries, std::size_t links, instant now) const;

    /// @return the expected wait until a link is free, in ms, at most maxWaitMs.
    double waitMs(const std::string& link, double entries, std::size_t links, instant now) const;

    /// @return whether no transfer was recorded for so long that all are forgotten.
    bool isUnused(instant now) const;

    /// A transfer that would wait longer is not started.
    static constexpr double maxWaitMs = 2'000;

private:
    struct decaying_work {
        double count = 0;
        double holdMs = 0;
        double squaredHoldMs = 0;
        instant at {};
        decaying_work decayed(instant now) const;
        void add(double ms, instant now);
    };

    decaying_work m_total;
    std::unordered_map<std::string, decaying_work> m_links;
    instant m_nextCleanup {};
};

} // namespace plumfold::core
