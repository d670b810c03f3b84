#include "plumfold/core/plumfold_target_directory.hpp"

#include <tuple>

namespace plumfold::core {

namespace {

/// Whether two announcements differ in what matters to those who send work.
bool differs(const target_announcement& left, const target_announcement& right)
{
    auto compared = [](const target_announcement& each) {
        return std::tie(each.service, each.address, each.failureDomain, each.slots, each.state,
            each.startedAt, each.models);
    };
    bool coldChanged = (left.coldFor.count() > 0) != (right.coldFor.count() > 0);
    return coldChanged || compared(left) != compared(right);
}

bool isNewer(const target_announcement& next, const target_announcement& known)
{
    return std::tie(next.startedAt, next.sequence) > std::tie(known.startedAt, known.sequence);
}

} // namespace

bool target_directory::take(const target_announcement& next, bool own, instant now)
{
    auto [place, isNew] = m_entries.try_emplace(next.name);
    entry& known = place->second;
    bool sameLife = next.startedAt == known.last.startedAt;
    if (!isNew && !isNewer(next, known.last)) {
        // The loss of a target is told under its latest announcement's sequence.
        bool worse = sameLife && next.sequence == known.last.sequence && next.state > known.last.state;
        if (!worse || own)
            return false;
    }
    target_announcement taken = next;
    // A target that said it leaves does not come back in the same life.
    if (!isNew && sameLife && known.last.state == target_state::leaving)
        taken.state = target_state::leaving;
    bool changed = isNew || differs(taken, known.last);
    known.last = std::move(taken);
    known.heardAt = now;
    known.own = own;
    if (changed)
        known.change = ++m_latestChange;
    return true;
}

bool target_directory::leave(const std::string& name, instant now)
{
    auto found = m_entries.find(name);
    if (found == m_entries.end() || found->second.last.state == target_state::leaving)
        return false;
    found->second.last.state = target_state::leaving;
    found->second.heardAt = now;
    found->second.own = true;
    found->second.change = ++m_latestChange;
    return true;
}

bool target_directory::setWeights(
    const std::string& name, const std::string& model, const std::string& version)
{
    auto found = m_entries.find(name);
    if (found == m_entries.end())
        return false;
    for (auto& loaded : found->second.last.models) {
        if (loaded.model != model || loaded.version == version)
            continue;
        loaded.version = version;
        found->second.change = ++m_latestChange;
        return true;
    }
    return false;
}

std::vector<std::string> target_directory::expire(instant now, milliseconds bound)
{
    std::vector<std::string> expired;
    for (auto& [name, each] : m_entries) {
        if (each.last.state != target_state::ready || now - each.heardAt <= bound)
            continue;
        each.last.state = target_state::silent;
        each.change = ++m_latestChange;
        expired.push_back(name);
    }
    return expired;
}

bool target_directory::markSilent(const std::string& name)
{
    auto found = m_entries.find(name);
    if (found == m_entries.end() || found->second.last.state != target_state::ready)
        return false;
    found->second.last.state = target_state::silent;
    found->second.own = true;
    found->second.change = ++m_latestChange;
    return true;
}

void target_directory::excuseSilence(instant now)
{
    for (auto& [name, each] : m_entries)
        each.heardAt = now;
}

void target_directory::forget(instant now, milliseconds bound)
{
    std::erase_if(m_entries, [&](const auto& each) {
        return each.second.last.state != target_state::ready && now - each.second.heardAt > bound;
    });
}

std::vector<target_directory::entry> target_directory::changedAfter(std::uint64_t change) const
{
    std::vector<entry> changed;
    for (const auto& [name, each] : m_entries) {
        if (each.change > change)
            changed.push_back(each);
    }
    return changed;
}

} // namespace plumfold::core
