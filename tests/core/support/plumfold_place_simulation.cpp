#include "support/plumfold_place_simulation.hpp"

#include <algorithm>
#include <array>
#include <map>
#include <queue>
#include <random>

namespace plumfold::tests {

namespace {

using namespace core;
using duration = instant::duration;

constexpr std::size_t entryCount = 60;
constexpr std::size_t targetCount = 5;
constexpr std::uint32_t slots = 6;
constexpr std::uint32_t queueLength = 24;
constexpr milliseconds serviceTime { 60 };
constexpr milliseconds batchTime { 5 };
constexpr milliseconds renewalInterval { 400 };
constexpr milliseconds decisionInterval { 20 };

class simulation {
public:
    explicit simulation(const place_simulation_options& options)
        : m_options(options)
        , m_random(options.seed)
    {
        for (auto& entry : m_entries)
            entry.delay = std::chrono::microseconds(std::uniform_int_distribution<>(0, 7'000)(m_random));
    }

    std::vector<place_trial> run()
    {
        for (std::size_t load = 0; load < m_options.loads.size(); ++load)
            scheduleArrival(load);
        if (m_options.usesPlaces) {
            for (std::size_t entry = 0; entry < entryCount; ++entry)
                renewPeriodically(entry);
            decidePeriodically();
        }
        // Requests that arrived last need some more time.
        auto until = m_now + m_options.duration + milliseconds(8'000);
        while (!m_events.empty() && m_events.top().at < until) {
            auto event = m_events.top();
            m_events.pop();
            m_now = event.at;
            event.run();
        }
        return m_trials;
    }

private:
    struct event {
        instant at;
        std::uint64_t number;
        std::function<void()> run;
        bool operator<(const event& other) const
        {
            return std::tie(other.at, other.number) < std::tie(at, number);
        }
    };

    struct entry {
        duration delay {}; // of each message
        std::array<std::uint32_t, targetCount> inFlight {};
        std::map<place_id, held_place> held;
        std::vector<place_end> ended;
    };

    struct target {
        std::uint32_t running = 0;
        std::queue<std::function<void()>> queued;
    };

    void after(duration time, std::function<void()> run)
    {
        m_events.push({ m_now + time, ++m_eventNumber, std::move(run) });
    }

    void scheduleArrival(std::size_t load)
    {
        std::exponential_distribution<> gap(m_options.loads[load].perSecond);
        after(std::chrono::duration_cast<duration>(std::chrono::duration<double>(gap(m_random))), [=, this] {
            if (m_now - m_startedAt > m_options.duration)
                return;
            arrive(load, false);
            scheduleArrival(load);
        });
    }

    void arrive(std::size_t load, bool isSecondTry)
    {
        auto trial = m_trials.size();
        m_trials.push_back({ load, isSecondTry, place_refusal::none, m_now, {}, {}, place_result::lost });
        auto at = std::uniform_int_distribution<std::size_t>(0, entryCount - 1)(m_random);
        auto& entry = m_entries[at];
        auto order = targetsByOwnLoad(entry);
        if (!m_options.usesPlaces)
            return send(trial, at, order.front());
        const auto& kind = m_options.loads[load];
        place_request request { { at + 1, trial }, "shop", kind.customer, kind.priority, kind.maxWait, {} };
        for (auto each : order)
            request.candidates.push_back({ std::to_string(each), 1, slots, 0 });
        after(entry.delay, [=, this] {
            m_ledger.submit(request, m_now);
            decide();
        });
    }

    /// @return the targets, those with the fewest requests of the entry first, in random order among equals.
    std::vector<std::size_t> targetsByOwnLoad(const entry& entry)
    {
        std::vector<std::size_t> order;
        for (std::size_t each = 0; each < targetCount; ++each)
            order.push_back(each);
        std::shuffle(order.begin(), order.end(), m_random);
        std::stable_sort(order.begin(), order.end(),
            [&](auto a, auto b) { return entry.inFlight[a] < entry.inFlight[b]; });
        return order;
    }

    void decide()
    {
        for (const auto& [id, decision] : m_ledger.takeDecisions(m_now)) {
            auto at = static_cast<std::size_t>(id.client - 1);
            if (decision.refusal == place_refusal::none)
                m_trials[id.number].grantedAt = m_now;
            after(m_entries[at].delay, [=, this] { onDecision(id, decision, at); });
        }
    }

    void onDecision(place_id id, const place_decision& decision, std::size_t at)
    {
        auto& trial = m_trials[id.number];
        if (decision.refusal == place_refusal::none) {
            m_entries[at].held[id] = { id, { decision.target, decision.startedAt, slots, 0 } };
            return send(id.number, at, std::stoul(decision.target));
        }
        finish(id.number, place_result::refused);
        trial.refusal = decision.refusal;
        if (m_options.doCallersReturn && !trial.isSecondTry)
            after(decision.retryAfter, [this, load = trial.load] { arrive(load, true); });
    }

    void send(std::size_t trial, std::size_t at, std::size_t to)
    {
        ++m_entries[at].inFlight[to];
        auto answer = [=, this](place_result result) {
            after(m_entries[at].delay, [=, this] {
                --m_entries[at].inFlight[to];
                finish(trial, result);
                if (m_options.usesPlaces)
                    endPlace({ at + 1, trial }, at, result);
            });
        };
        after(m_entries[at].delay, [=, this] {
            auto& target = m_targets[to];
            auto run = [=, this] {
                after(serviceTime, [=, this] {
                    answer(place_result::served);
                    startNext(to);
                });
            };
            if (target.running < slots) {
                ++target.running;
                run();
            } else if (target.queued.size() < queueLength)
                target.queued.push(run);
            else
                answer(place_result::rejected);
        });
    }

    void startNext(std::size_t at)
    {
        auto& target = m_targets[at];
        if (target.queued.empty()) {
            --target.running;
            return;
        }
        auto next = std::move(target.queued.front());
        target.queued.pop();
        next();
    }

    void finish(std::size_t trial, place_result result)
    {
        m_trials[trial].result = result;
        m_trials[trial].endedAt = m_now;
    }

    void endPlace(place_id id, std::size_t at, place_result result)
    {
        auto& entry = m_entries[at];
        entry.held.erase(id);
        if (entry.ended.empty())
            after(batchTime, [this, at] { sendUpdate(at); });
        entry.ended.push_back(
            { id, result == place_result::served ? place_outcome::served : place_outcome::rejected });
    }

    void sendUpdate(std::size_t at)
    {
        auto& entry = m_entries[at];
        std::vector<held_place> held;
        for (const auto& [id, place] : entry.held)
            held.push_back(place);
        after(entry.delay, [this, held, ended = std::exchange(entry.ended, {})] {
            m_ledger.renew(held, m_now);
            for (const auto& each : ended)
                m_ledger.end(each, m_now);
            decide();
        });
    }

    void renewPeriodically(std::size_t at)
    {
        after(renewalInterval, [this, at] {
            sendUpdate(at);
            renewPeriodically(at);
        });
    }

    void decidePeriodically()
    {
        after(decisionInterval, [this] {
            decide();
            decidePeriodically();
        });
    }

    const place_simulation_options& m_options;
    std::mt19937_64 m_random;
    instant m_startedAt {};
    instant m_now {};
    std::uint64_t m_eventNumber = 0;
    std::priority_queue<event> m_events;
    std::array<entry, entryCount> m_entries;
    std::array<target, targetCount> m_targets;
    std::vector<place_trial> m_trials;
    place_ledger m_ledger;
};

} // namespace

std::vector<place_trial> simulatePlaces(const place_simulation_options& options)
{
    return simulation(options).run();
}

} // namespace plumfold::tests
