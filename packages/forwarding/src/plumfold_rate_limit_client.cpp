#include "plumfold_rate_limit_client.hpp"

#include "plumfold/runtime/plumfold_clock.hpp"
#include "plumfold/wire/plumfold_convert.hpp"

#include <utility>

namespace plumfold::forwarding {

namespace {

constexpr std::chrono::milliseconds answerTimeout { 100 };
/// Includes the time until the RPC thread sends the call.
constexpr std::chrono::milliseconds maxAnswerTime { 150 };
/// After a failed call, a control VM is not asked for this time.
constexpr core::milliseconds failureBackoff { 500 };

} // namespace

rate_limit_client::rate_limit_client(asio::io_context& io, wire::rpc_thread& rpc, control_sessions& sessions)
    : m_io(io)
    , m_rpc(rpc)
    , m_sessions(sessions)
{
    m_rpc.run([this] { m_tasks = kj::heap<wire::task_group>(); });
}

void rate_limit_client::stop()
{
    m_rpc.run([this] { m_tasks = nullptr; });
}

task<std::optional<core::grant_decision>> rate_limit_client::start(
    std::string failureDomain, core::target_demand demand)
{
    if (m_issuers.empty())
        co_return std::nullopt;
    auto issuer = m_issuers.find(failureDomain);
    // Any choice will do for an unknown failure domain, as long as all entries make the same one.
    if (issuer == m_issuers.end())
        issuer = m_issuers.begin();
    auto pending = std::make_shared<pending_start>(m_io);
    pending->answered.expires_after(maxAnswerTime);
    m_rpc.post([this, pending, domain = issuer->first, address = issuer->second, demand = std::move(demand)] {
        send(pending, address, domain, demand);
    });
    error_code ignored;
    co_await pending->answered.async_wait(into(ignored));
    co_return pending->decision;
}

void rate_limit_client::send(std::shared_ptr<pending_start> pending, std::string address,
    std::string failureDomain, core::target_demand demand)
{
    auto known = m_sessions.links().find(address);
    bool isFailing = known != m_sessions.links().end() && known->second.failedAt != core::instant {}
        && runtime::now() - known->second.failedAt < failureBackoff;
    if (isFailing || m_tasks.get() == nullptr) {
        answer(pending, std::nullopt);
        return;
    }
    auto generation = std::make_shared<std::uint64_t>(0); // of the session
    auto asked
        = m_sessions.at(address).then([this, address, generation, failureDomain = std::move(failureDomain),
                                          demand = std::move(demand)](wire::EntrySession::Client session) {
              *generation = m_sessions.links().at(address).generation;
              auto request = session.startLimitedRequest();
              request.setFailureDomain(failureDomain);
              wire::write(request.initDemand(), demand);
              return wire::withTimeout(m_rpc, request.send().dropPipeline(), answerTimeout);
          });
    m_tasks->add(asked.then(
        [this, pending](capnp::Response<wire::EntrySession::StartLimitedResults> response) {
            std::optional<core::grant_decision> decision;
            if (response.getDecided())
                decision = { response.getGranted(), core::milliseconds(response.getRetryAfterMs()) };
            answer(pending, decision);
        },
        [this, pending, address, generation](kj::Exception&& exception) {
            answer(pending, std::nullopt);
            // A control VM of an older version does not know the call, and its session is in order.
            if (exception.getType() != kj::Exception::Type::UNIMPLEMENTED)
                m_sessions.onFailure(address, *generation, exception);
        }));
}

void rate_limit_client::answer(
    const std::shared_ptr<pending_start>& pending, std::optional<core::grant_decision> decision)
{
    asio::post(m_io, [pending, decision] {
        pending->decision = decision;
        pending->answered.cancel();
    });
}

} // namespace plumfold::forwarding
