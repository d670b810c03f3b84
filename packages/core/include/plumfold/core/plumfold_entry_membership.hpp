#pragma once

#include "plumfold/core/plumfold_time.hpp"

#include <map>
#include <string>
#include <vector>

namespace plumfold::core {

/// One entry as another one knows it.
struct entry_peer_state {
    std::string name;
    std::string failureDomain;
    std::uint64_t incarnation = 0; ///< Of the entry's process.
    bool leaving = false;
    instant lastSeenAt {};
};

/// The entries that are alive as seen from one entry, and who of them owns the permits of a target.
class entry_membership {
public:
    /// @param expiry silence after which an entry counts as dead.
    entry_membership(std::string self, std::string failureDomain, milliseconds expiry);

    void onPeerUpdate(const entry_peer_state& peer);
    void expire(instant now);
    void setLeaving() { m_leaving = true; }

    /// Rendezvous hashing over the live entries of the target's failure domain. Where none lives there, over
    /// all.
    /// @return the owner's name; empty when no entry is left.
    std::string ownerOf(const std::string& target, const std::string& failureDomain) const;

    bool isAlive(const std::string& entry) const { return entry == m_self || m_peers.contains(entry); }
    std::vector<std::string> peers() const;
    const std::string& self() const { return m_self; }
    const std::string& failureDomain() const { return m_failureDomain; }

private:
    std::string ownerAmong(const std::string& target, const std::string* failureDomain) const;

    std::string m_self;
    std::string m_failureDomain;
    milliseconds m_expiry;
    bool m_leaving = false;
    std::map<std::string, entry_peer_state> m_peers;
};

} // namespace plumfold::core
