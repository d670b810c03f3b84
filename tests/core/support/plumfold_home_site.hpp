#pragma once

#include "plumfold/core/plumfold_target_selector.hpp"

#include <array>
#include <cstddef>
#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <queue>
#include <random>
#include <string>
#include <tuple>
#include <vector>

namespace plumfold::tests {

/// A kind of prompts with its rate and its latency target.
struct prompt_kind {
    double sharedTokens = 0;
    double ownTokens = 0;
    double perSecond = 0;
    double fetchMs = 0; ///< Of the shared part.
    double lateMs = 0; ///< First events after more are late.
};

/// What a run showed of one kind of prompts.
struct kind_result {
    std::size_t prompts = 0;
    std::size_t late = 0;
    std::size_t disturbed = 0; ///< Met more than 50 ms of other prompts' prefill.
    std::vector<double> firstEventMs;
    double lateShare() const { return static_cast<double>(late) / static_cast<double>(prompts); }
};

struct site_result {
    std::vector<kind_result> kinds;
    std::size_t started = 0;
    std::size_t clumped = 0; ///< Started on an engine on which four or more start within 200 ms.
    std::size_t home = 0;
    double busyShare = 0; ///< Of the engines' time spent on prefill.
    double disturbedShare() const;
    double clumpedShare() const { return static_cast<double>(clumped) / static_cast<double>(started); }
    double worstLateShare() const;
};

struct site_options {
    std::uint64_t seed = 1;
    bool usesHomes = false;
    bool hasReports = true;
    double rate = 1; ///< Factor for all kinds.
    double seconds = 20;
    std::size_t entries = 60;
    std::size_t engines = 140;
    std::size_t failureDomains = 4;
};

/// Seeded model of entries that choose engines for prompts by target_selector. All entries get the same
/// reports, 100 to 400 ms old. An engine prefills one prompt after another, in the order of their readiness.
class home_site {
public:
    explicit home_site(const site_options& options);
    /// Calls a function at a time; call it before run().
    void at(double seconds, std::function<void(home_site&)> action);
    site_result run();

    /// Sets the positions that the entries know, from the entries that are present.
    void assignPositions();
    /// Removes or adds an entry; callers of a removed one go to the others.
    void setPresent(std::size_t entry, bool isPresent);
    /// Removes the engines of a failure domain from service.
    void loseEngines(const std::string& failureDomain);
    /// Gives all entries the same position.
    void setPositions(const core::entry_position& position);

private:
    struct prompt {
        std::size_t entry = 0;
        std::size_t kind = 0;
        std::size_t engine = 0;
        std::uint64_t id = 0;
        bool isFetched = false;
        double sentMs = 0;
        double fetchMs = 0;
        double prefillMs = 0; // without slowness
        double ownPrefillMs = 0;
        std::uint64_t tokens = 0;
        std::uint32_t runningAtStart = 0;
        std::uint32_t waitingAtStart = 0;
    };
    struct engine {
        std::string name;
        std::deque<prompt> queue; // the first one is being prefilled
        std::uint32_t running = 0; // streams
        std::uint64_t usedTokens = 0; // KV memory
        bool isSlow = false;
        double reportDelayMs = 0;
        std::deque<double> starts; // times of all starts
    };
    struct event {
        double ms = 0;
        std::uint64_t number = 0;
        std::function<void()> action;
        bool operator>(const event& other) const
        {
            return std::tie(ms, number) > std::tie(other.ms, other.number);
        }
    };
    void schedule(double ms, std::function<void()> action);
    core::instant now() const;
    double uniform() { return std::uniform_real_distribution<double>()(m_random); }
    double exponential(double mean) { return std::exponential_distribution<double>(1 / mean)(m_random); }
    void scheduleArrival(std::size_t kind);
    void arrive(std::size_t kind);
    void prefillNext(std::size_t engine);
    void onPrefilled(std::size_t engine);
    void toggleSlow(std::size_t engine);
    void report(std::size_t engine);
    std::size_t drawEntry();

    site_options m_options;
    std::mt19937_64 m_random;
    std::vector<std::unique_ptr<core::target_selector>> m_entries;
    std::vector<std::string> m_entryNames;
    std::vector<std::string> m_entryDomains;
    std::vector<double> m_weights; // 0: not present
    std::vector<double> m_fullWeights;
    std::vector<core::target_announcement> m_announced;
    std::vector<engine> m_engines;
    std::map<std::string, std::size_t> m_engineIndex;
    std::priority_queue<event, std::vector<event>, std::greater<>> m_events;
    std::uint64_t m_eventNumber = 0;
    double m_nowMs = 0;
    double m_busyMs = 0;
    site_result m_result;
};

} // namespace plumfold::tests
