#include "plumfold/core/plumfold_load_leveling.hpp"

#include <algorithm>
#include <cmath>
#include <limits>

namespace plumfold::core {

namespace {

constexpr double rateTimeMs = 2'000; // time constant of the decay

} // namespace

double work_rate::decayed(instant now) const
{
    double passedMs = std::chrono::duration<double, std::milli>(now - m_decayedAt).count();
    return m_work * std::exp(-std::max(passedMs, 0.0) / rateTimeMs);
}

void work_rate::add(double costMs, instant now)
{
    m_work = decayed(now) + costMs;
    m_decayedAt = std::max(now, m_decayedAt);
}

double work_rate::expected(milliseconds time, instant now) const
{
    return decayed(now) / rateTimeMs * static_cast<double>(time.count());
}

double levelAfterArrivals(std::vector<double> waitsMs, double arrivingMs)
{
    std::sort(waitsMs.begin(), waitsMs.end());
    double sum = 0;
    for (std::size_t count = 1; count <= waitsMs.size(); ++count) {
        sum += waitsMs[count - 1];
        double level = (sum + arrivingMs) / static_cast<double>(count);
        if (count == waitsMs.size() || level <= waitsMs[count])
            return level;
    }
    return std::numeric_limits<double>::infinity();
}

} // namespace plumfold::core
