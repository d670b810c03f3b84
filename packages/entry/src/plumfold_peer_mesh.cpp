#include "plumfold_peer_mesh.hpp"

#include "plumfold/runtime/plumfold_clock.hpp"
#include "plumfold/wire/plumfold_convert.hpp"

#include <kj/debug.h>

namespace plumfold::entry {

namespace {

constexpr auto gossipInterval = 200 * kj::MILLISECONDS;
constexpr std::chrono::milliseconds connectTimeout { 300 };
constexpr std::chrono::milliseconds gossipTimeout { 1000 };
constexpr std::chrono::milliseconds permitTimeout { 300 };
constexpr std::chrono::milliseconds suspectBroadcastTimeout { 50 };
constexpr auto reconnectDelay = 200 * kj::MILLISECONDS;
constexpr core::milliseconds reportRefresh { 1000 };
constexpr core::milliseconds reportMaxAge { 10'000 };

} // namespace

class peer_mesh::server final : public wire::EntryPeer::Server {
public:
    explicit server(peer_mesh& mesh)
        : m_mesh(mesh)
    {
    }

    kj::Promise<void> gossip(GossipContext call) override
    {
        auto params = call.getParams();
        peer_event event;
        event.peer.name = params.getFrom().cStr();
        event.peer.failureDomain = params.getFailureDomain().cStr();
        event.peer.incarnation = params.getIncarnation();
        event.peer.leaving = params.getLeaving();
        event.peer.lastSeenAt = runtime::now();
        for (auto suspect : params.getSuspects())
            event.suspects.push_back(wire::read(suspect));
        m_mesh.setPeerFailureDomain(event.peer.name, event.peer.failureDomain);
        m_mesh.m_dispatchThread.tryPost(std::move(event));
        for (auto report : params.getReports()) {
            auto sentAt = runtime::now() - core::milliseconds(report.getAgeMs());
            m_mesh.m_dispatchThread.tryPost(report_event { wire::read(report), sentAt });
        }
        return kj::READY_NOW;
    }

    kj::Promise<void> acquire(AcquireContext call) override
    {
        auto params = call.getParams();
        core::permit_request permitRequest { params.getFrom().cStr(), params.getTarget().cStr(),
            params.getIncarnation(), params.getAlone() };
        auto pair = kj::newPromiseAndCrossThreadFulfiller<core::permit_answer>();
        auto fulfiller = std::make_shared<decltype(pair.fulfiller)>(kj::mv(pair.fulfiller));
        permit_request_event event { std::move(permitRequest),
            [fulfiller](core::permit_answer answer) { (*fulfiller)->fulfill(kj::mv(answer)); } };
        KJ_REQUIRE(m_mesh.m_dispatchThread.tryPost(std::move(event)), "the entry is overloaded: ask later");
        return pair.promise.then([call](core::permit_answer answer) mutable {
            auto results = call.getResults();
            results.setGranted(answer.granted);
            results.setPermit(answer.permit);
            results.setLimit(answer.limit);
            results.setRetryAfterMs(static_cast<std::uint32_t>(answer.retryAfter.count()));
        });
    }

    kj::Promise<void> suspect(SuspectContext call) override
    {
        m_mesh.m_dispatchThread.tryPost(suspect_event { wire::read(call.getParams().getSuspect()) });
        return kj::READY_NOW;
    }

    kj::Promise<void> release(ReleaseContext call) override
    {
        auto params = call.getParams();
        m_mesh.m_dispatchThread.tryPost(
            permit_released_event { params.getPermit(), wire::read(params.getOutcome()) });
        return kj::READY_NOW;
    }

    kj::Promise<void> renew(RenewContext call) override
    {
        auto params = call.getParams();
        permits_renewed_event event { params.getFrom().cStr(), {} };
        for (auto permit : params.getPermits())
            event.permits.push_back(permit);
        m_mesh.m_dispatchThread.tryPost(std::move(event));
        return kj::READY_NOW;
    }

