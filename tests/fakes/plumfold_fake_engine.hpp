#pragma once

#include "plumfold_fake_options.hpp"

#include <nlohmann/json.hpp>

#include <atomic>
#include <condition_variable>
#include <fstream>
#include <list>
#include <mutex>
#include <set>
#include <string>
#include <unordered_map>

namespace plumfold::fakes {

/// Faults that tests inject with POST /fault.
struct engine_faults {
    std::string crashPromptText; ///< Exits the process on prompts that contain this text; empty for none.
    std::uint32_t cutAfterTokens = 0; ///< Closes streams after this many tokens; 0 for never.
    std::uint32_t stallAfterTokens = 0; ///< Stalls open streams after this many tokens; 0 for never.
    bool rejectRequests = false; ///< Reports requests as not run.
};

/// Test double of an LLM engine with a batch, a prefix cache, cold start, and KV export and import.
/// Implements the engines' interface; all durations are simulated from the options. Thread-safe.
class fake_engine {
public:
    explicit fake_engine(fake_options options);

    /// One execution of a completion request. Holds a batch slot until destroyed.
    class run {
    public:
        /// Waits for a free batch slot, unless the request is rejected.
        /// @param request must outlive the run.
        run(fake_engine& engine, const nlohmann::json& request);
        ~run();
        /// @return whether the engine did not run the request: injected fault, or wrong model or weight
        /// version.
        bool rejected() const { return m_rejected; }
        /// Imports KV blocks, fills the prefix cache and sleeps for the simulated prefill time.
        void prefill();
        std::uint32_t promptTokens() const { return m_promptTokens; }
        std::uint32_t cachedTokens() const { return m_cachedTokens; }

    private:
        fake_engine& m_engine;
        const nlohmann::json& m_request;
        bool m_rejected = false;
        std::uint32_t m_promptTokens = 0;
        std::uint32_t m_cachedTokens = 0;
    };

    const fake_options& options() const { return m_options; }
    std::uint64_t incarnation() const { return m_incarnation; }
    /// @return the announcement without its sequence number. Contains the cache events since the last call.
    nlohmann::json makeAnnouncement();
    /// Replaces all faults. Keys that are missing switch their fault off; "cold", "version" and "leaving"
    /// change the engine's state only when given.
    void setFaults(const nlohmann::json& faults);
    engine_faults faults();
    /// Checks the fencing token of an order to load a weight version.
    /// @return whether the order is accepted; loadVersion() must follow then.
    bool acceptOrder(const nlohmann::json& order);
    /// Blocks for the load time, then switches the version unless it is the one that fails to load.
    void loadVersion(const nlohmann::json& order);
    void cancel(const std::string& requestId);
    bool isCancelled(const std::string& requestId);
    /// Uploads the blocks to the store, then ends the lease. Stops at the first failure.
    void exportBlocks(const nlohmann::json& order);
    /// @return the counters under the keys that tests read.
    nlohmann::json counts();

private:
    std::uint32_t cachedBlocks(const std::vector<std::uint64_t>& chain);
    void cache(const std::vector<std::uint64_t>& chain);
    std::uint32_t importBlocks(const nlohmann::json& request);
    void log(const std::string& line);

    fake_options m_options;
    std::uint64_t m_incarnation;
    std::mutex m_mutex;
    std::condition_variable m_slotFree;
    std::uint32_t m_running = 0;
    std::uint32_t m_queued = 0;
    std::uint32_t m_coldRequestsLeft = 0;
    std::atomic<bool> m_leaving { false };
    engine_faults m_faults;
    std::set<std::string> m_cancelled;
    std::list<std::uint64_t> m_recent; // blocks, most recently used first
    std::unordered_map<std::uint64_t, std::list<std::uint64_t>::iterator> m_blocks;
    std::vector<std::uint64_t> m_added; // cache events not yet announced
    std::vector<std::uint64_t> m_removed;
    std::uint64_t m_eventSequence = 0;
    std::uint64_t m_highestFence = 0; // highest fencing token of an accepted order
    std::uint64_t m_runs = 0;
    std::uint64_t m_promptTokensTotal = 0;
    std::uint64_t m_cachedTokensTotal = 0;
    std::uint64_t m_bytesImported = 0;
    std::uint64_t m_bytesExported = 0;
    std::uint64_t m_badBlocks = 0;
    std::ofstream m_log;
};

} // namespace plumfold::fakes
