#include "plumfold/core/plumfold_crash_screen.hpp"

#include <algorithm>

namespace plumfold::core {

namespace {

/// A suspect that keeps succeeding is reported again after this time.
constexpr milliseconds repeatedSuccessInterval { 1'000 };
/// Rejections by a verdict are counted once in this time.
constexpr milliseconds rejectionInterval { 300'000 };
/// Crashes from which on a request is a suspect because of one of its parts. A sound one is easily lost once
/// beside a request that crashes targets.
constexpr std::uint32_t crashesOfSuspectPart = 2;

} // namespace

std::vector<crash_verdict> crash_screen::applyVerdicts(
    const std::vector<crash_verdict>& verdicts, instant now)
{
    for (auto each = m_verdicts.begin(); each != m_verdicts.end();) {
        auto next = std::next(each);
        if (each->second.until <= now)
            remove(each);
        each = next;
    }
    std::vector<crash_verdict> added;
    for (const auto& verdict : verdicts) {
        auto known = m_verdicts.find(verdict.id);
        if (verdict.isWithdrawn || verdict.traits.empty()) {
            if (known != m_verdicts.end())
                remove(known);
            continue;
        }
        auto [place, isNew] = m_verdicts.try_emplace(verdict.id);
        place->second.until = std::max(place->second.until, now + verdict.keepFor);
        if (!isNew)
            continue;
        place->second.traits = verdict.traits;
        m_verdictsByTrait.emplace(*verdict.traits.begin(), verdict.id);
        added.push_back(verdict);
    }
    return added;
}

void crash_screen::remove(std::map<std::uint64_t, known_verdict>::iterator verdict)
{
    auto [first, last] = m_verdictsByTrait.equal_range(*verdict->second.traits.begin());
    m_verdictsByTrait.erase(
        std::find_if(first, last, [&](const auto& each) { return each.second == verdict->first; }));
    m_verdicts.erase(verdict);
}

void crash_screen::setSuspects(const std::vector<crash_suspect>& suspects)
{
    m_suspects.clear();
    for (const auto& suspect : suspects)
        m_suspects[suspect.trait] = suspect.crashes;
}

void crash_screen::onSuccess(const std::vector<request_trait>& request, instant now)
{
    dropOldSuccesses(now);
    for (const auto& trait : request) {
        auto& latest = m_successes[trait.id];
        if (latest.at != now)
            m_successOrder.emplace_back(now, trait.id);
        latest.at = now;
    }
}

void crash_screen::dropOldSuccesses(instant now)
{
    while (!m_successOrder.empty()
        && (m_successOrder.size() >= m_maxSuccesses
            || now - m_successOrder.front().first > m_maxSuccessAge)) {
        auto [at, trait] = m_successOrder.front();
        m_successOrder.pop_front();
        auto found = m_successes.find(trait);
        if (found != m_successes.end() && found->second.at == at)
            m_successes.erase(found);
    }
}

std::optional<crash_screen::match> crash_screen::findVerdict(
    const std::vector<request_trait>& request, instant now) const
{
    if (m_verdicts.empty())
        return std::nullopt;
    for (const auto& trait : request) {
        auto [first, last] = m_verdictsByTrait.equal_range(trait.id);
        for (auto each = first; each != last; ++each) {
            const auto& verdict = m_verdicts.at(each->second);
            if (hasTraits(request, verdict.traits) && now < verdict.until)
                return match { each->second, std::chrono::ceil<milliseconds>(verdict.until - now) };
        }
    }
    return std::nullopt;
}

bool crash_screen::isSuspect(const std::vector<request_trait>& request) const
{
    return std::any_of(request.begin(), request.end(), [&](const auto& trait) {
        auto found = m_suspects.find(trait.id);
        auto crashes = found == m_suspects.end() ? 0 : found->second;
        return crashes >= (trait.kind == trait_kind::request ? 1 : crashesOfSuspectPart);
    });
}

std::vector<suspect_success> crash_screen::successesOf(
    const std::vector<request_trait>& request, instant now) const
{
    std::vector<suspect_success> found;
    for (const auto& trait : request) {
        auto success = m_successes.find(trait.id);
        if (success == m_successes.end() || now - success->second.at > m_maxSuccessAge)
            continue;
        found.push_back({ trait.id, std::chrono::duration_cast<milliseconds>(now - success->second.at) });
    }
    return found;
}

std::vector<suspect_success> crash_screen::takeSuccesses(instant now)
{
    dropOldSuccesses(now);
    std::vector<suspect_success> taken;
    for (const auto& [trait, crashes] : m_suspects) {
        auto found = m_successes.find(trait);
        if (found == m_successes.end() || found->second.at - found->second.reported < repeatedSuccessInterval)
            continue;
        found->second.reported = found->second.at;
        taken.push_back({ trait, std::chrono::duration_cast<milliseconds>(now - found->second.at) });
    }
    return taken;
}

bool crash_screen::takeRejection(std::uint64_t verdict, instant now)
{
    auto found = m_verdicts.find(verdict);
    if (found == m_verdicts.end())
        return false;
    auto& takenAt = found->second.rejectionTakenAt;
    if (takenAt && now - *takenAt < rejectionInterval)
        return false;
    takenAt = now;
    return true;
}

} // namespace plumfold::core
