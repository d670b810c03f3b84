#include "plumfold_part_pollers.hpp"

#include "plumfold/runtime/plumfold_clock.hpp"
#include "plumfold/runtime/plumfold_log.hpp"
#include "plumfold/runtime/plumfold_secrets.hpp"

#include <algorithm>

namespace plumfold::control {

namespace {

constexpr core::milliseconds assignInterval { 100 };
/// How long a holder may delay its response until there is an event. Each response confirms the known parts,
/// so this also limits the age of the last confirmation.
constexpr core::milliseconds longPollWait { 500 };
constexpr core::milliseconds batchDelay { 100 }; // lets events accumulate, to read them in one call
constexpr core::milliseconds retryDelay { 200 };

} // namespace

/// Thread that long-polls one holder.
class part_pollers::poller {
public:
    poller(wire::rpc_thread& rpc, deployment_feed& feed, std::string holder)
        : m_rpc(rpc)
        , m_feed(feed)
        , m_holder(std::move(holder))
        , m_client(m_holder)
        , m_thread([this] { run(); })
    {
    }

    ~poller()
    {
        m_stopping = true;
        m_thread.join();
    }

private:
    void run()
    {
        while (!m_stopping) {
            auto calledAt = runtime::now();
            auto events = m_client.read(m_next, longPollWait);
            if (m_stopping)
                return;
            // The response may have waited while this process was suspended, and the holder may have lost
            // its parts since.
            if (runtime::now() - calledAt > core::part_directory::maxConfirmationAge)
                continue;
            if (!events.ok()) {
                onPollFailed(std::string(events.status().message()));
                continue;
            }
            onEvents(*events);
            if (!events->events.empty())
                std::this_thread::sleep_for(batchDelay);
        }
    }

    void onEvents(const platform::part_events& events)
    {
        bool startsGeneration = m_generation == 0 || events.epoch != m_epoch;
        if (startsGeneration && m_next != 0) {
            // The sequence number was from an earlier epoch of the holder: read from the start.
            startGeneration(events.epoch);
            return;
        }
        if (startsGeneration)
            startGeneration(events.epoch);
        if (events.hasGap)
            reloadParts();
        else
            apply(events);
    }

    void startGeneration(std::uint64_t epoch)
    {
        m_epoch = epoch;
        m_next = 0;
        m_generation = runtime::randomNumber() | 1;
        m_rpc.run([&] { m_feed.resetParts(m_holder, m_generation); });
        runtime::log_event("parts_read_anew")
            .with("holder", m_holder)
            .with("epoch", epoch)
            .with("generation", m_generation);
    }

    void reloadParts()
    {
        auto all = m_client.list();
        if (!all.ok()) {
            onPollFailed(std::string(all.status().message()));
            return;
        }
        startGeneration(all->epoch);
        apply(*all);
    }

    void apply(const platform::part_events& events)
    {
        m_next = events.next;
        std::vector<core::part_change> changes;
        for (const auto& each : events.events)
            changes.push_back({ core::hashOf(each.part), each.added ? each.tokens : 0 });
        bool applied = m_rpc.run(
            [&] { return m_feed.applyPartChanges(m_holder, m_generation, changes, events.clockMs); });
        if (applied)
            return;
        m_generation = 0;
        m_next = 0;
    }

    void onPollFailed(const std::string& reason)
    {
        if (m_generation != 0) {
            runtime::log_event("parts_lost", runtime::log_level::warning)
                .with("holder", m_holder)
                .with("reason", reason);
            m_rpc.run([&] { m_feed.removeParts(m_holder, m_generation); });
        }
        m_generation = 0;
        m_next = 0;
        std::this_thread::sleep_for(retryDelay);
    }

    wire::rpc_thread& m_rpc;
    deployment_feed& m_feed;
    std::string m_holder;
    platform::part_event_reader m_client;
    std::uint64_t m_epoch = 0;
    std::uint64_t m_next = 0; // sequence number of the next event
    std::uint64_t m_generation = 0; // 0: none started
    std::atomic<bool> m_stopping { false };
    std::thread m_thread;
};

part_pollers::part_pollers(wire::rpc_thread& rpc, deployment_feed& feed)
    : m_rpc(rpc)
    , m_feed(feed)
    , m_thread([this] { run(); })
{
}

part_pollers::~part_pollers()
{
    m_stopping = true;
    m_thread.join();
}

void part_pollers::run()
{
    while (!m_stopping) {
        auto assigned = m_rpc.run([this] { return m_feed.assignedHolders(); });
        std::erase_if(m_pollers, [&](const auto& each) {
            return std::find(assigned.begin(), assigned.end(), each.first) == assigned.end();
        });
        for (const auto& holder : assigned) {
            if (!m_pollers.contains(holder))
                m_pollers.emplace(holder, std::make_unique<poller>(m_rpc, m_feed, holder));
        }
        std::this_thread::sleep_for(assignInterval);
    }
}

} // namespace plumfold::control
