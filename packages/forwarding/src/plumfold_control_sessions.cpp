#include "plumfold_control_sessions.hpp"

#include "plumfold/runtime/plumfold_clock.hpp"
#include "plumfold/runtime/plumfold_log.hpp"
#include "plumfold/wire/plumfold_entry_session.hpp"

#include <utility>

namespace plumfold::forwarding {

namespace {

constexpr std::chrono::milliseconds connectTimeout { 250 };

} // namespace

control_sessions::control_sessions(wire::rpc_thread& rpc, const runtime::settings& settings)
    : m_rpc(rpc)
    , m_settings(settings)
{
}

void control_sessions::setControl(const std::map<std::string, std::string>& domains)
{
    auto now = runtime::now();
    for (auto& [address, each] : m_links) {
        if (each.isInService)
            each.seenAt = now;
        each.isInService = domains.contains(address);
    }
    for (const auto& [address, domain] : domains) {
        auto& known = m_links[address];
        known.failureDomain = domain;
        known.isInService = true;
    }
}

kj::Promise<wire::EntrySession::Client> control_sessions::at(const std::string& address)
{
    KJ_IF_MAYBE (session, m_links[address].m_session) {
        return wire::EntrySession::Client(*session);
    }
    auto connecting = wire::rpc_connection::connect(m_rpc, address, connectTimeout);
    return connecting.then([this, address](kj::Own<wire::rpc_connection> connection) {
        auto& known = m_links[address];
        // Of connections that were opened concurrently, the first is kept.
        if (known.m_session == nullptr) {
            known.m_session = wire::openEntrySession(*connection,
                { m_settings.process.clusterSecret, m_settings.process.name,
                    m_settings.process.failureDomain });
            known.m_connection = kj::mv(connection);
            ++known.generation;
        } else {
            m_tasks.add(kj::evalLater([old = kj::mv(connection)] {}));
        }
        return wire::EntrySession::Client(KJ_ASSERT_NONNULL(known.m_session));
    });
}

void control_sessions::onFailure(
    const std::string& address, std::uint64_t generation, const kj::Exception& reason)
{
    auto& failed = m_links[address];
    if (!std::exchange(failed.m_isFailing, true))
        runtime::log_event("control_unreachable", runtime::log_level::warning)
            .with("address", address)
            .with("reason", reason.getDescription().cStr());
    failed.failedAt = runtime::now();
    if (failed.generation != generation)
        return;
    failed.m_session = nullptr;
    // The connection must not be destroyed inside one of its own callbacks.
    m_tasks.add(kj::evalLater([old = kj::mv(failed.m_connection)] {}));
}

} // namespace plumfold::forwarding
