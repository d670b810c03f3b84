#include "plumfold/core/plumfold_permit_ledger.hpp"

#include <algorithm>

namespace plumfold::core {

namespace {

constexpr milliseconds retryWhenFull { 10 };
constexpr milliseconds silentTargetTimeout { 60'000 };
constexpr milliseconds drainReservation { 2000 };
// A denied holder keeps its place in line for a few retries.
constexpr milliseconds waitingPlaceTimeout { 40 };

} // namespace

permit_ledger::permit_ledger(milliseconds lease, std::uint64_t seed)
    : m_lease(lease)
    , m_next(seed << 24 | 1)
{
}

void permit_ledger::onReport(const target_report& report, instant now)
{
    auto [place, isNew] = m_targets.try_emplace(report.name);
    owned_target& target = place->second;
    if (target.incarnation == report.incarnation && !isNew) {
        target.reportedAt = now;
        target.window.setMaxLimit(report.maxBatch);
        // The report also counts requests under this ledger's permits, so inherited is never too low.
        target.inherited = std::min(target.inherited, report.running + report.queued);
        return;
    }
    bool restarted = !isNew;
    std::erase_if(m_permits, [&](const auto& each) { return each.second.target == report.name; });
    target = owned_target {};
    target.incarnation = report.incarnation;
    target.reportedAt = now;
    std::uint32_t load = restarted ? 0 : report.running + report.queued;
    target.window = slow_start_window(report.maxBatch, std::max(1u, restarted ? 1u : report.running));
    target.inherited = load;
    target.inheritedUntil = now + m_lease;
}

permit_answer permit_ledger::acquire(const permit_request& request, instant now)
{
    permit_answer answer;
    answer.retryAfter = retryWhenFull;
    auto found = m_targets.find(request.target);
    if (found == m_targets.end() || found->second.incarnation != request.incarnation)
        return answer;
    owned_target& target = found->second;
    if (now >= target.inheritedUntil)
        target.inherited = 0;
    std::uint32_t taken = target.taken + target.inherited;
    bool drainsForOther = now < target.drainUntil && target.drainFor != request.holder;
    if (request.alone && taken > 0 && !drainsForOther) {
        target.drainUntil = now + drainReservation;
        target.drainFor = request.holder;
    }
    bool drains = now < target.drainUntil && !request.alone;
    std::uint32_t limit = request.alone ? 1 : target.window.limit();
    std::uint32_t ahead = holdersAhead(target, request.holder, now);
    if (target.aloneHeld || drainsForOther || drains || taken + ahead >= limit) {
        auto place = std::find_if(target.waiting.begin(), target.waiting.end(),
            [&](const auto& each) { return each.holder == request.holder; });
        if (place == target.waiting.end())
            target.waiting.push_back({ request.holder, now + waitingPlaceTimeout });
        else
            place->until = now + waitingPlaceTimeout;
        return answer;
    }
    std::erase_if(target.waiting, [&](const auto& each) { return each.holder == request.holder; });
    if (request.alone)
        target.drainUntil = {};
    answer.granted = true;
    answer.limit = target.window.limit();
    answer.permit = m_next++;
    target.taken += 1;
    target.aloneHeld = request.alone;
    m_permits[answer.permit] = { request.holder, request.target, now + m_lease, request.alone };
    return answer;
}

// Freed permits go to the holders that were denied first, so that the owner has no advantage over other
// entries.
std::uint32_t permit_ledger::holdersAhead(owned_target& target, const std::string& holder, instant now)
{
    std::erase_if(target.waiting, [&](const auto& each) { return each.until <= now; });
    std::uint32_t count = 0;
    for (const auto& each : target.waiting) {
        if (each.holder == holder)
            break;
        ++count;
    }
    return count;
}

void permit_ledger::erasePermit(std::map<permit_id, held_permit>::iterator permit)
{
    auto found = m_targets.find(permit->second.target);
    if (found != m_targets.end()) {
        found->second.taken -= 1;
        if (permit->second.alone)
            found->second.aloneHeld = false;
    }
    m_permits.erase(permit);
}

void permit_ledger::release(permit_id permit, const attempt_measurement& measure)
{
    auto held = m_permits.find(permit);
    if (held == m_permits.end())
        return;
    auto target = m_targets.find(held->second.target);
    if (target != m_targets.end())
        target->second.window.record(measure);
    erasePermit(held);
}

void permit_ledger::renew(const std::string& holder, const std::vector<permit_id>& permits, instant now)
{
    for (permit_id permit : permits) {
        auto held = m_permits.find(permit);
        if (held != m_permits.end() && held->second.holder == holder)
            held->second.until = now + m_lease;
    }
}

void permit_ledger::expire(instant now)
{
    for (auto it = m_permits.begin(); it != m_permits.end();) {
        auto next = std::next(it);
        if (it->second.until <= now)
            erasePermit(it);
        it = next;
    }
    std::erase_if(m_targets, [&](const auto& each) {
        return each.second.taken == 0 && now - each.second.reportedAt > silentTargetTimeout;
    });
}

void permit_ledger::remove(const std::string& target)
{
    std::erase_if(m_permits, [&](const auto& each) { return each.second.target == target; });
    m_targets.erase(target);
}

std::uint32_t permit_ledger::limitOf(const std::string& target) const
{
    auto found = m_targets.find(target);
    return found == m_targets.end() ? 0 : found->second.window.limit();
}

std::uint32_t permit_ledger::takenOf(const std::string& target) const
{
    auto found = m_targets.find(target);
    return found == m_targets.end() ? 0 : found->second.taken + found->second.inherited;
}

} // namespace plumfold::core
