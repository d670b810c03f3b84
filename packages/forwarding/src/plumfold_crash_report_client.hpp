#pragma once

#include "plumfold_control_sessions.hpp"

#include "plumfold/core/plumfold_crash_screen.hpp"
#include "plumfold/wire/plumfold_rpc_connection.hpp"

#include <deque>
#include <map>
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
    /// News that may have to be sent again.
    struct numbered_news {
        std::uint64_t number = 0;
        core::instant since {};
        crash_news news;
    };
    /// What was sent to a control VM.
    struct sent_news {
        std::uint64_t generation = 0; // of the session
        std::uint64_t latest = 0; // number of the last news that the control VM has
        bool isSending = false;
    };

    void sendToAll();
    void sendTo(const std::string& address);
    kj::Promise<void> sendNext(const std::string& address);
    kj::Promise<void> retryLoop();

    wire::rpc_thread& m_rpc;

    // Used on the RPC thread only.
    control_sessions& m_sessions;
    std::deque<numbered_news> m_news; // by number
    std::uint64_t m_latest = 0;
    std::map<std::string, sent_news> m_sent; // by address
    kj::Own<wire::task_group> m_tasks;
};

} // namespace plumfold::forwarding
