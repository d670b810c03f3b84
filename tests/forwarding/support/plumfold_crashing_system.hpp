#pragma once

#include "plumfold_crashing_fleet.hpp"

#include <algorithm>
#include <atomic>
#include <chrono>
#include <functional>
#include <mutex>
#include <random>
#include <set>
#include <sstream>
#include <string>
#include <thread>
#include <vector>

namespace plumfold::tests {

/// First attempts of sound requests.
struct sound_counts {
    int sent = 0;
    int begun = 0; ///< Of these, were answered by a target.
    double share() const { return sent == 0 ? 0 : static_cast<double>(begun) / sent; }
};

/// What a crashing_system sends.
struct crash_scenario {
    crashing_fleet::condition isCrashing; ///< Selects the requests that crash their target.
    std::size_t crashesForVerdict = 0; ///< After which requests count as late.
    std::string soundPath;
    /// Returns the headers of a sound request; null: none.
    std::function<std::map<std::string, std::string>(std::minstd_rand&)> makeSoundHeaders {};
};

/// Control VMs and entries in three failure domains, and targets that certain requests crash.
class crashing_system : public forwarding_system {
public:
    static constexpr int entries = 4;
    static constexpr int fleetSize = 8;

    explicit crashing_system(crash_scenario scenario)
        : m_scenario(std::move(scenario))
    {
        setFailureDomains({ "east", "north", "south" });
        for (int number = 1; number <= 3; ++number)
            startControl(number);
        putDeployment(1, deployment(3));
        for (int number = 1; number <= entries; ++number)
            startEntry(number);
        m_fleet = std::make_unique<crashing_fleet>(*this, fleetSize, m_scenario.isCrashing);
        for (int number = 1; number <= entries; ++number)
            waitForTarget(number);
    }
    ~crashing_system() { m_fleet.reset(); }

    crashing_fleet& fleet() { return *m_fleet; }
    std::size_t crashesForVerdict() const { return m_scenario.crashesForVerdict; }

    /// Sends four requests that crash targets per second to random entries.
    void sendCrashingFor(std::chrono::milliseconds time, const std::function<void(int)>& send)
    {
        constexpr int callers = 4;
        runCallers(callers, time, std::chrono::milliseconds(1'000),
            [&](int entry, std::minstd_rand&) { send(entry); });
    }

    /// Sends twelve sound requests per second to random entries, all different.
    /// @param tries how often a caller repeats a request that is not answered, each time at another entry.
    sound_counts sendSoundFor(std::chrono::milliseconds time, int tries = 1)
    {
        constexpr int callers = 6;
        std::atomic<int> sent { 0 };
        std::atomic<int> begun { 0 };
        runCallers(callers, time, std::chrono::milliseconds(500), [&](int entry, std::minstd_rand& random) {
            std::map<std::string, std::string> headers;
            if (m_scenario.makeSoundHeaders)
                headers = m_scenario.makeSoundHeaders(random);
            auto body = "sound " + nextId();
            ++sent;
            for (int tried = 0; tried < tries; ++tried) {
                auto id = headers["Request-Id"] = nextId();
                {
                    std::lock_guard lock(m_mutex);
                    m_soundIds.insert(id);
                }
                auto response = request(entry, m_scenario.soundPath, body, headers);
                bool isServed = response.status == 200 && response.isComplete;
                begun += isServed && tried == 0;
                if (isServed)
                    return;
                entry = entry % entries + 1;
            }
        });
        return { sent, begun };
    }

    /// @param selected selects some of the requests that crash targets; null: all.
    /// @param calmSince only later arrivals count.
    /// @return the arrivals of these requests later than a time after the last crash that a verdict needs, or
    /// after the last one if there were fewer.
    std::size_t arrivalsAfter(std::chrono::milliseconds time, const crashing_fleet::condition& selected = {},
        crashing_fleet::time_point calmSince = {}) const
    {
        auto crashes = m_fleet->crashes(selected);
        if (crashes.empty())
            return 0;
        auto last = std::min(m_scenario.crashesForVerdict, crashes.size()) - 1;
        auto from = std::max(crashes[last] + time, calmSince);
        auto arrivals = m_fleet->arrivals(selected);
        return static_cast<std::size_t>(
            std::count_if(arrivals.begin(), arrivals.end(), [&](const auto& at) { return at > from; }));
    }

    /// @return the number of sound requests that were refused because of a verdict.
    std::size_t soundRefusedByVerdict()
    {
        std::size_t count = 0;
        std::lock_guard lock(m_mutex);
        for (int number = 1; number <= entries; ++number) {
            std::istringstream lines(logOf("n" + std::to_string(number)));
            std::string line;
            while (std::getline(lines, line)) {
                if (line.find("reason=crashes_targets") == std::string::npos)
                    continue;
                auto at = line.find("request=") + 8;
                count += m_soundIds.contains(line.substr(at, line.find(' ', at) - at));
            }
        }
        return count;
    }

    /// Kills all control VMs and entries and starts them again.
    void restartAll()
    {
        for (int number = 1; number <= 3; ++number)
            process("c" + std::to_string(number)).kill();
        for (int number = 1; number <= entries; ++number)
            process("n" + std::to_string(number)).kill();
        for (int number = 1; number <= 3; ++number)
            startControl(number);
        for (int number = 1; number <= entries; ++number)
            startEntry(number);
        for (int number = 1; number <= entries; ++number)
            waitForTarget(number);
    }

private:
    /// Runs callers that each act at an interval until the time is over.
    void runCallers(int count, std::chrono::milliseconds time, std::chrono::milliseconds interval,
        const std::function<void(int entry, std::minstd_rand& random)>& act)
    {
        std::vector<std::thread> threads;
        auto start = std::chrono::steady_clock::now();
        for (int number = 0; number < count; ++number)
            threads.emplace_back([&, number] {
                std::minstd_rand random(static_cast<unsigned>(number + 1));
                auto next = start + interval * number / count;
                while (next < start + time) {
                    std::this_thread::sleep_until(next);
                    act(static_cast<int>(1 + random() % entries), random);
                    next = std::max(next + interval, std::chrono::steady_clock::now());
                }
            });
        for (auto& each : threads)
            each.join();
    }

    crash_scenario m_scenario;
    std::unique_ptr<crashing_fleet> m_fleet;
    std::mutex m_mutex;
    std::set<std::string> m_soundIds;
};

} // namespace plumfold::tests
