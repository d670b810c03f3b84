#include "plumfold_store_readers.hpp"

#include "plumfold/runtime/plumfold_clock.hpp"
#include "plumfold/runtime/plumfold_log.hpp"
#include "plumfold/runtime/plumfold_secrets.hpp"

#include <algorithm>

namespace plumfold::control {

namespace {

constexpr core::milliseconds assignInterval { 300 };
/// How long a store keeps a call waiting for events; it bounds how old our knowledge may be.
constexpr core::milliseconds eventWait { 500 };
constexpr core::milliseconds retryPause { 200 };

} // namespace

/// The duty that reads one store.
class store_readers::reader {
public:
    reader(wire::rpc_thread& rpc, deployment_feed& feed, std::string store)
        : m_rpc(rpc)
        , m_feed(feed)
        , m_store(std::move(store))
        , m_client(m_store)
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
            if (!events.ok())
                lose(std::string(events.status().message()));
            else
                take(*events);
        }
    }

    void take(const platform::part_events& events)
    {
        bool startsAnew = m_generation == 0 || events.epoch != m_epoch;
        if (startsAnew && m_next != 0) {
            // The numbers belong to the store's former life.
            restart(events.epoch);
            return;
        }
        if (startsAnew)
            restart(events.epoch);
        if (events.hasGap) {
            readAll();
            return;
        }
        apply(events);
    }

    void restart(std::uint64_t epoch)
    {
        m_epoch = epoch;
        m_next = 0;
        m_count = 0;
        m_generation = runtime::randomNumber() | 1;
        runtime::log_event("store_read_anew")
            .with("store", m_store)
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
        add(*all);
    }

    /// Within a generation parts are only added, so a part that is gone starts another one.
    void apply(const platform::part_events& events)
    {
        bool lost = std::any_of(
            events.events.begin(), events.events.end(), [](const auto& each) { return !each.added; });
        if (lost)
            readAll();
        else
            add(events);
    }

    void add(const platform::part_events& events)
    {
        m_next = events.next;
        core::store_news news { m_store, m_generation, m_count, 0, true, {} };
        for (const auto& each : events.events)
            news.parts.push_back(each.part);
        auto count = m_rpc.run([&] {
            m_feed.readParts(news, events.clockMs);
            auto known = m_feed.parts().stores().find(m_store);
            bool held = known != m_feed.parts().stores().end() && known->second.generation == m_generation;
            return held ? static_cast<std::uint32_t>(known->second.parts.size()) : 0u;
        });
        // The feed forgets a store of which it heard nothing for a while; then all is read anew.
        bool forgotten = count < m_count;
        m_count = count;
        if (forgotten) {
            m_generation = 0;
            m_next = 0;
        }
    }

    void lose(const std::string& reason)
    {
        if (m_generation != 0) {
            runtime::log_event("store_lost", runtime::log_level::warning)
                .with("store", m_store)
                .with("reason", reason);
            m_rpc.run([&] { m_feed.readParts({ m_store, 0, 0, 0, false, {} }, 0); });
        }
        m_generation = 0;
        m_next = 0;
        std::this_thread::sleep_for(retryPause);
    }

    wire::rpc_thread& m_rpc;
    deployment_feed& m_feed;
    std::string m_store;
    platform::part_event_reader m_client;
    std::uint64_t m_epoch = 0;
    std::uint64_t m_next = 0;
    std::uint64_t m_generation = 0; // 0: the store is not known
    std::uint32_t m_count = 0;
    std::atomic<bool> m_stopping { false };
    std::thread m_thread;
};

store_readers::store_readers(wire::rpc_thread& rpc, deployment_feed& feed)
    : m_rpc(rpc)
    , m_feed(feed)
    , m_thread([this] { run(); })
{
}

store_readers::~store_readers()
{
    m_stopping = true;
    m_thread.join();
}

void store_readers::run()
{
    while (!m_stopping) {
        auto own = m_rpc.run([this] { return m_feed.ownStores(); });
        std::erase_if(m_readers,
            [&](const auto& each) { return std::find(own.begin(), own.end(), each.first) == own.end(); });
        for (const auto& store : own) {
            if (!m_readers.contains(store))
                m_readers.emplace(store, std::make_unique<reader>(m_rpc, m_feed, store));
        }
        std::this_thread::sleep_for(assignInterval);
    }
}

} // namespace plumfold::control
