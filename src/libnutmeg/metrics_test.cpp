#include "nutmeghollow/metrics.h"

#include <gtest/gtest.h>

namespace nutmeghollow {
namespace {

TEST(Metrics, SummaryEstimatesQuantiles) {
  Summary summary;
  EXPECT_EQ(summary.Median(), 0.0);
  for (int value = 1; value <= 1000; ++value) {
    summary.Add(value);
  }
  EXPECT_EQ(summary.Count(), 1000U);
  EXPECT_EQ(summary.Max(), 1000.0);
  EXPECT_NEAR(summary.Median(), 500.0, 10.0);
  EXPECT_NEAR(summary.Percentile95(), 950.0, 10.0);
}

TEST(Metrics, RendersPrometheusText) {
  MetricsRegistry registry;
  registry.Count("nutmeg_requests_total", "outcome=\"completed\"", 2);
  registry.SetGauge("nutmeg_running", "", [] { return 3.0; });
  registry.Observe("nutmeg_first_byte_seconds", 0.25);
  EXPECT_EQ(registry.Render(),
            "# TYPE nutmeg_requests_total counter\n"
            "nutmeg_requests_total{outcome=\"completed\"} 2\n"
            "# TYPE nutmeg_running gauge\n"
            "nutmeg_running 3\n"
            "# TYPE nutmeg_first_byte_seconds summary\n"
            "nutmeg_first_byte_seconds{quantile=\"0.5\"} 0\n"
            "nutmeg_first_byte_seconds{quantile=\"0.95\"} 0\n"
            "nutmeg_first_byte_seconds_sum 0.25\n"
            "nutmeg_first_byte_seconds_count 1\n");
}

}  // namespace
}  // namespace nutmeghollow
