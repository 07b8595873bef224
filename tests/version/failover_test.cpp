// Tests of failover: each test injects one kind of failure, at different steps
// of an election or promotion.
#include "version/failover_model.h"

#include <gtest/gtest.h>

namespace snipewalk {
namespace {

class FailoverTest : public testing::Test
{
protected:
  FailoverTest()
    : mModel(11, { "a", "b", "c" }, 3)
  {
    Settle(seconds(3));
    Write(10);
  }

  // Runs the model with detection, replication and confirmations every 20 ms.
  void Settle(milliseconds aTime)
  {
    for (milliseconds passed(0); passed < aTime; passed += milliseconds(20)) {
      mModel.DetectFailures();
      mModel.Replicate();
      mModel.ConfirmWrites();
      mModel.Run(milliseconds(20));
    }
  }

  void Write(int aCount)
  {
    for (int i = 0; i < aCount; ++i) {
      mModel.Write(0);
      Settle(milliseconds(20));
    }
  }

  std::string Primary() const { return mModel.mRecord->mPrimary; }
  bool IsServing()
  {
    if (!mModel.mRecord || mModel.mRecord->mPhase != term_phase::Stable) {
      return false;
    }
    const model_server& server = mModel.mServers[Primary()];
    return server.mUp && server.mRole == server_role::Primary &&
           server.mTerm == mModel.mRecord->mTerm;
  }

  // Stops the primary's server and returns its name.
  std::string StopPrimary()
  {
    std::string killed = Primary();
    mModel.mServers[killed].mUp = false;
    return killed;
  }

  // Drops each store write of a record in the given phase.
  void DropWrites(term_phase aPhase)
  {
    mModel.mBeforeWrite = [aPhase](const write_term& aWrite) {
      return aWrite.mRecord.mPhase == aPhase;
    };
  }

