#include "plumfold/core/rollout/plumfold_rollout_cohorts.hpp"

#include "plumfold/core/plumfold_hash.hpp"

#include <algorithm>
#include <cmath>
#include <string_view>
#include <tuple>
#include <unordered_map>
#include <utility>

namespace plumfold::core {

namespace {

/// Smaller shares go to a part of the next targets, so that these see a usual load.
constexpr std::uint32_t minShareOfAllTargets = 300;
/// For which a version that joins is held. The order for it may arrive after its first target.
constexpr milliseconds holdTime { 1'000 };
/// A version without targets is forgotten after this many confirmations, which come every 150 ms at most.
/// A control VM that was restarted may not know all targets for a second.
constexpr unsigned maxConfirmationsAbsent = 40;
/// Separates the draws of requests from other uses of the hash of their id.
constexpr std::uint64_t drawSeed = 0x726f6c6c6f7574;

bool isNext(const rollout_standing& standing)
{
    return standing.role == rollout_role::next || standing.role == rollout_role::spare;
}

bool isFull(const rollout_standing& standing)
{
    return standing.share >= rolloutFullShare;
}

/// At the full share, the end of the rollout may stop former targets, so a failed request stays with next
/// ones while any is usable.
bool prefersNext(const rollout_standing& standing, const cohort_request& request)
{
    return request.isPlanFresh && request.draw < standing.share
        && (!request.hasFailedAtNext || isFull(standing));
}

/// @return whether the part of the targets that a small share goes to depends on a target.
bool isOfPart(const rollout_standing& standing)
{
    return cohortOf(standing) != rollout_cohort::none && standing.share < minShareOfAllTargets;
}

} // namespace

rollout_cohort cohortOf(const rollout_standing& standing)
{
    if (isNext(standing))
        return rollout_cohort::next;
    return standing.role == rollout_role::former ? rollout_cohort::former : rollout_cohort::none;
}

std::uint32_t rolloutDrawOf(const std::string& key)
{
    return static_cast<std::uint32_t>(hashBytes(key, drawSeed) % rolloutFullShare);
}

bool isSelectable(const rollout_standing& standing, const cohort_request& request)
{
    if (standing.role == rollout_role::unrestricted || standing.role == rollout_role::barred)
        return standing.role == rollout_role::unrestricted;
    if (request.needsVersion)
        return !isNext(standing) || request.isPlanFresh || isFull(standing);
    bool wantsNext = prefersNext(standing, request) != request.isFallback;
    return standing.role != rollout_role::spare && isNext(standing) == wantsNext;
}

bool mayBeSent(const rollout_standing& standing, const cohort_request& request)
{
    if (standing.role == rollout_role::unrestricted || standing.role == rollout_role::barred)
        return standing.role == rollout_role::unrestricted;
    if (request.needsVersion)
        return !isNext(standing) || request.isPlanFresh || isFull(standing);
    if (isNext(standing))
        return isFull(standing) || prefersNext(standing, request);
    return !isFull(standing) || !request.isPlanFresh || !standing.hasReadyNext || request.isFallback;
}

bool mayFallBack(const rollout_standing& standing, const cohort_request& request)
{
    if (standing.rollout == 0 || request.needsVersion)
        return false;
    return prefersNext(standing, request) || isFull(standing);
}

bool rollout_cohorts::isRunning() const
{
    return std::any_of(m_rollouts.begin(), m_rollouts.end(),
        [](const auto& each) { return each.second.state == rollout_state::running; });
}

/// @return whether the latest rollout of a service says whether a version may be used.
bool rollout_cohorts::isGoverned(const std::string& service, const std::string& version) const
{
    auto found = m_rollouts.find(service);
    if (found == m_rollouts.end())
        return false;
    const auto& rollout = found->second;
    return version == rollout.version || rollout.formerVersions.contains(version)
        || rollout.endedVersions.contains(version);
}

std::vector<version_hold> rollout_cohorts::onPlanConfirmed(instant at)
{
    std::vector<version_hold> released;
    // The first confirmation asks a quorum, so it comes with every order that was accepted before any target
    // that is known by then started.
    bool isFirst = !std::exchange(m_isConfirmed, true);
    for (auto& [service, versions] : m_versions) {
        for (auto& [version, known] : versions) {
            known.confirmationsAbsent = known.isPresent ? 0 : known.confirmationsAbsent + 1;
            if (!known.isHeld || known.confirmationsAbsent > maxConfirmationsAbsent)
                continue;
            if (!known.heldSince)
                known.heldSince = at;
            if (!isFirst && at - *known.heldSince < holdTime)
                continue;
            known.isHeld = false;
            released.push_back({ service, version, false });
        }
    }
    forgetAbsentVersions();
    return released;
}

void rollout_cohorts::forgetAbsentVersions()
{
    std::size_t forgotten = 0;
    for (auto& [service, versions] : m_versions)
        forgotten += std::erase_if(versions,
            [](const auto& each) { return each.second.confirmationsAbsent > maxConfirmationsAbsent; });
    if (forgotten == 0)
        return;
    std::erase_if(m_versions, [](const auto& each) { return each.second.empty(); });
    ++m_generation;
    m_nextIndex = 0;
    for (auto& [service, versions] : m_versions) {
        for (auto& [version, known] : versions)
            known.index = m_nextIndex++;
    }
}

/// @param joined receives the versions that were not known.
/// @return what is known of the version of each member.
std::vector<rollout_cohorts::known_version*> rollout_cohorts::versionsOf(
    const std::vector<cohort_member>& members, std::vector<version_hold>& joined)
{
    std::vector<known_version*> byIndex(m_nextIndex);
    for (auto& [service, versions] : m_versions) {
        for (auto& [version, known] : versions)
            byIndex[known.index] = &known;
    }
    std::vector<known_version*> out;
    out.reserve(members.size());
    for (const auto& member : members) {
        auto* slot = member.slot;
        if (slot && slot->generation == m_generation) {
            out.push_back(byIndex[slot->index]);
            continue;
        }
        const auto& target = *member.target;
        auto [place, isNew] = m_versions[target.service].try_emplace(target.softwareVersion);
        auto& known = place->second;
        if (isNew) {
            known.index = m_nextIndex++;
            byIndex.push_back(&known);
            joined.push_back({ target.service, target.softwareVersion, true });
        }
        if (slot)
            *slot = { known.index, m_generation };
        out.push_back(&known);
    }
    return out;
}

/// Learns the versions of all targets, and holds those that are new.
std::vector<version_hold> rollout_cohorts::updateVersions(const std::vector<cohort_member>& members,
    const std::vector<known_version*>& known, std::vector<version_hold> joined)
{
    std::vector<version_hold> changes;
    for (auto& [service, versions] : m_versions) {
        for (auto& [version, each] : versions) {
            each.isPresent = false;
            each.isReady = false;
            each.earliestStart = 0;
        }
    }
    for (std::size_t index = 0; index < members.size(); ++index) {
        const auto& target = *members[index].target;
        auto& version = *known[index];
        version.isPresent = true;
        if (target.state == target_state::leaving)
            continue;
        version.isReady = version.isReady || target.state == target_state::ready;
        // Targets that state no start count as the latest ones.
        auto startedAt = target.startedAt == 0 ? ~unix_milliseconds { 0 } : target.startedAt;
        version.earliestStart
            = version.earliestStart == 0 ? startedAt : std::min(version.earliestStart, startedAt);
    }
    if (!m_holdsNewVersions)
        return {};
    for (const auto& each : joined)
        m_versions[each.service][each.version].isHeld = true;
    for (auto& [service, versions] : m_versions) {
        versions::value_type* earliest = nullptr;
        bool isServed = false;
        for (auto& each : versions) {
            auto& known = each.second;
            if (known.isHeld && isGoverned(service, each.first)) {
                known.isHeld = false;
                changes.push_back({ service, each.first, false });
            }
            isServed = isServed || (!known.isHeld && known.earliestStart != 0);
            bool isEarlier = known.isHeld && known.earliestStart != 0
                && (!earliest || known.earliestStart < earliest->second.earliestStart);
            if (isEarlier)
                earliest = &each;
        }
        // The service has no other version. If several joined at once, the next one of a rollout started
        // last.
        if (!isServed && earliest) {
            earliest->second.isHeld = false;
            changes.push_back({ service, earliest->first, false });
        }
    }
    // A hold that ends as it begins is none.
    for (auto& each : joined) {
        auto ended = std::find(changes.begin(), changes.end(), version_hold { each.service, each.version });
        if (ended != changes.end())
            changes.erase(ended);
        else
            changes.push_back(std::move(each));
    }
    return changes;
}

/// Notes the versions that joined although a rollout had ended their use.
void rollout_cohorts::noteBarredVersions()
{
    for (auto& [service, versions] : m_versions) {
        auto rollout = m_rollouts.find(service);
        for (auto& [version, known] : versions) {
            bool isBarred = roleOf(service, version) == rollout_role::barred;
            bool runs = known.earliestStart != 0; // has a target that isn't leaving
            known.wasUsed = runs && (known.wasUsed || !isBarred);
            if (!isBarred || !runs || known.wasUsed)
                continue;
            const auto& record = rollout->second;
            if (m_noted.emplace(service, version, record.id).second)
                m_barred.push_back({ service, version, record.id, record.state });
        }
    }
    std::erase_if(m_noted, [this](const auto& each) {
        auto rollout = m_rollouts.find(std::get<0>(each));
        return rollout == m_rollouts.end() || rollout->second.id != std::get<2>(each);
    });
}

rollout_role rollout_cohorts::roleOf(const std::string& service, const std::string& version) const
{
    auto found = m_rollouts.find(service);
    if (found != m_rollouts.end()) {
        const auto& rollout = found->second;
        if (rollout.endedVersions.contains(version))
            return rollout_role::barred;
        bool isNextVersion = version == rollout.version;
        bool isFormerVersion = rollout.formerVersions.contains(version);
        if (rollout.state == rollout_state::running && (isNextVersion || isFormerVersion))
            return isNextVersion ? rollout_role::next : rollout_role::former;
        if (isNextVersion || isFormerVersion) {
            bool isUsed = isNextVersion == (rollout.state == rollout_state::completed);
            return isUsed ? rollout_role::unrestricted : rollout_role::barred;
        }
    }
    bool isRunning = found != m_rollouts.end() && found->second.state == rollout_state::running;
    return isRunning ? rollout_role::other : rollout_role::unrestricted;
}

/// Determines what the standings of all targets of a version have in common.
void rollout_cohorts::updateStandings()
{
    m_hasReadyNext.clear();
    for (auto& [service, versions] : m_versions) {
        for (auto& [version, known] : versions) {
            auto role = roleOf(service, version);
            known.standing = {};
            known.standing.role = known.isHeld ? rollout_role::barred : role;
            known.standing.isHeld = known.isHeld;
            if (role == rollout_role::next && known.isReady)
                m_hasReadyNext[service] = true;
        }
    }
    for (auto& [service, versions] : m_versions) {
        auto common = standingOf(service);
        for (auto& [version, known] : versions) {
            known.standing.hasReadyNext = common.hasReadyNext;
            known.standing.share = common.share;
            known.standing.rollout = common.rollout;
        }
    }
}

std::vector<version_hold> rollout_cohorts::assign(const std::vector<cohort_member>& members)
{
    std::vector<version_hold> joined;
    auto known = versionsOf(members, joined);
    auto changes = updateVersions(members, known, std::move(joined));
    updateStandings();
    noteBarredVersions();
    bool hasPart = false;
    for (std::size_t index = 0; index < members.size(); ++index) {
        *members[index].standing = known[index]->standing;
        hasPart = hasPart || isOfPart(known[index]->standing);
    }
    if (hasPart)
        choosePart(members);
    return changes;
}

/// Makes next targets that a small share does not go to spare ones. In each failure domain, all entries
/// choose the same ones by rendezvous hashing, as far as they agree on which are ready and warm.
void rollout_cohorts::choosePart(const std::vector<cohort_member>& members) const
{
    struct ranked_member {
        bool isUnready = false;
        bool isCold = false;
        std::uint64_t hash = 0;
        const cohort_member* member = nullptr;
    };
    struct domain_part {
        std::vector<ranked_member> next;
        std::size_t former = 0;
    };
    // The names are those of the targets, which outlive this call. Each rollout is of one service.
    std::unordered_map<std::uint64_t, std::unordered_map<std::string_view, domain_part>> rollouts;
    for (const auto& member : members) {
        const auto& standing = *member.standing;
        if (!isOfPart(standing))
            continue;
        const auto& target = *member.target;
        auto& part = rollouts[standing.rollout][target.failureDomain];
        if (standing.role == rollout_role::next)
            part.next.push_back({ target.state != target_state::ready, member.isCold,
                hashBytes(target.name, standing.rollout), &member });
        else if (target.state != target_state::leaving)
            ++part.former;
    }
    auto rank = [](const ranked_member& each) {
        return std::tie(each.isUnready, each.isCold, each.hash, each.member->target->name);
    };
    for (auto& [rollout, parts] : rollouts) {
        for (auto& [domain, part] : parts) {
            if (part.next.empty())
                continue;
            auto share = static_cast<double>(part.next.front().member->standing->share) / rolloutFullShare;
            auto count = std::max<std::size_t>(
                1, static_cast<std::size_t>(std::lround(share * static_cast<double>(part.former))));
            if (count >= part.next.size())
                continue;
            auto spare = part.next.begin() + static_cast<std::ptrdiff_t>(count);
            std::nth_element(part.next.begin(), spare, part.next.end(),
                [&](const auto& left, const auto& right) { return rank(left) < rank(right); });
            for (; spare != part.next.end(); ++spare)
                spare->member->standing->role = rollout_role::spare;
        }
    }
}

rollout_standing rollout_cohorts::standingOf(const std::string& service) const
{
    auto found = m_rollouts.find(service);
    if (found == m_rollouts.end() || found->second.state != rollout_state::running)
        return {};
    rollout_standing standing;
    standing.hasReadyNext = m_hasReadyNext.contains(service);
    standing.share = found->second.share;
    standing.rollout = found->second.id;
    return standing;
}

} // namespace plumfold::core
