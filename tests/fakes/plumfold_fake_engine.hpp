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

/// Faults that tests switch on with POST /fault.
struct engine_faults {
    std::string crashPromptText; ///< A prompt that holds this text ends the process.
    std::uint32_t cutAfterTokens = 0; ///< Cuts streams after so many tokens.
    std::uint32_t stallAfterTokens = 0; ///< Streams stop, without an end, after so many tokens.
    bool rejectRequests = false; ///< Answers "not run".
};

/// Model of a model engine: batch, prefix cache, cold start, KV export and import. It stands in for the real
/// engines at the interface only; its times follow the options.
class fake_engine {
public:
    explicit fake_engine(fake_options options);

    /// One run. Blocks the calling thread for the modelled time.
    class run {
    public:
        run(fake_engine& engine, const nlohmann::json& request);
        ~run();
        bool rejected() const { return m_rejected; }
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
    nlohmann::json makeAnnouncement();
    void setFaults(const nlohmann::json& faults);
    engine_faults faults();
    /// @return whether the order is taken; load() must follow then.
    bool acceptOrder(const nlohmann::json& order);
    void loadVersion(const nlohmann::json& order);
    void cancel(const std::string& requestId);
    bool isCancelled(const std::string& requestId);
    void exportBlocks(const nlohmann::json& order);
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
    std::list<std::uint64_t> m_recent; // blocks, latest first
    std::unordered_map<std::uint64_t, std::list<std::uint64_t>::iterator> m_blocks;
    std::vector<std::uint64_t> m_added; // cache events not yet published
    std::vector<std::uint64_t> m_removed;
    std::uint64_t m_eventSequence = 0;
    std::uint64_t m_highestFence = 0; // highest fencing number of an order
    std::uint64_t m_runs = 0;
    std::uint64_t m_promptTokensTotal = 0;
    std::uint64_t m_cachedTokensTotal = 0;
    std::uint64_t m_bytesImported = 0;
    std::uint64_t m_bytesExported = 0;
    std::uint64_t m_badBlocks = 0;
    std::ofstream m_log;
};

} // namespace plumfold::fakes
