// What a node of the replicated log does with the messages of other nodes.

#include "plumfold/core/plumfold_raft_node.hpp"

#include <algorithm>

namespace plumfold::core {

// Indexed by message_kind.
const raft_node::handler raft_node::handlers[] = {
    &raft_node::onPreVote,
    &raft_node::onPreVoteAnswer,
    &raft_node::onVote,
    &raft_node::onVoteAnswer,
    &raft_node::onAppend,
    &raft_node::onAppendAnswer,
    &raft_node::onSnapshot,
    &raft_node::onTimeoutNow,
    &raft_node::onJoin,
};

void raft_node::step(const raft_message& message, instant now)
{
    if (message.kind == message_kind::join) {
        onJoin(message, now);
        return;
    }
    bool fromLeader = message.kind == message_kind::append || message.kind == message_kind::snapshot;
    bool asksOnly = message.kind == message_kind::pre_vote
        || (message.kind == message_kind::pre_vote_answer && message.accepted);
    if (message.term > m_hard.term && !asksOnly) {
        // A vote request while a live leader is known comes from a node that was cut off.
        bool disturbs = message.kind == message_kind::vote && !message.accepted && isFresh(now);
        if (disturbs)
            return;
        becomeFollower(message.term, fromLeader ? message.from : node_name(), now);
    }
    if (message.term < m_hard.term) {
        if (fromLeader)
            answerAppend(message, false, lastIndex());
        return;
    }
    (this->*handlers[static_cast<std::size_t>(message.kind)])(message, now);
}

bool raft_node::isCandidateLogCurrent(const raft_message& message) const
{
    std::uint64_t ownTerm = termAt(lastIndex());
    if (message.logTerm != ownTerm)
        return message.logTerm > ownTerm;
    return message.logIndex >= lastIndex();
}

void raft_node::onPreVote(const raft_message& message, instant now)
{
    raft_message answer;
    answer.kind = message_kind::pre_vote_answer;
    answer.to = message.from;
    answer.accepted = isMember() && isCandidateLogCurrent(message) && !isFresh(now);
    answer.term = answer.accepted ? message.term : m_hard.term;
    send(std::move(answer));
}

void raft_node::onPreVoteAnswer(const raft_message& message, instant now)
{
    bool forThisRound = m_role == raft_role::pre_candidate && message.term == m_hard.term + 1;
    if (!forThisRound || !message.accepted || !isKnownVoter(message))
        return;
    m_votes.insert(message.from);
    if (isQuorum(m_votes))
        campaign(false, now);
}

void raft_node::onVote(const raft_message& message, instant now)
{
    bool free = m_hard.votedFor.empty() || m_hard.votedFor == message.from;
    bool granted = isMember() && free && m_role == raft_role::follower && isCandidateLogCurrent(message);
    if (granted) {
        m_hard.votedFor = message.from;
        m_work.hard = m_hard;
        resetElectionTimer(now);
    }
    raft_message answer;
    answer.kind = message_kind::vote_answer;
    answer.to = message.from;
    answer.term = m_hard.term;
    answer.accepted = granted;
    send(std::move(answer));
}

void raft_node::onVoteAnswer(const raft_message& message, instant now)
{
    if (m_role != raft_role::candidate || !message.accepted || !isKnownVoter(message))
        return;
    m_votes.insert(message.from);
    if (isQuorum(m_votes))
        becomeLeader(now);
}

void raft_node::answerAppend(const raft_message& message, bool accepted, std::uint64_t index)
{
    raft_message answer;
    answer.kind = message_kind::append_answer;
    answer.to = message.from;
    answer.term = m_hard.term;
    answer.accepted = accepted;
    answer.logIndex = index;
    send(std::move(answer));
}

void raft_node::onAppend(const raft_message& message, instant now)
{
    becomeFollower(message.term, message.from, now);
    m_lastLeaderContact = now;
    if (message.logIndex > lastIndex()) {
        answerAppend(message, false, lastIndex());
        return;
    }
    bool beforeSnapshot = message.logIndex < m_snapshot.index;
    if (!beforeSnapshot && termAt(message.logIndex) != message.logTerm) {
        answerAppend(message, false, message.logIndex - 1);
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
    std::uint64_t held = message.logIndex + message.entries.size();
    m_commitIndex = std::max(m_commitIndex, std::min(message.commitIndex, held));
    if (held >= message.commitIndex)
        m_caughtUpAt = now;
    answerAppend(message, true, held);
}

void raft_node::onAppendAnswer(const raft_message& message, instant now)
{
    const auto* member = m_members.find(message.from);
    if (m_role != raft_role::leader || !member || member->incarnation != message.fromIncarnation)
        return;
    auto& state = m_progress[message.from];
    state.lastAnswer = now;
    state.snapshotInFlight = false;
    if (!message.accepted) {
        state.next = std::max<std::uint64_t>(1, std::min(state.next, message.logIndex + 1));
        sendAppend(*member, now);
        return;
    }
    state.match = std::max(state.match, message.logIndex);
    state.next = std::max(state.next, state.match + 1);
    std::uint64_t before = m_commitIndex;
    advanceCommit();
    if (m_commitIndex != before)
        broadcastAppend(now);
    else if (state.next <= lastIndex())
        sendAppend(*member, now);
    promoteCaughtUpLearner(now);
}

void raft_node::onSnapshot(const raft_message& message, instant now)
{
    becomeFollower(message.term, message.from, now);
    m_lastLeaderContact = now;
    const auto& snapshot = *message.snapshot;
    if (snapshot.index <= m_commitIndex) {
        answerAppend(message, true, m_commitIndex);
        return;
    }
    m_snapshot = snapshot;
    m_log.clear();
    m_work.append.clear();
    m_work.truncateFrom.reset();
    m_work.committed.clear();
    m_work.install = snapshot;
    m_commitIndex = snapshot.index;
    m_handedOut = snapshot.index;
    m_persistedIndex = snapshot.index;
    recomputeMembers();
    answerAppend(message, true, snapshot.index);
}

void raft_node::onTimeoutNow(const raft_message&, instant now)
{
    if (!isVoter())
        return;
    campaign(false, now);
    for (auto& request : m_work.messages) {
        if (request.kind == message_kind::vote)
            request.accepted = true; // marks a hand-over, which a live leader does not hold up
    }
}

void raft_node::onJoin(const raft_message& message, instant now)
{
    if (m_role != raft_role::leader) {
        // The joining node knows only some of the group.
        if (m_leader.empty() || m_leader == message.from)
            return;
        raft_message forwarded = message;
        forwarded.to = m_leader;
        m_work.messages.push_back(std::move(forwarded));
        return;
    }
    const auto* member = m_members.find(message.from);
    if (member && member->incarnation == message.fromIncarnation)
        return;
    raft_membership next = m_members;
    std::erase_if(next.members, [&](const auto& m) { return m.node == message.from; });
    if (next.voters() == 0)
        return;
    next.members.push_back({ message.from, message.fromIncarnation, false, message.address });
    if (changeMembership(std::move(next), now))
        m_progress[message.from] = progress { 0, lastIndex() + 1, now, now, false };
}

} // namespace plumfold::core
