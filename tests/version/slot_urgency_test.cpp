// Tests of the distribution of slot claims over time after many instances
// failed.
#include "snipewalk/version/slot_assignment.h"

#include "version/slot_model.h"

#include <gtest/gtest.h>

namespace snipewalk {
namespace {

constexpr milliseconds kJitter{ 500 };

// Guards against claim windows above the minimum in a small fleet of nine
// instances and nine slots, regardless of how many slots are lost.
TEST(ClaimWindowTest, StaysShortInSmallFleets)
{
  for (std::size_t claims = 0; claims <= 9; ++claims) {
    for (std::size_t live = 0; live <= 3; ++live) {
      const claim_window window = ClaimWindow(claims, live, kJitter);
      EXPECT_EQ(window.mStart, duration(0));
      EXPECT_EQ(window.mLength, kJitter);
    }
  }
}

// Guards against claims that use the whole write rate of the store after the
// loss of a data centre, and against services without a holder that wait for
// the claims of other services.
TEST(ClaimWindowTest, GrowsWithClaimsAndShrinksWithUrgency)
{
  EXPECT_EQ(ClaimWindow(1'000, 2, kJitter).mLength, seconds(5));
  EXPECT_EQ(ClaimWindow(1'000, 1, kJitter).mLength, milliseconds(2'500));
  EXPECT_EQ(ClaimWindow(1'000, 0, kJitter).mLength, milliseconds(1'250));
  EXPECT_EQ(ClaimWindow(1'000, 2, kJitter).mStart, milliseconds(2'250));
  EXPECT_EQ(ClaimWindow(1'000, 0, kJitter).mStart, duration(0));
}

// Guards against claims that exceed the write rate of the store although most
// are not urgent, and against slots that stay vacant after refused claims. Ten
// of 30 instances fail; they hold more than 300 of 1,800 slots.
TEST(SlotClaimSpreadTest, ClaimsOfManyLostInstancesStayWithinTheRate)
{
  for (std::uint64_t seed = 1; seed <= 3; ++seed) {
    slot_model_options options;
    options.mSeed = seed;
    options.mInstances = 30;
    options.mServices = 600;
    options.mWritesPerSecond = 400;
    slot_model model(options);
    model.SetFaultInjection(false);
    for (int step = 0; step < 4'000 && !model.AllSlotsHeld(); ++step) {
      model.Step();
    }
    ASSERT_TRUE(model.AllSlotsHeld()) << "seed " << seed;
    const std::uint64_t refused = model.RefusedWrites();
    const std::uint64_t replaced = model.TakeOvers();
    model.FailFrom(20);
    const time_point failed = model.Now();
    ASSERT_FALSE(model.AllSlotsHeld());
    while (!model.AllSlotsHeld() && model.Now() < failed + seconds(60)) {
      model.Step();
    }
    EXPECT_TRUE(model.AllSlotsHeld()) << "seed " << seed;
    EXPECT_GT(model.TakeOvers() - replaced, 200U);
    // The target rate of claims is half of the store's rate, so most claims are
    // accepted, although services with one or no live holder claim sooner.
    EXPECT_LT(2 * (model.RefusedWrites() - refused),
              model.TakeOvers() - replaced)
      << "seed " << seed;
  }
}

} // namespace
} // namespace snipewalk
