#include "LibObserve/Metrics.h"

#include <algorithm>
#include <array>
// Boost.Accumulators uses std::ostringstream without including it.
#include <sstream>

#include <boost/accumulators/accumulators.hpp>
#include <boost/accumulators/statistics/count.hpp>
#include <boost/accumulators/statistics/extended_p_square_quantile.hpp>
#include <boost/accumulators/statistics/stats.hpp>
#include <boost/accumulators/statistics/sum.hpp>
#include <mutex>
#include <prometheus/metric_family.h>
#include <prometheus/text_serializer.h>

namespace Anvilyard::Observe {

namespace accumulators = boost::accumulators;

namespace {

constexpr std::array<double, 5> QuantileProbabilities = {0.25, 0.5, 0.75, 0.95, 0.99};

using Accumulator = accumulators::accumulator_set<
    double,
    accumulators::stats<accumulators::tag::count, accumulators::tag::sum, accumulators::tag::extended_p_square_quantile>>;

std::vector<prometheus::ClientMetric::Label> toPrometheus(Labels const &labels)
{
    std::vector<prometheus::ClientMetric::Label> converted;
    for (auto const &[name, value] : labels)
        converted.push_back({name, value});
    return converted;
}

} // namespace

void Counter::add(std::uint64_t amount)
{
    value_.fetch_add(amount, std::memory_order_relaxed);
}

std::uint64_t Counter::value() const
{
    return value_.load(std::memory_order_relaxed);
}

void Gauge::set(double value)
{
    value_.store(value, std::memory_order_relaxed);
}

double Gauge::value() const
{
    return value_.load(std::memory_order_relaxed);
}

struct Distribution::Accumulators {
    mutable std::mutex mutex;
    Accumulator set{accumulators::extended_p_square_probabilities = QuantileProbabilities};
};

Distribution::Distribution()
    : accumulators_(std::make_unique<Accumulators>())
{
}

Distribution::~Distribution() = default;

void Distribution::record(double value)
{
    std::lock_guard const guard(accumulators_->mutex);
    accumulators_->set(value);
}

Distribution::Summary Distribution::summary() const
{
    std::lock_guard const guard(accumulators_->mutex);
    auto const &set = accumulators_->set;
    Summary summary{.count = accumulators::count(set), .sum = accumulators::sum(set)};
    if (summary.count == 0)
        return summary;
    summary.median = accumulators::quantile(set, accumulators::quantile_probability = 0.5);
    summary.percentile95 = accumulators::quantile(set, accumulators::quantile_probability = 0.95);
    summary.percentile99 = accumulators::quantile(set, accumulators::quantile_probability = 0.99);
    return summary;
}

Histogram::Histogram(std::span<double const> upperBounds)
    : upperBounds_(upperBounds.begin(), upperBounds.end())
    , counts_(upperBounds.size() + 1)
{
}

void Histogram::record(double value)
{
    auto const bucket = std::lower_bound(upperBounds_.begin(), upperBounds_.end(), value) - upperBounds_.begin();
    counts_[static_cast<std::size_t>(bucket)].fetch_add(1, std::memory_order_relaxed);
    sum_.fetch_add(value, std::memory_order_relaxed);
}

Histogram::Snapshot Histogram::snapshot() const
{
    Snapshot snapshot{.sum = sum_.load(std::memory_order_relaxed)};
    for (auto const &count : counts_) {
        snapshot.count += count.load(std::memory_order_relaxed);
        snapshot.cumulative.push_back(snapshot.count);
    }
    snapshot.cumulative.pop_back();
    return snapshot;
}

std::vector<double> const &Histogram::upperBounds() const
{
    return upperBounds_;
}

struct MetricsRegistry::Families {
    template<typename Metric>
    struct Family {
        std::string help;
        std::map<Labels, std::unique_ptr<Metric>> metrics;
    };