    kj::Promise<void> configuration(ConfigurationContext call) override
    {
        auto snapshot = m_mesh.m_dispatchThread.snapshot();
        call.getResults().setKnown(snapshot.configurationKnown);
        core::configuration_update update;
        update.revision = snapshot.config->revision();
        update.digest = snapshot.config->digest();
        update.full = snapshot.config->records();
        wire::write(call.getResults().initUpdate(), update);
        return kj::READY_NOW;
    }

private:
    peer_mesh& m_mesh;
};

peer_mesh::peer_mesh(wire::rpc_thread& rpc, const runtime::settings& settings, std::uint64_t incarnation,
    dispatch_thread& dispatchThread)
    : m_rpc(rpc)
    , m_settings(settings)
    , m_incarnation(incarnation)
    , m_dispatchThread(dispatchThread)
{
    for (const auto& peer : m_settings.entry->peers) {
        if (peer.name != m_settings.process.name)
            m_links[peer.name].address = peer.address;
    }
    m_rpc.run([this] {
        m_tasks = kj::heap<wire::task_group>();
        m_listener = std::make_unique<wire::rpc_listener>(
            m_rpc, m_settings.entry->peerAddress, kj::heap<server>(*this));
        m_tasks->add(gossipLoop());
    });
}

peer_mesh::~peer_mesh()
{
    m_rpc.flush();
    m_rpc.run([this] {
        m_tasks = nullptr;
        m_listener.reset();
        m_links.clear();
    });
}

void peer_mesh::onDirectReport(const core::target_report& report, core::instant sentAt)
{
    std::lock_guard lock(m_reportMutex);
    m_reports[report.name] = direct_report { report, sentAt };
}

void peer_mesh::broadcastSuspect(const core::suspect_state& suspect)
{
    try {
        m_rpc.run([&] {
            auto sent = kj::heapArrayBuilder<kj::Promise<void>>(m_links.size());
            for (auto& [name, each] : m_links) {
                if (each.peer == nullptr) {
                    sent.add(kj::READY_NOW);
                    continue;
                }
                auto request = KJ_ASSERT_NONNULL(each.peer).suspectRequest();
                wire::write(request.initSuspect(), suspect);
                sent.add(wire::withTimeout(m_rpc, request.send().ignoreResult(), suspectBroadcastTimeout)
                             .catch_([](kj::Exception&&) {}));
            }
            return kj::joinPromises(sent.finish());
        });
    } catch (const kj::Exception&) {
        // The entry is stopping. The other entries receive the verdict from the control VMs.
    }
}

void peer_mesh::setLeaving()
{
    m_leaving = true;
    m_rpc.post([this] {
        for (auto& [name, each] : m_links)
            gossipTo(each);
    });
}

// ---------------------------------------------------------------- links

void peer_mesh::connect(link& to)
{
    if (to.connecting)
        return;
    to.connecting = true;
    auto connecting = wire::rpc_connection::connect(m_rpc, to.address, connectTimeout);
    auto ready = connecting.then([this, &to](kj::Own<wire::rpc_connection> connection) {
        to.peer = connection->bootstrap<wire::EntryPeer>();
        to.connection = kj::mv(connection);
        to.connecting = false;
        ++to.generation;
        if (!m_dispatchThread.snapshot().configurationKnown)
            fetchConfiguration(to);
    });
    m_tasks->add(ready.catch_([this, &to](kj::Exception&&) {
        return m_rpc.timer().afterDelay(reconnectDelay).then([&to] { to.connecting = false; });
    }));
}

void peer_mesh::disconnect(link& to, std::uint64_t generation)
{
    if (generation != to.generation)
        return;
    ++to.generation;
    to.peer = nullptr;
    to.gossiping = false;
    to.relay.reset();
    // The connection must not be destroyed inside one of its own callbacks.
    m_tasks->add(kj::evalLater([old = kj::mv(to.connection)] {}));
}

peer_mesh::link* peer_mesh::connectedLink(const std::string& name)
{
    auto found = m_links.find(name);
    if (found == m_links.end())
        return nullptr;
    if (found->second.peer != nullptr)
        return &found->second;
    connect(found->second);
    return nullptr;
}

// Lets an entry that starts while no control VM responds use the configuration of its peers.
void peer_mesh::fetchConfiguration(link& from)
{
    auto request = KJ_ASSERT_NONNULL(from.peer).configurationRequest();
    auto pending = wire::withTimeout(m_rpc, request.send().dropPipeline(), gossipTimeout);
    m_tasks->add(pending.then([this](capnp::Response<wire::EntryPeer::ConfigurationResults> response) {
        if (response.getKnown())
            m_dispatchThread.tryPost(configuration_event { wire::read(response.getUpdate()), false });
    }));
}

// ---------------------------------------------------------------- gossip

kj::Promise<void> peer_mesh::gossipLoop()
{
    for (auto& [name, each] : m_links)
        gossipTo(each);
    return m_rpc.timer().afterDelay(gossipInterval).then([this] { return gossipLoop(); });
}

void peer_mesh::setPeerFailureDomain(const std::string& name, const std::string& failureDomain)
{
    auto found = m_links.find(name);
    if (found == m_links.end() || found->second.failureDomain == failureDomain)
        return;
    found->second.failureDomain = failureDomain;
    found->second.relay.reset();
}

std::vector<direct_report> peer_mesh::dueReports(link& to, core::instant now)
{
    if (!to.relay)
        to.relay.emplace(to.failureDomain == m_settings.process.failureDomain, reportRefresh);
    std::vector<direct_report> due;
    std::lock_guard lock(m_reportMutex);
    std::erase_if(m_reports, [&](const auto& each) { return now - each.second.sentAt > reportMaxAge; });
    for (const auto& [name, each] : m_reports) {
        if (to.relay->markSentIfDue(each.report, now))
            due.push_back(each);
    }
    return due;
}

void peer_mesh::gossipTo(link& to)
{
    if (to.peer == nullptr) {
        connect(to);
        return;
    }
    if (to.gossiping && !m_leaving)
        return;
    auto now = runtime::now();
    auto request = KJ_ASSERT_NONNULL(to.peer).gossipRequest();
    request.setFrom(m_settings.process.name);
    request.setFailureDomain(m_settings.process.failureDomain);
    request.setIncarnation(m_incarnation);
    request.setLeaving(m_leaving);
    auto due = dueReports(to, now);
    auto reports = request.initReports(due.size());
    for (unsigned index = 0; index < due.size(); ++index) {
        auto age = std::chrono::duration_cast<core::milliseconds>(now - due[index].sentAt);
        wire::write(reports[index], due[index].report, age);
    }
    auto suspects = m_dispatchThread.snapshot().suspects;
    auto list = request.initSuspects(suspects.size());
    for (unsigned index = 0; index < suspects.size(); ++index)
        wire::write(list[index], suspects[index]);
    to.gossiping = true;
    std::uint64_t generation = to.generation;
    auto sent = wire::withTimeout(m_rpc, request.send().ignoreResult(), gossipTimeout);
    m_tasks->add(sent.then([&to] { to.gossiping = false; },
        [this, &to, generation](kj::Exception&&) { disconnect(to, generation); }));
}

// ---------------------------------------------------------------- permits

void peer_mesh::requestPermit(const core::acquire_permit_action& action)
{
    m_rpc.post([this, action] {
        auto reportUnreachable = [this, request = action.request, owner = action.owner] {
            m_dispatchThread.post(permit_answer_event { request, owner, std::nullopt });
        };
        link* to = connectedLink(action.owner);
        if (!to) {
            reportUnreachable();
            return;
        }
        auto request = KJ_ASSERT_NONNULL(to->peer).acquireRequest();
        request.setFrom(action.permitRequest.holder);
        request.setTarget(action.permitRequest.target);
        request.setIncarnation(action.permitRequest.incarnation);
        request.setAlone(action.permitRequest.alone);
        auto pending = wire::withTimeout(m_rpc, request.send().dropPipeline(), permitTimeout);
        m_tasks->add(pending.then(
            [this, action](capnp::Response<wire::EntryPeer::AcquireResults> response) {
                core::permit_answer answer { response.getGranted(), response.getPermit(), response.getLimit(),
                    core::milliseconds(response.getRetryAfterMs()) };
                m_dispatchThread.post(permit_answer_event { action.request, action.owner, answer });
            },
            [reportUnreachable](kj::Exception&&) { reportUnreachable(); }));
    });
}

void peer_mesh::release(const core::release_permit_action& action)
{
    m_rpc.post([this, action] {
        link* to = connectedLink(action.owner);
        if (!to)
            return;
        auto request = KJ_ASSERT_NONNULL(to->peer).releaseRequest();
        request.setPermit(action.permit);
        wire::write(request.initOutcome(), action.measure);
        m_tasks->add(wire::withTimeout(m_rpc, request.send().ignoreResult(), gossipTimeout));
    });
}

void peer_mesh::renew(const core::renew_permits_action& action)
{
    m_rpc.post([this, action] {
        link* to = connectedLink(action.owner);
        if (!to)
            return;
        auto request = KJ_ASSERT_NONNULL(to->peer).renewRequest();
        request.setFrom(m_settings.process.name);
        auto permits = request.initPermits(action.permits.size());
        for (unsigned index = 0; index < action.permits.size(); ++index)
            permits.set(index, action.permits[index]);
        m_tasks->add(wire::withTimeout(m_rpc, request.send().ignoreResult(), gossipTimeout));
    });
}

} // namespace plumfold::entry
