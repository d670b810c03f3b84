#include "plumfold/core/plumfold_brittle_limiter.hpp"

#include "plumfold/core/plumfold_hash.hpp"

#include <algorithm>
#include <cmath>
#include <limits>

namespace plumfold::core {

namespace {

constexpr milliseconds entryCountWindow { 5'000 };
/// Targets of a service do not begin and end their brittle time at the same instant.
constexpr milliseconds declarationHysteresis { 1'000 };
/// In which a limit rises from nothing to the entry's part of the slots.
constexpr milliseconds riseTime { 4'000 };
/// A target stops a request at the latest this long after its connection was closed.
constexpr milliseconds cancellationTime { 500 };
constexpr milliseconds rejectionWindow { 1'000 };
/// In which all entries learn that a service is brittle, and what they sent before has ended.
constexpr milliseconds settleTime { 2'000 };
/// With fewer slots than entries, the entries that use them are drawn anew after this time.
constexpr milliseconds drawPeriod { 1'000 };
/// Share of the slots that is drawn then: the number of entries that draw a slot varies.
constexpr double drawnSlotShare = 0.5;

} // namespace

void brittle_limiter::setEntryCount(std::uint32_t count, instant now)
{
    while (!m_entryCounts.empty() && m_entryCounts.back().second <= count)
        m_entryCounts.pop_back();
    m_entryCounts.emplace_back(now, count);
    while (now - m_entryCounts.front().first > entryCountWindow)
        m_entryCounts.pop_front();
}

std::uint32_t brittle_limiter::entries() const
{
    return m_entryCounts.empty() ? 1 : std::max(1U, m_entryCounts.front().second);
}

void brittle_limiter::onResponse(
    const std::string& service, std::optional<std::uint32_t> maxRejections, instant now)
{
    if (maxRejections) {
        auto& known = m_services.try_emplace(service, brittle_service { 0, now, now }).first->second;
        known.maxRejections = *maxRejections;
        known.declaredAt = now;
        return;
    }
    auto found = m_services.find(service);
    if (found != m_services.end() && now - found->second.declaredAt >= declarationHysteresis)
        m_services.erase(found);
}

/// @return the interval in which this entry may cause one rejection if each entry has an equal part of those
/// that a target bears.
milliseconds brittle_limiter::rejectionInterval(const std::string& service) const
{
    double borne = std::max(1U, m_services.at(service).maxRejections);
    auto intervals = std::max(1.0, static_cast<double>(entries()) / borne);
    return std::chrono::ceil<milliseconds>(
        std::chrono::duration<double, std::milli>(intervals * static_cast<double>(rejectionWindow.count())));
}

/// A rejection soon after the service became known as brittle is due to requests that were not limited yet,
/// of this entry or others, and says nothing about the limit.
milliseconds brittle_limiter::pauseAfterRejection(const std::string& service, instant now) const
{
    auto interval = rejectionInterval(service);
    bool isSettling = now - m_services.at(service).knownSince < settleTime;
    return isSettling ? std::min(interval, settleTime) : interval;
}

double brittle_limiter::riseOf(const limited_target& target, instant now)
{
    auto elapsed = std::chrono::duration<double, std::milli>(now - target.risesFrom).count();
    return std::min(1.0, target.startShare + elapsed / static_cast<double>(riseTime.count()));
}

void brittle_limiter::onRejection(const std::string& service, const std::string& target, instant now)
{
    if (!isBrittle(service))
        return;
    auto& limited = m_targets[target];
    if (now < limited.pausedUntil)
        return; // sent before the rejection that has halved the limit was known
    limited.startShare = riseOf(limited, now) / 2;
    limited.pausedUntil = now + pauseAfterRejection(service, now);
    limited.risesFrom = limited.pausedUntil;
}

void brittle_limiter::onTargetStarted(const std::string& service, const std::string& target, instant now)
{
    m_targets.erase(target);
    if (isBrittle(service))
        m_targets[target] = { 0, now, now, {} };
}

void brittle_limiter::onAttemptCancelled(const std::string& service, const std::string& target, instant now)
{
    if (!isBrittle(service))
        return;
    auto& cancelled = m_targets[target].cancelledAt;
    cancelled.push_back(now);
    while (now - cancelled.front() >= cancellationTime)
        cancelled.pop_front();
}

/// @return whether this entry has the use of a target in the current period.
bool brittle_limiter::isDrawn(const std::string& target, double probability, instant now) const
{
    auto period = static_cast<std::uint64_t>(now.time_since_epoch() / drawPeriod);
    auto draw = static_cast<double>(hashBytes(m_entry, hashBytes(target, period)));
    return draw < probability * static_cast<double>(std::numeric_limits<std::uint64_t>::max());
}

bool brittle_limiter::fitsMemory(const std::string& target, std::uint64_t memoryTokens,
    std::uint64_t inFlightTokens, std::uint64_t tokens, instant now) const
{
    double part = static_cast<double>(memoryTokens) / entries();
    if (static_cast<double>(inFlightTokens + tokens) <= part)
        return true;
    return inFlightTokens == 0 && isDrawn(target, part / static_cast<double>(tokens), now);
}

std::optional<std::uint32_t> brittle_limiter::limit(
    const std::string& service, const std::string& target, std::uint32_t slots, instant now) const
{
    if (!isBrittle(service))
        return std::nullopt;
    auto part = static_cast<double>(std::max(slots, 1U)) / entries();
    auto found = m_targets.find(target);
    if (found != m_targets.end() && now < found->second.pausedUntil)
        return 0;
    if (part < 1)
        return isDrawn(target, part * drawnSlotShare, now) ? 1 : 0;
    const auto limited = found == m_targets.end() ? limited_target() : found->second;
    auto limit = static_cast<std::uint32_t>(std::max(1.0, std::floor(part * riseOf(limited, now))));
    auto mayRun = static_cast<std::uint32_t>(std::count_if(limited.cancelledAt.begin(),
        limited.cancelledAt.end(), [&](instant at) { return now - at < cancellationTime; }));
    return limit - std::min(limit, mayRun);
}

} // namespace plumfold::core
