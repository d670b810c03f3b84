#include "plumfold_peer_links.hpp"

#include "plumfold_wire_lists.hpp"

#include "plumfold/runtime/plumfold_clock.hpp"
#include "plumfold/runtime/plumfold_log.hpp"
#include "plumfold/wire/plumfold_convert.hpp"

namespace plumfold::control {

namespace {

/// Interval at which a peer is sent all announcements, so that targets do not time out there, and the
/// entries that follow this control VM.
constexpr core::milliseconds shareAllInterval { 1500 };
/// Interval at which a peer is sent the KV parts and loads that this control VM polls, and the ages of
/// events.
constexpr core::milliseconds shareNewsInterval { 150 };
constexpr unsigned maxInFlight = 64;
constexpr std::chrono::milliseconds connectTimeout { 500 };
constexpr std::chrono::milliseconds callTimeout { 2000 };
constexpr std::chrono::milliseconds reconnectDelay { 100 };

/// @return the holders whose parts a peer lacks, or nothing if it is of a version that does not report them.
std::optional<std::vector<std::string>> unknownPartsOf(
    const capnp::Response<wire::ControlPeer::ShareResults>& response)
{
    if (!response.hasUnknownParts())
        return std::nullopt;
    std::vector<std::string> unknown;
    for (auto each : response.getUnknownParts())
        unknown.emplace_back(each.cStr());
    return unknown;
}

} // namespace

peer_links::peer_links(wire::rpc_thread& rpc, const runtime::settings& settings)
    : m_rpc(rpc)
    , m_ownAddress(settings.control->address)
    , m_failureDomain(settings.process.failureDomain)
    , m_secret(settings.process.clusterSecret)
{
    for (const auto& peer : settings.control->peers)
        m_links[peer.name].address = peer.address;
    for (const auto& seed : runtime::seedAddresses(*settings.control)) {
        if (seed != m_ownAddress)
            m_links[seed].address = seed;
    }
}

void peer_links::send(const core::raft_message& message)
{
    if (message.to.empty()) {
        for (auto& [name, each] : m_links)
            sendTo(each, message);
        return;
    }
    auto found = m_links.find(message.to);
    // A new member receives messages from a leader that it does not know yet. In a group bootstrapped from
    // seeds, a member's name is its address, so that it can respond.
    if (found == m_links.end() && message.to.find(':') != std::string::npos) {
        found = m_links.emplace(message.to, link {}).first;
        found->second.address = message.to;
    }
    if (found != m_links.end())
        sendTo(found->second, message);
}

void peer_links::setMembers(const core::raft_membership& members)
{
    m_hasMembers = !members.members.empty();
    for (auto& [name, each] : m_links)
        each.isMember = false;
    for (const auto& member : members.members) {
        if (member.address == m_ownAddress)
            continue;
        auto& each = m_links[member.node];
        each.address = member.address;
        each.isMember = true;
    }
}

void peer_links::share(
    const deployment_feed& feed, const crash_judge& crashes, const rollout_controller& rollouts)
{
    for (auto& [name, each] : m_links) {
        if (each.isMember || !m_hasMembers)
            shareWith(each, feed, crashes, rollouts);
    }
}

void peer_links::shareWith(
    link& to, const deployment_feed& feed, const crash_judge& crashes, const rollout_controller& rollouts)
{
    if (to.peer == nullptr) {
        if (!to.connecting)
            connect(to);
        return;
    }
    auto now = runtime::now();
    bool all = now - to.sharedAllAt > shareAllInterval;
    std::vector<core::target_announcement> announcements;
    for (const auto& [name, entry] : feed.directory().entries()) {
        if (entry.isDirect && (all || entry.change > to.sharedChange))
            announcements.push_back(entry.announcementAt(now));
    }
    auto holders = feed.assignedHolders();
    auto loads = feed.loads(true);
    auto namings = feed.weightNamings(runtime::nowWithSuspension());
    // Ages of rollouts' orders have subjects that are no models.
    auto orders = rollouts.ages();
    namings.insert(namings.end(), orders.begin(), orders.end());
    auto returns = feed.returns(runtime::nowWithSuspension());
    bool hasNews = !holders.empty() || !loads.empty() || !namings.empty() || !returns.empty();
    bool newsDue = hasNews && now - to.sharedNewsAt > shareNewsInterval;
    bool isEvidenceDue = to.sharedEvidence < crashes.latestChange();
    auto demands = feed.demands().changedAfter(to.sharedDemand);
    bool isDue = all || newsDue || isEvidenceDue || !announcements.empty() || !demands.empty();
    if (to.shareInFlight || !isDue)
        return;
    auto request = KJ_ASSERT_NONNULL(to.peer).shareRequest();
    request.setAddress(m_ownAddress);
    request.setFailureDomain(m_failureDomain);
    request.setEntries(feed.followerCount());
    auto targets = request.initTargets(announcements.size());
    for (unsigned index = 0; index < announcements.size(); ++index)
        wire::write(targets[index], announcements[index]);
    auto [parts, resent] = to.parts.updates(feed.parts(), holders, now);
    logResent(to, resent);
    writeList(request.initParts(parts.size()), parts);
    auto outLoads = request.initLoads(loads.size());
    for (unsigned index = 0; index < loads.size(); ++index)
        wire::write(outLoads[index], loads[index]);
    wire::write(request.initNamings(namings.size()), namings);
    wire::write(request.initReturns(returns.size()), returns);
    writeList(request.initDemands(demands.size()), demands);
    std::vector<core::rollout_report> reports;
    if (newsDue || all)
        reports = rollouts.reportsAfter(to.sharedReport);
    writeList(request.initRollouts(reports.size()), reports);
    auto latestReport = newsDue || all ? rollouts.latestChange() : to.sharedReport;
    auto evidence = crashes.evidenceAfter(to.sharedEvidence);
    auto outCrashes = request.initCrashes(evidence.crashes.size());
    for (unsigned index = 0; index < evidence.crashes.size(); ++index)
        wire::write(outCrashes[index], evidence.crashes[index]);
    auto outSuccesses = request.initSuccesses(evidence.successes.size());
    for (unsigned index = 0; index < evidence.successes.size(); ++index)
        wire::write(outSuccesses[index], evidence.successes[index]);
    if (all) {
        auto followers = feed.followers();
        request.setHasFollowers(true);
        auto outFollowers = request.initFollowers(followers.size());
        for (unsigned index = 0; index < followers.size(); ++index)
            wire::write(outFollowers[index], followers[index]);
    }
    if (!holders.empty())
        request.setClock(feed.targetClock());
    to.shareInFlight = true;
    auto change = feed.directory().latestChange();
    std::uint64_t generation = to.generation;
    auto answered = request.send().then([](auto&& response) { return unknownPartsOf(response); });
    auto sent = wire::withTimeout(m_rpc, kj::mv(answered), callTimeout);
    m_tasks.add(sent.then(
        [&to, change, all, now, parts = std::move(parts), known = evidence.change,
            demand = feed.demands().latestChange(),
            latestReport](const std::optional<std::vector<std::string>>& unknown) {
            to.shareInFlight = false;
            to.sharedNewsAt = now;
            to.parts.onDelivered(parts, unknown);
            to.sharedChange = change;
            to.sharedEvidence = known;
            to.sharedDemand = demand;
            to.sharedReport = latestReport;
            if (all)
                to.sharedAllAt = now;
        },
        [this, &to, generation](kj::Exception&&) {
            to.shareInFlight = false;
            disconnect(to, generation);
        }));
}

void peer_links::logResent(const link& to, const std::vector<std::string>& holders)
{
    for (const auto& holder : holders)
        runtime::log_event("parts_resent").with("peer", to.address).with("holder", holder);
    if (!holders.empty())
        m_metrics.count("plumfold_parts_resent_total", holders.size());
}

void peer_links::sendTo(link& to, const core::raft_message& message)
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
        return m_rpc.timer().afterDelay(reconnectDelay.count() * kj::MILLISECONDS).then([&to] {
            to.connecting = false;
        });
    }));
}

void peer_links::disconnect(link& to, std::uint64_t generation)
{
    if (generation != to.generation)
        return;
    ++to.generation;
    to.parts.onDisconnected();
    to.sharedChange = 0;
    to.sharedEvidence = 0;
    to.sharedDemand = 0;
    to.sharedReport = 0;
    to.peer = nullptr;
    to.inFlight = 0;
    // The connection must not be destroyed inside one of its own callbacks.
    auto old = kj::mv(to.connection);
    m_tasks.add(kj::evalLater([old = kj::mv(old)] {}));
}

} // namespace plumfold::control
