#pragma once

#include "plumfold_control_sessions.hpp"

#include "plumfold/core/plumfold_time.hpp"
#include "plumfold/runtime/plumfold_clock.hpp"
#include "plumfold/wire/plumfold_rpc_connection.hpp"

#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <string>
#include <utility>
#include <vector>

namespace plumfold::forwarding {

/// Limits of a control_outbox.
struct control_outbox_options {
    std::size_t maxItems = 0; ///< The oldest are dropped.
    std::size_t maxItemsPerCall = 0;
    kj::Duration retryInterval = 200 * kj::MILLISECONDS;
};

/// Items that control VMs receive in order, each at least once. They are sent again after a failed call, and
/// to a control VM that was restarted. Used on the RPC thread only.
template <class Item> class control_outbox {
public:
    struct entry {
        std::uint64_t number = 0;
        core::instant addedAt {};
        core::instant keptUntil {};
        Item item;
    };
    using entries = std::vector<const entry*>;
    /// Returns the addresses of the control VMs that receive the items.
    using receivers = std::function<std::vector<std::string>()>;
    /// Sends entries in one call. The promise is fulfilled when the control VM has them.
    using sender = std::function<kj::Promise<void>(wire::EntrySession::Client& session, const entries& due)>;

    control_outbox(wire::rpc_thread& rpc, control_sessions& sessions, control_outbox_options options,
        receivers findReceivers, sender send)
        : m_rpc(rpc)
        , m_sessions(sessions)
        , m_options(options)
        , m_findReceivers(std::move(findReceivers))
        , m_send(std::move(send))
    {
        m_tasks.add(retryLoop());
    }

    void add(Item item, core::instant keptUntil)
    {
        auto now = runtime::now();
        while (!m_entries.empty()
            && (m_entries.front().keptUntil <= now || m_entries.size() >= m_options.maxItems))
            m_entries.pop_front();
        m_entries.push_back({ ++m_latest, now, keptUntil, std::move(item) });
        sendToAll();
    }

private:
    /// What a control VM has received.
    struct progress {
        std::uint64_t generation = 0; // of the session
        std::uint64_t latest = 0; // number of the last entry
        bool isSending = false;
    };

    void sendToAll()
    {
        for (const auto& address : m_findReceivers())
            sendTo(address);
    }

    void sendTo(const std::string& address)
    {
        auto& to = m_progress[address];
        if (to.isSending || to.latest == m_latest)
            return;
        to.isSending = true;
        m_tasks.add(sendNext(address).then(
            [this, address] {
                m_progress[address].isSending = false;
                m_sessions.onSuccess(address);
                sendToAll();
            },
            [this, address](kj::Exception&& exception) {
                m_progress[address].isSending = false;
                m_sessions.onFailure(address, m_progress[address].generation, exception);
                sendToAll();
            }));
    }

    kj::Promise<void> sendNext(const std::string& address)
    {
        return m_sessions.at(address).then([this, address](wire::EntrySession::Client session) {
            auto& to = m_progress[address];
            auto generation = m_sessions.links().at(address).generation;
            // The control VM may have been restarted.
            if (std::exchange(to.generation, generation) != generation)
                to.latest = 0;
            auto now = runtime::now();
            entries due;
            for (const auto& each : m_entries) {
                if (each.number > to.latest && each.keptUntil > now && due.size() < m_options.maxItemsPerCall)
                    due.push_back(&each);
            }
            auto last = due.size() < m_options.maxItemsPerCall ? m_latest : due.back()->number;
            auto sent = due.empty() ? kj::Promise<void>(kj::READY_NOW) : m_send(session, due);
            return sent.then([this, address, last, generation] {
                auto& to = m_progress[address];
                if (to.generation == generation)
                    to.latest = last;
            });
        });
    }

    /// Sends again what a failed call had, also when nothing is added.
    kj::Promise<void> retryLoop()
    {
        return m_rpc.timer().afterDelay(m_options.retryInterval).then([this] {
            sendToAll();
            return retryLoop();
        });
    }

    wire::rpc_thread& m_rpc;
    control_sessions& m_sessions;
    control_outbox_options m_options;
    receivers m_findReceivers;
    sender m_send;
    std::deque<entry> m_entries; // by number
    std::uint64_t m_latest = 0;
    std::map<std::string, progress> m_progress; // by address
    wire::task_group m_tasks;
};

} // namespace plumfold::forwarding
