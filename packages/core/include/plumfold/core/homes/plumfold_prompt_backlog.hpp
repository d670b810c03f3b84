#pragma once

#include "plumfold/core/plumfold_time.hpp"

#include <cstddef>
#include <cstdint>
#include <vector>

namespace plumfold::core {

/// The prompts of one entry on one engine: what is still to be prefilled, and what a load report may include.
class prompt_backlog {
public:
    /// Records a prompt that is sent to the engine.
    /// @param id different from those of the entry's other prompts.
    /// @param fetchMs predicted time until its prefill can begin.
    /// @param prefillMs predicted time of its prefill.
    void start(std::uint64_t id, double fetchMs, double prefillMs, instant now);
    /// Records that a prompt is prefilled, as its first event shows, or that it ended without one. Ignored if
    /// the prompt is not waiting for its first event.
    void finish(std::uint64_t id, instant now);

    /// @return the predicted remaining prefill time of the prompts without a first event, in ms. One that is
    /// later than predicted still counts with a part of its time.
    double remainingMs(instant now) const;
    /// @return the number of prompts without a first event.
    std::size_t unfinished() const;
    /// @param at time of a load report, not older than maxReportAge.
    /// @return the number of prompts that were sent and had no first event at that time.
    std::size_t unfinishedAt(instant at) const;

    /// How long prompts are kept after their first event.
    static constexpr milliseconds maxReportAge { 1'500 };
    /// Prompts without a first event are forgotten after this time.
    static constexpr milliseconds maxPromptAge { 10'000 };

private:
    struct prompt {
        std::uint64_t id = 0;
        instant sentAt {};
        instant readyAt {}; // when its prefill can begin
        double prefillMs = 0;
        instant finishedAt = instant::max(); // max: not yet
    };
    void removeOld(instant now);

    std::vector<prompt> m_prompts; // in the order of their start
    instant m_freeSince {}; // when the engine had finished the latest one of these prompts
};

} // namespace plumfold::core
