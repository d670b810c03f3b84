// The message handlers of raft_node.

#include "plumfold/core/plumfold_raft_node.hpp"

#include <algorithm>

namespace plumfold::core {

// Indexed by message_kind.
const raft_node::handler raft_node::handlers[] = {
    &raft_node::onPreVote,
    &raft_node::onPreVoteResponse,
    &raft_node::onVote,
    &raft_node::onVoteResponse,
    &raft_node::onAppend,
    &raft_node::onAppendResponse,
    &raft_node::onSnapshot,
    &raft_node::onTimeoutNow,
    &raft_node::onJoin,
    &raft_node::onLeave,
    &raft_node::onLeaveResponse,
};

void raft_node::step(const raft_message& message, instant now)
{
    // The sender may not be a member, so its term says nothing.
    if (message.kind >= message_kind::join) {
        (this->*handlers[static_cast<std::size_t>(message.kind)])(message, now);
        return;
    }
    bool fromLeader = message.kind == message_kind::append || message.kind == message_kind::snapshot;
    // Pre-votes carry the term of a possible election, which must not be adopted.
    bool carriesFutureTerm = message.kind == message_kind::pre_vote
        || (message.kind == message_kind::pre_vote_response && message.accepted);
    if (message.term > m_hard.term && !carriesFutureTerm) {
        // Ignores vote requests while a leader is active: they come from a node that was partitioned away. A
        // leadership transfer sets `accepted` to pass this check.
        bool disruptive = message.kind == message_kind::vote && !message.accepted && hasActiveLeader(now);
        if (disruptive)
            return;
        becomeFollower(message.term, fromLeader ? message.from : node_name(), now);
    }
    if (message.term < m_hard.term) {
        if (fromLeader)
            sendAppendResponse(message, false, lastIndex());
        // Pre-votes do not raise the sender's term, so it learns a higher one from the response only.
        if (message.kind == message_kind::pre_vote)
            onPreVote(message, now);
        return;
    }
    (this->*handlers[static_cast<std::size_t>(message.kind)])(message, now);
}

bool raft_node::isCandidateLogUpToDate(const raft_message& message) const
{
    std::uint64_t ownTerm = termAt(lastIndex());
    if (message.logTerm != ownTerm)
        return message.logTerm > ownTerm;
    return message.logIndex >= lastIndex();
}

void raft_node::onPreVote(const raft_message& message, instant now)
{
    raft_message response;
    response.kind = message_kind::pre_vote_response;
    response.to = message.from;
    response.accepted = isMember() && message.term >= m_hard.term && isCandidateLogUpToDate(message)
        && !hasActiveLeader(now);
    response.term = response.accepted ? message.term : m_hard.term;
    send(std::move(response));
}

void raft_node::onPreVoteResponse(const raft_message& message, instant now)
{
    bool forCurrentPreVote = m_role == raft_role::pre_candidate && message.term == m_hard.term + 1;
    if (!forCurrentPreVote || !message.accepted || !isFromCurrentVoter(message))
        return;
    m_votes.insert(message.from);
    if (isQuorum(m_votes))
        campaign(false, now);
}

void raft_node::onVote(const raft_message& message, instant now)
{
    bool canVote = m_hard.votedFor.empty() || m_hard.votedFor == message.from;
    bool granted = isMember() && canVote && m_role == raft_role::follower && isCandidateLogUpToDate(message);
    if (granted) {
        m_hard.votedFor = message.from;
        m_output.hard = m_hard;
        resetElectionTimer(now);
    }
    raft_message response;
    response.kind = message_kind::vote_response;
    response.to = message.from;
    response.term = m_hard.term;
    response.accepted = granted;
    send(std::move(response));
}

void raft_node::onVoteResponse(const raft_message& message, instant now)
{
    if (m_role != raft_role::candidate || !message.accepted || !isFromCurrentVoter(message))
        return;
    m_votes.insert(message.from);
    if (isQuorum(m_votes))
        becomeLeader(now);
}

void raft_node::sendAppendResponse(const raft_message& message, bool accepted, std::uint64_t index)
{
    raft_message response;
    response.kind = message_kind::append_response;
    response.to = message.from;
    response.term = m_hard.term;
    response.accepted = accepted;
    response.logIndex = index;
    send(std::move(response));
}

void raft_node::onAppend(const raft_message& message, instant now)
{
    becomeFollower(message.term, message.from, now);
    m_lastLeaderContact = now;
    if (message.logIndex > lastIndex()) {
        sendAppendResponse(message, false, lastIndex());
        return;
    }
    bool beforeSnapshot = message.logIndex < m_snapshot.index;
    if (!beforeSnapshot && termAt(message.logIndex) != message.logTerm) {
        sendAppendResponse(message, false, message.logIndex - 1);
        return;
    }
    for (const auto& entry : message.entries) {
        if (entry.index <= m_snapshot.index)
            continue;
        if (entry.index <= lastIndex()) {
            if (termAt(entry.index) == entry.term)
                continue;
            truncateFrom(entry.index);
        }
        append(entry);
    }
    std::uint64_t matched = message.logIndex + message.entries.size();
    m_commitIndex = std::max(m_commitIndex, std::min(message.commitIndex, matched));
    if (matched >= message.commitIndex)
        m_caughtUpAt = now;
    sendAppendResponse(message, true, matched);
}

void raft_node::onAppendResponse(const raft_message& message, instant now)
{
    const auto* member = m_members.find(message.from);
    if (m_role != raft_role::leader || !member || member->incarnation != message.fromIncarnation)
        return;
    auto& state = m_progress[message.from];
    state.lastResponse = now;
    state.snapshotInFlight = false;
    if (!message.accepted) {
        state.nextIndex = std::max<std::uint64_t>(1, std::min(state.nextIndex, message.logIndex + 1));
        sendAppend(*member, now);
        return;
    }
    state.matchIndex = std::max(state.matchIndex, message.logIndex);
    state.nextIndex = std::max(state.nextIndex, state.matchIndex + 1);
    std::uint64_t before = m_commitIndex;
    advanceCommit();
    if (m_commitIndex != before)
        broadcastAppend(now);
    else if (state.nextIndex <= lastIndex())
        sendAppend(*member, now);
    promoteCaughtUpLearner(now);
}

void raft_node::onSnapshot(const raft_message& message, instant now)
{
    becomeFollower(message.term, message.from, now);
    m_lastLeaderContact = now;
    const auto& snapshot = *message.snapshot;
    if (snapshot.index <= m_commitIndex) {
        sendAppendResponse(message, true, m_commitIndex);
        return;
    }
    m_snapshot = snapshot;
    m_log.clear();
    m_output.append.clear();
    m_output.truncateFrom.reset();
    m_output.committed.clear();
    m_output.install = snapshot;
    m_commitIndex = snapshot.index;
    m_lastDelivered = snapshot.index;
    m_persistedIndex = snapshot.index;
    recomputeMembers();
    sendAppendResponse(message, true, snapshot.index);
}

void raft_node::onTimeoutNow(const raft_message&, instant now)
{
    if (!isVoter())
        return;
    campaign(false, now);
    for (auto& request : m_output.messages) {
        if (request.kind == message_kind::vote)
            request.accepted
                = true; // marks a leadership transfer, so that an active leader does not block it
    }
}

void raft_node::onJoin(const raft_message& message, instant now)
{
    if (m_role != raft_role::leader) {
        // The joining node may not know the leader, so other members forward its request.
        if (m_leader.empty() || m_leader == message.from)
            return;
        raft_message forwarded = message;
        forwarded.to = m_leader;
        m_output.messages.push_back(std::move(forwarded));
        return;
    }
    const auto* member = m_members.find(message.from);
    raft_membership next = m_members;
    if (member && member->incarnation == message.fromIncarnation) {
        bool isNewDomain = !message.failureDomain.empty() && member->failureDomain != message.failureDomain;
        if (!isNewDomain)
            return;
        for (auto& each : next.members) {
            if (each.node == message.from)
                each.failureDomain = message.failureDomain;
        }
        changeMembership(std::move(next), now);
        return;
    }
    // A node that has lost its disk takes its own place.
    bool isAddition = member ? member->isAddition : !message.isInitial;
    std::erase_if(next.members, [&](const auto& m) { return m.node == message.from; });
    if (next.voters() == 0)
        return;
    next.members.push_back(
        { message.from, message.fromIncarnation, false, message.address, message.failureDomain, isAddition });
    if (changeMembership(std::move(next), now))
        m_progress[message.from] = progress { 0, lastIndex() + 1, now, now, false };
}

void raft_node::onLeave(const raft_message& message, instant now)
{
    if (m_role != raft_role::leader)
        return;
    raft_message response;
    response.kind = message_kind::leave_response;
    response.to = message.from;
    const auto* member = m_members.find(message.from);
    if (!member || member->incarnation != message.fromIncarnation) {
        response.accepted = true;
        if (!membershipChangePending())
            send(std::move(response));
        return;
    }
    const auto* successor = member->voter ? findSuccessor(*member, now) : nullptr;
    if (successor)
        changeMembership(exchange(*member, successor), now); // The sender asks again until it is committed.
    else
        send(std::move(response));
}

void raft_node::onLeaveResponse(const raft_message& message, instant)
{
    if (m_removal == removal_state::requested)
        m_removal = message.accepted ? removal_state::removed : removal_state::not_replaced;
}

} // namespace plumfold::core
