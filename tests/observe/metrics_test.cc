// Guards against exposition text that a scraper rejects, and against histogram
// buckets that miscount values equal to a bound.
#include "src/observe/metrics.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <algorithm>

namespace marjoramhall::observe {
namespace {

TEST(MetricsTest, RendersExpositionFormat) {
  MetricsRegistry metrics;
  metrics.AddCounter("flows_total", "Flows.", {{"service", "a\"b"}}).Add(3);
  metrics.AddCounter("flows_total", "Flows.", {{"service", "c"}}).Add();
  metrics.AddGauge("held_slots", "Slots.", [] { return 2.5; });
  Histogram& latency =
      metrics.AddHistogram("latency_seconds", "Latency.", {0.1, 1});
  latency.Record(0.1);
  latency.Record(0.5);
  latency.Record(7);
  EXPECT_EQ(metrics.Render(),
            "# HELP flows_total Flows.\n"
            "# TYPE flows_total counter\n"
            "flows_total{service=\"a\\\"b\"} 3\n"
            "flows_total{service=\"c\"} 1\n"
            "# HELP held_slots Slots.\n"
            "# TYPE held_slots gauge\n"
            "held_slots 2.5\n"
            "# HELP latency_seconds Latency.\n"
            "# TYPE latency_seconds histogram\n"
            "latency_seconds_bucket{le=\"0.1\"} 1\n"
            "latency_seconds_bucket{le=\"1\"} 2\n"
            "latency_seconds_bucket{le=\"+Inf\"} 3\n"
            "latency_seconds_sum 7.6\n"
            "latency_seconds_count 3\n");
}

RC_GTEST_PROP(MetricsTest,
              BucketsIncludeTheirUpperBound,
              (const std::vector<uint16_t>& values)) {
  Histogram histogram(LatencyBucketBounds());
  for (const uint16_t it : values) {
    histogram.Record(it / 10000.0);
  }
  const auto counts = histogram.CumulativeCounts();
  for (size_t i = 0; i < histogram.bounds().size(); ++i) {
    const double bound = histogram.bounds()[i];
    const auto expected =
        std::count_if(values.begin(), values.end(),
                      [&](uint16_t it) { return it / 10000.0 <= bound; });
    RC_ASSERT(counts[i] == static_cast<uint64_t>(expected));
  }
  RC_ASSERT(counts.back() == values.size());
}

}  // namespace
}  // namespace marjoramhall::observe
