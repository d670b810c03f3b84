#include "support/plumfold_fetch_site.hpp"

#include <algorithm>
#include <array>
#include <cmath>
#include <functional>
#include <queue>
#include <random>
#include <string>
#include <vector>

namespace plumfold::core::testing {

namespace {

constexpr std::size_t entryCount = 60;
constexpr std::size_t engineCount = 140;
constexpr std::size_t storeCount = 28;
constexpr std::size_t fastStores = 13;
constexpr std::uint64_t bytesPerToken = 163'840;
constexpr double tokensPerMs = 48;
constexpr std::uint64_t longestShortTokens = 2'000; // 42 ms of reading
constexpr double reportAgeMs = 300;
constexpr double slowShare = 0.15;
constexpr double slowFactor = 2.5;
constexpr double slowMs = 600;
constexpr double waitingRequestMs = 150;
constexpr double lightLoadMs = 30;
const std::array<prompt_kind, 3> kinds { { { 9'122, 192, 800 }, { 1'861, 375, 400 }, { 650, 205, 400 } } };

struct prompt {
    std::size_t kind = 0;
    std::size_t entry = 0;
    std::size_t engine = 0;
    std::size_t store = 0;
    double arrivedMs = 0;
    double anewTokens = 0;
    double predictedMs = 0;
    bool isFetched = false;
    bool isReliable = false;
};

struct event {
    double atMs;
    std::function<void()> run;
    bool operator<(const event& other) const { return atMs > other.atMs; }
};

class site {
public:
    explicit site(const fetch_site_options& options)
        : m_options(options)
        , m_random(options.seed)
    {
        for (auto& entry : m_entries)
            entry.setStoreCount(storeCount);
        for (std::size_t store = 0; store < storeCount; ++store)
            m_stores[store] = { "store" + std::to_string(store),
                { "a", options.rateFactor * (store < fastStores ? 690'000.0 : 430'000.0), setupMs(store) },
                holder_kind::store };
    }

