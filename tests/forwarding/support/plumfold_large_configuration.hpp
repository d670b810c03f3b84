#pragma once

#include "plumfold_forwarding_system.hpp"
#include "plumfold_narrow_links.hpp"

#include <algorithm>
#include <atomic>
#include <chrono>
#include <map>
#include <mutex>
#include <random>
#include <string>
#include <thread>
#include <vector>

namespace plumfold::tests {

/// Sends a request on a route to each entry again and again, and records from when on it is served.
class route_probes {
public:
    using milliseconds = std::chrono::milliseconds;
    using time_point = std::chrono::steady_clock::time_point;

    route_probes(forwarding_system& system, int entries, std::string path)
        : m_servedAt(static_cast<std::size_t>(entries) + 1)
    {
        for (int entry = 1; entry <= entries; ++entry)
            m_threads.emplace_back([this, &system, entry, path] {
                while (!m_isStopping) {
                    auto sentAt = std::chrono::steady_clock::now();
                    bool isServed = system.request(entry, path + "whole").status == 200;
                    record(entry, isServed, sentAt);
                    std::this_thread::sleep_for(milliseconds(100));
                }
            });
    }
    ~route_probes() { stop(); }

    void stop()
    {
        m_isStopping = true;
        for (auto& each : m_threads)
            each.join();
        m_threads.clear();
    }

    /// Waits until all entries serve the route, or for a time.
    /// @param from when the time begins to count.
    /// @return the time until the slowest entry had served its first request; the limit if one has not.
    milliseconds slowest(time_point from, milliseconds limit) const
    {
        while (!isServedByAll() && std::chrono::steady_clock::now() < from + limit)
            std::this_thread::sleep_for(milliseconds(10));
        std::lock_guard lock(m_mutex);
        milliseconds out {};
        for (std::size_t entry = 1; entry < m_servedAt.size(); ++entry) {
            auto took = std::chrono::duration_cast<milliseconds>(m_servedAt[entry] - from);
            out = std::max(out, m_servedAt[entry] == time_point {} ? limit : took);
        }
        return out;
    }

    /// @return the requests that were not served after one at the same entry had been.
    int regressions() const { return m_regressions; }

private:
    void record(int entry, bool isServed, time_point sentAt)
    {
        std::lock_guard lock(m_mutex);
        auto& servedAt = m_servedAt[static_cast<std::size_t>(entry)];
        if (isServed && servedAt == time_point {})
            servedAt = std::chrono::steady_clock::now();
        m_regressions += !isServed && servedAt != time_point {} && sentAt > servedAt;
    }

    bool isServedByAll() const
    {
        std::lock_guard lock(m_mutex);
        return std::all_of(
            m_servedAt.begin() + 1, m_servedAt.end(), [](const auto& each) { return each != time_point {}; });
    }

    std::atomic<bool> m_isStopping { false };
    mutable std::mutex m_mutex;
    std::vector<time_point> m_servedAt; // by entry; 0 is not used
    std::atomic<int> m_regressions { 0 };
    std::vector<std::thread> m_threads;
};

/// Three control VMs, many entries behind narrow links, and two targets. The configuration grows by many
/// routes.
class large_configuration_system : public forwarding_system {
public:
    using milliseconds = std::chrono::milliseconds;
    using time_point = std::chrono::steady_clock::time_point;
    /// Time from the acknowledgement of a configuration until entries serve requests by it.
    static constexpr milliseconds applyBound { 2'500 };
    static constexpr int manyRoutes = 1'400;
    static constexpr milliseconds probeLimit { 8'000 };

    /// @param bytesPerSecond of the link of each entry.
    large_configuration_system(int entries, double bytesPerSecond)
        : m_entries(entries)
        , m_bytesPerSecond(bytesPerSecond)
    {
        setControlListeners(200);
        for (int number = 1; number <= 3; ++number) {
            m_links.carry(controlAddress(number), address(200 + number, 7000));
            startControl(number);
        }
        putDeployment(1, deployment(3));
        for (int number = 1; number <= entries; ++number)
            startNarrowEntry(number);
        startTarget("t1");
        startTarget("t2");
        startAnnouncing();
        for (int number = 1; number <= entries; ++number)
            waitForTarget(number);
    }

    void startNarrowEntry(int number)
    {
        startEntry(number);
        m_links.setRate(processOf(number), m_bytesPerSecond);
    }

    int processOf(int entry) { return process("n" + std::to_string(entry)).id(); }
    std::vector<int> entryProcesses()
    {
        std::vector<int> out;
        for (int number = 1; number <= m_entries; ++number)
            out.push_back(processOf(number));
        return out;
    }
    narrow_links& links() { return m_links; }
    std::size_t bytesToAll()
    {
        std::size_t bytes = 0;
        for (int process : entryProcesses())
            bytes += m_links.bytesTo(process);
        return bytes;
    }

    /// @return the path prefix of an added route.
    static std::string prefixOf(int route)
    {
        std::minstd_rand random(static_cast<unsigned>(route) + 1);
        std::string name;
        for (int letter = 0; letter < 8; ++letter)
            name += static_cast<char>('a' + random() % 26);
        return "/" + name + std::to_string(route) + "/";
    }

    /// @return the configuration of the tests with more routes.
    nlohmann::json grown(int version, int routes) const { return grow(deployment(version), routes); }

    /// @return a configuration with more routes.
    static nlohmann::json grow(nlohmann::json out, int routes)
    {
        for (int number = 0; number < routes; ++number) {
            auto route = out["routes"][0];
            route["path-prefix"] = prefixOf(number);
            route["name"] = "r" + prefixOf(number).substr(1, 8);
            route["sticky-sessions"] = false;
            route["traffic-split"] = { { { "service", "shop" }, { "weight", 1 } } };
            route.erase("service");
            out["routes"].push_back(route);
        }
        return out;
    }

    /// Sends a configuration until it is acknowledged.
    /// @return when it was.
    time_point acknowledge(int control, const nlohmann::json& body)
    {
        putDeployment(control, body);
        return std::chrono::steady_clock::now();
    }

private:
    int m_entries;
    double m_bytesPerSecond;
    narrow_links m_links;
};

} // namespace plumfold::tests
