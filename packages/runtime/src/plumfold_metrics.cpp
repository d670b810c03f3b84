#include "plumfold/runtime/plumfold_metrics.hpp"

#include <sstream>

#include <boost/accumulators/accumulators.hpp>
#include <boost/accumulators/statistics/count.hpp>
#include <boost/accumulators/statistics/extended_p_square_quantile.hpp>
#include <boost/accumulators/statistics/stats.hpp>
#include <boost/accumulators/statistics/sum.hpp>

#include <array>

namespace plumfold::runtime {

namespace {

namespace acc = boost::accumulators;

using latency_accumulator = acc::accumulator_set<double,
    acc::stats<acc::tag::count, acc::tag::sum, acc::tag::extended_p_square_quantile>>;

constexpr std::array quantiles { 0.5, 0.95, 0.99 };

} // namespace

class metrics::summary {
public:
    summary()
        : values(acc::extended_p_square_probabilities = quantiles)
    {
    }
    latency_accumulator values;
};

metrics::metrics() = default;
metrics::~metrics() = default;

void metrics::count(const std::string& name, std::uint64_t amount)
{
    std::lock_guard lock(m_mutex);
    m_counters[name] += amount;
}

void metrics::set(const std::string& name, double value)
{
    std::lock_guard lock(m_mutex);
    m_gauges[name] = value;
}

void metrics::observe(const std::string& name, double value)
{
    std::lock_guard lock(m_mutex);
    auto& entry = m_summaries[name];
    if (!entry)
        entry = std::make_unique<summary>();
    entry->values(value);
}

std::string metrics::prometheusText() const
{
    std::lock_guard lock(m_mutex);
    std::ostringstream out;
    for (const auto& [name, value] : m_counters)
        out << name << ' ' << value << '\n';
    for (const auto& [name, value] : m_gauges)
        out << name << ' ' << value << '\n';
    for (const auto& [name, each] : m_summaries) {
        for (double quantile : quantiles) {
            out << name << "{quantile=\"" << quantile << "\"} "
                << acc::quantile(each->values, acc::quantile_probability = quantile) << '\n';
        }
        out << name << "_sum " << acc::sum(each->values) << '\n';
        out << name << "_count " << acc::count(each->values) << '\n';
    }
    return out.str();
}

} // namespace plumfold::runtime
