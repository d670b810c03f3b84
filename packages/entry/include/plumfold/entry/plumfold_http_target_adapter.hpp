#pragma once

#include "plumfold/entry/plumfold_target_adapter.hpp"

#include <Poco/Net/HTTPClientSession.h>

#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <vector>

namespace plumfold::entry {

/// Speaks the completions protocol over HTTP with server-sent events. A connection belongs to one process of
/// a target: when it is opened, the process is asked for its incarnation, and no request is sent to another
/// one. Idle connections to engines are kept, since a new one costs two round trips of the time to the first
/// token.
class http_target_adapter final : public target_adapter {
public:
    completion_result complete(
        const target_process& target, const completion_call& call, token_sink& sink) override;
    service_result callService(const target_process& target, const service_call& call) override;
    void cancel(const std::string& address, const std::string& requestId) override;
    bool exportBlocks(const std::string& address, const export_call& call) override;
    bool loadVersion(const target_process& target, const load_call& call) override;
    process_state probeProcess(const target_process& target) override;

private:
    using session = std::unique_ptr<Poco::Net::HTTPClientSession>;

    session connect(const target_process& target);
    session popIdleConnection(const target_process& target);
    void returnIdleConnection(const target_process& target, session idle);

    std::mutex m_mutex;
    std::map<target_process, std::vector<session>> m_idle;
};

} // namespace plumfold::entry
