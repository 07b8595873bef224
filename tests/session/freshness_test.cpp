// Tests of the samples that bound the staleness of reads from replicas.
#include "snipewalk/session/freshness.h"

#include <gtest/gtest.h>

namespace snipewalk {
namespace {

time_point
At(int aMs)
{
  return time_point() + milliseconds(100'000 + aMs);
}

TEST(FreshnessSamplesTest, ReturnsNothingBeforeTheFirstSample)
{
  const freshness_samples samples;
  EXPECT_FALSE(samples.PositionCovering(At(0)));
}

// A sample sent before the given moment may lack commits acknowledged in
// between.
TEST(FreshnessSamplesTest, IgnoresSamplesSentBeforeTheMoment)
{
  freshness_samples samples;
  samples.Add(At(0), { 1, 10 });
  EXPECT_FALSE(samples.PositionCovering(At(1)));
  EXPECT_EQ(samples.PositionCovering(At(0)), (log_position{ 1, 10 }));
}

// A replica that lags can still serve reads if the smallest sufficient position
// is required.
TEST(FreshnessSamplesTest, ReturnsTheSmallestSufficientPosition)
{
  freshness_samples samples;
  samples.Add(At(0), { 1, 10 });
  samples.Add(At(100), { 1, 20 });
  samples.Add(At(200), { 1, 30 });
  EXPECT_EQ(samples.PositionCovering(At(50)), (log_position{ 1, 20 }));
}

// Replies on different connections arrive out of order.
TEST(FreshnessSamplesTest, DropsLateSamplesOfEarlierCommands)
{
  freshness_samples samples;
  samples.Add(At(100), { 1, 20 });
  samples.Add(At(50), { 1, 90 });
  EXPECT_EQ(samples.PositionCovering(At(0)), (log_position{ 1, 20 }));
}

// The position of a primary may include commits that are never acknowledged. A
// later check of the replicas may yield a smaller position, which covers more
// moments.
TEST(FreshnessSamplesTest, LetsALaterSmallerPositionReplaceEarlierOnes)
{
  freshness_samples samples;
  samples.Add(At(0), { 1, 500 });
  samples.Add(At(100), { 1, 490 });
  EXPECT_EQ(samples.PositionCovering(At(0)), (log_position{ 1, 490 }));
  EXPECT_EQ(samples.PositionCovering(At(50)), (log_position{ 1, 490 }));
  EXPECT_FALSE(samples.PositionCovering(At(101)));
}

// If the newest sample is too close to its predecessor, the next sample
// replaces it. The remaining samples must still cover every commit acknowledged
// up to a requested moment.
TEST(FreshnessSamplesTest, StaysCorrectWithCloselySpacedSamples)
{
  freshness_samples samples;
  for (int ms = 0; ms <= 1'000; ++ms) {
    samples.Add(At(ms), { 1, static_cast<std::uint64_t>(ms) });
  }
  for (int ms = 0; ms <= 1'000; ms += 7) {
    const auto covering = samples.PositionCovering(At(ms));
    ASSERT_TRUE(covering);
    EXPECT_GE(covering->mIndex, static_cast<std::uint64_t>(ms));
  }
}

} // namespace
} // namespace snipewalk
