#pragma once

#include "plumfold/core/plumfold_time.hpp"

#include <deque>
#include <string>
#include <unordered_map>
#include <utility>
#include <vector>

namespace plumfold::core {

/// Corrects the expected waits for links by what callers' first events show. Measurements win over the
/// deployment's figures and over the estimated occupancy: a link may be slower than stated, and the number of
/// entries may be wrong.
class link_delays {
public:
    /// Records one request's first event.
    /// @param sources from which its parts were fetched; empty for a prompt that was read.
    /// @param excessMs time to the first event beyond its prediction, which includes the expected waits for
    /// links; negative if it came earlier. Ignored unless finite.
    void record(const std::vector<std::string>& sources, double excessMs, instant now);

    /// @return what to add to the expected wait for a source, in ms; may be negative.
    double correctionMs(const std::string& source, instant now) const;

private:
    struct decaying_mean {
        double count = 0;
        double sumMs = 0;
        instant at {};
        decaying_mean decayed(instant now) const;
        void add(double ms, instant now);
        double mean() const;
    };
    /// Recent samples. Their median is not moved by one slow store or by engines that are slow for a moment.
    class recent_samples {
    public:
        void add(double ms, instant now);
        /// @return the median of the samples that are not too old, drawn to 0 if there are few.
        double medianMs(instant now) const;
        bool isEmpty(instant now) const;

    private:
        std::deque<std::pair<instant, double>> m_samples;
    };
    double sharedCorrectionMs(instant now) const;

    recent_samples m_baseline; // prompts that were read
    recent_samples m_fetched; // prompts with fetches from any source
    std::unordered_map<std::string, decaying_mean> m_sources; // beyond that of all sources
    instant m_nextCleanup {};
};

} // namespace plumfold::core
