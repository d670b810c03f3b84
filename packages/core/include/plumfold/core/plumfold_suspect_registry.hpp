#pragma once

#include "plumfold/core/plumfold_time.hpp"

#include <cstdint>
#include <map>
#include <vector>

namespace plumfold::core {

/// Crashes, the last of them alone on a target, after which a request is refused.
inline constexpr std::uint32_t crashesToCondemn = 2;

/// What is known of a request, by its fingerprint, after targets have crashed under it.
enum class suspicion {
    none,
    suspect, ///< Was running when a target crashed. Runs alone.
    condemned, ///< Crashed a target while it ran alone. Is refused.
};

/// One suspect as entries tell each other.
struct suspect_state {
    std::uint64_t fingerprint = 0;
    std::uint32_t crashes = 0;
};

/// Requests that were running when targets crashed. The first crash makes every request of the batch a
/// suspect; a suspect runs alone, so the second crash has only one request to blame and innocents are
/// cleared.
class suspect_registry {
public:
    /// @param maxAge how long a suspicion lasts without news.
    explicit suspect_registry(milliseconds maxAge);

    suspicion suspicionOf(std::uint64_t fingerprint, instant now) const;

    /// Counts a crash under a request.
    /// @return the suspicion from now on.
    suspicion onCrash(std::uint64_t fingerprint, bool alone, instant now);

    /// Clears a suspect that has run to its end.
    void onSuccess(std::uint64_t fingerprint);

    /// Takes in what another entry or control knows.
    void merge(const suspect_state& state, instant now);

    void withdraw(std::uint64_t fingerprint) { m_suspects.erase(fingerprint); }
    void expire(instant now);

    /// @return the suspects, at most as many as one gossip message carries.
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
