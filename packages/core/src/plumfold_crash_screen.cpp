#include "plumfold/core/plumfold_crash_screen.hpp"

#include <algorithm>

namespace plumfold::core {

namespace {

/// A suspect that keeps succeeding is reported again after this time.
constexpr milliseconds repeatedSuccessInterval { 1'000 };
/// Rejections of a condemned request are counted once in this time.
constexpr milliseconds rejectionInterval { 300'000 };

} // namespace

std::vector<crash_verdict> crash_screen::applyVerdicts(
    const std::vector<crash_verdict>& verdicts, instant now)
{
    std::erase_if(m_verdicts, [&](const auto& each) { return each.second.until <= now; });
    std::vector<crash_verdict> added;
    for (const auto& verdict : verdicts) {
        if (verdict.isWithdrawn) {
            m_verdicts.erase(verdict.fingerprint);
            continue;
        }
        auto [place, isNew] = m_verdicts.try_emplace(verdict.fingerprint);
        place->second.until = std::max(place->second.until, now + verdict.keepFor);
        if (isNew)
            added.push_back(verdict);
    }
    return added;
}

void crash_screen::setSuspects(const std::vector<crash_suspect>& suspects)
{
    m_suspects.clear();
    for (const auto& suspect : suspects)
        m_suspects[suspect.fingerprint] = suspect.crashes;
}

void crash_screen::onSuccess(std::uint64_t fingerprint, instant now)
{
    dropOldSuccesses(now);
    auto& latest = m_successes[fingerprint];
    if (latest.at != now)
        m_successOrder.emplace_back(now, fingerprint);
    latest.at = now;
}

void crash_screen::dropOldSuccesses(instant now)
{
    while (!m_successOrder.empty()
        && (m_successOrder.size() >= m_maxSuccesses
            || now - m_successOrder.front().first > m_maxSuccessAge)) {
        auto [at, fingerprint] = m_successOrder.front();
        m_successOrder.pop_front();
        auto found = m_successes.find(fingerprint);
        if (found != m_successes.end() && found->second.at == at)
            m_successes.erase(found);
    }
}

std::optional<milliseconds> crash_screen::condemnedFor(std::uint64_t fingerprint, instant now) const
{
    auto found = m_verdicts.find(fingerprint);
    if (found == m_verdicts.end() || found->second.until <= now)
        return std::nullopt;
    return std::chrono::ceil<milliseconds>(found->second.until - now);
}

bool crash_screen::takeRejection(std::uint64_t fingerprint, instant now)
{
    auto found = m_verdicts.find(fingerprint);
    if (found == m_verdicts.end())
        return false;
    auto& takenAt = found->second.rejectionTakenAt;
    if (takenAt && now - *takenAt < rejectionInterval)
        return false;
    takenAt = now;
    return true;
}

std::uint32_t crash_screen::crashesOf(std::uint64_t fingerprint) const
{
    auto found = m_suspects.find(fingerprint);
    return found == m_suspects.end() ? 0 : found->second;
}

bool crash_screen::mayHaveCrashed(std::uint64_t fingerprint, instant now) const
{
    auto found = m_successes.find(fingerprint);
    return found == m_successes.end() || now - found->second.at > m_maxSuccessAge;
}

std::vector<suspect_success> crash_screen::takeSuccesses(instant now)
{
    dropOldSuccesses(now);
    std::vector<suspect_success> taken;
    for (const auto& [fingerprint, crashes] : m_suspects) {
        auto found = m_successes.find(fingerprint);
        if (found == m_successes.end() || found->second.at - found->second.reported < repeatedSuccessInterval)
            continue;
        found->second.reported = found->second.at;
        taken.push_back({ fingerprint, std::chrono::duration_cast<milliseconds>(now - found->second.at) });
    }
    return taken;
}

} // namespace plumfold::core
