#include "plumfold/core/places/plumfold_contention_detector.hpp"

#include "plumfold/core/plumfold_domain_rank.hpp"

#include <algorithm>
#include <cmath>

namespace plumfold::core {

namespace {

/// Evidence of contention holds for this time. It is also the time constant of the average.
constexpr milliseconds contentionTime { 2'000 };
/// Share of the slots of a service from which on its targets may lack room for a moment.
constexpr double contendedShare = 0.7;
/// A place that was granted without a wait is known within this time.
constexpr milliseconds maxImmediateDecision { 20 };
/// Share of the time to the caller's deadline that a request may wait for a place; the rest is for the
/// target.
constexpr double maxDeadlineShare = 0.7;

} // namespace

void contention_detector::advance(instant now)
{
    if (m_advancedAt && now > *m_advancedAt) {
        std::chrono::duration<double> passed = now - *m_advancedAt;
        double kept = std::exp(-passed / std::chrono::duration<double>(contentionTime));
        m_average = m_average * kept + m_inFlight * (1 - kept);
    }
    m_advancedAt = std::max(m_advancedAt.value_or(now), now);
}

void contention_detector::onSent(instant now)
{
    advance(now);
    ++m_inFlight;
}

void contention_detector::onEnded(instant now)
{
    advance(now);
    m_inFlight -= m_inFlight > 0;
}

void contention_detector::onDecision(const place_decision& decision, milliseconds waited, instant now)
{
    bool isForRoom
        = decision.refusal == place_refusal::no_room || decision.refusal == place_refusal::queue_full;
    bool hasWaited = decision.refusal == place_refusal::none && waited > maxImmediateDecision;
    if (isForRoom || hasWaited)
        m_evidenceAt = now;
}

bool contention_detector::isContended(std::uint32_t slots, std::uint32_t entries, instant now)
{
    advance(now);
    double limit = contendedShare * slots / std::max(entries, 1u);
    if (slots > 0 && m_average >= limit) {
        // However high the load was, the average falls below the limit as soon as it ends. Without the time
        // for which evidence holds, the decision would change with every request that starts or ends.
        m_average = limit;
        m_evidenceAt = now;
    }
    return m_evidenceAt && now - *m_evidenceAt < contentionTime;
}

std::string placeDomainOf(const std::string& service, const std::vector<std::string>& failureDomains)
{
    auto chosen = std::find_if(failureDomains.begin(), failureDomains.end(),
        [&](const auto& each) { return domainRank(each, failureDomains, service) == 0; });
    return chosen == failureDomains.end() ? std::string() : *chosen;
}

milliseconds maxPlaceWait(
    milliseconds timeLeft, milliseconds latencyTarget, double latencyShare, milliseconds waited)
{
    auto part = [](milliseconds time, double share) {
        return milliseconds(static_cast<std::int64_t>(static_cast<double>(time.count()) * share));
    };
    auto wait = part(timeLeft, maxDeadlineShare);
    if (latencyTarget.count() > 0)
        wait = std::min(wait, part(latencyTarget, latencyShare) - waited);
    return std::max(wait, milliseconds(1));
}

} // namespace plumfold::core
