#include "LibObserve/Metrics.h"

#include <gmock/gmock.h>
#include <gtest/gtest.h>

using namespace Anvilyard::Observe;

TEST(MetricsTest, ShowsPrometheusText)
{
    MetricsRegistry registry;
    registry.counter("requests_total", "Requests.", {{"service", "fault-notes"}}).add(3);
    registry.gauge("open_exchanges", "Open now.").set(2);
    auto &distribution = registry.distribution("added_seconds", "Time added.");
    for (int value = 1; value <= 1000; ++value)
        distribution.record(value);
    auto const text = registry.toPrometheusText();
    EXPECT_THAT(text, ::testing::HasSubstr("requests_total{service=\"fault-notes\"} 3"));
    EXPECT_THAT(text, ::testing::HasSubstr("# TYPE added_seconds summary"));
    EXPECT_THAT(text, ::testing::HasSubstr("added_seconds_count 1000"));
    EXPECT_NEAR(distribution.summary().median, 500, 25);
    EXPECT_NEAR(distribution.summary().percentile99, 990, 25);
}

TEST(MetricsTest, SameNameAndLabelsAreOneMetric)
{
    MetricsRegistry registry;
    registry.counter("hits_total", "Hits.").add();
    registry.counter("hits_total", "Hits.").add();
    EXPECT_EQ(registry.counter("hits_total", "Hits.").value(), 2U);
}

TEST(MetricsTest, HistogramsShowCumulativeBuckets)
{
    MetricsRegistry registry;
    std::array<double, 2> const bounds = {0.1, 0.5};
    auto &histogram = registry.histogram("wait_seconds", "Waits.", bounds, {{"route", "notes"}});
    for (double const value : {0.05, 0.1, 0.3, 7.0})
        histogram.record(value);
    auto const text = registry.toPrometheusText();
    EXPECT_THAT(text, ::testing::HasSubstr("# TYPE wait_seconds histogram"));
    EXPECT_THAT(text, ::testing::HasSubstr("wait_seconds_bucket{route=\"notes\",le=\"0.1\"} 2"));
    EXPECT_THAT(text, ::testing::HasSubstr("wait_seconds_bucket{route=\"notes\",le=\"0.5\"} 3"));
    EXPECT_THAT(text, ::testing::HasSubstr("wait_seconds_bucket{route=\"notes\",le=\"+Inf\"} 4"));
    EXPECT_THAT(text, ::testing::HasSubstr("wait_seconds_count{route=\"notes\"} 4"));
}
