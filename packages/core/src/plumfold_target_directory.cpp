#include "plumfold/core/plumfold_target_directory.hpp"

#include <algorithm>
#include <tuple>

namespace plumfold::core {

namespace {

/// Announcements of the same cold start differ in its end by the time they were on their way.
constexpr milliseconds coldEndTolerance { 500 };

/// @return whether two announcements differ in anything that matters to request routing.
bool differs(const target_announcement& left, const target_announcement& right)
{
    auto compared = [](const target_announcement& each) {
        return std::tie(each.service, each.address, each.failureDomain, each.slots, each.state,
            each.startedAt, each.models, each.softwareVersion);
    };
    bool coldChanged = (left.coldFor.count() > 0) != (right.coldFor.count() > 0);
    return coldChanged || compared(left) != compared(right);
}

bool isNewer(const target_announcement& next, const target_announcement& known)
{
    return std::tie(next.startedAt, next.sequence) > std::tie(known.startedAt, known.sequence);
}

} // namespace

target_announcement target_directory::entry::announcementAt(instant now) const
{
    target_announcement out = last;
    out.coldFor = std::max(std::chrono::duration_cast<milliseconds>(coldUntil - now), milliseconds(0));
    return out;
}

bool target_directory::apply(const target_announcement& next, bool isDirect, instant now)
{
    auto [place, isNew] = m_entries.try_emplace(next.name);
    entry& known = place->second;
    bool sameIncarnation = next.startedAt == known.last.startedAt;
    if (!isNew && !isNewer(next, known.last)) {
        // Peers relay a target's silence or departure with the sequence of its latest announcement.
        bool worse = sameIncarnation && next.sequence == known.last.sequence && next.state > known.last.state;
        if (!worse || isDirect)
            return false;
    }
    target_announcement applied = next;
    // A leaving target does not become ready again in the same incarnation.
    if (!isNew && sameIncarnation && known.last.state == target_state::leaving)
        applied.state = target_state::leaving;
    auto coldUntil = now + applied.coldFor;
    bool isColdAgain = applied.coldFor.count() > 0 && coldUntil > known.coldUntil + coldEndTolerance;
    bool changed = isNew || isColdAgain || differs(applied, known.last);
    known.coldUntil = coldUntil;
    known.last = std::move(applied);
    known.lastSeenAt = now;
    known.isDirect = isDirect;
    m_versionsSeenAt[{ next.service, next.softwareVersion }] = now;
    if (changed)
        known.change = ++m_latestChange;
    endReplaced(next.address, now);
    return true;
}

/// Marks all targets at an address as leaving but the one that started last.
void target_directory::endReplaced(const std::string& address, instant now)
{
    if (address.empty())
        return;
    unix_milliseconds latestStart = 0;
    for (const auto& [name, each] : m_entries) {
        if (each.last.address == address)
            latestStart = std::max(latestStart, each.last.startedAt);
    }
    std::vector<std::string> replaced;
    for (const auto& [name, each] : m_entries) {
        if (each.last.address == address && each.last.startedAt < latestStart)
            replaced.push_back(name);
    }
    for (const auto& name : replaced)
        markLeaving(name, now);
}

bool target_directory::markLeaving(const std::string& name, instant now)
{
    auto found = m_entries.find(name);
    if (found == m_entries.end() || found->second.last.state == target_state::leaving)
        return false;
    found->second.last.state = target_state::leaving;
    found->second.lastSeenAt = now;
    found->second.isDirect = true;
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

std::vector<std::string> target_directory::detectSilent(instant now, milliseconds timeout)
{
    std::vector<std::string> expired;
    for (auto& [name, each] : m_entries) {
        if (each.last.state != target_state::ready || now - each.lastSeenAt <= timeout)
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
    found->second.isDirect = true;
    found->second.change = ++m_latestChange;
    return true;
}

void target_directory::restartAnnouncementTimeouts(instant now)
{
    for (auto& [name, each] : m_entries)
        each.lastSeenAt = now;
}

void target_directory::removeStale(instant now, milliseconds maxAge)
{
    std::erase_if(m_entries, [&](const auto& each) {
        return each.second.last.state != target_state::ready && now - each.second.lastSeenAt > maxAge;
    });
    std::erase_if(m_versionsSeenAt, [&](const auto& each) { return now - each.second > maxAge; });
}

std::set<std::string> target_directory::softwareVersions(const std::string& service) const
{
    std::set<std::string> versions;
    for (const auto& [key, seenAt] : m_versionsSeenAt) {
        if (key.first == service)
            versions.insert(key.second);
    }
    return versions;
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
