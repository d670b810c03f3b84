#pragma once

#include "plumfold_forwarding_system.hpp"
#include "plumfold_link_cuts.hpp"
#include "plumfold_steady_callers.hpp"

#include <algorithm>
#include <chrono>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace plumfold::tests {

/// Three control VMs, two entries and four targets of version v1 under a steady load. The targets of v2 are
/// started after the order of the rollout, as operators do.
class rollout_system : public forwarding_system {
public:
    using time_point = std::chrono::steady_clock::time_point;

    static constexpr int entries = 2;
    static constexpr int targets = 4; // of each version
    static constexpr double requestsPerSecond = 120;
    static constexpr std::chrono::milliseconds coldTime { 3'000 };
    static constexpr std::size_t exposureSlack = 50;
    static constexpr std::chrono::milliseconds streamPace { 80 }; // of each of 25 events

    rollout_system()
    {
        serveRollouts(0.1, exposureSlack);
        startControls(true);
        putDeployment(1, deployment(3));
        for (int number = 1; number <= entries; ++number)
            startEntry(number);
        startTargets("v1", m_former, {}, {});
        startAnnouncing();
        for (int number = 1; number <= entries; ++number)
            waitForTarget(number, "/stock/whole");
    }

    void startControls(bool firstStart)
    {
        for (int number = 1; number <= 3; ++number)
            startControl(number, firstStart);
    }

    /// Starts callers of a path, which call the entries by turns.
    void startCallers(const std::string& path = "/stock/whole", double rate = requestsPerSecond)
    {
        m_callers.push_back(std::make_unique<steady_callers>(*this, std::vector<int> { 1, 2 }, rate, path));
    }

    /// Orders the rollout to v2 and starts its targets.
    /// @return whether the order was acknowledged within 5 s.
    bool startRollout(std::chrono::milliseconds duration, const scripted_version& next = {})
    {
        m_orderedAt = std::chrono::steady_clock::now();
        m_deadline = m_orderedAt + duration;
        auto seconds = std::chrono::duration<double>(duration).count();
        auto body
            = nlohmann::json { { "service", "shop" }, { "to", "v2" }, { "duration-s", seconds } }.dump();
        int control = 0;
        bool isAcknowledged
            = eventually([&] { return call(1 + control++ % 3, "POST", "/rollouts", body).first == 200; }, 5);
        startTargets("v2", m_next, coldTime, next);
        return isAcknowledged;
    }

    /// @return the state of the rollout at any control VM that answers; empty if none does.
    std::string state()
    {
        for (int control = 1; control <= 3; ++control) {
            auto [status, body] = call(control, "GET", "/rollouts/shop");
            if (status == 200)
                return nlohmann::json::parse(body).at("state").get<std::string>();
        }
        return {};
    }

    /// Waits until the rollout ends, for a second longer than its duration.
    /// @return its state then.
    std::string waitForEnd()
    {
        std::string last;
        while (std::chrono::steady_clock::now() < m_deadline + std::chrono::seconds(1)) {
            if (auto now = state(); !now.empty())
                last = now;
            if (last != "running" && !last.empty())
                break;
            std::this_thread::sleep_for(std::chrono::milliseconds(40));
        }
        m_endedAt = std::chrono::steady_clock::now();
        return last;
    }

    bool endedBeforeDeadline() const { return m_endedAt < m_deadline; }
    time_point endedAt() const { return m_endedAt; }

    /// @return the name of the control VM that leads according to its log; empty if none does.
    std::string leader() const
    {
        std::string latest;
        std::uint64_t latestTerm = 0;
        for (const char* name : { "c1", "c2", "c3" }) {
            auto log = logOf(name);
            auto at = log.rfind("event=role_changed role=leader term=");
            if (at == std::string::npos)
                continue;
            auto term = std::strtoull(&log[log.find("term=", at) + 5], nullptr, 10);
            if (term > latestTerm) {
                latestTerm = term;
                latest = name;
            }
        }
        return latest;
    }

    /// Checks the bounds on a bad version. Call it once no more requests are sent.
    bool keepsExposure() const
    {
        auto next = countOf(m_next, m_orderedAt, m_deadline);
        auto all = next + countOf(m_former, m_orderedAt, m_deadline);
        return static_cast<double>(next) <= 0.1 * static_cast<double>(all) + exposureSlack;
    }
    /// @return the requests that the next version got later than 5 s after its 50th bad response.
    std::size_t lateRequests() const
    {
        std::vector<time_point> bad;
        for (const auto* each : m_next) {
            auto own = each->versionBehaviour()->badResponses();
            bad.insert(bad.end(), own.begin(), own.end());
        }
        if (bad.size() < 50)
            return 0;
        std::sort(bad.begin(), bad.end());
        return countOf(m_next, bad[49] + std::chrono::seconds(5), time_point::max());
    }
    /// @return the requests that the targets of a cohort received in a span of time.
    std::size_t formerRequests(time_point from, time_point until = time_point::max()) const
    {
        return countOf(m_former, from, until);
    }
    std::size_t nextRequests(time_point from, time_point until = time_point::max()) const
    {
        return countOf(m_next, from, until);
    }

    void stopCallers()
    {
        for (auto& each : m_callers)
            each->stop();
    }
    /// @return the share of all callers' requests that were served in a span of time.
    double servedShareOf(time_point from, time_point until) const
    {
        std::vector<call_record> calls;
        for (const auto& each : m_callers) {
            auto own = each->callsBetween(from, until);
            calls.insert(calls.end(), own.begin(), own.end());
        }
        return servedShare(calls);
    }

    /// @return the number of callers' requests that former targets run now.
    int runningAtFormer() const
    {
        int running = 0;
        for (const auto* each : m_former)
            running += each->runningRequests();
        return running;
    }

    time_point orderedAt() const { return m_orderedAt; }

    /// @param index 0 to targets - 1; after startRollout().
    scripted_target& nextTarget(std::size_t index) { return *m_next.at(index); }

    /// Lets setLinks() apply to all targets. Call it before startRollout().
    void enableLinkCuts()
    {
        m_cuts = std::make_shared<link_cuts>();
        setLinks(link_state::whole);
        for (auto* each : m_former)
            each->setLinkCuts(m_cuts);
    }

    /// Sets the state of the links of an entry to all targets.
    void setLink(int entry, link_state state)
    {
        m_cuts->set(process("n" + std::to_string(entry)).id(), state);
    }
    /// Sets the state of the links of all entries to all targets.
    void setLinks(link_state state)
    {
        for (int number = 1; number <= entries; ++number)
            setLink(number, state);
    }

    /// Lets one of the targets that startRollout() starts be cold for another time than coldTime.
    /// @param index 0 to targets - 1.
    void setNextColdTime(std::size_t index, std::chrono::milliseconds time) { m_nextColdTimes[index] = time; }

    ~rollout_system() { stopCallers(); }

private:
    void startTargets(const std::string& version, std::vector<scripted_target*>& cohort,
        std::chrono::milliseconds coldFor, const scripted_version& behaviour)
    {
        for (int number = 1; number <= targets; ++number) {
            auto other = m_nextColdTimes.find(cohort.size());
            bool isOther = &cohort == &m_next && other != m_nextColdTimes.end();
            auto& target = startTarget(version + "-" + std::to_string(number), "shop",
                isOther ? other->second : coldFor, version, [&](scripted_target& each) {
                    each.setVersionBehaviour(behaviour);
                    each.setPace(streamPace);
                    if (m_cuts)
                        each.setLinkCuts(m_cuts);
                });
            cohort.push_back(&target);
        }
    }

    static std::size_t countOf(const std::vector<scripted_target*>& cohort, time_point from, time_point until)
    {
        std::size_t count = 0;
        for (const auto* each : cohort)
            for (const auto& request : each->requests())
                count += request.receivedAt >= from && request.receivedAt < until;
        return count;
    }

    std::vector<scripted_target*> m_former;
    std::vector<scripted_target*> m_next;
    std::vector<std::unique_ptr<steady_callers>> m_callers;
    std::shared_ptr<link_cuts> m_cuts; // if links can be cut
    std::map<std::size_t, std::chrono::milliseconds> m_nextColdTimes; // by index
    time_point m_orderedAt {};
    time_point m_deadline {};
    time_point m_endedAt {};
};

} // namespace plumfold::tests
