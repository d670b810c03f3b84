#pragma once

#include <cstdint>
#include <map>
#include <memory>
#include <mutex>
#include <string>

namespace plumfold::runtime {

/// Thread-safe counters, gauges and summaries of one process, exported in the Prometheus text format.
class metrics {
public:
    metrics();
    ~metrics();

    /// Adds to a counter.
    /// @param name full name with labels, for example `plumfold_requests_total{outcome="ok"}`.
    void count(const std::string& name, std::uint64_t amount = 1);

    /// Sets a gauge.
    void set(const std::string& name, double value);

    /// Adds a sample to a summary with the quantiles 0.5, 0.95 and 0.99.
    void observe(const std::string& name, double value);

    /// @return all metrics in the Prometheus text format.
    std::string prometheusText() const;

private:
    class summary;

    mutable std::mutex m_mutex;
    std::map<std::string, std::uint64_t> m_counters;
    std::map<std::string, double> m_gauges;
    std::map<std::string, std::unique_ptr<summary>> m_summaries;
};

} // namespace plumfold::runtime
