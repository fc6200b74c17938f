#pragma once

#include <atomic>
#include <compare>
#include <cstdint>
#include <map>
#include <memory>
#include <mutex>
#include <string>

namespace bilberryyard {

/// A counter that only rises. Written from any thread.
class metric_counter {
public:
    /// @param amount How much to add.
    void add(uint64_t amount = 1) { m_value.fetch_add(amount, std::memory_order_relaxed); }
    /// @return The current value.
    uint64_t value() const { return m_value.load(std::memory_order_relaxed); }

private:
    std::atomic<uint64_t> m_value { 0 };
};

/// Summary of the samples of a distribution.
struct distribution_summary {
    uint64_t count;
    double mean;
    double maximum;
    double median;
    double percentile99;
    auto operator<=>(distribution_summary const&) const = default;
};

/// A distribution of samples on Boost.Accumulators.
class metric_distribution {
public:
    metric_distribution();
    metric_distribution(metric_distribution const&) = delete;
    metric_distribution& operator=(metric_distribution const&) = delete;
    ~metric_distribution();

    /// @param sample The value to add, in the unit that the metric's name ends with.
    void add(double sample);
    /// @return Summary of all samples so far.
    distribution_summary summary() const;

private:
    struct implementation;
    mutable std::mutex m_mutex;
    std::unique_ptr<implementation> m_implementation;
};

/// The metrics of a process by name. References stay valid as long as the registry.
class metrics_registry {
public:
    /// @param name Metric name after the Prometheus naming rules, for example "packets_dropped_total".
    /// @return The counter of that name, made at the first use.
    metric_counter& counter(std::string const& name);

    /// @param name Metric name with its unit, for example "table_apply_seconds".
    /// @return The distribution of that name, made at the first use.
    metric_distribution& distribution(std::string const& name);

    /// Sets a gauge.
    /// @param name Metric name.
    /// @param value The value now.
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
