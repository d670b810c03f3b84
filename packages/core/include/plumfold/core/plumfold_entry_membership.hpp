#pragma once

#include "plumfold/core/plumfold_time.hpp"

#include <map>
#include <string>
#include <vector>

namespace plumfold::core {

/// State of an entry as known to another one.
struct entry_peer_state {
    std::string name;
    std::string failureDomain;
    std::uint64_t incarnation = 0; ///< Of the entry's process.
    bool leaving = false;
    instant lastSeenAt {};
};

/// The entries that one entry considers alive, and the owner among them of each target's concurrency permits.
class entry_membership {
public:
    /// @param expiry time without an update after which an entry counts as dead.
    entry_membership(std::string self, std::string failureDomain, milliseconds expiry);

    /// Adds or updates a peer; removes it if it is leaving.
    void onPeerUpdate(const entry_peer_state& peer);
    /// Removes peers whose latest update has expired.
    void expire(instant now);
    void setLeaving() { m_leaving = true; }

    /// Rendezvous hashing over the live entries of the target's failure domain, or over all live entries if
    /// there is none.
    /// @return the owner's name; empty if no entry is left.
    std::string ownerOf(const std::string& target, const std::string& failureDomain) const;

    bool isAlive(const std::string& entry) const { return entry == m_self || m_peers.contains(entry); }
    std::vector<std::string> peers() const;
    const std::string& self() const { return m_self; }
    const std::string& failureDomain() const { return m_failureDomain; }

private:
    /// @param failureDomain null for all.
    std::string ownerAmong(const std::string& target, const std::string* failureDomain) const;

    std::string m_self;
    std::string m_failureDomain;
    milliseconds m_expiry;
    bool m_leaving = false;
    std::map<std::string, entry_peer_state> m_peers;
};

} // namespace plumfold::core
