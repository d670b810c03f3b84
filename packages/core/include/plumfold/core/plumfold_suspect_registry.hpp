#pragma once

#include "plumfold/core/plumfold_time.hpp"

#include <cstdint>
#include <map>
#include <vector>

namespace plumfold::core {

/// Crashes after which a request is condemned; during the last of them it must have run alone.
inline constexpr std::uint32_t crashesToCondemn = 2;

/// Whether a request may be a poison request, one that crashes targets.
enum class suspicion {
    none,
    suspect, ///< Was running when a target crashed; now runs alone.
    condemned, ///< Crashed a target while running alone; now rejected.
};

/// A suspect as exchanged between entries.
struct suspect_state {
    std::uint64_t fingerprint = 0;
    std::uint32_t crashes = 0;
};

/// Finds poison requests. The first crash makes every request that ran on the target a suspect. Suspects run
/// alone, so a second crash identifies the cause, and the other requests are cleared when they succeed.
class suspect_registry {
public:
    /// @param maxAge how long a suspicion lasts after the last new crash.
    explicit suspect_registry(milliseconds maxAge);

    /// @param fingerprint of the request.
    suspicion suspicionOf(std::uint64_t fingerprint, instant now) const;

    /// Records that a target crashed while it ran the request.
    /// @param alone whether no other request ran on the target.
    /// @return the resulting suspicion.
    suspicion onCrash(std::uint64_t fingerprint, bool alone, instant now);

    /// Clears a suspect that has succeeded; a condemned request stays condemned.
    void onSuccess(std::uint64_t fingerprint);

    /// Merges the state that another entry or control reported; the higher crash count wins.
    void merge(const suspect_state& state, instant now);

    /// Removes the verdict on a request.
    void withdraw(std::uint64_t fingerprint) { m_suspects.erase(fingerprint); }
    void expire(instant now);

    /// @return the suspects and condemned requests, at most as many as fit into one gossip message.
    std::vector<suspect_state> list() const;

private:
    struct suspect {
        std::uint32_t crashes = 0;
        instant until {};
    };

    milliseconds m_maxAge;
    std::map<std::uint64_t, suspect> m_suspects;
};

} // namespace plumfold::core
