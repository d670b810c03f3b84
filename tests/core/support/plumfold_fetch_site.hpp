#pragma once

#include "plumfold/core/placement/plumfold_fetch_planner.hpp"

#include <algorithm>
#include <array>
#include <cstdint>

namespace plumfold::core::testing {

/// A kind of prompt.
struct prompt_kind {
    std::uint64_t sharedTokens = 0;
    double perSecond = 0;
    double targetMs = 0; ///< For the time to the first event.
};

/// How a simulated entry decides about a part.
enum class fetch_policy : std::uint8_t { always, never, long_only, adaptive };

/// Figures and faults of a simulated site.
struct fetch_site_options {
    fetch_policy policy = fetch_policy::adaptive;
    double load = 1; ///< Relative to the mean rates.
    double burstFrom = 1e9; ///< Seconds from which the load is twice as high,
    double burstUntil = 1e9; ///< until here.
    double countFactor = 1; ///< Entries that control VMs count, relative to the real number,
    double countFrom = 1e9; ///< from this time in seconds,
    double countUntil = 1e9; ///< until here.
    double rateFactor = 1; ///< Of all links, as the deployment says.
    double slowStoreFactor = 1; ///< By which transfers of store 0 take longer than the deployment says.
    double linkFactor = 1; ///< By which all transfers take longer than the deployment says.
    double failedStoreFrom = 1e9; ///< Seconds from which store 0 holds nothing.
    double engineLinkFactor = 1; ///< Of the engines' links, on top of it.
    double notStoredShare = 0; ///< Of the prompts, whose shared part no store has.
    bool doStoresWaitForEngines = true; ///< Whether a store is occupied while the receiving link is busy.
    double ownTokens = 1'400; ///< Of each prompt. Makes engines read a sixth of what they can.
    double lowestSetupMs = 3; ///< Setup of stores, which differ evenly,
    double highestSetupMs = 3; ///< up to here.
    double cycleSeconds = 0; ///< Every so often there is a burst of a third of that time; 0: never.
    std::uint64_t seed = 1;
    double seconds = 12;
    double measureFrom = 2; ///< Prompts that arrive earlier are not counted.
};

/// What callers get.
struct fetch_site_result {
    std::array<double, 3> inTime {}; ///< Share of the prompts of each kind whose first event is in time.
    double fetchedTokens = 0; ///< Share of the shared tokens that are fetched.
    double overall = 0; ///< Share of all prompts.
    double readTokens = 0; ///< Shared tokens that engines read, per prompt.
    double busyStores = 0; ///< Mean number of stores that send.
    double slowStoreInTime = 1; ///< Share in time of the prompts whose part is in store 0.
    double lowestInTime() const { return *std::min_element(inTime.begin(), inTime.end()); }
};

/// @return the site with slow engines (docs/design/rollouts.md, section 2). With a tenth of the prompts not
/// stored and the setup times of stores spread as stated, 22 of 28 stores are busy if all else is fetched.
/// Bursts of 1.4 times the mean load last 2 s of every 6.
fetch_site_options slowEngineSite();

/// Plays prompts through a queue for each link and each engine. Entries decide independently, by loads of
/// engines that are 0.3 s old. It tests decisions and does not model the system.
fetch_site_result play(const fetch_site_options& options);

} // namespace plumfold::core::testing
