#include "plumfold/core/plumfold_target_rate_limiter.hpp"

#include <algorithm>
#include <cmath>

namespace plumfold::core {

namespace {

constexpr double minPerSecond = 0.1;
/// Time in which grants accumulate that nobody asks for.
constexpr double burstSeconds = 0.5;

} // namespace

void target_rate_limiter::restart(instant from)
{
    m_buckets.clear();
    m_from = from;
}

grant_decision target_rate_limiter::tryStart(
    const std::string& target, unix_milliseconds startedAt, double perSecond, instant now)
{
    double rate = std::max(perSecond, minPerSecond);
    auto [place, isNew] = m_buckets.try_emplace(target);
    auto& limited = place->second;
    if (isNew || limited.startedAt != startedAt)
        limited = { startedAt, 0, std::max(now, m_from) };
    auto elapsed = std::chrono::duration<double>(std::max(now, limited.filledAt) - limited.filledAt).count();
    limited.grants = std::min(limited.grants + elapsed * rate, std::max(1.0, rate * burstSeconds));
    limited.filledAt = std::max(now, limited.filledAt);
    if (limited.grants >= 1) {
        limited.grants -= 1;
        return { true, milliseconds(0) };
    }
    auto wait = std::chrono::duration<double>((1 - limited.grants) / rate);
    return { false, std::chrono::ceil<milliseconds>(limited.filledAt - now + wait) };
}

void target_rate_limiter::removeIdle(instant now, milliseconds maxAge)
{
    std::erase_if(m_buckets, [&](const auto& each) { return now - each.second.filledAt > maxAge; });
}

} // namespace plumfold::core
