#include "plumfold/core/plumfold_raft_node.hpp"

#include <algorithm>
#include <tuple>
#include <utility>

namespace plumfold::core {

namespace {

constexpr milliseconds snapshotRetryInterval { 1000 };

} // namespace

raft_node::raft_node(raft_options options, raft_disk_state state, instant now)
    : m_options(std::move(options))
    , m_incarnation(state.incarnation)
    , m_hard(std::move(state.hard))
    , m_snapshot(std::move(state.snapshot))
    , m_log(std::move(state.entries))
    , m_commitIndex(m_snapshot.index)
    , m_lastDelivered(m_snapshot.index)
    , m_random(m_options.seed)
{
    m_persistedIndex = lastIndex();
    recomputeMembers();
    resetElectionTimer(now);
    m_lastLeaderContact = now - m_options.electionTimeout;
}

// ---------------------------------------------------------------- log

std::uint64_t raft_node::lastIndex() const
{
    return m_snapshot.index + m_log.size();
}

std::uint64_t raft_node::termAt(std::uint64_t index) const
{
    if (index == m_snapshot.index)
        return m_snapshot.term;
    if (index < m_snapshot.index || index > lastIndex())
        return 0;
    return m_log[index - m_snapshot.index - 1].term;
}

void raft_node::append(log_entry entry)
{
    if (entry.kind == entry_kind::membership) {
        m_members = entry.members;
        m_membershipIndex = entry.index;
    }
    m_output.append.push_back(entry);
    m_log.push_back(std::move(entry));
}

void raft_node::truncateFrom(std::uint64_t index)
{
    m_log.resize(index - m_snapshot.index - 1);
    std::erase_if(m_output.append, [&](const log_entry& e) { return e.index >= index; });
    m_output.truncateFrom = std::min(index, m_output.truncateFrom.value_or(index));
    m_persistedIndex = std::min(m_persistedIndex, index - 1);
    recomputeMembers();
}

void raft_node::recomputeMembers()
{
    m_members = m_snapshot.members;
    m_membershipIndex = m_snapshot.index;
    for (const auto& entry : m_log) {
        if (entry.kind != entry_kind::membership)
            continue;
        m_members = entry.members;
        m_membershipIndex = entry.index;
    }
}

void raft_node::compact(const raft_snapshot& snapshot)
{
    if (snapshot.index <= m_snapshot.index)
        return;
    auto dropped = static_cast<std::ptrdiff_t>(snapshot.index - m_snapshot.index);
    m_log.erase(m_log.begin(), m_log.begin() + dropped);
    m_snapshot = snapshot;
}

bool raft_node::bootstrap(instant now)
{
    if (!m_members.members.empty() || lastIndex() != 0)
        return false;
    m_hard.term = 1;
    m_hard.votedFor = m_options.node;
    m_output.hard = m_hard;
    log_entry entry;
    entry.term = 1;
    entry.index = 1;
    entry.kind = entry_kind::membership;
    entry.members.members.push_back(
        { m_options.node, m_incarnation, true, m_options.address, m_options.failureDomain, false });
    append(std::move(entry));
    becomeLeader(now);
    return true;
}

// ---------------------------------------------------------------- timers

void raft_node::resetElectionTimer(instant now)
{
    std::uniform_int_distribution<std::int64_t> jitter(0, m_options.electionTimeout.count());
    m_electionDeadline = now + m_options.electionTimeout + milliseconds(jitter(m_random));
}

void raft_node::tick(instant now)
{
    if (m_role == raft_role::leader) {
        checkQuorum(now);
        if (m_role == raft_role::leader && now >= m_nextHeartbeat)
            broadcastAppend(now);
        if (m_role == raft_role::leader)
            maintainMembership(now);
        continueRemoval(now);
        return;
    }
    sendJoin(now);
    continueRemoval(now);
    if (isVoter() && now >= m_electionDeadline)
        campaign(true, now);
}

void raft_node::checkQuorum(instant now)
{
    if (hasActiveLeader(now) || now < m_electionDeadline)
        return;
    becomeFollower(m_hard.term, {}, now);
}

bool raft_node::hasActiveLeader(instant now) const
{
    if (m_role != raft_role::leader)
        return !m_leader.empty() && now - m_lastLeaderContact < m_options.electionTimeout;
    std::set<node_name> activeNodes { m_options.node };
    for (const auto& [node, state] : m_progress) {
        if (now - state.lastResponse < m_options.electionTimeout)
            activeNodes.insert(node);
    }
    return isQuorum(activeNodes);
}

bool raft_node::isCaughtUp(instant now) const
{
    if (m_role == raft_role::leader)
        return hasActiveLeader(now);
    return isVoter() && hasActiveLeader(now) && m_caughtUpAt
        && now - *m_caughtUpAt < m_options.electionTimeout;
}

// ---------------------------------------------------------------- roles

void raft_node::becomeFollower(std::uint64_t term, const node_name& leader, instant now)
{
    if (term > m_hard.term) {
        m_hard.term = term;
        m_hard.votedFor.clear();
        m_output.hard = m_hard;
    }
    m_role = raft_role::follower;
    m_leader = leader;
    m_votes.clear();
    resetElectionTimer(now);
}

void raft_node::campaign(bool preVote, instant now)
{
    resetElectionTimer(now);
    m_leader.clear();
    m_votes = { m_options.node };
    m_role = preVote ? raft_role::pre_candidate : raft_role::candidate;
    if (!preVote) {
        ++m_hard.term;
        m_hard.votedFor = m_options.node;
        m_output.hard = m_hard;
    }
    if (isQuorum(m_votes)) {
        if (preVote)
            campaign(false, now);
        else
            becomeLeader(now);
        return;
    }
    for (const auto& member : m_members.members) {
        if (!member.voter || member.node == m_options.node)
            continue;
        raft_message request;
        request.kind = preVote ? message_kind::pre_vote : message_kind::vote;
        request.to = member.node;
        request.term = preVote ? m_hard.term + 1 : m_hard.term;
        request.logIndex = lastIndex();
        request.logTerm = termAt(lastIndex());
        send(std::move(request));
    }
}

void raft_node::becomeLeader(instant now)
{
    m_role = raft_role::leader;
    m_leader = m_options.node;
    m_progress.clear();
    for (const auto& member : m_members.members) {
        progress state;
        state.nextIndex = lastIndex() + 1;
        state.lastResponse = now;
        m_progress[member.node] = state;
    }
    resetElectionTimer(now);
    log_entry entry;
    entry.term = m_hard.term;
    entry.index = lastIndex() + 1;
    append(std::move(entry));
    broadcastAppend(now);
}

bool raft_node::transferLeadership(instant now)
{
    if (m_role != raft_role::leader)
        return false;
    const raft_member* best = nullptr;
    // Of equal voters the next one after this node in the order of names takes over, so that the leadership
    // reaches all of them if each one hands it on.
    auto rank = [&](const raft_member& member) {
        const auto& state = m_progress[member.node];
        bool isResponsive = now - state.lastResponse < m_options.electionTimeout;
        bool isAfter = member.node > m_options.node;
        return std::tuple(isResponsive, state.matchIndex, isAfter);
    };
    for (const auto& member : m_members.members) {
        if (!member.voter || member.node == m_options.node)
            continue;
        bool isBetter = !best || rank(member) > rank(*best)
            || (rank(member) == rank(*best) && member.node < best->node);
        if (isBetter)
            best = &member;
    }
    if (!best)
        return false;
    sendAppend(*best, now);
    raft_message message;
    message.kind = message_kind::timeout_now;
    message.to = best->node;
    message.term = m_hard.term;
    send(std::move(message));
    return true;
}

// ---------------------------------------------------------------- replication

std::optional<std::uint64_t> raft_node::propose(std::string command, instant now)
{
    if (m_role != raft_role::leader)
        return std::nullopt;
    log_entry entry;
    entry.term = m_hard.term;
    entry.index = lastIndex() + 1;
    entry.kind = entry_kind::command;
    entry.payload = std::move(command);
    std::uint64_t index = entry.index;
    append(std::move(entry));
    broadcastAppend(now);
    return index;
}

void raft_node::broadcastAppend(instant now)
{
    m_nextHeartbeat = now + m_options.heartbeatInterval;
    for (const auto& member : m_members.members) {
        if (member.node != m_options.node)
            sendAppend(member, now);
    }
}

void raft_node::sendAppend(const raft_member& to, instant now)
{
    auto& state = m_progress[to.node];
    if (state.nextIndex <= m_snapshot.index) {
        sendSnapshot(to, state, now);
        return;
    }
    raft_message message;
    message.kind = message_kind::append;
    message.to = to.node;
    message.term = m_hard.term;
    message.logIndex = state.nextIndex - 1;
    message.logTerm = termAt(state.nextIndex - 1);
    message.commitIndex = m_commitIndex;
    std::size_t bytes = 0;
    for (std::uint64_t index = state.nextIndex; index <= lastIndex(); ++index) {
        const auto& entry = m_log[index - m_snapshot.index - 1];
        if (message.entries.size() >= m_options.maxEntriesPerAppend || bytes > m_options.maxBytesPerAppend)
            break;
        bytes += entry.payload.size();
        message.entries.push_back(entry);
    }
    state.nextIndex += message.entries.size();
    state.lastSent = now;
    send(std::move(message));
}

void raft_node::sendSnapshot(const raft_member& to, progress& state, instant now)
{
    if (state.snapshotInFlight && now - state.lastSent < snapshotRetryInterval)
        return;
    state.snapshotInFlight = true;
    state.lastSent = now;
    raft_message message;
    message.kind = message_kind::snapshot;
    message.to = to.node;
    message.term = m_hard.term;
    message.snapshot = m_snapshot;
    send(std::move(message));
}

void raft_node::advanceCommit()
{
    for (std::uint64_t index = lastIndex(); index > m_commitIndex; --index) {
        // Only entries of the current term are committed by counting replicas (Raft paper, 5.4.2).
        if (termAt(index) != m_hard.term)
            return;
        std::set<node_name> replicas;
        for (const auto& [node, state] : m_progress) {
            if (state.matchIndex >= index)
                replicas.insert(node);
        }
        if (m_persistedIndex >= index)
            replicas.insert(m_options.node);
        if (!isQuorum(replicas))
            continue;
        m_commitIndex = index;
        return;
    }
}

// ---------------------------------------------------------------- output

void raft_node::send(raft_message message)
{
    message.from = m_options.node;
    message.fromIncarnation = m_incarnation;
    m_output.messages.push_back(std::move(message));
}

void raft_node::collectCommitted()
{
    while (m_lastDelivered < m_commitIndex) {
        ++m_lastDelivered;
        m_output.committed.push_back(m_log[m_lastDelivered - m_snapshot.index - 1]);
    }
}

raft_output raft_node::takeOutput()
{
    collectCommitted();
    return std::exchange(m_output, {});
}

void raft_node::persisted(instant now)
{
    m_persistedIndex = m_output.append.empty() ? lastIndex() : m_output.append.front().index - 1;
    if (m_role != raft_role::leader)
        return;
    std::uint64_t before = m_commitIndex;
    advanceCommit();
    if (m_commitIndex != before)
        broadcastAppend(now);
}

} // namespace plumfold::core
