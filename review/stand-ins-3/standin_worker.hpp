#pragma once

#include "standin_system.hpp"

#include <atomic>
#include <functional>
#include <map>
#include <mutex>
#include <optional>
#include <string>
#include <tuple>
#include <vector>

namespace plumfold::review {

/// Who made the KV cache of a part, and on which weights.
struct part_origin {
    std::string request;
    std::string tenant;
    std::string model;
    std::uint64_t version = 0;
    std::uint64_t tokens = 0;
};

/// A part that a request used instead of reading it.
struct used_part {
    std::string id;
    part_origin made;
    std::string from; ///< "kept", or the address that it was fetched from.
};

/// A request that a worker ran.
struct run {
    std::string request;
    std::string tenant;
    std::string model; ///< Empty at plain services.
    std::uint64_t version = 0;
    std::vector<used_part> used;
    std::chrono::steady_clock::time_point at {};
};

/// A managed store of KV cache: keeps each part as it was first made, by salt and id, and drops nothing.
class kv_store {
public:
    kv_store(system_under_review& system, const endpoint& address);

    std::optional<part_origin> find(const std::string& salt, const std::string& id) const;
    void save(const std::string& salt, const std::string& id, const part_origin& made);
    const endpoint& address() const { return m_address; }

private:
    http_message answer(const http_message& request) const;
    nlohmann::json eventsSince(std::size_t since, std::chrono::milliseconds wait) const;

    endpoint m_address;
    mutable std::mutex m_mutex;
    std::map<std::pair<std::string, std::string>, part_origin> m_parts; // by salt and id
    nlohmann::json m_events = nlohmann::json::array();
    http_server m_server;
};

struct worker_options {
    std::string id;
    std::string service;
    endpoint address;
    std::string zone;
    int slots = 6;
    std::map<std::string, std::uint64_t> models; ///< Version of each one.
    std::vector<kv_store*> stores; ///< That it reaches.
    std::size_t reportBytes = 0; ///< Of answers to paths that end with "/report".
};

/// A sound worker: announces itself, answers reports and orders, runs every request that expects it.
/// Workers of models keep the parts of prompts under their salt, for each model by itself.
class worker {
public:
    worker(system_under_review& system, worker_options options);

    /// @return a heartbeat with the next sequence number.
    std::string nextHeartbeat();
    /// Ends the periodic heartbeats.
    void stopAnnouncing() { m_isAnnouncing = false; }

    const worker_options& options() const { return m_options; }
    std::vector<run> runs() const;
    std::map<std::string, std::uint64_t> models() const;

private:
    http_message answer(const http_message& request);
    http_message serve(const http_message& request);
    http_message report() const;
    http_message obey(const http_message& request);
    std::vector<used_part> readPrompt(const http_message& request, const part_origin& own);
    std::optional<used_part> findPart(const http_message& request, const part_origin& own,
        const std::string& id, const std::string& source) const;
    void announce();

    system_under_review& m_system;
    worker_options m_options;
    std::int64_t m_born;
    std::atomic<bool> m_isAnnouncing { true };
    mutable std::mutex m_mutex;
    std::uint64_t m_heartbeats = 0;
    std::uint64_t m_orders = 0;
    std::uint64_t m_highestFence = 0;
    std::map<std::tuple<std::string, std::string, std::string>, part_origin> m_parts; // by model, salt and id
    std::vector<run> m_runs;
    http_server m_server;
};

} // namespace plumfold::review
