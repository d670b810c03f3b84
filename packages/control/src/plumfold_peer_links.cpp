#include "plumfold_peer_links.hpp"

#include "plumfold/runtime/plumfold_clock.hpp"
#include "plumfold/wire/plumfold_convert.hpp"

namespace plumfold::control {

namespace {

/// How often a peer is told everything again, so that it knows which targets are still heard.
constexpr core::milliseconds shareAllInterval { 1500 };
/// How often a peer is told of the stores and engines that this control VM reads.
constexpr core::milliseconds sharePartsInterval { 150 };
constexpr unsigned maxInFlight = 64;
constexpr std::chrono::milliseconds connectTimeout { 500 };
constexpr std::chrono::milliseconds callTimeout { 2000 };
constexpr std::chrono::milliseconds reconnectPause { 100 };

} // namespace

peer_links::peer_links(wire::rpc_thread& rpc, const runtime::settings& settings)
    : m_rpc(rpc)
    , m_self(settings.control->address)
    , m_failureDomain(settings.process.failureDomain)
    , m_secret(settings.process.clusterSecret)
{
    for (const auto& peer : settings.control->peers)
        m_links[peer.name].address = peer.address;
    for (const auto& seed : runtime::seedAddresses(*settings.control)) {
        if (seed != m_self)
            m_links[seed].address = seed;
    }
}

void peer_links::send(const core::raft_message& message)
{
    if (message.to.empty()) {
        for (auto& [name, each] : m_links)
            sendOn(each, message);
        return;
    }
    auto found = m_links.find(message.to);
    // A VM that has just joined is called by a leader that it knows nothing of. Members that seeds have
    // founded are named by their addresses.
    if (found == m_links.end() && message.to.find(':') != std::string::npos) {
        found = m_links.emplace(message.to, link {}).first;
        found->second.address = message.to;
    }
    if (found != m_links.end())
        sendOn(found->second, message);
}

void peer_links::learn(const core::raft_membership& members)
{
    for (const auto& member : members.members) {
        if (member.address != m_self)
            m_links[member.node].address = member.address;
    }
}

void peer_links::share(const deployment_feed& feed)
{
    for (auto& [name, each] : m_links)
        shareOn(each, feed);
}

void peer_links::shareOn(link& to, const deployment_feed& feed)
{
    if (to.peer == nullptr) {
        if (!to.connecting)
            connect(to);
        return;
    }
    auto now = runtime::now();
    bool all = now - to.sharedAllAt > shareAllInterval;
    std::vector<const core::target_announcement*> told;
    for (const auto& [name, entry] : feed.directory().entries()) {
        if (entry.isDirect && (all || entry.change > to.sharedChange))
            told.push_back(&entry.last);
    }
    auto own = feed.assignedHolders();
    auto loads = feed.loads(true);
    bool partsDue = !(own.empty() && loads.empty()) && now - to.sharedPartsAt > sharePartsInterval;
    if (to.sharing || (told.empty() && !all && !partsDue))
        return;
    auto request = KJ_ASSERT_NONNULL(to.peer).shareRequest();
    request.setAddress(m_self);
    request.setFailureDomain(m_failureDomain);
    request.setEntries(feed.followerCount());
    auto targets = request.initTargets(told.size());
    for (unsigned index = 0; index < told.size(); ++index)
        wire::write(targets[index], *told[index]);
    std::vector<core::part_update> parts;
    for (const auto& holder : own) {
        auto& cursor = to.sharedParts[holder];
        cursor.holder = holder;
        parts.push_back(feed.parts().updateAfter(cursor, now));
    }
    auto outParts = request.initParts(parts.size());
    for (unsigned index = 0; index < parts.size(); ++index)
        wire::write(outParts[index], parts[index]);
    auto outLoads = request.initLoads(loads.size());
    for (unsigned index = 0; index < loads.size(); ++index)
        wire::write(outLoads[index], loads[index]);
    if (!own.empty())
        request.setClock(feed.targetClock());
    to.sharing = true;
    auto change = feed.directory().latestChange();
    std::uint64_t generation = to.generation;
    auto sent = wire::withTimeout(m_rpc, request.send().ignoreResult(), callTimeout);
    m_tasks.add(sent.then(
        [&to, change, all, now, parts = std::move(parts)] {
            to.sharing = false;
            to.sharedPartsAt = now;
            for (const auto& news : parts)
                to.sharedParts[news.holder] = { news.holder, news.generation, news.count };
            to.sharedChange = change;
            if (all)
                to.sharedAllAt = now;
        },
        [this, &to, generation](kj::Exception&&) {
            to.sharing = false;
            disconnect(to, generation);
        }));
}

void peer_links::sendOn(link& to, const core::raft_message& message)
{
    KJ_IF_MAYBE (peer, to.peer) {
        if (to.inFlight >= maxInFlight)
            return;
        auto request = peer->deliverRequest();
        wire::write(request.initMessage(), message);
        ++to.inFlight;
        auto sent = wire::withTimeout(m_rpc, request.send().ignoreResult(), callTimeout);
        std::uint64_t generation = to.generation;
        m_tasks.add(sent.then([&to] { --to.inFlight; },
            [this, &to, generation](kj::Exception&&) { disconnect(to, generation); }));
        return;
    }
    if (!to.connecting)
        connect(to);
}

void peer_links::connect(link& to)
{
    to.connecting = true;
    auto connecting = wire::rpc_connection::connect(m_rpc, to.address, connectTimeout);
    auto ready = connecting.then([this, &to](kj::Own<wire::rpc_connection> connection) {
        auto request = connection->bootstrap<wire::Control>().peerRequest();
        request.setSecret(m_secret);
        to.peer = request.send().getPeer();
        to.connection = kj::mv(connection);
        to.connecting = false;
        to.inFlight = 0;
        ++to.generation;
    });
    m_tasks.add(ready.catch_([this, &to](kj::Exception&&) {
        return m_rpc.timer().afterDelay(reconnectPause.count() * kj::MILLISECONDS).then([&to] {
            to.connecting = false;
        });
    }));
}

void peer_links::disconnect(link& to, std::uint64_t generation)
{
    if (generation != to.generation)
        return;
    ++to.generation;
    to.sharedParts.clear();
    to.sharedChange = 0;
    to.peer = nullptr;
    to.inFlight = 0;
    // The connection must not be destroyed inside one of its own callbacks.
    auto old = kj::mv(to.connection);
    m_tasks.add(kj::evalLater([old = kj::mv(old)] {}));
}

} // namespace plumfold::control
