#pragma once

#include <chrono>
#include <cstddef>
#include <deque>
#include <mutex>
#include <random>
#include <string>
#include <vector>

namespace plumfold::tests {

/// What all targets of a software version do with requests. The default is a good version.
struct scripted_version {
    std::chrono::milliseconds workTime { 20 }; ///< Of a good response.
    double failurePortion = 0; ///< Of the responses, 0 to 1.
    double slowdown = 1; ///< Factor of the work time.
    std::chrono::milliseconds goodFor {}; ///< Time after the start of the target in which it has no fault.
    double goodUpToRate = 0; ///< Requests per second at one target up to which it has no fault.
    std::string badPath; ///< Prefix of the paths on which it has a fault; empty: all.
};

/// What a version does with one request.
struct scripted_response_plan {
    std::chrono::milliseconds workTime {};
    bool fails = false;
    bool isBad = false; ///< It fails or is slow.
};

/// A software version that runs on one target. May be used by any thread.
class scripted_version_run {
public:
    using time_point = std::chrono::steady_clock::time_point;

    /// @param seed selects the requests that fail.
    scripted_version_run(scripted_version version, const std::string& seed);

    scripted_response_plan plan(const std::string& path);
    /// Records that a bad response was sent.
    void onBadResponse();
    /// @return when bad responses were sent, in that order.
    std::vector<time_point> badResponses() const;
    const scripted_version& version() const { return m_version; }

private:
    /// @return whether the version has its fault now. Call it with the mutex locked.
    bool hasFault(const std::string& path, time_point now);

    scripted_version m_version;
    time_point m_startedAt = std::chrono::steady_clock::now();
    mutable std::mutex m_mutex;
    std::mt19937 m_random;
    std::deque<time_point> m_recent; // requests of the latest second
    std::vector<time_point> m_badResponses;
};

} // namespace plumfold::tests