  failover_model mModel;
};

// Guards against a first start that gives no serving primary or starts with a
// term other than 1.
TEST_F(FailoverTest, StartsTermOne)
{
  EXPECT_TRUE(IsServing());
  EXPECT_EQ(mModel.mRecord->mTerm, 1U);
  EXPECT_GE(mModel.mAcknowledged.size(), 8U);
}

// Guards against a service that stays without a primary for more than 500 ms
// after the failure of the old one was detected.
TEST_F(FailoverTest, ReplacesKilledPrimaryWithinHalfASecond)
{
  const std::string killed = StopPrimary();
  Settle(milliseconds(500));
  EXPECT_TRUE(IsServing());
  EXPECT_NE(Primary(), killed);
  EXPECT_EQ(mModel.mRecord->mTerm, 2U);
  EXPECT_TRUE(mModel.mViolations.empty());
}

// Guards against a replaced primary that still acts as primary after it
// returns; it must follow the new one.
TEST_F(FailoverTest, MakesReturningPrimaryFollow)
{
  const std::string killed = StopPrimary();
  Settle(seconds(2));
  mModel.mServers[killed].mUp = true;
  Settle(seconds(3));
  EXPECT_EQ(mModel.mServers[killed].mRole, server_role::Replica);
  EXPECT_EQ(mModel.mServers[killed].mTerm, mModel.mRecord->mTerm);
  EXPECT_NE(Primary(), killed);
}

// Guards against treating a store write as refused when only its answer was
// lost. The record has to be read back instead.
TEST_F(FailoverTest, SettlesLostAnswersByReadingBack)
{
  mModel.mLostAnswerPercent = 60;
  StopPrimary();
  Settle(seconds(15));
  mModel.mLostAnswerPercent = 0;
  Settle(seconds(6));
  EXPECT_TRUE(IsServing());
  EXPECT_TRUE(mModel.mViolations.empty());
}

// Guards against a promotion that starts while the store is down, and against
// failover that does not continue once the store is back.
TEST_F(FailoverTest, WaitsForTheStore)
{
  mModel.mStoreUp = false;
  StopPrimary();
  Settle(seconds(60));
  EXPECT_EQ(mModel.mPromotions, 1U);
  mModel.mStoreUp = true;
  Settle(seconds(4));
  EXPECT_TRUE(IsServing());
}

// Guards against a promotion that is already recorded but waits for the store:
// the store goes down before the record becomes stable.
TEST_F(FailoverTest, CompletesRecordedPromotionWhileTheStoreIsDown)
{
  mModel.mBeforeWrite = [this](const write_term& aWrite) {
    if (aWrite.mRecord.mPhase == term_phase::Stable) {
      mModel.mStoreUp = false;
    }
    return !mModel.mStoreUp;
  };
  StopPrimary();
  Settle(seconds(5));
  EXPECT_FALSE(mModel.mStoreUp);
  for (const auto& instance : mModel.mInstances) {
    EXPECT_EQ(instance->Term()->mPhase, term_phase::Stable);
    EXPECT_EQ(instance->Term()->mTerm, 2U);
  }
}

// Guards against a service that stays without a primary because the coordinator
// of the term was paused after it recorded the election or the candidate.
TEST_F(FailoverTest, SupersedesStalledCoordinator)
{
  for (const auto phase : { term_phase::Electing, term_phase::Promoting }) {
    const std::string killed = StopPrimary();
    const std::uint64_t before = mModel.mRecord->mTerm;
    while (mModel.mRecord->mPhase != phase) {
      mModel.DetectFailures();
      mModel.Run(milliseconds(1));
    }
    const std::string coordinator = mModel.mRecord->mOrderedBy;
    const auto stalled = static_cast<std::size_t>(coordinator.back() - '0');
    mModel.mPaused[stalled] = true;
    Settle(seconds(4));
    EXPECT_TRUE(IsServing());
    EXPECT_GT(mModel.mRecord->mTerm, before);
    // The paused coordinator resumes later and must not change the term.
    const std::uint64_t settled = mModel.mRecord->mTerm;
    mModel.mPaused[stalled] = false;
    mModel.mServers[killed].mUp = true;
    Settle(seconds(5));
    EXPECT_EQ(mModel.mRecord->mTerm, settled);
    EXPECT_TRUE(mModel.mViolations.empty());
  }
}

// Guards against a service that stays without a primary because the candidate
// failed after it was recorded.
TEST_F(FailoverTest, ReplacesCandidateThatDiesDuringPromotion)
{
  const std::string killed = StopPrimary();
  while (mModel.mRecord->mPhase != term_phase::Promoting) {
    mModel.DetectFailures();
    mModel.Run(milliseconds(1));
  }
  StopPrimary();
  mModel.mServers[killed].mUp = true;
  Settle(seconds(5));
  EXPECT_TRUE(IsServing());
  EXPECT_TRUE(mModel.mViolations.empty());
}

// Guards against a new term that is started by an instance that cannot reach a
// majority of the voters.
TEST_F(FailoverTest, DoesNotStartTermWithoutReachableMajority)
{
  StopPrimary();
  for (std::size_t i = 0; i < 3; ++i) {
    for (const auto& [name, server] : mModel.mServers) {
      mModel.mUnreachable.insert({ i, name });
    }
  }
  // Answers to earlier probes count until they are older than kMaxEvidenceAge.
  mModel.Run(seconds(3));
  Settle(seconds(10));
  EXPECT_EQ(mModel.mRecord->mTerm, 1U);
}

// Guards against competing elections: after a failure, only the holder of the
// first slot may start one.
TEST_F(FailoverTest, StartsElectionsInSlotOrder)
{
  std::set<std::string> writers;
  mModel.mBeforeWrite = [&](const write_term& aWrite) {
    if (aWrite.mRecord.mPhase == term_phase::Electing) {
      writers.insert(aWrite.mRecord.mOrderedBy);
    }
    return false;
  };
  StopPrimary();
  Settle(seconds(2));
  EXPECT_EQ(writers, std::set<std::string>{ "instance-0" });
}

// Guards against a service without a serving primary because the primary
// restarted and lost its role.
TEST_F(FailoverTest, ReplacesPrimaryThatLostItsRole)
{
  mModel.mServers[Primary()].mRole = server_role::Fenced;
  Settle(seconds(3));
  EXPECT_TRUE(IsServing());
  EXPECT_EQ(mModel.mRecord->mTerm, 2U);
}

// Guards against a planned change that leaves the service without a primary for
// more than 200 ms or promotes another server than the planned candidate.
TEST_F(FailoverTest, HandsOverToPlannedCandidateWithin200Milliseconds)
{
  const std::string old = Primary();
  const std::string candidate = old == "b" ? "c" : "b";
  mModel.Deliver(
    0,
    change_requested{ 1, { candidate, mModel.mRecord->mVoters, "planned" } });
  milliseconds gap(0);
  for (int i = 0; i < 400 && mModel.mPromotions < 2; ++i) {
    mModel.Replicate();
    mModel.Run(milliseconds(1));
    const bool fenced = mModel.mServers[old].mRole == server_role::Fenced;
    gap += milliseconds(fenced ? 1 : 0);
  }
  Settle(seconds(1));
  EXPECT_EQ(Primary(), candidate);
  EXPECT_TRUE(IsServing());
  EXPECT_LE(gap, milliseconds(200));
}

} // namespace
} // namespace snipewalk
