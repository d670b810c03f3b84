#include "plumfold_part_readers.hpp"

#include "plumfold/runtime/plumfold_clock.hpp"
#include "plumfold/runtime/plumfold_log.hpp"
#include "plumfold/runtime/plumfold_secrets.hpp"

#include <algorithm>

namespace plumfold::control {

namespace {

constexpr core::milliseconds assignInterval { 100 };
/// How long a holder keeps a call waiting for events; it bounds how old our knowledge may be.
constexpr core::milliseconds eventWait { 500 };
/// Events that follow each other closely are read together.
constexpr core::milliseconds gatherPause { 100 };
constexpr core::milliseconds retryPause { 200 };

} // namespace

/// The duty that reads one holder.
class part_readers::reader {
public:
    reader(wire::rpc_thread& rpc, deployment_feed& feed, std::string holder)
        : m_rpc(rpc)
        , m_feed(feed)
        , m_holder(std::move(holder))
        , m_client(m_holder)
        , m_thread([this] { run(); })
    {
    }

    ~reader()
    {
        m_stopping = true;
        m_thread.join();
    }

private:
    void run()
    {
        while (!m_stopping) {
            auto events = m_client.read(m_next, eventWait);
            if (m_stopping)
                return;
            if (!events.ok()) {
                lose(std::string(events.status().message()));
                continue;
            }
            take(*events);
            if (!events->events.empty())
                std::this_thread::sleep_for(gatherPause);
        }
    }

    void take(const platform::part_events& events)
    {
        bool startsAnew = m_generation == 0 || events.epoch != m_epoch;
        if (startsAnew && m_next != 0) {
            // The numbers belong to the holder's former life.
            restart(events.epoch);
            return;
        }
        if (startsAnew)
            restart(events.epoch);
        if (events.hasGap)
            readAll();
        else
            apply(events);
    }

    void restart(std::uint64_t epoch)
    {
        m_epoch = epoch;
        m_next = 0;
        m_generation = runtime::randomNumber() | 1;
        m_rpc.run([&] { m_feed.beginParts(m_holder, m_generation); });
        runtime::log_event("parts_read_anew")
            .with("holder", m_holder)
            .with("epoch", epoch)
            .with("generation", m_generation);
    }

    void readAll()
    {
        auto all = m_client.list();
        if (!all.ok()) {
            lose(std::string(all.status().message()));
            return;
        }
        restart(all->epoch);
        apply(*all);
    }

    void apply(const platform::part_events& events)
    {
        m_next = events.next;
        std::vector<core::part_change> changes;
        for (const auto& each : events.events)
            changes.push_back({ core::hashOf(each.part), each.added ? each.tokens : 0 });
        bool held
            = m_rpc.run([&] { return m_feed.readParts(m_holder, m_generation, changes, events.clockMs); });
        if (held)
            return;
        m_generation = 0;
        m_next = 0;
    }

    void lose(const std::string& reason)
    {
        if (m_generation != 0) {
            runtime::log_event("parts_lost", runtime::log_level::warning)
                .with("holder", m_holder)
                .with("reason", reason);
            m_rpc.run([&] { m_feed.loseParts(m_holder, m_generation); });
        }
        m_generation = 0;
        m_next = 0;
        std::this_thread::sleep_for(retryPause);
    }

    wire::rpc_thread& m_rpc;
    deployment_feed& m_feed;
    std::string m_holder;
    platform::part_event_reader m_client;
    std::uint64_t m_epoch = 0;
    std::uint64_t m_next = 0;
    std::uint64_t m_generation = 0; // 0: the holder is not known
    std::atomic<bool> m_stopping { false };
    std::thread m_thread;
};

part_readers::part_readers(wire::rpc_thread& rpc, deployment_feed& feed)
    : m_rpc(rpc)
    , m_feed(feed)
    , m_thread([this] { run(); })
{
}

part_readers::~part_readers()
{
    m_stopping = true;
    m_thread.join();
}

void part_readers::run()
{
    while (!m_stopping) {
        auto own = m_rpc.run([this] { return m_feed.ownHolders(); });
        std::erase_if(m_readers,
            [&](const auto& each) { return std::find(own.begin(), own.end(), each.first) == own.end(); });
        for (const auto& holder : own) {
            if (!m_readers.contains(holder))
                m_readers.emplace(holder, std::make_unique<reader>(m_rpc, m_feed, holder));
        }
        std::this_thread::sleep_for(assignInterval);
    }
}

} // namespace plumfold::control
