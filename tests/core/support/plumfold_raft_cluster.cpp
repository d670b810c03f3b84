#include "plumfold_raft_cluster.hpp"

#include <algorithm>
#include <stdexcept>

namespace plumfold::tests {

namespace {

using core::milliseconds;

constexpr milliseconds tick { 10 };
constexpr int maxSettlingTicks = 2000;
constexpr int failureDomains = 2;
constexpr milliseconds electionTimeout { 150 };
constexpr milliseconds exchangeTimeout { 4 * electionTimeout };
constexpr milliseconds memberTimeout { 2 * exchangeTimeout };
constexpr milliseconds stopTime { 3 * electionTimeout }; // after which a node stops in any case

} // namespace

raft_cluster::raft_cluster(int nodes, std::uint64_t seed, fault_rates faults)
    : m_random(seed)
    , m_faults(faults)
    , m_now(core::instant(std::chrono::hours(1)))
{
    for (int index = 1; index <= nodes; ++index) {
        std::string name(1, static_cast<char>('a' + index - 1));
        m_nodes[name].disk.incarnation = m_nextIncarnation++;
        m_nodes[name].failureDomain = std::to_string(index % failureDomains);
    }
    for (auto& [name, each] : m_nodes)
        startNode(name);
    m_nodes.begin()->second.node->bootstrap(m_now);
    processOutput(m_nodes.begin()->first);
    fault_rates none;
    std::swap(m_faults, none);
    for (int count = 0; count < maxSettlingTicks && voters() < m_nodes.size(); ++count)
        run(static_cast<int>(tick.count()));
    std::swap(m_faults, none);
    if (voters() != m_nodes.size())
        throw std::logic_error("the initial group did not reach its full number of voters");
}

bool raft_cluster::chance(int percent)
{
    return static_cast<int>(m_random() % 100) < percent;
}

std::string raft_cluster::randomNode()
{
    auto names = present();
    return names[m_random() % names.size()];
}

void raft_cluster::startNode(const std::string& name)
{
    simulated_node& each = m_nodes[name];
    core::raft_options options;
    options.node = name;
    options.address = name;
    options.failureDomain = each.failureDomain;
    options.isInitialMember = each.isInitial;
    options.exchangeTimeout = exchangeTimeout;
    options.memberTimeout = memberTimeout;
    options.electionTimeout = electionTimeout;
    options.heartbeatInterval = milliseconds(30);
    options.maxEntriesPerAppend = 4;
    options.seed = m_random();
    each.applied = each.disk.snapshot.index;
    each.node = std::make_unique<core::raft_node>(options, each.disk, m_now);
}

void raft_cluster::crash(const std::string& name)
{
    m_nodes.at(name).node.reset();
}

void raft_cluster::restart(const std::string& name, bool diskLost)
{
    simulated_node& each = m_nodes.at(name);
    if (diskLost) {
        each.disk = {};
        each.disk.incarnation = m_nextIncarnation++;
    }
    startNode(name);
}

std::string raft_cluster::addSuccessor(const std::string& name)
{
    std::string next = name + std::to_string(m_nodes.size());
    simulated_node& each = m_nodes[next];
    each.disk.incarnation = m_nextIncarnation++;
    each.failureDomain = m_nodes.at(name).failureDomain;
    each.isInitial = false;
    startNode(next);
    return next;
}

void raft_cluster::retire(const std::string& name)
{
    crash(name);
    m_nodes.at(name).isRetired = true;
}

void raft_cluster::stop(const std::string& name)
{
    node(name).requestRemoval(m_now);
    processOutput(name);
    auto until = m_now + stopTime;
    while (node(name).removalState() == core::removal_state::requested && m_now < until)
        run(static_cast<int>(tick.count()));
    crash(name);
}

std::vector<std::string> raft_cluster::present() const
{
    std::vector<std::string> names;
    for (const auto& [name, each] : m_nodes) {
        if (!each.isRetired)
            names.push_back(name);
    }
    return names;
}

std::vector<std::string> raft_cluster::voterNames() const
{
    std::vector<std::string> names;
    auto leading = leader();
    if (!leading)
        return names;
    for (const auto& member : m_nodes.at(*leading).node->members().members) {
        if (member.voter)
            names.push_back(member.node);
    }
    std::sort(names.begin(), names.end());
    return names;
}

/// @return whether the voters are exactly the nodes that have not been retired.
bool raft_cluster::isWhole() const
{
    auto names = present();
    return voters() == names.size() && voterNames() == names;
}

std::size_t raft_cluster::voters() const
{
    std::size_t most = 0;
    for (const auto& [name, each] : m_nodes) {
        bool leads = each.node && each.node->role() == core::raft_role::leader;
        if (!leads || each.node->membershipChangePending())
            continue;
        std::size_t count = 0;
        for (const auto& member : each.node->members().members)
            count += member.voter && member.incarnation == m_nodes.at(member.node).disk.incarnation
                && !m_nodes.at(member.node).isRetired;
        most = std::max(most, count);
    }
    return most;
}

std::optional<std::string> raft_cluster::leader() const
{
    std::optional<std::string> best;
    for (const auto& [name, each] : m_nodes) {
        bool leads = each.node && each.node->role() == core::raft_role::leader;
        if (leads && (!best || each.node->term() > m_nodes.at(*best).node->term()))
            best = name;
    }
    return best;
}

void raft_cluster::checkLeader(const std::string& name)
{
    const auto& node = *m_nodes.at(name).node;
    if (node.role() != core::raft_role::leader)
        return;
    auto [place, isNew] = m_leaders.try_emplace(node.term(), name);
    if (place->second != name)
        throw std::logic_error("two leaders in one term");
    if (!isNew)
        return;
    // Leader completeness: every committed entry is in the log of a new leader.
    for (const auto& [index, entry] : m_committed) {
        if (index >= node.firstIndex() && node.termAt(index) != entry.term)
            throw std::logic_error("a new leader lacks a committed entry");
    }
}

void raft_cluster::apply(const std::string& name, const core::log_entry& entry)
{
    simulated_node& each = m_nodes.at(name);
    if (entry.index != each.applied + 1)
        throw std::logic_error("an entry was applied out of order");
    each.applied = entry.index;
    auto [place, isNew] = m_committed.try_emplace(entry.index, entry);
    if (!(place->second == entry))
        throw std::logic_error("two nodes applied different entries at one index");
    if (isNew && entry.kind == core::entry_kind::command)
        m_applied.push_back(entry.payload);
    auto proposed = m_proposed.find({ name, entry.index });
    if (proposed != m_proposed.end() && proposed->second.first == entry.term)
        m_acknowledged.insert(proposed->second.second);
}

// Processes a node's output in the order that raft_output requires: persist, sync, send, apply.
void raft_cluster::processOutput(const std::string& name)
{
    simulated_node& each = m_nodes.at(name);
    while (each.node) {
        core::raft_output output = each.node->takeOutput();
        if (output.empty())
            return;
        if (output.install) {
            each.disk.snapshot = *output.install;
            each.disk.entries.clear();
            each.applied = output.install->index;
        }
        if (output.truncateFrom) {
            std::erase_if(
                each.disk.entries, [&](const auto& entry) { return entry.index >= *output.truncateFrom; });
            for (const auto& [index, entry] : m_committed) {
                bool applied = index >= *output.truncateFrom && index <= each.applied;
                if (applied)
                    throw std::logic_error("an applied entry was truncated");
            }
        }
        each.disk.entries.insert(each.disk.entries.end(), output.append.begin(), output.append.end());
        if (output.hard)
            each.disk.hard = *output.hard;
        if (output.needsSync())
            each.node->persisted(m_now);
        for (auto& message : output.messages) {
            if (!message.to.empty()) {
                m_network.push_back(std::move(message));
                continue;
            }
            for (const auto& [other, unused] : m_nodes) {
                if (other == name)
                    continue;
                m_network.push_back(message);
                m_network.back().to = other;
            }
        }
        for (const auto& entry : output.committed)
            apply(name, entry);
        checkLeader(name);
    }
}

void raft_cluster::deliverNext()
{
    if (m_network.empty())
        return;
    std::size_t index = chance(m_faults.reorder) ? m_random() % m_network.size() : 0;
    core::raft_message message = m_network[index];
    bool keep = chance(m_faults.duplicate);
    if (!keep)
        m_network.erase(m_network.begin() + static_cast<std::ptrdiff_t>(index));
    if (chance(m_faults.drop) || m_blockedLinks.contains({ message.from, message.to }))
        return;
    simulated_node& to = m_nodes.at(message.to);
    if (!to.node || m_now < to.pausedUntil)
        return;
    to.node->step(message, m_now);
    processOutput(message.to);
}

void raft_cluster::run(int length)
{
    auto until = m_now + milliseconds(length);
    while (m_now < until) {
        m_now += tick;
        for (auto& [name, each] : m_nodes) {
            if (!each.node || m_now < each.pausedUntil)
                continue;
            each.node->tick(m_now);
            processOutput(name);
        }
        std::size_t pending = m_network.size();
        for (std::size_t count = 0; count < pending; ++count)
            deliverNext();
    }
}

void raft_cluster::step()
{
    std::string name = randomNode();
    simulated_node& each = m_nodes.at(name);
    if (!each.node && chance(30))
        restart(name);
    else if (each.node && chance(m_faults.crash))
        crash(name);
    injectLoss(name);
    injectReplacement(name);
    if (chance(m_faults.partition))
        m_blockedLinks.insert({ randomNode(), randomNode() });
    if (chance(m_faults.partition))
        m_blockedLinks.clear();
    if (chance(m_faults.pause))
        m_nodes.at(randomNode()).pausedUntil = m_now + milliseconds(m_random() % 1000);
    run(static_cast<int>(tick.count()));
}

// A disk is lost only while all nodes are voters, so that a quorum still holds every acknowledged command.
void raft_cluster::injectLoss(const std::string& name)
{
    auto leading = leader();
    bool mayLoseDisk = m_faults.loseDisk > 0 && isWhole() && m_committed.size() > 0;
    if (!mayLoseDisk || !leading || *leading == name || !chance(m_faults.loseDisk))
        return;
    crash(name);
    restart(name, true);
    ++m_disksLost;
}

// The successor of one may start before the node ends, as in a planned replacement, or after it.
void raft_cluster::injectReplacement(const std::string& name)
{
    bool isDue = m_faults.replace > 0 && isWhole() && chance(m_faults.replace);
    if (!isDue)
        return;
    ++m_replaced;
    if (chance(50))
        retire(name);
    addSuccessor(name);
    run(static_cast<int>(m_random() % 300));
    if (isUp(name) && chance(50))
        stop(name);
    retire(name);
}

void raft_cluster::heal()
{
    m_faults = {};
    m_blockedLinks.clear();
    for (auto& [name, each] : m_nodes) {
        each.pausedUntil = {};
        if (!each.node && !each.isRetired)
            restart(name);
    }
    for (int count = 0; count < maxSettlingTicks && !isWhole(); ++count)
        run(static_cast<int>(tick.count()));
    run(1000);
}

bool raft_cluster::proposeToLeader(const std::string& command)
{
    for (auto& [name, each] : m_nodes) {
        if (!each.node || m_now < each.pausedUntil || each.node->role() != core::raft_role::leader)
            continue;
        auto index = each.node->propose(command, m_now);
        if (!index)
            continue;
        m_proposed[{ name, *index }] = { each.node->term(), command };
        processOutput(name);
        return true;
    }
    return false;
}

bool raft_cluster::allAcknowledgedApplied() const
{
    return std::all_of(m_acknowledged.begin(), m_acknowledged.end(), [&](const auto& command) {
        return std::find(m_applied.begin(), m_applied.end(), command) != m_applied.end();
    });
}

void raft_cluster::compactAll()
{
    for (auto& [name, each] : m_nodes) {
        if (!each.node || each.applied < each.node->firstIndex())
            continue;
        core::raft_snapshot snapshot;
        snapshot.index = each.applied;
        snapshot.term = each.node->termAt(each.applied);
        snapshot.state = "state as of " + std::to_string(each.applied);
        snapshot.members = each.disk.snapshot.members;
        for (const auto& entry : each.disk.entries) {
            if (entry.kind == core::entry_kind::membership && entry.index <= each.applied)
                snapshot.members = entry.members;
        }
        each.node->compact(snapshot);
        each.disk.snapshot = snapshot;
        std::erase_if(each.disk.entries, [&](const auto& entry) { return entry.index <= snapshot.index; });
    }
}

void raft_cluster::isolate(const std::string& name)
{
    for (const auto& [other, unused] : m_nodes) {
        m_blockedLinks.insert({ name, other });
        m_blockedLinks.insert({ other, name });
    }
}

} // namespace plumfold::tests
