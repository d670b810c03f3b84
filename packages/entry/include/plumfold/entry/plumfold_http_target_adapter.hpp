#pragma once

#include "plumfold/entry/plumfold_target_adapter.hpp"
#include "plumfold/runtime/plumfold_socket_group.hpp"

#include <Poco/Net/HTTPClientSession.h>

#include <atomic>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <vector>

namespace plumfold::entry {

/// Implements the completions protocol over HTTP with server-sent events. A connection belongs to one
/// incarnation of a target: the incarnation is checked when the connection is opened, and no request is sent
/// to a different one. Idle connections to engines are pooled, since opening one adds two round trips to the
/// time to the first token.
class http_target_adapter final : public target_adapter {
public:
    completion_result complete(
        const target_process& target, const completion_call& call, token_sink& sink) override;
    service_result callService(const target_process& target, const service_call& call) override;
    void cancel(const std::string& address, const std::string& requestId) override;
    bool exportBlocks(const std::string& address, const export_call& call) override;
    bool loadVersion(const target_process& target, const load_call& call) override;
    void endCalls() override;
    process_state probeProcess(const target_process& target) override;

private:
    using session = std::unique_ptr<Poco::Net::HTTPClientSession>;

    /// @return a pooled session, or a new one if none is idle.
    /// @throws Poco::Exception if the target cannot be reached or has a different incarnation.
    session connect(const target_process& target);
    /// @return a pooled session that is still open; null if there is none.
    session popIdleConnection(const target_process& target);
    /// Opens a connection and checks the incarnation of the process at the address.
    /// @return a session on that connection.
    /// @throws Poco::Exception if nothing responds or the incarnation differs.
    session openVerified(const target_process& target);
    /// Returns a session to the pool and removes the sessions to other incarnations of the target.
    void returnIdleConnection(const target_process& target, session idle);

    std::mutex m_mutex;
    std::map<target_process, std::vector<session>> m_idle;
    std::atomic<bool> m_isEnding { false };
    runtime::socket_group m_calls { runtime::socket_group::direction::both };
    runtime::socket_group m_shortRequests { runtime::socket_group::direction::both };
};

} // namespace plumfold::entry
