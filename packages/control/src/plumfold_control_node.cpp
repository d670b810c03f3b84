#include "plumfold/control/plumfold_control_node.hpp"

#include "plumfold_rollout_log.hpp"

#include "plumfold/core/plumfold_hash.hpp"
#include "plumfold/runtime/plumfold_clock.hpp"
#include "plumfold/runtime/plumfold_log.hpp"
#include "plumfold/wire/plumfold_convert.hpp"

#include <algorithm>

namespace plumfold::control {

namespace {

constexpr std::size_t ringCapacity = 8192;
constexpr std::size_t maxEventsPerSync = 512;
constexpr core::milliseconds tickInterval { 15 };
constexpr core::milliseconds minHandOverInterval { 1'000 };
constexpr core::milliseconds maxHandOverInterval { 30'000 };
/// Bounds how often a snapshot is written for its size while entries are long.
constexpr std::uint64_t minEntriesPerSnapshot = 8;

core::raft_options raftOptions(const control_node_options& options)
{
    core::raft_options raft;
    raft.node = options.name;
    raft.address = options.address;
    raft.failureDomain = options.failureDomain;
    raft.isInitialMember = options.isInitialMember;
    raft.exchangeTimeout = options.exchangeTimeout;
    raft.memberTimeout = options.memberTimeout;
    raft.electionTimeout = options.electionTimeout;
    raft.heartbeatInterval = options.electionTimeout / 5;
    raft.seed = options.seed;
    return raft;
}

} // namespace

control_node::control_node(control_node_options options, std::unique_ptr<durable_log> log, sender send,
    view_listener onViewChanged, std::function<void(const std::string&)> onDiskFailure)
    : m_options(std::move(options))
    , m_log(std::move(log))
    , m_raft([&] {
        core::raft_disk_state state = m_log->takeState();
        if (state.snapshot.index > 0)
            m_state = core::control_state(wire::decode<wire::ControlSnapshot>(state.snapshot.state));
        m_appliedIndex = state.snapshot.index;
        m_appliedTerm = state.snapshot.term;
        m_appliedMembers = state.snapshot.members;
        return core::raft_node(raftOptions(m_options), std::move(state), runtime::now());
    }())
    , m_send(std::move(send))
    , m_onViewChanged(std::move(onViewChanged))
    , m_onDiskFailure(std::move(onDiskFailure))
    , m_ring(ringCapacity)
    , m_thread([this] { run(); })
{
}

control_node::~control_node()
{
    m_stopping = true;
    m_ring.close();
    m_thread.join();
}

void control_node::run()
{
    auto nextTick = runtime::now();
    while (!m_stopping) {
        auto event = m_ring.pop(std::max(nextTick - runtime::now(), std::chrono::steady_clock::duration(0)));
        // Handles the queued events as a batch, so that they share one fsync.
        for (std::size_t count = 0; event && count < maxEventsPerSync; ++count) {
            std::visit([&](auto& each) { handle(each); }, *event);
            event = m_ring.pop(std::chrono::steady_clock::duration(0));
        }
        if (event)
            std::visit([&](auto& each) { handle(each); }, *event);
        if (runtime::now() >= nextTick) {
            nextTick = runtime::now() + tickInterval;
            m_raft.tick(runtime::now());
        }
        if (!processOutput())
            return;
        completeWatches();
        completeLeave();
        publishView();
        logRoleChange();
        maybeCompact();
        for (auto& each : std::exchange(m_awaitingRoom, {}))
            handle(each);
    }
}

bool control_node::processOutput()
{
    while (true) {
        core::raft_output output = m_raft.takeOutput();
        if (output.empty())
            return true;
        if (output.needsSync()) {
            if (auto status = m_log->persist(output); !status.ok()) {
                m_onDiskFailure(std::string(status.message()));
                return false;
            }
            m_raft.persisted(runtime::now());
        }
        if (output.install) {
            m_state = core::control_state(wire::decode<wire::ControlSnapshot>(output.install->state));
            m_haveLeasesChanged = true;
            m_appliedIndex = output.install->index;
            m_appliedTerm = output.install->term;
            m_appliedMembers = output.install->members;
        }
        if (!output.messages.empty())
            m_send(std::move(output.messages));
        for (const auto& entry : output.committed)
            apply(entry);
    }
}

void control_node::apply(const core::log_entry& entry)
{
    core::command_result result;
    if (entry.kind == core::entry_kind::command) {
        auto command = wire::decode<wire::Command>(entry.payload);
        m_commandClock.observe(command.at, runtime::nowWithSuspension());
        // Another control VM has accepted a change since, so handing the lead over helps.
        if (entry.term > m_handOverTerm)
            m_handOverInterval = minHandOverInterval;
        result = m_state.apply(command, entry.index);
        logRollout(command, result, m_state.deployment());
        m_haveLeasesChanged
            = m_haveLeasesChanged || std::holds_alternative<core::lease_command>(command.payload);
    }
    if (entry.kind == core::entry_kind::membership)
        m_appliedMembers = entry.members;
    m_appliedIndex = entry.index;
    m_appliedTerm = entry.term;
    auto found = m_proposals.find(entry.index);
    if (found == m_proposals.end())
        return;
    pending_proposal pending = std::move(found->second);
    m_proposals.erase(found);
    for (auto& callback : pending.callbacks) {
        if (pending.term == entry.term)
            callback->done(propose_response { true, {}, {}, result, entry.index });
        else
            callback->done(rejection("another leader took over: try again"));
    }
}

propose_response control_node::rejection(std::string message) const
{
    propose_response response;
    response.leaderAddress = m_raft.leaderAddress();
    response.message = std::move(message);
    return response;
}

void control_node::publishView()
{
    bool isCaughtUp = m_raft.isCaughtUp(runtime::now());
    bool isLeader = m_raft.role() == core::raft_role::leader;
    std::string leader = m_raft.leaderAddress();
    bool sameDeployment = m_view.deployment && m_view.deployment->revision == m_state.deployment().revision;
    bool same = sameDeployment && m_view.appliedIndex == m_appliedIndex && m_view.isCaughtUp == isCaughtUp
        && m_view.isLeader == isLeader && m_view.term == m_raft.term() && m_view.leaderAddress == leader
        && m_view.members == m_raft.members() && !m_haveLeasesChanged;
    if (same)
        return;
    if (!sameDeployment)
        m_view.deployment = std::make_shared<const core::deployment_state>(m_state.deployment());
    m_view.appliedIndex = m_appliedIndex;
    m_view.isCaughtUp = isCaughtUp;
    m_view.isLeader = isLeader;
    m_view.term = m_raft.term();
    m_view.leaderAddress = std::move(leader);
    logMemberChanges(m_raft.members());
    m_view.members = m_raft.members();
    if (std::exchange(m_haveLeasesChanged, false))
        m_view.leases = std::make_shared<const std::map<std::string, core::lease_state>>(m_state.leases());
    m_view.verdicts = m_state.verdicts();
    m_view.inServiceOrders = m_state.inServiceOrders();
    m_onViewChanged(m_view);
}

void control_node::logRoleChange()
{
    if (m_raft.role() == m_loggedRole)
        return;
    m_loggedRole = m_raft.role();
    runtime::log_event("role_changed")
        .with("role", core::raftRoleName(m_loggedRole))
        .with("term", m_raft.term())
        .with("commit_index", m_raft.commitIndex())
        .with("voters", m_raft.members().voters());
}

void control_node::logMemberChanges(const core::raft_membership& next) const
{
    auto log = [&](const char* event, const core::raft_member& member) {
        runtime::log_event(event)
            .with("member", member.node)
            .with("failure_domain", member.failureDomain)
            .with("voter", member.voter ? "true" : "false")
            .with("voters", next.voters());
    };
    for (const auto& member : m_view.members.members) {
        if (!next.find(member.node))
            log("member_removed", member);
    }
    for (const auto& member : next.members) {
        const auto* known = m_view.members.find(member.node);
        if (!known || !(*known == member))
            log("member_changed", member);
    }
}

void control_node::handle(leave_event& event)
{
    m_raft.requestRemoval(runtime::now());
    m_leave = std::move(event);
}

void control_node::completeLeave()
{
    if (!m_leave)
        return;
    auto state = m_raft.removalState();
    if (state == core::removal_state::requested && runtime::now() < m_leave->deadline)
        return;
    runtime::log_event("left_group").with("result", core::removalStateName(state));
    m_leave->callback->done(state);
    m_leave.reset();
}

void control_node::handle(peer_message_event& event)
{
    m_raft.step(event.message, runtime::now());
}

/// Documents may be large, and operators send them again while they wait for the response.
/// @return whether the event proposes a document that is pending; then it gets the same response.
bool control_node::joinsPendingProposal(propose_event& event)
{
    const auto* next = std::get_if<core::adopt_document_command>(&event.command.payload);
    if (!next)
        return false;
    std::pair document(next->document.version, core::hashBytes(next->document.text));
    auto found = std::find_if(m_proposals.begin(), m_proposals.end(), [&](const auto& each) {
        return each.second.term == m_raft.term() && each.second.document == document;
    });
    if (found == m_proposals.end())
        return false;
    found->second.callbacks.push_back(std::move(event.callback));
    return true;
}

/// An order may have waited, at a control VM that stood still or on a link that was cut, while its operator
/// sent it again elsewhere and then gave another one.
/// @return whether the state may hold an order that its receiver did not know.
bool control_node::mayFollowLaterOrder(const core::set_in_service_command& order) const
{
    if (!order.lastKnownOrder)
        return false;
    // Until an entry of its own term is applied, a leader may not know all orders.
    if (m_appliedTerm != m_raft.term())
        return true;
    bool isPending = std::any_of(m_proposals.begin(), m_proposals.end(),
        [&](const auto& each) { return each.second.failureDomain == order.failureDomain; });
    const auto& orders = m_state.inServiceOrders();
    auto latest = orders.find(order.failureDomain);
    return isPending || *order.lastKnownOrder != (latest == orders.end() ? 0 : latest->second);
}

/// Hands the lead over because this control VM has no room for changes; others may have. The interval doubles
/// while none accepts any, since a new leader takes room in all logs.
void control_node::handOverLead()
{
    auto now = runtime::now();
    if (now < m_nextHandOver)
        return;
    m_nextHandOver = now + m_handOverInterval;
    m_handOverInterval = std::min(2 * m_handOverInterval, maxHandOverInterval);
    m_handOverTerm = m_raft.term();
    bool isHandedOver = m_raft.transferLeadership(now);
    runtime::log_event("no_room_to_lead", runtime::log_level::warning)
        .with("term", m_raft.term())
        .with("log_bytes", m_log->logBytes())
        .with("hand_over_requested", isHandedOver ? "true" : "false");
}

void control_node::handle(propose_event& event)
{
    if (m_raft.role() != core::raft_role::leader) {
        event.callback->done(rejection("this control VM does not lead: call the leader"));
        return;
    }
    if (!m_log->hasFreeSpace()) {
        if (canMakeRoom()) {
            m_awaitingRoom.push_back(std::move(event));
            return;
        }
        handOverLead();
        event.callback->done(rejection("the data folder is full: free space on the control VM's disk"));
        return;
    }
    m_handOverInterval = minHandOverInterval;
    if (joinsPendingProposal(event))
        return;
    pending_proposal pending { m_raft.term(), {}, {}, {} };
    if (const auto* order = std::get_if<core::set_in_service_command>(&event.command.payload)) {
        if (mayFollowLaterOrder(*order)) {
            event.callback->done(rejection("another order for the failure domain came first"));
            return;
        }
        pending.failureDomain = order->failureDomain;
    }
    if (const auto* next = std::get_if<core::adopt_document_command>(&event.command.payload)) {
        // A document that is not newer changes nothing: only this control VM's lead has to be confirmed.
        if (next->document.version <= m_state.deployment().document.version)
            event.command.payload = core::barrier_command {};
        else
            pending.document = { next->document.version, core::hashBytes(next->document.text) };
    }
    event.command.at = m_commandClock.next(runtime::unixNow(), runtime::nowWithSuspension());
    auto index = m_raft.propose(wire::encode<wire::Command>(event.command), runtime::now());
    if (!index) {
        event.callback->done(rejection("this control VM just lost its lead: call the leader"));
        return;
    }
    pending.callbacks.push_back(std::move(event.callback));
    m_proposals[*index] = std::move(pending);
}

void control_node::handle(watch_event& event)
{
    bool isOutdated = event.knownRevision != m_state.config().revision()
        || event.knownDigest != m_state.config().digest();
    if (isOutdated)
        event.callback->done(makeWatchResponse(event.knownRevision));
    else
        m_watches.push_back(std::move(event));
}

watch_response control_node::makeWatchResponse(std::uint64_t knownRevision) const
{
    watch_response response;
    const auto& config = m_state.config();
    response.update.revision = config.revision();
    response.update.digest = config.digest();
    if (auto deltas = m_state.deltasAfter(knownRevision))
        response.update.deltas = std::move(*deltas);
    else
        response.update.full = config.records();
    response.isCaughtUp = m_raft.isCaughtUp(runtime::now());
    for (const auto& verdict : m_state.verdicts()) {
        if (!verdict.isWithdrawn)
            response.verdicts.push_back(verdict);
    }
    return response;
}

void control_node::completeWatches()
{
    auto now = runtime::now();
    std::erase_if(m_watches, [&](watch_event& each) {
        if (each.knownRevision == m_state.config().revision() && now < each.deadline)
            return false;
        each.callback->done(makeWatchResponse(each.knownRevision));
        return true;
    });
}

void control_node::handle(status_event& event)
{
    status_response response;
    response.node = m_options.name;
    response.role = m_raft.role();
    response.term = m_raft.term();
    response.commitIndex = m_raft.commitIndex();
    response.appliedIndex = m_appliedIndex;
    response.revision = m_state.config().revision();
    response.members = m_raft.members();
    response.claims = m_state.claims().size();
    response.usage = m_state.usage();
    response.audit.assign(m_state.audit().begin(), m_state.audit().end());
    event.callback->done(std::move(response));
}

void control_node::handle(bootstrap_event& event)
{
    if (m_raft.bootstrap(runtime::now()))
        event.callback->done(propose_response { true, m_options.address, {}, {}, 0 });
    else
        event.callback->done(
            rejection("this control VM already belongs to a group: nothing needs to be formed"));
}

/// A log of few entries may be long, since each deployment is an entry with the whole document.
bool control_node::isCompactionDue() const
{
    auto applied = m_appliedIndex - std::min(m_appliedIndex, m_raft.firstIndex());
    bool isLarge = m_log->logBytes() > m_options.snapshotEveryBytes && applied >= minEntriesPerSnapshot;
    return applied >= m_options.snapshotEveryEntries || (isLarge && m_log->hasFreeSpace());
}

/// @return whether a snapshot can take the place of entries, however few they are.
bool control_node::canMakeRoom() const
{
    return m_appliedIndex >= m_raft.firstIndex() && m_log->hasSpaceToCompact();
}

void control_node::maybeCompact()
{
    if (!isCompactionDue() && m_awaitingRoom.empty())
        return;
    core::raft_snapshot snapshot;
    snapshot.index = m_appliedIndex;
    snapshot.term = m_appliedTerm;
    snapshot.members = m_appliedMembers;
    snapshot.state = wire::encode<wire::ControlSnapshot>(m_state.snapshot());
    m_raft.compact(snapshot);
    if (auto status = m_log->compact(snapshot, m_raft.hardState(), m_raft.entries()); !status.ok()) {
        m_onDiskFailure(std::string(status.message()));
        return;
    }
    runtime::log_event("snapshot").with("index", snapshot.index).with("bytes", snapshot.state.size());
}

} // namespace plumfold::control