    template<typename Metric, typename... Arguments>
    static Metric &find(std::map<std::string, Family<Metric>> &families,
                        std::string const &name,
                        std::string const &help,
                        Labels const &labels,
                        Arguments const &...arguments)
    {
        auto &family = families[name];
        family.help = help;
        auto &metric = family.metrics[labels];
        if (!metric)
            metric = std::make_unique<Metric>(arguments...);
        return *metric;
    }

    mutable std::mutex mutex;
    std::map<std::string, Family<Counter>> counters;
    std::map<std::string, Family<Gauge>> gauges;
    std::map<std::string, Family<Distribution>> distributions;
    std::map<std::string, Family<Histogram>> histograms;
};

namespace {

/// Converts one family. `fill` copies the values of a metric.
template<typename Family, typename Fill>
prometheus::MetricFamily toPrometheus(std::string const &name, Family const &family, prometheus::MetricType type, Fill fill)
{
    prometheus::MetricFamily converted;
    converted.name = name;
    converted.help = family.help;
    converted.type = type;
    for (auto const &[labels, metric] : family.metrics) {
        prometheus::ClientMetric client;
        client.label = toPrometheus(labels);
        fill(client, *metric);
        converted.metric.push_back(std::move(client));
    }
    return converted;
}

void fillSummary(prometheus::ClientMetric &client, Distribution const &distribution)
{
    auto const summary = distribution.summary();
    client.summary.sample_count = summary.count;
    client.summary.sample_sum = summary.sum;
    client.summary.quantile = {{0.5, summary.median}, {0.95, summary.percentile95}, {0.99, summary.percentile99}};
}

void fillHistogram(prometheus::ClientMetric &client, Histogram const &histogram)
{
    auto const snapshot = histogram.snapshot();
    client.histogram.sample_count = snapshot.count;
    client.histogram.sample_sum = snapshot.sum;
    auto const &bounds = histogram.upperBounds();
    for (std::size_t index = 0; index < bounds.size(); ++index)
        client.histogram.bucket.push_back({.cumulative_count = snapshot.cumulative[index], .upper_bound = bounds[index]});
}

} // namespace

MetricsRegistry::MetricsRegistry()
    : families_(std::make_unique<Families>())
{
}

MetricsRegistry::~MetricsRegistry() = default;

Counter &MetricsRegistry::counter(std::string const &name, std::string const &help, Labels const &labels)
{
    std::lock_guard const guard(families_->mutex);
    return Families::find(families_->counters, name, help, labels);
}

Gauge &MetricsRegistry::gauge(std::string const &name, std::string const &help, Labels const &labels)
{
    std::lock_guard const guard(families_->mutex);
    return Families::find(families_->gauges, name, help, labels);
}

Distribution &MetricsRegistry::distribution(std::string const &name, std::string const &help, Labels const &labels)
{
    std::lock_guard const guard(families_->mutex);
    return Families::find(families_->distributions, name, help, labels);
}

Histogram &
MetricsRegistry::histogram(std::string const &name, std::string const &help, std::span<double const> upperBounds, Labels const &labels)
{
    std::lock_guard const guard(families_->mutex);
    return Families::find(families_->histograms, name, help, labels, upperBounds);
}

std::string MetricsRegistry::toPrometheusText() const
{
    std::lock_guard const guard(families_->mutex);
    std::vector<prometheus::MetricFamily> converted;
    for (auto const &[name, family] : families_->counters)
        converted.push_back(toPrometheus(name, family, prometheus::MetricType::Counter, [](auto &client, auto const &counter) {
            client.counter.value = static_cast<double>(counter.value());
        }));
    for (auto const &[name, family] : families_->gauges)
        converted.push_back(toPrometheus(
            name, family, prometheus::MetricType::Gauge, [](auto &client, auto const &gauge) { client.gauge.value = gauge.value(); }));
    for (auto const &[name, family] : families_->distributions)
        converted.push_back(toPrometheus(name, family, prometheus::MetricType::Summary, fillSummary));
    for (auto const &[name, family] : families_->histograms)
        converted.push_back(toPrometheus(name, family, prometheus::MetricType::Histogram, fillHistogram));
    return prometheus::TextSerializer().Serialize(converted);
}

} // namespace Anvilyard::Observe
