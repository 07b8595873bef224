// Tests for the lease of the failover duty: single cases, and a model of
// several instances with a store that loses replies and executes writes late.
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
  EXPECT_FALSE(lease.ClaimIfDue(At(0)));
  lease.OnRecord(std::nullopt, 0, At(0), At(0));
  EXPECT_FALSE(lease.ClaimIfDue(At(99)));
  const auto claim = lease.ClaimIfDue(At(100));
  ASSERT_TRUE(claim);
  EXPECT_EQ(claim->mRecord.mFence, 1U);
  EXPECT_EQ(claim->mExpectedVersion, 0U);
}

// The duty may be used only after a read that named this process, and for a
// limited time counted from the start of that read.
TEST(DutyLeaseTest, HoldsForAWhileAfterAReadWasMade)
{
  duty_lease lease("a", 1, milliseconds(0));
  lease.OnRecord(std::nullopt, 0, At(0), At(0));
  const auto claim = lease.ClaimIfDue(At(0));
  ASSERT_TRUE(claim);
  lease.OnWritten(*claim, 7, At(10));
  EXPECT_FALSE(lease.Holds(At(11)));
  lease.OnRecord(claim->mRecord, 7, At(20), At(1'000));
  EXPECT_TRUE(lease.Holds(At(1'519)));
  EXPECT_FALSE(lease.Holds(At(1'520)));
}

TEST(DutyLeaseTest, DoesNotClaimWhileTheHolderIsSeen)
{
  duty_lease lease("b", 1, milliseconds(0));
  lease.OnRecord(duty_record{ "a", 1, 1 }, 5, At(0), At(0));
  for (int ms = 0; ms < 20'000; ms += 1'000) {
    lease.OnHolderSeen("a", At(ms));
    EXPECT_FALSE(lease.ClaimIfDue(At(ms + 999)));
  }
}

// The previous holder may still use the duty on the strength of its last read.
TEST(DutyLeaseTest, WaitsAfterReplacingASilentHolder)
{
  duty_lease lease("b", 1, milliseconds(0));
  lease.OnRecord(duty_record{ "a", 1, 1 }, 5, At(0), At(0));
  const auto claim = lease.ClaimIfDue(At(1'300));
  ASSERT_TRUE(claim);
  EXPECT_EQ(claim->mRecord.mFence, 2U);
  lease.OnWritten(*claim, 6, At(1'310));
  lease.OnRecord(claim->mRecord, 6, At(3'900), At(3'905));
  EXPECT_FALSE(lease.Holds(At(3'909)));
  EXPECT_TRUE(lease.Holds(At(3'910)));
}

// Two processes of one instance name never run at the same time, so no wait is
// needed.
TEST(DutyLeaseTest, TakesOverFromItsOwnEarlierProcessAtOnce)
{
  duty_lease lease("a", 2, milliseconds(0));
  lease.OnRecord(duty_record{ "a", 1, 4 }, 30, At(0), At(0));
  EXPECT_FALSE(lease.Holds(At(0)));
  const auto claim = lease.ClaimIfDue(At(0));
  ASSERT_TRUE(claim);
  EXPECT_EQ(claim->mRecord.mFence, 5U);
  lease.OnWritten(*claim, 31, At(5));
  lease.OnRecord(claim->mRecord, 31, At(6), At(8));
  EXPECT_TRUE(lease.Holds(At(9)));
}

TEST(DutyLeaseTest, LearnsOfAClaimWhoseAnswerWasLost)
{
  duty_lease lease("a", 1, milliseconds(0));
  lease.OnRecord(std::nullopt, 0, At(0), At(0));
  const auto claim = lease.ClaimIfDue(At(0));
  ASSERT_TRUE(claim);
  lease.OnWritten(*claim, std::nullopt, At(1'000));
  lease.OnRecord(claim->mRecord, 5, At(1'001), At(1'005));
  EXPECT_TRUE(lease.Holds(At(1'006)));
  EXPECT_FALSE(lease.ClaimIfDue(At(60'000)));
}

// While the store is unavailable no instance can hear that the holder is
// confirmed. When it returns, the holder regains the duty without a wait; an
// instance that replaced it would have to wait for kTakeoverDelay.
TEST(DutyLeaseTest, LeavesTheDutyToItsHolderAfterAnOutageOfTheStore)
{
  duty_lease lease("b", 1, milliseconds(0));
  const duty_record held{ "a", 1, 1 };
  lease.OnRecord(held, 5, At(0), At(0));
  const auto claim = lease.ClaimIfDue(At(1'300));
  ASSERT_TRUE(claim);
  lease.OnWritten(*claim, std::nullopt, At(1'800));
  EXPECT_FALSE(lease.ClaimIfDue(At(7'999)));
  lease.OnRecord(held, 5, At(8'000), At(8'010));
  EXPECT_FALSE(lease.ClaimIfDue(At(8'020)));
  lease.OnHolderSeen("a", At(8'900));
  EXPECT_FALSE(lease.ClaimIfDue(At(10'199)));
}

TEST(DutyLeaseTest, ReplacesAHolderThatStaysSilentAfterAnOutageOfTheStore)
{
  duty_lease lease("b", 1, milliseconds(0));
  const duty_record held{ "a", 1, 1 };
  lease.OnRecord(held, 5, At(0), At(0));
  const auto claim = lease.ClaimIfDue(At(1'300));
  ASSERT_TRUE(claim);
  lease.OnWritten(*claim, std::nullopt, At(1'800));
  // The reply to a read that was made before the outage proves nothing.
  lease.OnRecord(held, 5, At(1'200), At(1'900));
  EXPECT_FALSE(lease.ClaimIfDue(At(7'999)));
  lease.OnRecord(held, 5, At(8'000), At(8'010));
  EXPECT_TRUE(lease.ClaimIfDue(At(9'310)));
}

TEST(DutyLeaseTest, StopsAfterASuspension)
{
  duty_lease lease("a", 1, milliseconds(0));
  lease.OnRecord(duty_record{ "a", 1, 1 }, 5, At(0), At(0));
  EXPECT_TRUE(lease.Holds(At(0) + duty_lease::kTakeoverDelay) ||
              !lease.Holds(At(1)));
  lease.OnRecord(duty_record{ "a", 1, 1 }, 5, At(4'000), At(4'000));
  EXPECT_TRUE(lease.Holds(At(4'001)));
  lease.OnSuspended();
  EXPECT_FALSE(lease.Holds(At(4'001)));
}

TEST(DutyLeaseTest, DoesNotClaimAfterResigning)
{
  duty_lease lease("a", 1, milliseconds(0));
  lease.OnRecord(std::nullopt, 0, At(0), At(0));
  const auto claim = lease.ClaimIfDue(At(0));
  ASSERT_TRUE(claim);
  lease.OnWritten(*claim, 7, At(5));
  const auto resigned = lease.Resign();
  ASSERT_TRUE(resigned);
  EXPECT_EQ(resigned->mRecord.mHolder, "");
  EXPECT_EQ(resigned->mRecord.mFence, claim->mRecord.mFence);
  EXPECT_FALSE(lease.Holds(At(6)));
  EXPECT_FALSE(lease.ClaimIfDue(At(60'000)));
}

// Model of several instances, a store and outstanding calls, with a seeded
// random schedule. The store loses replies and executes writes late, replies to
// reads are delayed, and instances are suspended. `aExtraUse` extends the time
// for which the duty is used, as a fault that the model must detect.
class lease_model
{
public:
  lease_model(std::uint64_t aSeed, duration aExtraUse)
    : mRandom(aSeed)
    , mExtraUse(aExtraUse)
  {
    for (int i = 0; i < kInstances; ++i) {
      mLeases.emplace_back("n" + std::to_string(i), 1, milliseconds(37 * i));
      mResumesAt.push_back(mNow);
    }
  }

  void Step()
  {
    mNow += milliseconds(Draw(60));
    ExecuteDelayedWrites();
    const auto instance = static_cast<std::size_t>(Draw(kInstances));
    if (mNow < mResumesAt[instance]) {
      return;
    }
    if (Draw(300) == 0) {
      mResumesAt[instance] = mNow + milliseconds(Draw(9'000));
      return;
    }
    Read(instance);
    ReportHolder(instance);
    if (const auto write = mLeases[instance].ClaimIfDue(mNow)) {
      Write(instance, *write);
    }
    Check();
  }

  std::uint64_t Fence() const { return mLastFence; }
  bool Violated() const { return mViolated; }

private:
  static constexpr int kInstances = 4;

  struct delayed_write
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

  void ExecuteDelayedWrites()
  {
    while (!mDelayedWrites.empty() && mDelayedWrites.front().mAt <= mNow) {
      Execute(mDelayedWrites.front().mWrite);
      mDelayedWrites.pop_front();
    }
  }

  void Read(std::size_t aInstance)
  {
    // The reply may be delayed; it contains the record as of the time of the
    // call.
    const time_point asOf = mNow;
    const auto record = mRecord;
    const auto version = mVersion;
    if (Draw(8) == 0) {
      mNow += milliseconds(Draw(1'500));
      ExecuteDelayedWrites();
    }
    mLeases[aInstance].OnRecord(record, version, asOf, mNow);
  }

  void ReportHolder(std::size_t aInstance)
  {
    if (!mRecord || mRecord->mHolder.empty()) {
      return;
    }
    const auto holder =
      static_cast<std::size_t>(std::stoi(mRecord->mHolder.substr(1)));
    if (mNow >= mResumesAt[holder] && Draw(4) != 0) {
      mLeases[aInstance].OnHolderSeen(mRecord->mHolder, mNow);
    }
  }

  void Write(std::size_t aInstance, const duty_write& aWrite)
  {
    const int outcome = Draw(10);
    if (outcome == 0) {
      // The reply is lost, and the write is executed a second later if the
      // version still matches.
      mDelayedWrites.push_back({ aWrite, mNow + milliseconds(1'000) });
      mLeases[aInstance].OnWritten(aWrite, std::nullopt, mNow);
      return;
    }
    const bool done = Execute(aWrite);
    const std::uint64_t version = mVersion;
    const bool answered = outcome != 1;
    mNow += milliseconds(Draw(300));
    mLeases[aInstance].OnWritten(
      aWrite, done && answered ? std::optional(version) : std::nullopt, mNow);
  }

  void Check()
  {
    std::uint64_t fence = 0;
    for (const auto& lease : mLeases) {
      if (!lease.Holds(mNow) && !lease.Holds(mNow - mExtraUse)) {
        continue;
      }
      // The platform must never see a lower fence after a higher one, nor two
      // holders at once.
      mViolated = mViolated || lease.Fence() < mLastFence || fence != 0;
      fence = lease.Fence();
    }
    mLastFence = std::max(mLastFence, fence);
  }

  std::mt19937_64 mRandom;
  duration mExtraUse;
  time_point mNow = At(0);
  std::vector<duty_lease> mLeases;
  std::vector<time_point> mResumesAt;
  std::optional<duty_record> mRecord;
  std::uint64_t mVersion = 0;
  std::deque<delayed_write> mDelayedWrites;
  std::uint64_t mLastFence = 0;
  bool mViolated = false;
};

TEST(DutyLeaseModelTest, HasAtMostOneHolderAndRisingFences)
{
  std::uint64_t changes = 0;
  for (std::uint64_t seed = 1; seed <= 20; ++seed) {
    lease_model model(seed, duration(0));
    for (int step = 0; step < 10'000; ++step) {
      model.Step();
    }
    EXPECT_FALSE(model.Violated()) << "seed " << seed;
    changes += model.Fence();
  }
  // The holder of the duty must have changed often enough for the check to be
  // meaningful.
  EXPECT_GT(changes, 100U);
}

// The model must detect a holder that uses the duty for longer than its
// successor waits.
TEST(DutyLeaseModelTest, FindsHoldsThatLastTooLong)
{
  bool violated = false;
  for (std::uint64_t seed = 1; seed <= 20 && !violated; ++seed) {
    lease_model model(seed, milliseconds(4'000));
    for (int step = 0; step < 10'000; ++step) {
      model.Step();
    }
    violated = model.Violated();
  }
  EXPECT_TRUE(violated);
}

} // namespace
} // namespace snipewalk