    fetch_site_result run()
    {
        for (double ms = 0; ms < m_options.seconds * 1'000; ms += 50)
            at(ms, [this] { report(); });
        for (std::size_t kind = 0; kind < kinds.size(); ++kind)
            scheduleArrival(kind);
        while (!m_events.empty()) {
            auto next = m_events.top();
            m_events.pop();
            m_nowMs = next.atMs;
            next.run();
        }
        fetch_site_result out;
        for (std::size_t kind = 0; kind < kinds.size(); ++kind)
            out.inTime[kind] = m_inTime[kind] / std::max(m_counted[kind], 1.0);
        double counted = m_counted[0] + m_counted[1] + m_counted[2];
        out.overall = (m_inTime[0] + m_inTime[1] + m_inTime[2]) / std::max(counted, 1.0);
        out.readTokens = (m_sharedTokens - m_fetchedTokens) / std::max(m_arrived, 1.0);
        out.busyStores = m_busyMs / ((m_options.seconds - m_options.measureFrom) * 1'000);
        out.fetchedTokens = m_fetchedTokens / std::max(m_sharedTokens, 1.0);
        out.slowStoreInTime = m_slowStoreInTime / std::max(m_slowStoreCounted, 1.0);
        return out;
    }

private:
    void at(double ms, std::function<void()> run) { m_events.push({ ms, std::move(run) }); }

    instant now() const
    {
        return instant {} + std::chrono::microseconds(static_cast<std::int64_t>(m_nowMs * 1'000));
    }

    bool isBetween(double from, double until) const
    {
        return m_nowMs >= from * 1'000 && m_nowMs < until * 1'000;
    }

    /// The loads that entries know, and the count of entries.
    void report()
    {
        m_reports.push(m_engineFreeMs);
        m_reportTimes.push(m_nowMs);
        while (m_reportTimes.size() > 1 && m_nowMs - m_reportTimes.front() > reportAgeMs) {
            m_reports.pop();
            m_reportTimes.pop();
        }
        bool isWrong = isBetween(m_options.countFrom, m_options.countUntil);
        for (auto& entry : m_entries)
            entry.setEntryCount(
                static_cast<double>(entryCount) * (isWrong ? m_options.countFactor : 1), now());
    }

    double setupMs(std::size_t store) const
    {
        // The order differs from that of the links' rates.
        double share = static_cast<double>(store * 5 % storeCount) / (storeCount - 1);
        return m_options.lowestSetupMs + share * (m_options.highestSetupMs - m_options.lowestSetupMs);
    }

    double loadFactor() const
    {
        if (isBetween(m_options.burstFrom, m_options.burstUntil))
            return 2;
        if (m_options.cycleSeconds <= 0)
            return 1;
        // 1.4 in a third of the time and 0.8 in the others are 1 on average.
        double position = std::fmod(m_nowMs / 1'000, m_options.cycleSeconds) / m_options.cycleSeconds;
        return position >= 2.0 / 3 ? 1.4 : 0.8;
    }

    void scheduleArrival(std::size_t kind)
    {
        double perMs = kinds[kind].perSecond * m_options.load * loadFactor() / 1'000;
        double next = m_nowMs + std::exponential_distribution<double>(perMs)(m_random);
        if (next >= m_options.seconds * 1'000)
            return;
        at(next, [this, kind] {
            arrive(kind);
            scheduleArrival(kind);
        });
    }

    double knownWaitMs(std::size_t engine) const
    {
        return std::max(0.0, m_reports.front()[engine] - m_reportTimes.front());
    }

    /// @return the better one of two engines, as the entries know them.
    std::size_t chooseEngine()
    {
        auto one = m_random() % engineCount;
        auto other = m_random() % engineCount;
        return knownWaitMs(one) <= knownWaitMs(other) ? one : other;
    }

    bool isFailed(std::size_t store) const
    {
        return store == 0 && m_nowMs >= m_options.failedStoreFrom * 1'000;
    }

    void arrive(std::size_t kind)
    {
        prompt one;
        one.kind = kind;
        one.entry = m_random() % entryCount;
        one.engine = chooseEngine();
        one.store = m_random() % storeCount;
        one.arrivedMs = m_nowMs;
        fetch_target target { "engine" + std::to_string(one.engine),
            { "a", 180'000 * m_options.rateFactor * m_options.engineLinkFactor, engineSetupMs },
            bytesPerToken, tokensPerMs, knownWaitMs(one.engine) / waitingRequestMs, engineCount };
        auto part = m_random();
        auto tokens = kinds[kind].sharedTokens;
        const auto& source = m_stores[one.store];
        double readMs = static_cast<double>(tokens) / tokensPerMs;
        one.predictedMs = knownWaitMs(one.engine) + m_options.ownTokens / tokensPerMs + readMs;
        one.isReliable = knownWaitMs(one.engine) < lightLoadMs;
        bool isHeld = !isFailed(one.store);
        if (m_options.notStoredShare > 0)
            isHeld = isHeld && std::uniform_real_distribution<double>()(m_random) >= m_options.notStoredShare;
        bool isShort = tokens < longestShortTokens;
        one.isFetched = isHeld
            && (m_options.policy == fetch_policy::always
                || (m_options.policy == fetch_policy::long_only && !isShort));
        if (m_options.policy == fetch_policy::adaptive && isHeld) {
            auto choice = m_entries[one.entry].choose(part, tokens, target, { source }, now());
            one.isFetched = choice && !choice->source.empty();
            if (choice) {
                m_entries[one.entry].record(part, *choice, target, holder_kind::store, now());
                one.predictedMs += choice->expectedMs - readMs;
            }
        }
        if (m_nowMs >= m_options.measureFrom * 1'000) {
            m_sharedTokens += static_cast<double>(tokens);
            m_fetchedTokens += one.isFetched ? static_cast<double>(tokens) : 0;
            m_arrived += 1;
        }
        double factor = m_options.linkFactor * (one.store == 0 ? m_options.slowStoreFactor : 1);
        transfer(one, factor * *transferMs(tokens, bytesPerToken, source.link, target.link));
    }

    void transfer(prompt one, double ms)
    {
        double waitMs = m_storeWorkMs[one.store];
        if (!one.isFetched || waitMs > link_occupancy::maxWaitMs) {
            one.anewTokens = static_cast<double>(kinds[one.kind].sharedTokens);
            at(m_nowMs + (one.isFetched ? 1 : 0), [this, one] { read(one); });
            return;
        }
        m_storeWorkMs[one.store] += ms;
        m_storeQueues[one.store].emplace(one, ms);
        if (m_storeQueues[one.store].size() == 1)
            send(one.store);
    }

    /// Sends the first transfer of a store's queue as soon as the receiving link is free.
    void send(std::size_t store)
    {
        const auto& [one, ms] = m_storeQueues[store].front();
        m_sendsSinceMs[store] = m_nowMs;
        double& linkFreeMs = m_engineLinkFreeMs[one.engine];
        linkFreeMs = std::max(m_nowMs, linkFreeMs) + ms;
        double receivedMs = linkFreeMs;
        at(m_options.doStoresWaitForEngines ? receivedMs : m_nowMs + ms, [this, store, receivedMs] {
            auto [sent, tookMs] = m_storeQueues[store].front();
            m_storeQueues[store].pop();
            m_storeWorkMs[store] -= tookMs;
            m_busyMs += std::max(0.0,
                std::min(m_nowMs, m_options.seconds * 1'000)
                    - std::max(m_sendsSinceMs[store], m_options.measureFrom * 1'000));
            at(receivedMs, [this, one = sent] { read(one); });
            if (!m_storeQueues[store].empty())
                send(store);
        });
    }

    void read(const prompt& one)
    {
        double& freeMs = m_engineFreeMs[one.engine];
        double& slowUntilMs = m_slowUntilMs[one.engine];
        // A reading begins a slow phase such that a share of the time is slow.
        if (m_nowMs > slowUntilMs + slowMs) {
            bool isSlow = std::uniform_real_distribution<double>()(m_random) < slowShare;
            slowUntilMs = isSlow ? m_nowMs + slowMs : m_nowMs;
        }
        double factor = m_nowMs < slowUntilMs ? slowFactor : 1;
        freeMs = std::max(freeMs, m_nowMs) + factor * (m_options.ownTokens + one.anewTokens) / tokensPerMs;
        at(freeMs, [this, one] { onFirstEvent(one); });
    }

    void onFirstEvent(const prompt& one)
    {
        double tookMs = m_nowMs - one.arrivedMs;
        if (m_options.policy == fetch_policy::adaptive && one.isReliable) {
            std::vector<std::string> sources;
            if (one.isFetched)
                sources.push_back(m_stores[one.store].address);
            m_entries[one.entry].recordDelay(sources, tookMs - one.predictedMs, now());
        }
        if (one.arrivedMs < m_options.measureFrom * 1'000)
            return;
        bool isInTime = tookMs <= kinds[one.kind].targetMs;
        m_counted[one.kind] += 1;
        m_inTime[one.kind] += isInTime;
        if (one.store == 0) {
            m_slowStoreCounted += 1;
            m_slowStoreInTime += isInTime;
        }
    }

    fetch_site_options m_options;
    std::mt19937_64 m_random;
    std::priority_queue<event> m_events;
    double m_nowMs = 0;
    std::array<fetch_planner, entryCount> m_entries;
    std::array<fetch_source, storeCount> m_stores;
    std::array<std::queue<std::pair<prompt, double>>, storeCount> m_storeQueues;
    std::array<double, storeCount> m_storeWorkMs {}; // queued and being sent
    std::array<double, storeCount> m_sendsSinceMs {};
    double m_busyMs = 0; // of all stores
    std::array<double, engineCount> m_engineLinkFreeMs {};
    std::array<double, engineCount> m_engineFreeMs {};
    std::array<double, engineCount> m_slowUntilMs {};
    std::queue<std::array<double, engineCount>> m_reports;
    std::queue<double> m_reportTimes;
    std::array<double, 3> m_counted {};
    std::array<double, 3> m_inTime {};
    double m_slowStoreCounted = 0;
    double m_slowStoreInTime = 0;
    double m_arrived = 0;
    double m_sharedTokens = 0;
    double m_fetchedTokens = 0;
};

} // namespace

fetch_site_options slowEngineSite()
{
    fetch_site_options options;
    options.notStoredShare = 0.1;
    options.doStoresWaitForEngines = false;
    options.ownTokens = 1'100;
    options.lowestSetupMs = 0.5;
    options.highestSetupMs = 6;
    options.cycleSeconds = 6;
    options.measureFrom = 6;
    options.seconds = 30;
    return options;
}

fetch_site_result play(const fetch_site_options& options)
{
    return site(options).run();
}

} // namespace plumfold::core::testing
