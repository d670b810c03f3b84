#pragma once

#include "plumfold_forwarding_system.hpp"

#include <algorithm>
#include <atomic>
#include <chrono>
#include <mutex>
#include <thread>
#include <vector>

namespace plumfold::tests {

/// A request of steady_callers.
struct call_record {
    std::chrono::steady_clock::time_point sentAt {};
    std::chrono::steady_clock::duration took {};
    int entry = 0;
    int status = 0; ///< 0: no response.
    bool hasRetryAfter = false;
};

/// Callers that send requests at a steady rate to entries by turns, each on a connection of its own.
class steady_callers {
public:
    /// @param entries numbers of the entries that receive the requests.
    steady_callers(
        forwarding_system& system, std::vector<int> entries, double requestsPerSecond, std::string path)
        : m_system(system)
        , m_path(std::move(path))
    {
        constexpr auto interval = std::chrono::milliseconds(500); // between the requests of one caller
        auto count
            = static_cast<std::size_t>(requestsPerSecond * std::chrono::duration<double>(interval).count());
        for (std::size_t number = 0; number < count; ++number)
            m_threads.emplace_back([this, number, count, interval, entries] {
                auto nextAt = std::chrono::steady_clock::now()
                    + interval * static_cast<int>(number) / static_cast<int>(count);
                for (auto turn = number; !m_isStopping; ++turn) {
                    std::this_thread::sleep_until(nextAt);
                    nextAt = std::max(nextAt + interval, std::chrono::steady_clock::now());
                    send(entries[turn % entries.size()]);
                }
            });
    }
    ~steady_callers() { stop(); }

    void stop()
    {
        m_isStopping = true;
        for (auto& each : m_threads)
            each.join();
        m_threads.clear();
    }

    /// @return the requests that were sent in a span of time and have ended.
    std::vector<call_record> callsBetween(
        std::chrono::steady_clock::time_point from, std::chrono::steady_clock::time_point until) const
    {
        std::lock_guard lock(m_mutex);
        std::vector<call_record> out;
        std::copy_if(m_calls.begin(), m_calls.end(), std::back_inserter(out),
            [&](const auto& each) { return each.sentAt >= from && each.sentAt < until; });
        return out;
    }

private:
    void send(int entry)
    {
        call_record call { std::chrono::steady_clock::now(), {}, entry, 0, false };
        auto response = m_system.request(entry, m_path);
        call.took = std::chrono::steady_clock::now() - call.sentAt;
        call.status = response.status;
        call.hasRetryAfter = response.headers.find("retry-after: ") != std::string::npos;
        std::lock_guard lock(m_mutex);
        m_calls.push_back(call);
    }

    forwarding_system& m_system;
    std::string m_path;
    std::atomic<bool> m_isStopping { false };
    mutable std::mutex m_mutex;
    std::vector<call_record> m_calls;
    std::vector<std::thread> m_threads;
};

/// @return the number of requests with a status.
inline std::size_t countStatus(const std::vector<call_record>& calls, int status)
{
    return static_cast<std::size_t>(
        std::count_if(calls.begin(), calls.end(), [&](const auto& each) { return each.status == status; }));
}

/// @return the share of requests that were served.
inline double servedShare(const std::vector<call_record>& calls)
{
    return calls.empty() ? 0
                         : static_cast<double>(countStatus(calls, 200)) / static_cast<double>(calls.size());
}

/// Waits.
/// @return the time after that.
inline std::chrono::steady_clock::time_point sleepFor(std::chrono::milliseconds time)
{
    std::this_thread::sleep_for(time);
    return std::chrono::steady_clock::now();
}

} // namespace plumfold::tests
