#include "plumfold_shared_limit_client.hpp"

#include "plumfold/runtime/plumfold_log.hpp"
#include "plumfold/wire/plumfold_entry_session.hpp"

namespace plumfold::forwarding {

namespace {

constexpr std::chrono::milliseconds connectTimeout { 250 };
constexpr std::chrono::milliseconds answerTimeout { 100 };
/// Includes the time until the RPC thread sends the call.
constexpr std::chrono::milliseconds maxAnswerTime { 300 };
constexpr auto reconnectDelay = 200 * kj::MILLISECONDS;
constexpr core::milliseconds retryWithoutIssuer { 300 };

} // namespace

shared_limit_client::shared_limit_client(
    asio::io_context& io, wire::rpc_thread& rpc, const runtime::settings& settings)
    : m_io(io)
    , m_rpc(rpc)
    , m_settings(settings)
{
    m_rpc.run([this] { m_tasks = kj::heap<wire::task_group>(); });
}

shared_limit_client::~shared_limit_client()
{
    m_rpc.run([this] {
        m_tasks = nullptr;
        m_session = nullptr;
        m_connection = nullptr;
    });
}

void shared_limit_client::setIssuer(const std::string& address)
{
    if (address.empty() || address == m_issuer)
        return;
    m_issuer = address;
    m_rpc.post([this, address] {
        m_address = address;
        disconnect();
        connect();
    });
}

task<core::grant_decision> shared_limit_client::startCold(std::string service, std::string target)
{
    call sendCall
        = [service = std::move(service), target = std::move(target)](wire::EntrySession::Client& session) {
              auto request = session.startColdRequest();
              request.setService(service);
              request.setTarget(target);
              return request.send().then([](auto&& response) {
                  return core::grant_decision { response.getGranted(),
                      core::milliseconds(response.getRetryAfterMs()) };
              });
          };
    co_return co_await ask(std::move(sendCall));
}

task<bool> shared_limit_client::retry(std::string service)
{
    call sendCall = [service = std::move(service)](wire::EntrySession::Client& session) {
        auto request = session.retryRequest();
        request.setService(service);
        return request.send().then([](auto&& response) {
            return core::grant_decision { response.getGranted(), core::milliseconds(0) };
        });
    };
    auto decision = co_await ask(std::move(sendCall));
    co_return decision.isGranted;
}

task<core::grant_decision> shared_limit_client::ask(call request)
{
    auto pending = std::make_shared<pending_request>(m_io);
    pending->decision = { false, retryWithoutIssuer };
    pending->answered.expires_after(maxAnswerTime);
    m_rpc.post([this, pending, request = std::move(request)] { send(pending, request); });
    error_code ignored;
    co_await pending->answered.async_wait(into(ignored));
    co_return pending->decision;
}

void shared_limit_client::send(std::shared_ptr<pending_request> pending, const call& request)
{
    KJ_IF_MAYBE (session, m_session) {
        auto generation = m_generation;
        m_tasks->add(wire::withTimeout(m_rpc, request(*session), answerTimeout)
                         .then([this, pending](core::grant_decision decision) { answer(pending, decision); },
                             [this, pending, generation](kj::Exception&& exception) {
                                 answer(pending, { false, retryWithoutIssuer });
                                 if (generation != m_generation)
                                     return;
                                 runtime::log_event("shared_limit_issuer_lost", runtime::log_level::warning)
                                     .with("address", m_address)
                                     .with("reason", exception.getDescription().cStr());
                                 disconnect();
                                 connect();
                             }));
        return;
    }
    answer(pending, { false, retryWithoutIssuer });
}

void shared_limit_client::answer(
    const std::shared_ptr<pending_request>& pending, core::grant_decision decision)
{
    asio::post(m_io, [pending, decision] {
        pending->decision = decision;
        pending->answered.cancel();
    });
}

void shared_limit_client::connect()
{
    auto generation = m_generation;
    auto connecting = wire::rpc_connection::connect(m_rpc, m_address, connectTimeout);
    m_tasks->add(connecting.then(
        [this, generation](kj::Own<wire::rpc_connection> connection) -> kj::Promise<void> {
            if (generation != m_generation)
                return kj::READY_NOW;
            m_session = wire::openEntrySession(*connection,
                { m_settings.process.clusterSecret, m_settings.process.name,
                    m_settings.process.failureDomain });
            m_connection = kj::mv(connection);
            return kj::READY_NOW;
        },
        [this, generation](kj::Exception&& exception) -> kj::Promise<void> {
            if (generation != m_generation)
                return kj::READY_NOW;
            runtime::log_event("shared_limit_issuer_unreachable", runtime::log_level::warning)
                .with("address", m_address)
                .with("reason", exception.getDescription().cStr());
            return m_rpc.timer().afterDelay(reconnectDelay).then([this, generation] {
                if (generation == m_generation)
                    connect();
            });
        }));
}

void shared_limit_client::disconnect()
{
    ++m_generation;
    m_session = nullptr;
    // The connection must not be destroyed inside one of its own callbacks.
    m_tasks->add(kj::evalLater([old = kj::mv(m_connection)] {}));
}

} // namespace plumfold::forwarding
