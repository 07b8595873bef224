// Tests of the metrics.
#include "snipewalk/base/metrics.h"

#include <gtest/gtest.h>

#include <random>

namespace snipewalk {
namespace {

// Guards against quantiles that are far from those of the recorded values.
TEST(MetricsTest, EstimatesQuantilesOfAUniformDistribution)
{
  distribution latency("latency", "ms");
  std::mt19937_64 random(7);
  std::uniform_real_distribution<double> values(0, 100);
  for (int i = 0; i < 100'000; ++i) {
    latency.Record(values(random));
  }
  const auto summary = latency.Summary();
  EXPECT_EQ(summary.mName, "latency");
  EXPECT_EQ(summary.mUnit, "ms");
  EXPECT_EQ(summary.mCount, 100'000u);
  EXPECT_NEAR(summary.mMean, 50, 1);
  EXPECT_NEAR(summary.mP50, 50, 1);
  EXPECT_NEAR(summary.mP90, 90, 1);
  EXPECT_NEAR(summary.mP99, 99, 1);
}

// Guards against undefined figures before the first value.
TEST(MetricsTest, ReportsZerosWithoutValues)
{
  const auto summary = distribution("latency", "ms").Summary();
  EXPECT_EQ(summary.mCount, 0u);
  EXPECT_EQ(summary.mMean, 0);
  EXPECT_EQ(summary.mP99, 0);
}

} // namespace
} // namespace snipewalk
