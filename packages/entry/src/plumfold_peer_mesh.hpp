#pragma once

#include "plumfold_dispatch_thread.hpp"

#include "plumfold/core/plumfold_report_relay.hpp"

#include "plumfold/runtime/plumfold_settings.hpp"
#include "plumfold/wire/plumfold_rpc_connection.hpp"

#include "plumfold.capnp.h"

#include <atomic>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <string>
#include <vector>

namespace plumfold::entry {

/// A report that this entry received from the target itself.
struct direct_report {
    core::target_report report;
    core::instant sentAt {};
};

/// Connections between entries: gossip of target reports and suspects, and requests for permits. Runs on the
/// RPC thread; the public functions may be called from any thread.
class peer_mesh {
public:
    peer_mesh(wire::rpc_thread& rpc, const runtime::settings& settings, std::uint64_t incarnation,
        dispatch_thread& dispatchThread);
    ~peer_mesh();

    /// Stores a target's report, which is sent to the other entries with the next gossip.
    void onDirectReport(const core::target_report& report, core::instant sentAt);

    /// Requests a permit from the entry that owns the target's permits. The result is posted to the dispatch
    /// thread.
    void requestPermit(const core::acquire_permit_action& action);
    void release(const core::release_permit_action& action);
    void renew(const core::renew_permits_action& action);

    /// Sends a suspect to the other entries and waits until they have received it or a short timeout expires.
    /// Must not be called on the RPC thread.
    void broadcastSuspect(const core::suspect_state& suspect);

    /// Announces to the other entries that this one is leaving.
    void setLeaving();

private:
    class server;
    struct link {
        std::string address;
        std::string failureDomain; // empty until the peer has gossiped
        std::optional<core::report_relay> relay; // reports sent over this connection
        kj::Own<wire::rpc_connection> connection;
        kj::Maybe<wire::EntryPeer::Client> peer;
        bool connecting = false;
        bool gossiping = false;
        std::uint64_t generation = 0;
    };

    kj::Promise<void> gossipLoop();
    void setPeerFailureDomain(const std::string& name, const std::string& failureDomain);
    void gossipTo(link& to);
    std::vector<direct_report> dueReports(link& to, core::instant now);
    void connect(link& to);
    void disconnect(link& to, std::uint64_t generation);
    link* connectedLink(const std::string& name);
    void fetchConfiguration(link& from);

    wire::rpc_thread& m_rpc;
    runtime::settings m_settings;
    std::uint64_t m_incarnation;
    dispatch_thread& m_dispatchThread;
    std::atomic<bool> m_leaving { false };
    std::mutex m_reportMutex;
    std::map<std::string, direct_report> m_reports;
    std::map<std::string, link> m_links;
    kj::Own<wire::task_group> m_tasks;
    std::unique_ptr<wire::rpc_listener> m_listener;
};

} // namespace plumfold::entry
