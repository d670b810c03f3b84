#include "plumfold_leader_client.hpp"

#include "plumfold_kj_completion.hpp"

#include "plumfold/wire/plumfold_convert.hpp"

namespace plumfold::control {

namespace {

constexpr std::chrono::milliseconds connectTimeout { 250 };
constexpr std::chrono::milliseconds attemptTimeout { 700 };
constexpr auto retryPause = 40 * kj::MILLISECONDS;

} // namespace

leader_client::leader_client(
    wire::rpc_thread& rpc, const runtime::settings& settings, control_node& node, deployment_feed& feed)
    : m_rpc(rpc)
    , m_settings(settings)
    , m_node(node)
    , m_feed(feed)
{
}

kj::Promise<propose_answer> leader_client::submitTo(const std::string& address, const core::command& what)
{
    auto& known = m_links[address];
    kj::Promise<void> ready = kj::READY_NOW;
    if (known.session == nullptr) {
        ready = wire::rpc_connection::connect(m_rpc, address, connectTimeout)
                    .then([this, address](kj::Own<wire::rpc_connection> connection) {
                        auto request = connection->bootstrap<wire::Control>().entryRequest();
                        request.setSecret(m_settings.process.clusterSecret);
                        request.setName(m_settings.process.name);
                        request.setFailureDomain(m_settings.process.failureDomain);
                        auto& made = m_links[address];
                        m_tasks.add(kj::evalLater([old = kj::mv(made.connection)] {}));
                        made.session = request.send().getSession();
                        made.connection = kj::mv(connection);
                    });
    }
    auto sent = ready.then([this, address, what]() -> kj::Promise<propose_answer> {
        auto request = KJ_ASSERT_NONNULL(m_links[address].session).submitRequest();
        wire::write(request.initCommand(), what);
        return wire::withTimeout(m_rpc, request.send().dropPipeline(), attemptTimeout)
            .then([](capnp::Response<wire::EntrySession::SubmitResults> response) {
                propose_answer answer;
                answer.accepted = response.getReply().getAccepted();
                answer.leaderAddress = response.getReply().getLeaderAddress().cStr();
                answer.message = response.getReply().getMessage().cStr();
                answer.logIndex = response.getReply().getLogIndex();
                answer.result = wire::read(response.getResult());
                return answer;
            });
    });
    return sent.catch_([this, address](kj::Exception&& exception) -> kj::Promise<propose_answer> {
        auto& broken = m_links[address];
        broken.session = nullptr;
        // The connection must not be destroyed inside one of its own callbacks.
        m_tasks.add(kj::evalLater([old = kj::mv(broken.connection)] {}));
        return kj::mv(exception);
    });
}

kj::Promise<propose_answer> leader_client::submitOnce(const core::command& what)
{
    const auto& view = m_feed.view();
    if (view.leads)
        return ask<propose_answer>(m_node, propose_event { what, {} });
    if (view.leaderAddress.empty() || view.leaderAddress == m_settings.control->address)
        return propose_answer {};
    return submitTo(view.leaderAddress, what);
}

kj::Promise<propose_answer> leader_client::submitUntil(core::command what, kj::TimePoint deadline)
{
    auto once = submitOnce(what).catch_([](kj::Exception&&) { return propose_answer {}; });
    return once.then([this, what, deadline](propose_answer answer) mutable -> kj::Promise<propose_answer> {
        if (answer.accepted)
            return kj::mv(answer);
        KJ_REQUIRE(m_rpc.timer().now() + retryPause < deadline, "no leader accepted the command in time");
        return m_rpc.timer().afterDelay(retryPause).then([this, what, deadline] {
            return submitUntil(what, deadline);
        });
    });
}

kj::Promise<propose_answer> leader_client::submit(core::command what, kj::Duration atMost)
{
    auto deadline = m_rpc.timer().now() + atMost;
    return m_rpc.timer().timeoutAfter(atMost, submitUntil(std::move(what), deadline));
}

kj::Promise<void> leader_client::confirm(kj::Duration atMost)
{
    return submit(core::command { 0, core::barrier_command {} }, atMost)
        .then(
            [this, atMost](propose_answer answer) { return m_feed.waitForApplied(answer.logIndex, atMost); });
}

} // namespace plumfold::control
