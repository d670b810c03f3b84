#pragma once

#include "plumfold_forwarding_system.hpp"

#include <chrono>
#include <map>
#include <string>
#include <thread>
#include <utility>
#include <vector>

namespace plumfold::tests {

/// Three control VMs, two entries and four engines of one model whose weights are replaced. One engine or all
/// of them do not execute orders to load weights.
class weights_system : public forwarding_system {
public:
    using time_point = std::chrono::steady_clock::time_point;
    static constexpr std::chrono::milliseconds defaultBound { 5'000 };
    static constexpr std::uint64_t firstVersion = 4;
    static constexpr int entries = 2;

    /// @param failing name of the engine that does not execute orders; empty: none does.
    /// @param bound for starting requests on old weights.
    explicit weights_system(const std::string& failing, order_behaviour behaviour = order_behaviour::ignore,
        std::chrono::milliseconds bound = defaultBound)
        : m_bound(bound)
    {
        setWeightsBound(bound);
        for (int number = 1; number <= 3; ++number)
            startControl(number);
        putDeployment(1, deployment(3));
        for (int number = 1; number <= entries; ++number)
            startEntry(number);
        for (const auto* name : { "t1", "t2", "t3", "t4" }) {
            auto& target = startTarget(name);
            target.setWeights("base", firstVersion,
                failing.empty() || name == failing ? behaviour : order_behaviour::execute);
            m_targets.push_back(&target);
        }
        startAnnouncing();
        for (int number = 1; number <= entries; ++number)
            eventually([&] { return sendRequest(number) == 200; });
    }

    ~weights_system()
    {
        if (m_callers.joinable())
            stopCallers();
    }

    /// Names a weight version.
    void name(std::uint64_t version)
    {
        auto body = "{\"model\":\"base\",\"version\":" + std::to_string(version) + "}";
        eventually([&] { return call(1, "POST", "/version-put", body).first / 100 == 2; });
        m_namedAt[version] = std::chrono::steady_clock::now();
    }

    /// @return the HTTP status that a caller receives for a request to the model.
    int sendRequest(int entry, const std::string& path = "/stock/slow")
    {
        return request(entry, path, "check", { { "Model", "base" } }).status;
    }

    /// Lets requests wait at all engines before they run.
    void setQueueTime(std::chrono::milliseconds time)
    {
        for (auto* each : m_targets)
            each->setQueueTime(time);
    }

    /// Starts sixteen callers' requests a second, to all entries by turns.
    /// @param path selects what engines do.
    void startCallers(const std::string& path = "/stock/slow")
    {
        m_callers = std::thread([this, path] {
            std::vector<std::thread> requests;
            for (int number = 0; !m_stopping; ++number) {
                requests.emplace_back([this, number, path] {
                    auto sentAt = std::chrono::steady_clock::now();
                    auto status = sendRequest(1 + number % entries, path);
                    std::lock_guard lock(m_mutex);
                    m_answers.emplace_back(sentAt, status);
                });
                std::this_thread::sleep_for(std::chrono::milliseconds(62));
            }
            for (auto& each : requests)
                each.join();
        });
    }
    void stopCallers()
    {
        m_stopping = true;
        m_callers.join();
    }

    static void sleepFor(std::chrono::milliseconds time) { std::this_thread::sleep_for(time); }

    /// @return the requests that began on a version later than the bound after a newer one was named.
    int lateRequests() const
    {
        int late = 0;
        for (const auto* target : m_targets)
            for (const auto& each : target->requests()) {
                auto newer = m_namedAt.upper_bound(each.weights);
                late += each.weights != 0 && newer != m_namedAt.end()
                    && each.startedAt > newer->second + m_bound;
            }
        return late;
    }
    /// @return the share of the requests sent between two times that were answered by a target.
    double servedShare(time_point since, time_point until = time_point::max()) const
    {
        int sent = 0;
        int served = 0;
        for (const auto& [at, status] : m_answers) {
            bool isCounted = at >= since && at < until;
            sent += isCounted;
            served += isCounted && status == 200;
        }
        return sent == 0 ? 0 : static_cast<double>(served) / sent;
    }
    /// @return the number of engines with a weight version.
    int enginesWith(std::uint64_t version) const
    {
        int count = 0;
        for (const auto* target : m_targets)
            count += target->weights()->version == version;
        return count;
    }

private:
    std::chrono::milliseconds m_bound;
    std::vector<scripted_target*> m_targets;
    std::map<std::uint64_t, time_point> m_namedAt; // when it was acknowledged
    std::thread m_callers;
    std::atomic<bool> m_stopping { false };
    std::mutex m_mutex;
    std::vector<std::pair<time_point, int>> m_answers; // when each was sent, and its status
};

} // namespace plumfold::tests
