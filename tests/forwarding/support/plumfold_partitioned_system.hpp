#pragma once

#include "plumfold_forwarding_system.hpp"

#include <algorithm>
#include <chrono>
#include <map>
#include <mutex>
#include <set>
#include <string>
#include <thread>
#include <vector>

namespace plumfold::tests {

/// Three control VMs, three entries in two failure domains and four targets. The links between entries and
/// targets can be cut. Callers send requests that may run once, idempotent ones and streams to all entries.
class partitioned_system : public forwarding_system {
public:
    using time_point = std::chrono::steady_clock::time_point;
    using milliseconds = std::chrono::milliseconds;
    static constexpr int entries = 3;
    static constexpr milliseconds contactWindow { 3'000 }; ///< From the cut until the rule applies.
    static constexpr milliseconds callerDeadline { 2'000 };
    static constexpr milliseconds cutDuration { 9'000 };

    partitioned_system()
    {
        setFailureDomains({ "east", "west" });
        for (int number = 1; number <= 3; ++number)
            startControl(number);
        putDeployment(1, deployment(3));
        for (int number = 1; number <= entries; ++number) {
            startEntry(number);
            m_cuts->set(processOf(number), link_state::whole);
        }
        for (const auto* name : { "t1", "t2", "t3", "t4" }) {
            auto& target = startTarget(name);
            target.setLinkCuts(m_cuts);
            m_targets.push_back(&target);
        }
        startAnnouncing();
        auto knowsHelpers = "event=helpers_known count=" + std::to_string(entries - 1);
        for (int number = 1; number <= entries; ++number) {
            waitForTarget(number);
            eventually(
                [&] { return logOf("n" + std::to_string(number)).find(knowsHelpers) != std::string::npos; });
        }
    }

    ~partitioned_system()
    {
        if (m_callers.joinable())
            stopCallers();
    }

    /// Sends sixteen requests a second to each entry.
    void startCallers()
    {
        m_callers = std::thread([this] {
            std::vector<std::thread> requests;
            for (int number = 0; !m_stopping; ++number) {
                for (int entry = 1; entry <= entries; ++entry)
                    requests.emplace_back([this, number, entry] { sendRequest(entry, number); });
                std::this_thread::sleep_for(milliseconds(62));
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

    /// Cuts entries from all targets for cutDuration.
    void cut(const std::set<int>& cutEntries, link_state state)
    {
        m_cutEntries = cutEntries;
        m_cutAt = std::chrono::steady_clock::now();
        for (int entry : cutEntries)
            m_cuts->set(processOf(entry), state);
        std::this_thread::sleep_for(cutDuration);
        for (int entry : cutEntries)
            m_cuts->set(processOf(entry), link_state::whole);
        m_healedAt = std::chrono::steady_clock::now();
    }

    static void sleepFor(milliseconds time) { std::this_thread::sleep_for(time); }

    void setLink(int entry, link_state state) { m_cuts->set(processOf(entry), state); }
    std::string relayAddress(int entry) const { return address(20 + entry, 8002); }
    /// @return the number of requests that all targets have received.
    std::size_t received() const
    {
        std::size_t count = 0;
        for (const auto* target : m_targets)
            count += target->requests().size();
        return count;
    }
    /// @return the number of requests that were cancelled at targets.
    int cancelled() const
    {
        int count = 0;
        for (const auto* target : m_targets)
            count += target->abandoned();
        return count;
    }

    /// First tries, and how many of them were served in time.
    struct tries {
        int sent = 0;
        int served = 0;
        int refusedAtOnce = 0; ///< As not run, within the route's latency target.
        double share() const { return sent == 0 ? 0 : static_cast<double>(served) / sent; }
    };
    /// @return the tries at the cut entries, or at the others, during the cut, from the contact window on.
    tries duringCut(bool atCutEntries) const
    {
        return between(m_cutAt + contactWindow, m_healedAt - callerDeadline, atCutEntries);
    }
    /// @return the tries after the cut, from the contact window on.
    tries afterCut(bool atCutEntries) const
    {
        return between(m_healedAt + contactWindow, time_point::max(), atCutEntries);
    }

    /// @return the number of requests that may run once and reached targets more than once.
    int repeatedRuns() const
    {
        std::map<std::string, int> runs;
        for (const auto* target : m_targets)
            for (const auto& each : target->requests())
                runs[each.headers.at("request-id")] += each.path.starts_with("/shop/");
        return static_cast<int>(
            std::count_if(runs.begin(), runs.end(), [](const auto& each) { return each.second > 1; }));
    }
    /// @return the number of requests that were answered as not run and reached a target.
    int falselyRefused() const
    {
        std::set<std::string> reached;
        for (const auto* target : m_targets)
            for (const auto& each : target->requests())
                reached.insert(each.headers.at("request-id"));
        return static_cast<int>(std::count_if(m_tries.begin(), m_tries.end(),
            [&](const auto& each) { return each.status == 503 && reached.contains(each.id); }));
    }

private:
    struct caller_try {
        int entry = 0;
        std::string id;
        time_point sentAt {};
        time_point endedAt {};
        int status = 0;
        bool isComplete = false;
    };

    int processOf(int entry) { return process("n" + std::to_string(entry)).id(); }

    void sendRequest(int entry, int number)
    {
        static const std::vector<std::string> paths { "/shop/work", "/stock/work", "/words/events" };
        caller_try done { entry, nextId(), std::chrono::steady_clock::now(), {}, 0, false };
        try {
            raw_caller caller(callerAddress(entry));
            caller.setReceiveTimeout(callerDeadline);
            caller.send(
                requestBytes(paths[static_cast<std::size_t>(number) % paths.size()], done.id, "order"));
            auto response = caller.receive();
            done.status = response.status;
            done.isComplete = response.isComplete;
        } catch (const Poco::Exception&) {
            done.status = 0; // counts as a failed try
        }
        done.endedAt = std::chrono::steady_clock::now();
        std::lock_guard lock(m_mutex);
        m_tries.push_back(std::move(done));
    }

    tries between(time_point from, time_point until, bool atCutEntries) const
    {
        static constexpr milliseconds latencyTarget { 1'000 };
        tries out;
        for (const auto& each : m_tries) {
            if (each.sentAt < from || each.sentAt >= until
                || m_cutEntries.contains(each.entry) != atCutEntries)
                continue;
            auto took = each.endedAt - each.sentAt;
            ++out.sent;
            out.served += each.status == 200 && each.isComplete && took <= callerDeadline;
            out.refusedAtOnce += each.status == 503 && took <= latencyTarget;
        }
        return out;
    }

    std::shared_ptr<link_cuts> m_cuts = std::make_shared<link_cuts>();
    std::set<int> m_cutEntries;
    time_point m_cutAt {};
    time_point m_healedAt {};
    std::vector<scripted_target*> m_targets;
    std::thread m_callers;
    std::atomic<bool> m_stopping { false };
    std::mutex m_mutex;
    std::vector<caller_try> m_tries; // read after the callers have stopped
};

} // namespace plumfold::tests
