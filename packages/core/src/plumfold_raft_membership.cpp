// The members of raft_node's group: who counts, joins, is promoted and is removed.

#include "plumfold/core/plumfold_raft_node.hpp"

#include <algorithm>

namespace plumfold::core {

namespace {

constexpr milliseconds joinInterval { 500 };
constexpr int electionTimeoutsBeforeJoin = 4; // without contact to a leader

} // namespace

bool raft_node::isMember() const
{
    const auto* self = m_members.find(m_options.node);
    return self && self->incarnation == m_incarnation;
}

bool raft_node::isVoter() const
{
    const auto* self = m_members.find(m_options.node);
    return self && self->incarnation == m_incarnation && self->voter;
}

bool raft_node::isFromCurrentVoter(const raft_message& message) const
{
    const auto* member = m_members.find(message.from);
    return member && member->voter && member->incarnation == message.fromIncarnation;
}

bool raft_node::isQuorum(const std::set<node_name>& nodes) const
{
    std::size_t count = 0;
    for (const auto& member : m_members.members)
        count += member.voter && nodes.contains(member.node);
    return count * 2 > m_members.voters();
}

std::string raft_node::leaderAddress() const
{
    const auto* member = m_members.find(m_leader);
    return member ? member->address : std::string();
}

bool raft_node::membershipChangePending() const
{
    return m_membershipIndex > m_commitIndex;
}

bool raft_node::mayChangeMembership() const
{
    // Single-server changes are safe only after the leader has committed an entry of its own term.
    return m_role == raft_role::leader && !membershipChangePending() && termAt(m_commitIndex) == m_hard.term;
}

bool raft_node::changeMembership(raft_membership next, instant now)
{
    if (!mayChangeMembership())
        return false;
    log_entry entry;
    entry.term = m_hard.term;
    entry.index = lastIndex() + 1;
    entry.kind = entry_kind::membership;
    entry.members = std::move(next);
    append(std::move(entry));
    for (const auto& member : m_members.members) {
        auto [place, isNew] = m_progress.try_emplace(member.node);
        if (isNew) {
            place->second.nextIndex = lastIndex() + 1;
            place->second.lastResponse = now;
        }
    }
    broadcastAppend(now);
    return true;
}

void raft_node::promoteCaughtUpLearner(instant now)
{
    for (const auto& member : m_members.members) {
        if (member.voter || m_progress[member.node].matchIndex < m_commitIndex)
            continue;
        bool recentlyActive = now - m_progress[member.node].lastResponse < m_options.electionTimeout;
        if (!recentlyActive || m_progress[member.node].matchIndex == 0)
            continue;
        raft_membership next = m_members;
        for (auto& candidate : next.members)
            candidate.voter = candidate.voter || candidate.node == member.node;
        changeMembership(std::move(next), now);
        return;
    }
}

bool raft_node::isRegistered() const
{
    const auto* self = m_members.find(m_options.node);
    return self && self->failureDomain == m_options.failureDomain;
}

milliseconds raft_node::silenceOf(const node_name& node, instant now) const
{
    auto found = m_progress.find(node);
    if (node == m_options.node || found == m_progress.end())
        return milliseconds(0);
    return std::chrono::duration_cast<milliseconds>(now - found->second.lastResponse);
}

bool raft_node::isActive(const node_name& node, instant now) const
{
    return silenceOf(node, now) < m_options.electionTimeout;
}

/// @return the voter in whose favour a lost voter may be removed: an active one of its failure domain, of
/// which one joined later without taking a place yet; null if there is none.
const raft_member* raft_node::findSuccessor(const raft_member& lost, instant now) const
{
    if (lost.failureDomain.empty())
        return nullptr;
    for (const auto& member : m_members.members) {
        bool isActiveVoter = member.voter && member.node != lost.node && isActive(member.node, now);
        bool isSurplus = member.isAddition || lost.isAddition;
        if (isActiveVoter && isSurplus && member.failureDomain == lost.failureDomain)
            return &member;
    }
    return nullptr;
}

/// A voter that is only cut off, suspended or without power looks the same as one that is gone. So a voter is
/// removed only in exchange for one that has joined its failure domain, and joins again if it returns.
/// @return the members without the lost one that has been silent for longest; nothing if none may be removed.
std::optional<raft_membership> raft_node::withoutLostMember(instant now) const
{
    const raft_member* lost = nullptr;
    const raft_member* successor = nullptr;
    for (const auto& member : m_members.members) {
        auto silence = silenceOf(member.node, now);
        auto timeout = member.voter ? m_options.exchangeTimeout : m_options.memberTimeout;
        if (silence < timeout || (lost && silence <= silenceOf(lost->node, now)))
            continue;
        const auto* next = member.voter ? findSuccessor(member, now) : nullptr;
        if (member.voter && !next)
            continue;
        lost = &member;
        successor = next;
    }
    if (!lost)
        return std::nullopt;
    return exchange(*lost, successor);
}

/// @param successor the member that takes the place of the removed one; null: none.
/// @return the members without one of them.
raft_membership raft_node::exchange(const raft_member& lost, const raft_member* successor) const
{
    raft_membership next = m_members;
    bool takesPlace = successor && !lost.isAddition;
    for (auto& member : next.members) {
        if (takesPlace && member.node == successor->node)
            member.isAddition = false;
    }
    std::erase_if(next.members, [&](const auto& member) { return member.node == lost.node; });
    return next;
}

void raft_node::requestRemoval(instant now)
{
    if (m_removal == removal_state::not_requested)
        m_removal = isMember() ? removal_state::requested : removal_state::removed;
    continueRemoval(now);
}

/// Repeats the request to be removed until the leader answers it. Another node has to lead for that.
void raft_node::continueRemoval(instant now)
{
    if (m_removal != removal_state::requested || now < m_nextRemovalRequest)
        return;
    m_nextRemovalRequest = now + m_options.heartbeatInterval;
    if (m_role == raft_role::leader) {
        if (!transferLeadership(now))
            m_removal = removal_state::not_replaced;
        return;
    }
    if (m_leader.empty())
        return;
    raft_message leave;
    leave.kind = message_kind::leave;
    leave.to = m_leader;
    send(std::move(leave));
}

/// Records this node's failure domain and removes lost members, one change at a time.
void raft_node::maintainMembership(instant now)
{
    if (!mayChangeMembership())
        return;
    if (!isRegistered()) {
        raft_membership next = m_members;
        for (auto& member : next.members) {
            if (member.node == m_options.node)
                member.failureDomain = m_options.failureDomain;
        }
        changeMembership(std::move(next), now);
        return;
    }
    if (auto next = withoutLostMember(now))
        changeMembership(std::move(*next), now);
}

/// Sends a join message if one is due. A node that has been removed while it was out of reach receives
/// nothing that says so: the group's leader sends to members only.
void raft_node::sendJoin(instant now)
{
    bool mayBeRemoved = now - m_lastLeaderContact > electionTimeoutsBeforeJoin * m_options.electionTimeout;
    if (m_removal != removal_state::not_requested || (isMember() && isRegistered() && !mayBeRemoved)
        || now < m_nextJoin)
        return;
    m_nextJoin = now + joinInterval;
    raft_message join;
    join.kind = message_kind::join;
    join.address = m_options.address;
    join.failureDomain = m_options.failureDomain;
    join.isInitial = m_options.isInitialMember && m_members.members.empty();
    send(std::move(join)); // no receiver: the caller sends it to all known control VMs
}

} // namespace plumfold::core
