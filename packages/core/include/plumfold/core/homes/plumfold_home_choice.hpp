#pragma once

#include <cstddef>
#include <cstdint>
#include <vector>

namespace plumfold::core {

/// What the choice of an engine for a prompt depends on.
struct home_candidate {
    double waitMs = 0; ///< Predicted delay by what is known of other requests there.
    double ownMs = 0; ///< Predicted time of fetches and prefill of the prompt, with penalties.
    double homeShare = 0; ///< 0 to 1
    double reportAgeMs = 0; ///< Of what is known of other entries' requests there.
    bool hasOwnStreams = false; ///< This entry runs streams there.
    std::uint64_t key = 0; ///< Hash of engine and conversation.
};

/// Work that other entries may have sent to an engine since its load report.
struct unseen_work {
    double perMs = 0; ///< Prefill work per ms that arrives on an engine on average.
    /// Expected for an engine that is home of other entries only. Larger than the differences that a few
    /// running requests make, so that an idle home engine is chosen before a foreign one that looks idle.
    static constexpr double floorMs = 20;
    /// @return the expected unseen work in the part of the engine that is no home of this entry, in ms.
    double expectedMs(const home_candidate& engine) const;
};

/// Selects an engine for a prompt: the one with the least cost, or one of the foreign ones with little more,
/// by the hash of engine and conversation, so that entries with the same reports choose different ones.
/// @param isLong the prompt has much to prefill, which disturbs streams that run on the engine.
/// @return the index of the chosen engine; the number of candidates if there is none.
std::size_t chooseEngine(
    const std::vector<home_candidate>& candidates, const unseen_work& unseen, bool isLong);

} // namespace plumfold::core
