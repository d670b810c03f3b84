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

/// A report that a target sent to this entry itself.
struct direct_report {
    core::target_report report;
    core::instant sentAt {};
};

/// The links between entries: gossip of reports and suspects, and permits. Lives on the RPC thread; the
/// public calls may be made from any thread.
class peer_mesh {
public:
    peer_mesh(wire::rpc_thread& rpc, const runtime::settings& settings, std::uint64_t incarnation,
        dispatch_thread& dispatchThread);
    ~peer_mesh();

    /// Relays a target's report to the other entries with the next gossip.
    void onDirectReport(const core::target_report& report, core::instant sentAt);

    void requestPermit(const core::acquire_permit_action& action);
    void release(const core::release_permit_action& action);
    void renew(const core::renew_permits_action& action);

    /// Tells the other entries of a suspect and waits, for a short time, until they know. Not for the RPC
    /// thread.
    void broadcastSuspect(const core::suspect_state& suspect);

    /// Tells the other entries that this one leaves.
    void setLeaving();

private:
    class server;
    struct link {
        std::string address;
        std::string failureDomain; // known once the peer has gossiped
        std::optional<core::report_relay> relay; // what the peer has been told over this connection
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
