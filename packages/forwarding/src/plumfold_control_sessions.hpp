#pragma once

#include "plumfold/core/plumfold_time.hpp"
#include "plumfold/runtime/plumfold_settings.hpp"
#include "plumfold/wire/plumfold_rpc_connection.hpp"

#include "plumfold.capnp.h"

#include <cstdint>
#include <map>
#include <string>

namespace plumfold::forwarding {

/// Sessions of this entry with all control VMs, opened when they are needed. Used on the RPC thread only.
class control_sessions {
public:
    /// A control VM.
    struct link {
        std::string failureDomain;
        bool isInService = false;
        core::instant seenAt {}; ///< Until when it was in service, if it no longer is.
        core::instant failedAt {}; ///< When a call last failed.
        std::uint64_t generation = 0; ///< Of the session; a later one may be with a restarted process.

    private:
        friend class control_sessions;
        kj::Own<wire::rpc_connection> m_connection;
        kj::Maybe<wire::EntrySession::Client> m_session;
        bool m_isFailing = false; // the latest call failed
    };

    control_sessions(wire::rpc_thread& rpc, const runtime::settings& settings);

    /// Sets the control VMs that are in service. Others are kept.
    /// @param domains failure domain by address (ip:port) of the RPC interface.
    void setControl(const std::map<std::string, std::string>& domains);

    /// @return all control VMs that were ever in service, by address.
    const std::map<std::string, link>& links() const { return m_links; }

    /// @return the session with a control VM; rejected if it cannot be reached in time.
    kj::Promise<wire::EntrySession::Client> at(const std::string& address);

    /// Records that a call has failed, and closes its session unless another one has replaced it.
    /// @param generation of the session; 0 if none could be opened.
    void onFailure(const std::string& address, std::uint64_t generation, const kj::Exception& reason);

    /// Records that a call has succeeded.
    void onSuccess(const std::string& address) { m_links[address].m_isFailing = false; }

private:
    wire::rpc_thread& m_rpc;
    const runtime::settings& m_settings;
    std::map<std::string, link> m_links;
    wire::task_group m_tasks;
};

} // namespace plumfold::forwarding
