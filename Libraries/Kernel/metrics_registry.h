#pragma once

#include <atomic>
#include <compare>
#include <cstdint>
#include <map>
#include <memory>
#include <mutex>
#include <string>

namespace bilberryyard {

/// A counter that never decreases. Safe to use from several threads.
class metric_counter {
public:
    void add(uint64_t amount = 1) { m_value.fetch_add(amount, std::memory_order_relaxed); }
    uint64_t value() const { return m_value.load(std::memory_order_relaxed); }

private:
    std::atomic<uint64_t> m_value { 0 };
};

struct distribution_summary {
    uint64_t count;
    double mean;
    double maximum;
    double median;
    double percentile99;
    auto operator<=>(distribution_summary const&) const = default;
};

/// Estimates the distribution of samples with Boost.Accumulators. Safe to use from several threads.
class metric_distribution {
public:
    metric_distribution();
    metric_distribution(metric_distribution const&) = delete;
    metric_distribution& operator=(metric_distribution const&) = delete;
    ~metric_distribution();

    /// @param sample A value in the unit that the metric's name ends with.
    void add(double sample);
    /// @return Summary of all samples so far; all zero without samples.
    distribution_summary summary() const;

private:
    struct implementation;
    mutable std::mutex m_mutex;
    std::unique_ptr<implementation> m_implementation;
};

/// The metrics of a process by name. Returned references stay valid for the lifetime of the registry. Safe to use from
/// several threads.
class metrics_registry {
public:
    /// @param name Metric name that follows the Prometheus naming rules, for example "packets_dropped_total".
    /// @return The counter of that name, created at its first use.
    metric_counter& counter(std::string const& name);

    /// @param name Metric name that ends with its unit, for example "table_apply_seconds".
    /// @return The distribution of that name, created at its first use.
    metric_distribution& distribution(std::string const& name);

    void setGauge(std::string const& name, double value);

    /// @return All metrics in the Prometheus text exposition format, version 0.0.4.
    std::string exposition() const;

private:
    mutable std::mutex m_mutex;
    std::map<std::string, std::unique_ptr<metric_counter>> m_counters;
    std::map<std::string, std::unique_ptr<metric_distribution>> m_distributions;
    std::map<std::string, double> m_gauges;
};

} // namespace bilberryyard
