#pragma once

#include <atomic>
#include <chrono>
#include <csignal>
#include <sys/types.h>
#include <thread>
#include <vector>

namespace plumfold::tests {

/// Lets processes run for a share of each tenth of a second only.
class slow_machines {
public:
    /// @param processes their ids; they have to outlive this object.
    slow_machines(const std::vector<int>& processes, double share)
    {
        constexpr std::chrono::milliseconds period { 100 };
        auto running = std::chrono::duration_cast<std::chrono::microseconds>(period * share);
        for (int process : processes)
            m_threads.emplace_back([this, process, running, period] {
                while (!m_isStopping) {
                    ::kill(process, SIGCONT);
                    std::this_thread::sleep_for(running);
                    ::kill(process, SIGSTOP);
                    std::this_thread::sleep_for(period - running);
                }
                ::kill(process, SIGCONT);
            });
    }
    ~slow_machines()
    {
        m_isStopping = true;
        for (auto& each : m_threads)
            each.join();
    }
    slow_machines(const slow_machines&) = delete;
    slow_machines& operator=(const slow_machines&) = delete;

private:
    std::atomic<bool> m_isStopping { false };
    std::vector<std::thread> m_threads;
};

} // namespace plumfold::tests
