#include "plumfold_control_client.hpp"

#include "plumfold/runtime/plumfold_secrets.hpp"
#include "plumfold/wire/plumfold_convert.hpp"
#include "plumfold/wire/plumfold_entry_session.hpp"

#include <kj/debug.h>

namespace plumfold::entry {

namespace {

constexpr std::chrono::milliseconds connectTimeout { 400 };
constexpr std::uint32_t watchMs = 1000;
constexpr std::chrono::milliseconds watchTimeout { 2000 };
constexpr std::chrono::milliseconds attemptTimeout { 1000 };
constexpr auto retryDelay = 50 * kj::MILLISECONDS;
constexpr auto watchRetryDelay = 150 * kj::MILLISECONDS;
// An entry without a confirmed configuration requests linearizable reads until this many watch requests have
// failed. After that, it accepts the configuration of a control VM without a quorum.
constexpr unsigned linearizableWatchAttempts = 6;

kj::Duration toKj(core::milliseconds time)
{
    return time.count() * kj::MILLISECONDS;
}

} // namespace

control_client::control_client(wire::rpc_thread& rpc, control_client_options options, listener onUpdate)
    : m_rpc(rpc)
    , m_options(std::move(options))
    , m_onUpdate(std::move(onUpdate))
{
    m_watchIndex = runtime::randomNumber() % m_options.addresses.size();
    m_leaderIndex = m_watchIndex;
    m_leader = m_options.addresses[m_leaderIndex];
    m_rpc.run([this] {
        m_tasks = kj::heap<wire::task_group>();
        m_tasks->add(watchLoop());
    });
}

control_client::~control_client()
{
    m_rpc.flush();
    m_rpc.run([this] {
        m_tasks = nullptr;
        m_links.clear();
    });
}

kj::Promise<wire::EntrySession::Client> control_client::sessionAt(const std::string& address)
{
    auto& known = m_links[address];
    KJ_IF_MAYBE (session, known.session) {
        return wire::EntrySession::Client(*session);
    }
    auto connecting = wire::rpc_connection::connect(m_rpc, address, connectTimeout);
    return connecting.then([this, address](kj::Own<wire::rpc_connection> connection) {
        auto session = wire::openEntrySession(
            *connection, { m_options.secret, m_options.name, m_options.failureDomain });
        auto& known = m_links[address];
        // Two calls may have connected concurrently. The first connection may have calls in progress, so it
        // is kept.
        if (known.session == nullptr) {
            known.connection = kj::mv(connection);
            known.session = session;
        } else {
            m_tasks->add(kj::evalLater([old = kj::mv(connection)] {}));
        }
        return wire::EntrySession::Client(KJ_ASSERT_NONNULL(known.session));
    });
}

void control_client::drop(const std::string& address)
{
    auto& known = m_links[address];
    known.session = nullptr;
    // The connection must not be destroyed inside one of its own callbacks.
    m_tasks->add(kj::evalLater([old = kj::mv(known.connection)] {}));
}

// ---------------------------------------------------------------- configuration

kj::Promise<void> control_client::watchLoop()
{
    return watchOnce()
        .catch_([this](kj::Exception&&) -> kj::Promise<void> {
            drop(m_options.addresses[m_watchIndex]);
            m_watchIndex = (m_watchIndex + 1) % m_options.addresses.size();
            ++m_watchFailures;
            return m_rpc.timer().afterDelay(watchRetryDelay);
        })
        .then([this] { return watchLoop(); });
}

kj::Promise<void> control_client::watchOnce()
{
    return sessionAt(m_options.addresses[m_watchIndex]).then([this](wire::EntrySession::Client session) {
        auto request = session.watchRequest();
        // A revision that cannot exist requests the whole configuration.
        request.setKnownRevision(m_refetch ? UINT64_MAX : m_knownRevision);
        request.setKnownDigest(m_knownDigest);
        request.setWaitMs(watchMs);
        request.setLinearizable(!m_wasConfirmed && m_watchFailures < linearizableWatchAttempts);
        auto pending = wire::withTimeout(m_rpc, request.send().dropPipeline(), watchTimeout);
        return pending.then([this](capnp::Response<wire::EntrySession::WatchResults> response) {
            watch_update received;
            received.update = wire::read(response.getUpdate());
            received.isCaughtUp = response.getFresh();
            for (auto verdict : response.getVerdicts())
                received.verdicts.push_back(wire::read(verdict));
            m_refetch = false;
            m_wasConfirmed = m_wasConfirmed || received.isCaughtUp;
            bool stale = !received.isCaughtUp;
            if (received.update.revision >= m_knownRevision) {
                m_knownRevision = received.update.revision;
                m_knownDigest = received.update.digest;
            }
            m_onUpdate(std::move(received));
            // A control VM without a quorum receives no updates, so the next one is tried.
            KJ_REQUIRE(!stale, "the control VM is cut off from the quorum");
            m_watchFailures = 0;
        });
    });
}

void control_client::refetch()
{
    m_rpc.post([this] { m_refetch = true; });
}

void control_client::advanceKnownRevision(std::uint64_t revision, std::uint64_t digest)
{
    m_rpc.post([this, revision, digest] {
        if (revision < m_knownRevision)
            return;
        m_knownRevision = revision;
        m_knownDigest = digest;
    });
}

// ---------------------------------------------------------------- commands

kj::Promise<core::command_result> control_client::submitOnce(
    const core::command& command, const std::string& address)
{
    return sessionAt(address).then([this, command, address](wire::EntrySession::Client session) {
        auto request = session.submitRequest();
        wire::write(request.initCommand(), command);
        auto pending = wire::withTimeout(m_rpc, request.send().dropPipeline(), attemptTimeout);
        return pending.then(
            [this](capnp::Response<wire::EntrySession::SubmitResults> response)
                -> kj::Promise<core::command_result> {
                auto reply = response.getReply();
                if (reply.getAccepted())
                    return wire::read(response.getResult());
                std::string leader = reply.getLeaderAddress().cStr();
                if (!leader.empty() && leader != m_leader)
                    m_leader = leader;
                else
                    advanceLeaderCandidate();
                return kj::Exception(
                    kj::Exception::Type::DISCONNECTED, __FILE__, __LINE__, kj::str("not the leader"));
            },
            [this, address](kj::Exception&& exception) -> kj::Promise<core::command_result> {
                drop(address);
                advanceLeaderCandidate();
                return kj::mv(exception);
            });
    });
}

void control_client::advanceLeaderCandidate()
{
    m_leaderIndex = (m_leaderIndex + 1) % m_options.addresses.size();
    m_leader = m_options.addresses[m_leaderIndex];
}

kj::Promise<core::command_result> control_client::submitUntil(core::command command, kj::TimePoint deadline)
{
    std::string address = m_leader;
    return submitOnce(command, address)
        .catch_([this, command, address, deadline](
                    kj::Exception&& exception) -> kj::Promise<core::command_result> {
            if (m_rpc.timer().now() + retryDelay >= deadline)
                return kj::mv(exception);
            if (m_leader == address)
                advanceLeaderCandidate();
            return m_rpc.timer().afterDelay(retryDelay).then([this, command, deadline] {
                return submitUntil(command, deadline);
            });
        });
}

absl::StatusOr<core::command_result> control_client::submit(
    const core::command& command, core::milliseconds timeout)
{
    try {
        return m_rpc.run([&]() -> kj::Promise<core::command_result> {
            auto deadline = m_rpc.timer().now() + toKj(timeout);
            return wire::withTimeout(m_rpc, submitUntil(command, deadline), timeout);
        });
    } catch (const kj::Exception& exception) {
        return absl::UnavailableError(exception.getDescription().cStr());
    }
}

void control_client::submitAsync(core::command command, core::milliseconds timeout)
{
    m_rpc.post([this, command = std::move(command), timeout] {
        auto deadline = m_rpc.timer().now() + toKj(timeout);
        m_tasks->add(submitUntil(command, deadline).ignoreResult());
    });
}

} // namespace plumfold::entry
