#include "plumfold/core/plumfold_entry_membership.hpp"

#include "plumfold/core/plumfold_hash.hpp"

namespace plumfold::core {

entry_membership::entry_membership(std::string self, std::string failureDomain, milliseconds expiry)
    : m_self(std::move(self))
    , m_failureDomain(std::move(failureDomain))
    , m_expiry(expiry)
{
}

void entry_membership::onPeerUpdate(const entry_peer_state& peer)
{
    if (peer.leaving)
        m_peers.erase(peer.name);
    else
        m_peers[peer.name] = peer;
}

void entry_membership::expire(instant now)
{
    std::erase_if(m_peers, [&](const auto& each) { return now - each.second.lastSeenAt > m_expiry; });
}

std::string entry_membership::ownerAmong(const std::string& target, const std::string* failureDomain) const
{
    std::uint64_t seed = hashBytes(target);
    std::uint64_t bestScore = 0;
    std::string best;
    auto consider = [&](const std::string& name, const std::string& domain) {
        if (failureDomain && domain != *failureDomain)
            return;
        std::uint64_t score = hashBytes(name, seed);
        if (!best.empty() && score <= bestScore)
            return;
        best = name;
        bestScore = score;
    };
    if (!m_leaving)
        consider(m_self, m_failureDomain);
    for (const auto& [name, peer] : m_peers)
        consider(name, peer.failureDomain);
    return best;
}

std::string entry_membership::ownerOf(const std::string& target, const std::string& failureDomain) const
{
    std::string owner = ownerAmong(target, &failureDomain);
    return owner.empty() ? ownerAmong(target, nullptr) : owner;
}

std::vector<std::string> entry_membership::peers() const
{
    std::vector<std::string> names;
    for (const auto& [name, peer] : m_peers)
        names.push_back(name);
    return names;
}

} // namespace plumfold::core
