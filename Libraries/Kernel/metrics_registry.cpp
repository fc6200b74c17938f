#include <Kernel/metrics_registry.h>

#include <boost/accumulators/accumulators.hpp>
#include <boost/accumulators/statistics/count.hpp>
#include <boost/accumulators/statistics/max.hpp>
#include <boost/accumulators/statistics/mean.hpp>
#include <boost/accumulators/statistics/p_square_quantile.hpp>
#include <boost/accumulators/statistics/stats.hpp>
#include <sstream>

namespace bilberryyard {

namespace statistics = boost::accumulators;

struct metric_distribution::implementation {
    using quantile = statistics::accumulator_set<double, statistics::stats<statistics::tag::p_square_quantile>>;

    statistics::accumulator_set<double,
        statistics::stats<statistics::tag::count, statistics::tag::mean, statistics::tag::max>>
        moments;
    quantile median { statistics::quantile_probability = 0.5 };
    quantile percentile99 { statistics::quantile_probability = 0.99 };
};

metric_distribution::metric_distribution()
    : m_implementation(std::make_unique<implementation>())
{
}

metric_distribution::~metric_distribution() = default;

void metric_distribution::add(double sample)
{
    std::lock_guard const lock(m_mutex);
    m_implementation->moments(sample);
    m_implementation->median(sample);
    m_implementation->percentile99(sample);
}

distribution_summary metric_distribution::summary() const
{
    std::lock_guard const lock(m_mutex);
    auto const count = statistics::count(m_implementation->moments);
    if (!count)
        return { 0, 0, 0, 0, 0 };
    return { count, statistics::mean(m_implementation->moments), statistics::max(m_implementation->moments),
        statistics::p_square_quantile(m_implementation->median),
        statistics::p_square_quantile(m_implementation->percentile99) };
}

metric_counter& metrics_registry::counter(std::string const& name)
{
    std::lock_guard const lock(m_mutex);
    auto& slot = m_counters[name];
    if (!slot)
        slot = std::make_unique<metric_counter>();
    return *slot;
}

metric_distribution& metrics_registry::distribution(std::string const& name)
{
    std::lock_guard const lock(m_mutex);
    auto& slot = m_distributions[name];
    if (!slot)
        slot = std::make_unique<metric_distribution>();
    return *slot;
}

void metrics_registry::setGauge(std::string const& name, double value)
{
    std::lock_guard const lock(m_mutex);
    m_gauges[name] = value;
}

std::string metrics_registry::exposition() const
{
    std::lock_guard const lock(m_mutex);
    std::ostringstream text;
    for (auto const& [name, counter] : m_counters)
        text << "# TYPE bilberryyard_" << name << " counter\nbilberryyard_" << name << ' ' << counter->value() << '\n';
    for (auto const& [name, value] : m_gauges)
        text << "# TYPE bilberryyard_" << name << " gauge\nbilberryyard_" << name << ' ' << value << '\n';
    for (auto const& [name, distribution] : m_distributions) {
        auto const summary = distribution->summary();
        text << "# TYPE bilberryyard_" << name << " summary\n"
             << "bilberryyard_" << name << "{quantile=\"0.5\"} " << summary.median << '\n'
             << "bilberryyard_" << name << "{quantile=\"0.99\"} " << summary.percentile99 << '\n'
             << "bilberryyard_" << name << "_sum " << summary.mean * static_cast<double>(summary.count) << '\n'
             << "bilberryyard_" << name << "_count " << summary.count << '\n';
    }
    return text.str();
}

} // namespace bilberryyard
