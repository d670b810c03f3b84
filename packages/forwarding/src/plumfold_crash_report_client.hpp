#pragma once

#include "plumfold_control_outbox.hpp"
#include "plumfold_control_sessions.hpp"

#include "plumfold/core/plumfold_crash_screen.hpp"
#include "plumfold/wire/plumfold_rpc_connection.hpp"

#include <memory>
#include <string>
#include <vector>

namespace plumfold::forwarding {

/// What an entry tells control VMs about requests that crash targets.
struct crash_news {
    std::vector<core::crash_report> crashes;
    std::vector<core::suspect_success> successes;
    std::vector<std::uint64_t> rejected; ///< Verdicts by which requests were rejected.
};

/// Sends crash news to all control VMs, again until each of them has it. Its public methods are called on the
/// event loop thread; the calls are made on the RPC thread.
class crash_report_client {
public:
    crash_report_client(wire::rpc_thread& rpc, control_sessions& sessions);
    ~crash_report_client() { stop(); }

    /// Ends all calls. The sessions are not used afterwards.
    void stop();

    /// Sends news without waiting.
    void send(crash_news news);

private:
    using outbox = control_outbox<crash_news>;

    std::vector<std::string> receivers() const;
    kj::Promise<void> sendNews(wire::EntrySession::Client& session, const outbox::entries& due);

    wire::rpc_thread& m_rpc;
    control_sessions& m_sessions; // used on the RPC thread only
    std::unique_ptr<outbox> m_news; // used on the RPC thread only
};

} // namespace plumfold::forwarding
