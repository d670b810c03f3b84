#include "plumfold_leader_client.hpp"

#include "plumfold_kj_completion.hpp"

#include "plumfold/runtime/plumfold_clock.hpp"
#include "plumfold/wire/plumfold_convert.hpp"
#include "plumfold/wire/plumfold_entry_session.hpp"

namespace plumfold::control {

namespace {

constexpr std::chrono::milliseconds connectTimeout { 250 };
constexpr std::chrono::milliseconds attemptTimeout { 700 };
/// Bytes of a document for which an attempt takes a millisecond longer.
constexpr std::int64_t documentBytesPerMs = 1'000;
constexpr core::milliseconds retryDelay { 40 };

std::chrono::milliseconds timeoutOf(const core::command& command)
{
    const auto* next = std::get_if<core::adopt_document_command>(&command.payload);
    auto bytes = next ? static_cast<std::int64_t>(next->document.text.size()) : 0;
    return attemptTimeout + std::chrono::milliseconds(bytes / documentBytesPerMs);
}

} // namespace

leader_client::leader_client(
    wire::rpc_thread& rpc, const runtime::settings& settings, control_node& node, deployment_feed& feed)
    : m_rpc(rpc)
    , m_settings(settings)
    , m_node(node)
    , m_feed(feed)
{
}

kj::Promise<propose_response> leader_client::submitTo(
    const std::string& address, const core::command& command)
{
    auto& cached = m_links[address];
    kj::Promise<void> ready = kj::READY_NOW;
    if (cached.session == nullptr) {
        ready = wire::rpc_connection::connect(m_rpc, address, connectTimeout)
                    .then([this, address](kj::Own<wire::rpc_connection> connection) {
                        auto& opened = m_links[address];
                        // Of connections that were opened concurrently, the first is kept: calls use it.
                        if (opened.session != nullptr) {
                            m_tasks.add(kj::evalLater([old = kj::mv(connection)] {}));
                            return;
                        }
                        opened.session = wire::openEntrySession(*connection,
                            { m_settings.process.clusterSecret, m_settings.process.name,
                                m_settings.process.failureDomain });
                        opened.connection = kj::mv(connection);
                        ++opened.generation;
                    });
    }
    return ready.then([this, address, command]() -> kj::Promise<propose_response> {
        auto generation = m_links[address].generation;
        auto request = KJ_ASSERT_NONNULL(m_links[address].session).submitRequest();
        wire::write(request.initCommand(), command);
        return wire::withTimeout(m_rpc, request.send().dropPipeline(), timeoutOf(command))
            .then(
                [](capnp::Response<wire::EntrySession::SubmitResults> response)
                    -> kj::Promise<propose_response> {
                    propose_response result;
                    result.accepted = response.getReply().getAccepted();
                    result.leaderAddress = response.getReply().getLeaderAddress().cStr();
                    result.message = response.getReply().getMessage().cStr();
                    result.logIndex = response.getReply().getLogIndex();
                    result.result = wire::read(response.getResult());
                    return kj::mv(result);
                },
                [this, address, generation](kj::Exception&& exception) -> kj::Promise<propose_response> {
                    close(address, generation);
                    return kj::mv(exception);
                });
    });
}

/// Closes a connection on which a call has failed, unless another one has replaced it.
void leader_client::close(const std::string& address, std::uint64_t generation)
{
    auto& failed = m_links[address];
    if (failed.generation != generation)
        return;
    failed.session = nullptr;
    // The connection must not be destroyed inside one of its own callbacks.
    m_tasks.add(kj::evalLater([old = kj::mv(failed.connection)] {}));
}

kj::Promise<propose_response> leader_client::submitOnce(const core::command& command)
{
    const auto& view = m_feed.view();
    if (view.isLeader)
        return postEvent<propose_response>(m_node, propose_event { command, {} });
    if (view.leaderAddress.empty() || view.leaderAddress == m_settings.control->address)
        return propose_response {};
    return submitTo(view.leaderAddress, command);
}

kj::Promise<propose_response> leader_client::submitUntil(
    std::function<core::command()> makeCommand, core::instant deadline)
{
    // This process may have stood still since the last attempt.
    KJ_REQUIRE(runtime::nowWithSuspension() < deadline, "no leader accepted the command in time");
    auto attempt = submitOnce(makeCommand()).catch_([](kj::Exception&&) { return propose_response {}; });
    return attempt.then([this, makeCommand = std::move(makeCommand), deadline](
                            propose_response response) mutable -> kj::Promise<propose_response> {
        if (response.accepted)
            return kj::mv(response);
        auto delay = retryDelay.count() * kj::MILLISECONDS;
        return m_rpc.timer().afterDelay(delay).then(
            [this, makeCommand = std::move(makeCommand), deadline]() mutable {
                return submitUntil(std::move(makeCommand), deadline);
            });
    });
}

kj::Promise<propose_response> leader_client::submit(core::command command, kj::Duration timeout)
{
    auto deadline = runtime::nowWithSuspension() + core::milliseconds(timeout / kj::MILLISECONDS);
    return submit([command = std::move(command)] { return command; }, deadline);
}

kj::Promise<propose_response> leader_client::submit(
    std::function<core::command()> makeCommand, core::instant deadline)
{
    auto left = std::chrono::ceil<core::milliseconds>(deadline - runtime::nowWithSuspension());
    auto timeout = std::max<std::int64_t>(left.count(), 0) * kj::MILLISECONDS;
    return m_rpc.timer().timeoutAfter(
        timeout, kj::evalNow([&] { return submitUntil(std::move(makeCommand), deadline); }));
}

kj::Promise<void> leader_client::confirm(kj::Duration timeout)
{
    return submit(core::command { 0, core::barrier_command {} }, timeout)
        .then([this, timeout](
                  propose_response response) { return m_feed.waitForApplied(response.logIndex, timeout); });
}

} // namespace plumfold::control
