#include "plumfold/core/placement/plumfold_link_delays.hpp"

#include <algorithm>
#include <array>
#include <cmath>

namespace plumfold::core {

namespace {

/// Samples that count for the correction of all sources: some seconds of one entry's prompts.
constexpr std::size_t maxSamples = 15;
constexpr milliseconds maxSampleAge { 3'000 };
/// An entry fetches from each of 28 stores only every few seconds, so a shorter memory never learns that one
/// of them is slow. Avoiding a store that has recovered costs only reading.
constexpr double sourceHalfLifeMs = 10'000;
/// Samples that the model counts for.
constexpr double sharedPriorSamples = 4;
/// A single sample may show a slow engine instead.
constexpr double sourcePriorSamples = 3;
constexpr double maxSampleMs = 2'500;
constexpr milliseconds forgetTime { 60'000 };

} // namespace

link_delays::decaying_mean link_delays::decaying_mean::decayed(instant now) const
{
    double passedMs = std::max(0.0, std::chrono::duration<double, std::milli>(now - at).count());
    double factor = std::exp2(-passedMs / sourceHalfLifeMs);
    return { count * factor, sumMs * factor, std::max(now, at) };
}

void link_delays::decaying_mean::add(double ms, instant now)
{
    *this = decayed(now);
    count += 1;
    sumMs += ms;
}

double link_delays::decaying_mean::mean() const
{
    return sumMs / (count + sourcePriorSamples);
}

void link_delays::recent_samples::add(double ms, instant now)
{
    m_samples.emplace_back(now, ms);
    if (m_samples.size() > maxSamples)
        m_samples.pop_front();
}

double link_delays::recent_samples::medianMs(instant now) const
{
    std::array<double, maxSamples> recent {};
    std::size_t count = 0;
    for (const auto& [at, ms] : m_samples) {
        if (now - at <= maxSampleAge)
            recent[count++] = ms;
    }
    if (count == 0)
        return 0;
    auto middle = recent.begin() + static_cast<std::ptrdiff_t>(count / 2);
    std::nth_element(recent.begin(), middle, recent.begin() + static_cast<std::ptrdiff_t>(count));
    auto known = static_cast<double>(count);
    return *middle * known / (known + sharedPriorSamples);
}

bool link_delays::recent_samples::isEmpty(instant now) const
{
    return m_samples.empty() || now - m_samples.back().first > maxSampleAge;
}

double link_delays::sharedCorrectionMs(instant now) const
{
    // Without fetches nothing is known, whatever prompts that are read show.
    return m_fetched.isEmpty(now) ? 0 : m_fetched.medianMs(now) - m_baseline.medianMs(now);
}

void link_delays::record(const std::vector<std::string>& sources, double excessMs, instant now)
{
    if (!std::isfinite(excessMs))
        return;
    double sample = std::clamp(excessMs, -maxSampleMs, maxSampleMs);
    if (now >= m_nextCleanup) {
        std::erase_if(m_sources, [&](const auto& each) { return now - each.second.at > forgetTime; });
        m_nextCleanup = now + forgetTime;
    }
    if (sources.empty()) {
        m_baseline.add(sample, now);
        return;
    }
    m_fetched.add(sample, now);
    double all = m_fetched.medianMs(now);
    for (const auto& source : sources) {
        auto& known = m_sources[source];
        // A good sample ends the avoidance of a source that was slow.
        if (sample < all && known.sumMs > 0)
            known = {};
        known.add(sample - all, now);
    }
}

double link_delays::correctionMs(const std::string& source, instant now) const
{
    auto found = m_sources.find(source);
    double own = found == m_sources.end() ? 0 : found->second.decayed(now).mean();
    // Single good samples say nothing about the next wait; only slowness is attributed to a source.
    return sharedCorrectionMs(now) + std::max(own, 0.0);
}

} // namespace plumfold::core
