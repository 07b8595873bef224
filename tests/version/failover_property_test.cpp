// Property tests of failover: several instances run failover with one store and
// with servers that fail, with lost answers, conflicts, outages and pauses.
#include "version/failover_model.h"

#include <gtest/gtest.h>

namespace snipewalk {
namespace {

constexpr int kSteps = 100'000;

class FailoverPropertyTest : public testing::TestWithParam<std::uint64_t>
{
protected:
  // Runs random steps, checks that no guarantee was violated, and records the
  // number of promotions and acknowledged writes.
  static void RunSteps(failover_model& aModel)
  {
    for (int i = 0; i < kSteps && aModel.mViolations.empty(); ++i) {
      aModel.RandomStep();
    }
    ASSERT_TRUE(aModel.mViolations.empty()) << aModel.mViolations.front();
    RecordProperty("promotions", static_cast<int>(aModel.mPromotions));
    RecordProperty("acknowledged",
                   static_cast<int>(aModel.mAcknowledged.size()));
    // Without enough promotions and writes, the run would not test anything.
    EXPECT_GT(aModel.mPromotions, 100U);
    EXPECT_GT(aModel.mAcknowledged.size(), 1'000U);
  }
};

// Guards against two primaries in one term and against the promotion of a
// server that lacks acknowledged entries, with three servers and random faults.
TEST_P(FailoverPropertyTest, KeepsAcknowledgedWritesWithThreeServers)
{
  failover_model model(GetParam(), { "a", "b", "c" }, 3);
  RunSteps(model);
}

// Guards against lost acknowledged entries after a change of voters, which
// happens if a majority of the new voters lacks them.
TEST_P(FailoverPropertyTest, KeepsAcknowledgedWritesWhileVotersChange)
{
  failover_model model(GetParam() + 50, { "a", "b", "c", "d", "e" }, 3);
  RunSteps(model);
}

INSTANTIATE_TEST_SUITE_P(Seeds, FailoverPropertyTest, testing::Values(1, 2, 3));

// Guards against failover that stays stuck after a random sequence of faults.
// Once all faults are removed, a primary must serve again and all servers must
// be in its term.
TEST(FailoverProgressTest, ServesAgainOnceEverythingIsBack)
{
  for (std::uint64_t seed = 1; seed <= 60; ++seed) {
    failover_model model(seed, { "a", "b", "c" }, 3);
    for (int i = 0; i < 300; ++i) {
      model.RandomStep();
    }
    model.RemoveFaults();
    for (int i = 0; i < 300; ++i) {
      model.DetectFailures();
      model.Run(milliseconds(50));
    }
    ASSERT_TRUE(model.mViolations.empty()) << model.mViolations.front();
    ASSERT_TRUE(model.mRecord) << "seed " << seed;
    ASSERT_EQ(model.mRecord->mPhase, term_phase::Stable) << "seed " << seed;
    const auto& primary = model.mServers[model.mRecord->mPrimary];
    EXPECT_EQ(primary.mRole, server_role::Primary) << "seed " << seed;
    EXPECT_EQ(primary.mTerm, model.mRecord->mTerm) << "seed " << seed;
    for (const auto& [name, server] : model.mServers) {
      EXPECT_EQ(server.mTerm, model.mRecord->mTerm) << seed << " " << name;
    }
  }
}

} // namespace
} // namespace snipewalk
