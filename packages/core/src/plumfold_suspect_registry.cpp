#include "plumfold/core/plumfold_suspect_registry.hpp"

#include <algorithm>

namespace plumfold::core {

namespace {

constexpr std::size_t maxListed = 256; // per gossip message

} // namespace

suspect_registry::suspect_registry(milliseconds maxAge)
    : m_maxAge(maxAge)
{
}

suspicion suspect_registry::suspicionOf(std::uint64_t fingerprint, instant now) const
{
    auto found = m_suspects.find(fingerprint);
    if (found == m_suspects.end() || found->second.until <= now)
        return suspicion::none;
    return found->second.crashes >= crashesToCondemn ? suspicion::condemned : suspicion::suspect;
}

suspicion suspect_registry::onCrash(std::uint64_t fingerprint, bool alone, instant now)
{
    auto& entry = m_suspects[fingerprint];
    entry.until = now + m_maxAge;
    // A crash with other requests on the target does not show which of them caused it, so these do not add
    // up.
    entry.crashes = alone ? std::max(entry.crashes + 1, crashesToCondemn) : std::max(entry.crashes, 1u);
    return suspicionOf(fingerprint, now);
}

void suspect_registry::onSuccess(std::uint64_t fingerprint)
{
    auto found = m_suspects.find(fingerprint);
    if (found != m_suspects.end() && found->second.crashes < crashesToCondemn)
        m_suspects.erase(found);
}

void suspect_registry::merge(const suspect_state& state, instant now)
{
    auto& entry = m_suspects[state.fingerprint];
    if (state.crashes > entry.crashes || entry.until <= now)
        entry.until = now + m_maxAge;
    entry.crashes = std::max(entry.crashes, state.crashes);
}

void suspect_registry::expire(instant now)
{
    std::erase_if(m_suspects, [&](const auto& each) { return each.second.until <= now; });
}

std::vector<suspect_state> suspect_registry::list() const
{
    std::vector<suspect_state> all;
    for (const auto& [fingerprint, entry] : m_suspects) {
        if (all.size() < maxListed)
            all.push_back({ fingerprint, entry.crashes });
    }
    return all;
}

} // namespace plumfold::core
