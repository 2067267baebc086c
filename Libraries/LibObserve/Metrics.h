#pragma once

#include <array>
#include <atomic>
#include <cstdint>
#include <map>
#include <memory>
#include <span>
#include <string>
#include <vector>

namespace Anvilyard::Observe {

using Labels = std::map<std::string, std::string>;

/// A monotonically increasing count. Safe from any thread.
class Counter
{
public:
    void add(std::uint64_t amount = 1);
    [[nodiscard]] std::uint64_t value() const;

private:
    std::atomic<std::uint64_t> value_{0};
};

/// A value that can rise and fall. Safe from any thread.
class Gauge
{
public:
    void set(double value);
    [[nodiscard]] double value() const;

private:
    std::atomic<double> value_{0};
};

/// Count, sum and the quantiles 0.5, 0.95 and 0.99 of the recorded values, based on Boost.Accumulators. Safe from any thread.
class Distribution
{
public:
    struct Summary {
        std::uint64_t count = 0;
        double sum = 0;
        double median = 0;
        double percentile95 = 0;
        double percentile99 = 0;
    };

    Distribution();
    ~Distribution();
    void record(double value);
    [[nodiscard]] Summary summary() const;

private:
    struct Accumulators;
    std::unique_ptr<Accumulators> accumulators_;
};

/// Counts values in buckets that are defined by their upper bounds. Safe from any thread.
class Histogram
{
public:
    struct Snapshot {
        /// For each upper bound, the number of values less than or equal to it.
        std::vector<std::uint64_t> cumulative;
        std::uint64_t count = 0;
        double sum = 0;
    };

    /// `upperBounds` must be in ascending order. Values above the last bound are included only in the sum and the count.
    explicit Histogram(std::span<double const> upperBounds);
    void record(double value);
    [[nodiscard]] Snapshot snapshot() const;
    [[nodiscard]] std::vector<double> const &upperBounds() const;

private:
    std::vector<double> upperBounds_;
    /// One count per bound and one for the values above the last bound.
    std::vector<std::atomic<std::uint64_t>> counts_;
    std::atomic<double> sum_{0};
};

/// Upper bounds in seconds for caller latencies, from a network round trip to more than any caller waits.
inline constexpr std::array<double, 12> LatencyBounds = {0.01, 0.025, 0.05, 0.1, 0.2, 0.3, 0.5, 0.75, 1, 2, 5, 10};

/// All metrics of one program. References stay valid during the lifetime of the registry. Names include the unit, for example
/// "anvilyard_entry_added_seconds".
class MetricsRegistry
{
public:
    MetricsRegistry();
    ~MetricsRegistry();

    /// Calls with the same name and labels return the same metric.
    Counter &counter(std::string const &name, std::string const &help, Labels const &labels = {});
    Gauge &gauge(std::string const &name, std::string const &help, Labels const &labels = {});
    Distribution &distribution(std::string const &name, std::string const &help, Labels const &labels = {});
    /// All histograms of one name must have the same bounds.
    Histogram &histogram(std::string const &name, std::string const &help, std::span<double const> upperBounds, Labels const &labels = {});

    /// Returns all metrics in the Prometheus text format.
    [[nodiscard]] std::string toPrometheusText() const;

private:
    struct Families;
    std::unique_ptr<Families> families_;
};

} // namespace Anvilyard::Observe
