#pragma once

#include "plumfold_forwarding_system.hpp"

#include <atomic>
#include <chrono>
#include <cstdlib>
#include <map>
#include <random>
#include <string>
#include <thread>

namespace plumfold::tests {

/// Disturbs control VMs and entries of a system at random, one after another and overlapping.
class disturbances {
public:
    /// @param entries number of the system's entries.
    disturbances(forwarding_system& system, int entries, unsigned seed)
        : m_system(system)
        , m_entries(entries)
        , m_random(seed)
    {
    }
    ~disturbances() { resumeDue(std::chrono::steady_clock::time_point::max()); }

    void runFor(std::chrono::milliseconds time)
    {
        auto until = std::chrono::steady_clock::now() + time;
        while (std::chrono::steady_clock::now() < until) {
            disturb();
            std::this_thread::sleep_for(std::chrono::milliseconds(100 + m_random() % 600));
            resumeDue(std::chrono::steady_clock::now());
        }
        resumeDue(std::chrono::steady_clock::time_point::max());
    }

    /// @return whether at most one of the three control VMs is suspended.
    bool isMajorityRunning() const { return m_pausedControls <= 1; }

private:
    void disturb()
    {
        auto control = static_cast<int>(1 + m_random() % 3);
        auto entry = static_cast<int>(1 + m_random() % static_cast<unsigned>(m_entries));
        switch (m_random() % 5) {
        case 0:
            pause("c" + std::to_string(control), std::chrono::milliseconds(200 + m_random() % 2'500));
            break;
        case 1:
            // Longer than the others wait before they take its failure domain over.
            pause("c" + std::to_string(control), std::chrono::milliseconds(6'000 + m_random() % 2'000));
            break;
        case 2:
            if (m_paused.contains("c" + std::to_string(control)))
                break;
            m_system.process("c" + std::to_string(control)).kill();
            m_system.startControl(control);
            break;
        case 3:
            pause("n" + std::to_string(entry), std::chrono::milliseconds(100 + m_random() % 1'500));
            break;
        default:
            if (m_paused.contains("n" + std::to_string(entry)))
                break;
            m_system.process("n" + std::to_string(entry)).kill();
            m_system.startEntry(entry);
        }
    }

    void pause(const std::string& name, std::chrono::milliseconds time)
    {
        if (m_paused.contains(name))
            return;
        m_system.process(name).pause();
        m_pausedControls += name.front() == 'c';
        m_paused[name] = std::chrono::steady_clock::now() + time;
    }

    void resumeDue(std::chrono::steady_clock::time_point now)
    {
        std::erase_if(m_paused, [&](const auto& each) {
            if (each.second > now)
                return false;
            m_system.process(each.first).resume();
            m_pausedControls -= each.first.front() == 'c';
            return true;
        });
    }

    forwarding_system& m_system;
    int m_entries;
    std::minstd_rand m_random;
    std::atomic<int> m_pausedControls { 0 };
    std::map<std::string, std::chrono::steady_clock::time_point> m_paused; // until when
};

/// @return the seed of a soak; PLUMFOLD_SOAK_SEED replaces the default one.
inline unsigned soakSeed()
{
    const char* seed = std::getenv("PLUMFOLD_SOAK_SEED");
    return seed ? static_cast<unsigned>(std::strtoul(seed, nullptr, 10)) : 20261204;
}

} // namespace plumfold::tests
