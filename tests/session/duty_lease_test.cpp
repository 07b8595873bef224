// Tests of the lease of the duty, alone and as a model of several instances
// against a store that loses answers and executes writes late.
#include "snipewalk/session/duty_lease.h"

#include <gtest/gtest.h>

#include <deque>
#include <random>
#include <vector>

namespace snipewalk {
namespace {

time_point
At(int aMs)
{
  return time_point() + milliseconds(100'000 + aMs);
}

TEST(DutyLeaseTest, ClaimsAVacantDutyAfterItsStagger)
{
  duty_lease lease("a", 1, milliseconds(100));
  EXPECT_FALSE(lease.Due(At(0)));
  lease.OnRecord(std::nullopt, 0, At(0));
  EXPECT_FALSE(lease.Due(At(99)));
  const auto claim = lease.Due(At(100));
  ASSERT_TRUE(claim);
  EXPECT_EQ(claim->mRecord.mFence, 1U);
  EXPECT_EQ(claim->mExpectedVersion, 0U);
}

TEST(DutyLeaseTest, HoldsFromTheSendingOfAWrite)
{
  duty_lease lease("a", 1, milliseconds(0));
  lease.OnRecord(std::nullopt, 0, At(0));
  const auto claim = lease.Due(At(0));
  ASSERT_TRUE(claim);
  EXPECT_FALSE(lease.Holds(At(1)));
  lease.OnWritten(*claim, 7, At(0), At(900));
  EXPECT_TRUE(lease.Holds(At(2'999)));
  EXPECT_FALSE(lease.Holds(At(3'000)));
}

TEST(DutyLeaseTest, LeavesALivingHolderAlone)
{
  duty_lease lease("b", 1, milliseconds(0));
  for (int ms = 0; ms < 20'000; ms += 1'000) {
    lease.OnRecord(duty_record{ "a", 1, 1, std::uint64_t(ms) },
                   static_cast<std::uint64_t>(ms) + 1,
                   At(ms));
    EXPECT_FALSE(lease.Due(At(ms + 999)));
  }
}

// Two processes of one name never run at once.
TEST(DutyLeaseTest, TakesOverFromItsOwnEarlierProcessAtOnce)
{
  duty_lease lease("a", 2, milliseconds(0));
  lease.OnRecord(duty_record{ "a", 1, 4, 9 }, 30, At(0));
  EXPECT_FALSE(lease.Holds(At(0)));
  const auto claim = lease.Due(At(0));
  ASSERT_TRUE(claim);
  EXPECT_EQ(claim->mRecord.mFence, 5U);
}

// A claim that took effect without an answer is not a hold until it was
// renewed: its sending time is forgotten.
TEST(DutyLeaseTest, RenewsAClaimWhoseAnswerWasLost)
{
  duty_lease lease("a", 1, milliseconds(0));
  lease.OnRecord(std::nullopt, 0, At(0));
  const auto claim = lease.Due(At(0));
  ASSERT_TRUE(claim);
  lease.OnWritten(*claim, std::nullopt, At(0), At(1'000));
  lease.OnRecord(claim->mRecord, 5, At(1'001));
  EXPECT_FALSE(lease.Holds(At(1'002)));
  const auto renewal = lease.Due(At(1'500));
  ASSERT_TRUE(renewal);
  EXPECT_EQ(renewal->mRecord.mFence, claim->mRecord.mFence);
  lease.OnWritten(*renewal, 6, At(1'500), At(1'510));
  EXPECT_TRUE(lease.Holds(At(1'600)));
}

TEST(DutyLeaseTest, DoesNotClaimAfterResigning)
{
  duty_lease lease("a", 1, milliseconds(0));
  lease.OnRecord(std::nullopt, 0, At(0));
  const auto claim = lease.Due(At(0));
  lease.OnWritten(*claim, 7, At(0), At(5));
  const auto resigned = lease.Resign();
  ASSERT_TRUE(resigned);
  EXPECT_EQ(resigned->mRecord.mHolder, "");
  EXPECT_EQ(resigned->mRecord.mFence, claim->mRecord.mFence);
  EXPECT_FALSE(lease.Holds(At(6)));
  EXPECT_FALSE(lease.Due(At(60'000)));
}

// Model: instances, a store, and writes under way. Steps are seeded; the store
// loses answers, executes writes late, and instances stand still.
class lease_model
{
public:
  lease_model(std::uint64_t aSeed, duration aHoldSlack)
    : mRandom(aSeed)
    , mHoldSlack(aHoldSlack)
  {
    for (int i = 0; i < kInstances; ++i) {
      mLeases.emplace_back("n" + std::to_string(i), 1, milliseconds(37 * i));
      mWokenAt.push_back(mNow);
    }
  }

  void Step()
  {
    mNow += milliseconds(Draw(60));
    const auto instance = static_cast<std::size_t>(Draw(kInstances));
    if (mNow < mWokenAt[instance]) {
      return;
    }
    if (Draw(400) == 0) {
      mWokenAt[instance] = mNow + milliseconds(Draw(9'000));
      return;
    }
    ExecuteLate();
    if (Draw(3) == 0) {
      mLeases[instance].OnRecord(mRecord, mVersion, mNow);
    }
    if (const auto write = mLeases[instance].Due(mNow)) {
      Write(instance, *write);
    }
    Check();
  }

  int HoldersSeen() const { return static_cast<int>(mLastFence); }
  bool Violated() const { return mViolated; }

private:
  static constexpr int kInstances = 4;

  struct late_write
  {
    duty_write mWrite;
    time_point mAt;
  };

  int Draw(int aBound)
  {
    return static_cast<int>(mRandom() % static_cast<unsigned>(aBound));
  }

  bool Execute(const duty_write& aWrite)
  {
    if (aWrite.mExpectedVersion != mVersion) {
      return false;
    }
    mRecord = aWrite.mRecord;
    ++mVersion;
    return true;
  }

  void ExecuteLate()
  {
    while (!mLate.empty() && mLate.front().mAt <= mNow) {
      Execute(mLate.front().mWrite);
      mLate.pop_front();
    }
  }

  void Write(std::size_t aInstance, const duty_write& aWrite)
  {
    const time_point sent = mNow;
    const int fate = Draw(10);
    if (fate == 0) {
      // No answer; executed a second later if the version still matches.
      mLate.push_back({ aWrite, mNow + milliseconds(1'000) });
      mLeases[aInstance].OnWritten(aWrite, std::nullopt, sent, mNow);
      return;
    }
    const bool done = Execute(aWrite);
    const bool answered = fate != 1;
    mNow += milliseconds(Draw(300));
    mLeases[aInstance].OnWritten(aWrite,
                                 done && answered ? std::optional(mVersion)
                                                  : std::nullopt,
                                 sent,
                                 mNow);
  }

  void Check()
  {
    int holders = 0;
    std::uint64_t fence = 0;
    for (const auto& lease : mLeases) {
      // An instance that stands still may not look, so its hold must end by
      // the time another begins.
      if (lease.Holds(mNow - mHoldSlack)) {
        ++holders;
        fence = std::max(fence, lease.Fence());
      }
    }
    mViolated =
      mViolated || holders > 1 || (holders == 1 && fence < mLastFence);
    mLastFence = std::max(mLastFence, fence);
  }

  std::mt19937_64 mRandom;
  duration mHoldSlack;
  time_point mNow = At(0);
  std::vector<duty_lease> mLeases;
  std::vector<time_point> mWokenAt;
  std::optional<duty_record> mRecord;
  std::uint64_t mVersion = 0;
  std::deque<late_write> mLate;
  std::uint64_t mLastFence = 0;
  bool mViolated = false;
};

TEST(DutyLeaseModelTest, HasAtMostOneHolderAndRisingFences)
{
  int changes = 0;
  for (std::uint64_t seed = 1; seed <= 20; ++seed) {
    lease_model model(seed, duration(0));
    for (int step = 0; step < 10'000; ++step) {
      model.Step();
    }
    EXPECT_FALSE(model.Violated()) << "seed " << seed;
    changes += model.HoldersSeen();
  }
  // The model must have made the duty change hands.
  EXPECT_GT(changes, 40);
}

// With holds that last longer than the time before a takeover, the model must
// find two holders: it would not miss the fault.
TEST(DutyLeaseModelTest, FindsHoldsThatLastTooLong)
{
  bool violated = false;
  for (std::uint64_t seed = 1; seed <= 20 && !violated; ++seed) {
    lease_model model(seed, milliseconds(3'000));
    for (int step = 0; step < 10'000; ++step) {
      model.Step();
    }
    violated = model.Violated();
  }
  EXPECT_TRUE(violated);
}

} // namespace
} // namespace snipewalk
