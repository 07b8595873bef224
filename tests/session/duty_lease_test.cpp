// Tests for the lease of the failover duty: single cases, and a model of
// several instances with a store that loses replies and executes writes late.
#include "snipewalk/session/duty_lease.h"

#include "snipewalk/messages/store_revision.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <deque>
#include <random>
#include <string>
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

// Two processes of one instance name never run at the same time, but the last
// order of the earlier one may be under way, and it may have been waiting for a
// holder before it.
TEST(DutyLeaseTest, WaitsAfterReplacingItsOwnEarlierProcess)
{
  duty_lease lease("a", 2, milliseconds(0));
  lease.OnRecord(duty_record{ "a", 1, 4 }, 30, At(0), At(0));
  EXPECT_FALSE(lease.Holds(At(0)));
  const auto claim = lease.ClaimIfDue(At(0));
  ASSERT_TRUE(claim);
  EXPECT_EQ(claim->mRecord.mFence, 5U);
  lease.OnWritten(*claim, 31, At(5));
  lease.OnRecord(claim->mRecord, 31, At(2'600), At(2'601));
  EXPECT_FALSE(lease.Holds(At(2'604)));
  EXPECT_TRUE(lease.Holds(At(2'605)));
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

// Guards against two holders: the reply was on its way while the process was
// suspended, and another instance may have taken the duty over since.
TEST(DutyLeaseTest, CountsNoReadFromBeforeASuspension)
{
  duty_lease lease("i1", 1, milliseconds(0));
  lease.OnRecord(std::nullopt, 0, At(0), At(0));
  const auto write = lease.ClaimIfDue(At(0));
  ASSERT_TRUE(write);
  lease.OnWritten(*write, 5, At(0));
  lease.OnRecord(write->mRecord, 5, At(1), At(2));
  ASSERT_TRUE(lease.Holds(At(3)));
  lease.OnSuspended(At(100));
  lease.OnRecord(write->mRecord, 5, At(90), At(101));
  EXPECT_FALSE(lease.Holds(At(101)));
  lease.OnRecord(write->mRecord, 5, At(102), At(105));
  EXPECT_TRUE(lease.Holds(At(105)));
}

TEST(DutyLeaseTest, StopsAfterASuspension)
{
  duty_lease lease("a", 1, milliseconds(0));
  lease.OnRecord(duty_record{ "a", 1, 1 }, 5, At(0), At(0));
  EXPECT_TRUE(lease.Holds(At(0) + duty_lease::kTakeoverDelay) ||
              !lease.Holds(At(1)));
  lease.OnRecord(duty_record{ "a", 1, 1 }, 5, At(4'000), At(4'000));
  EXPECT_TRUE(lease.Holds(At(4'001)));
  lease.OnSuspended(At(4'001));
  EXPECT_FALSE(lease.Holds(At(4'001)));
}

TEST(DutyLeaseTest, VacatesTheDutyOnceAfterResigning)
{
  duty_lease lease("a", 1, milliseconds(0));
  lease.OnRecord(std::nullopt, 0, At(0), At(0));
  const auto claim = lease.ClaimIfDue(At(0));
  ASSERT_TRUE(claim);
  lease.OnWritten(*claim, 7, At(5));
  EXPECT_FALSE(lease.VacateIfDue(At(6)));
  lease.Resign();
  EXPECT_FALSE(lease.Holds(At(6)));
  const auto vacated = lease.VacateIfDue(At(6));
  ASSERT_TRUE(vacated);
  EXPECT_EQ(vacated->mRecord.mHolder, "");
  EXPECT_EQ(vacated->mRecord.mFence, claim->mRecord.mFence);
  EXPECT_FALSE(lease.VacateIfDue(At(7)));
  lease.OnWritten(*vacated, 8, At(10));
  EXPECT_FALSE(lease.VacateIfDue(At(1'000)));
  EXPECT_FALSE(lease.ClaimIfDue(At(60'000)));
}

TEST(DutyLeaseTest, VacatesTheDutyAgainAfterAFailedWrite)
{
  duty_lease lease("a", 1, milliseconds(0));
  lease.OnRecord(std::nullopt, 0, At(0), At(0));
  const auto claim = lease.ClaimIfDue(At(0));
  ASSERT_TRUE(claim);
  lease.OnWritten(*claim, 7, At(5));
  lease.Resign();
  const auto vacated = lease.VacateIfDue(At(6));
  ASSERT_TRUE(vacated);
  lease.OnWritten(*vacated, std::nullopt, At(1'000));
  EXPECT_FALSE(lease.VacateIfDue(At(1'299)));
  EXPECT_TRUE(lease.VacateIfDue(At(1'300)));
}

// Guards against a third instance that uses a vacant duty while the first one
// still does, because the second resigned before it might use the duty itself.
TEST(DutyLeaseTest, KeepsTheDutyUntilThePreviousHolderNoLongerUsesIt)
{
  duty_lease lease("b", 1, milliseconds(0));
  lease.OnRecord(duty_record{ "a", 1, 1 }, 5, At(0), At(0));
  const auto claim = lease.ClaimIfDue(At(1'300));
  ASSERT_TRUE(claim);
  lease.OnWritten(*claim, 6, At(1'310));
  lease.Resign();
  EXPECT_FALSE(lease.VacateIfDue(At(3'909)));
  EXPECT_TRUE(lease.VacateIfDue(At(3'910)));
}

// Faults that the model must detect, each with one safeguard left out.
struct lease_faults
{
  // For how long the duty is used after its lease has ended.
  duration mExtraUse{ 0 };
  // A holder vacates the duty while its orders are under way.
  bool mVacatesEarly = false;
  // The store comes back from older copies at times.
  bool mStoreReturns = false;
};

// The store gives numbers out again when it came back from an older copy.
TEST(DutyLeaseTest, CountsNoReadOfANumberThatWasGivenOutAgain)
{
  duty_lease lease("a", 1, milliseconds(0));
  const duty_record own{ "a", 1, MakeRevision(1, 8) };
  lease.OnRecord(own, MakeRevision(1, 9), At(0), At(0));
  ASSERT_TRUE(lease.IsNamedHolder());
  const duty_record other{ "b", 1, MakeRevision(2, 8) };
  lease.OnRecord(other, MakeRevision(2, 9), At(100), At(100));
  EXPECT_FALSE(lease.IsNamedHolder());
}

// The last holder may have been forgotten together with its claim, and may
// still use the duty.
TEST(DutyLeaseTest, ClaimsAnewOnceTheStoreCameBack)
{
  duty_lease lease("a", 1, milliseconds(0));
  const duty_record own{ "a", 1, MakeRevision(1, 8) };
  lease.OnRecord(own, MakeRevision(1, 9), At(0), At(0));
  lease.OnRecord(own, MakeRevision(1, 9), At(2'600), At(2'600));
  ASSERT_TRUE(lease.Holds(At(2'600)));
  lease.OnRecord(own, MakeRevision(2, 9), At(2'700), At(2'700));
  EXPECT_FALSE(lease.Holds(At(2'700)));
  const auto claim = lease.ClaimIfDue(At(2'700));
  ASSERT_TRUE(claim);
  EXPECT_GT(claim->mRecord.mFence, MakeRevision(2, 9));
  EXPECT_EQ(claim->mExpectedVersion, MakeRevision(2, 9));
  lease.OnWritten(*claim, MakeRevision(2, 10), At(2'710));
  lease.OnRecord(claim->mRecord, MakeRevision(2, 10), At(5'200), At(5'205));
  EXPECT_FALSE(lease.Holds(At(5'309)));
  EXPECT_TRUE(lease.Holds(At(5'310)));
}

// A record without a holder is no proof: a claim may have been forgotten.
TEST(DutyLeaseTest, WaitsAfterAReturnAlsoIfTheCopyNamesNoHolder)
{
  duty_lease lease("a", 1, milliseconds(0));
  const duty_record vacant{ "", 0, MakeRevision(1, 8) };
  lease.OnRecord(vacant, MakeRevision(2, 9), At(0), At(0));
  const auto claim = lease.ClaimIfDue(At(0));
  ASSERT_TRUE(claim);
  lease.OnWritten(*claim, MakeRevision(2, 10), At(10));
  lease.OnRecord(claim->mRecord, MakeRevision(2, 10), At(20), At(20));
  EXPECT_FALSE(lease.Holds(At(20)));
}

// Model of several instances, a store, a platform and outstanding calls, with a
// seeded random schedule. The store loses replies and executes writes late,
// replies to reads are delayed, orders take their time, and instances are
// suspended, resign and start again. The store may come back from older copies
// of itself.
class lease_model
{
public:
  lease_model(std::uint64_t aSeed, lease_faults aFaults)
    : mRandom(aSeed)
    , mFaults(aFaults)
  {
    for (int i = 0; i < kInstances; ++i) {
      mNodes.push_back({ NameOf(i), NewLease(i, 1), 1, mNow, false, mNow });
    }
  }

  void Step()
  {
    mNow += milliseconds(Draw(60));
    Advance();
    ReturnAtTimes();
    const int index = Draw(kInstances);
    node& self = mNodes[static_cast<std::size_t>(index)];
    if (mNow < self.mResumesAt) {
      return;
    }
    if (Draw(300) == 0) {
      self.mResumesAt = mNow + milliseconds(Draw(9'000));
      return;
    }
    if (Draw(self.mResigned ? 20 : 400) == 0) {
      // The process ends and another one of its name starts.
      self = { self.mName,
               NewLease(index, self.mStarted + 1),
               self.mStarted + 1,
               mNow + milliseconds(Draw(400)),
               false,
               mNow };
      return;
    }
    Order(self);
    Read(self);
    ReportHolder(self);
    if (const auto write = self.mLease.ClaimIfDue(mNow)) {
      Write(self, *write);
    }
    Resign(self);
  }

  // Orders with a higher fence number than any before.
  std::uint64_t Changes() const { return mChanges; }
  bool Violated() const { return mViolated; }

private:
  static constexpr int kInstances = 4;

  struct node
  {
    std::string mName;
    duty_lease mLease;
    std::uint64_t mStarted = 1;
    time_point mResumesAt;
    bool mResigned = false;
    // When its last order will have ended.
    time_point mOrderedUntil;
  };
  struct delayed_write
  {
    duty_write mWrite;
    time_point mAt;
  };
  struct order
  {
    std::uint64_t mFence = 0;
    time_point mArrives;
    // Name and start of the process that gave it.
    std::string mHolder;
  };
  struct store_state
  {
    std::optional<duty_record> mRecord;
    std::uint64_t mNumber = 0;
  };

  static duty_lease NewLease(int aIndex, std::uint64_t aStarted)
  {
    return duty_lease(NameOf(aIndex), aStarted, milliseconds(37 * aIndex));
  }

  static std::string NameOf(int aIndex) { return "n" + std::to_string(aIndex); }

  int Draw(int aBound)
  {
    return static_cast<int>(mRandom() % static_cast<unsigned>(aBound));
  }

  // Executes what is due, in the order of time.
  void Advance()
  {
    while (!mDelayedWrites.empty() && mDelayedWrites.front().mAt <= mNow) {
      Execute(mDelayedWrites.front().mWrite);
      mDelayedWrites.pop_front();
    }
    std::stable_sort(mOrders.begin(),
                     mOrders.end(),
                     [](const order& aLeft, const order& aRight) {
                       return aLeft.mArrives < aRight.mArrives;
                     });
    while (!mOrders.empty() && mOrders.front().mArrives <= mNow) {
      // The platform must never see a lower fence after a higher one.
      // Nor may two holders use the same.
      const order& next = mOrders.front();
      const bool reused =
        next.mFence == mLastFence && next.mHolder != mLastHolder;
      mViolated = mViolated || next.mFence < mLastFence || reused;
      mChanges += next.mFence > mLastFence ? 1 : 0;
      mLastFence = std::max(mLastFence, next.mFence);
      mLastHolder = next.mHolder;
      mOrders.pop_front();
    }
  }

  bool Execute(const duty_write& aWrite)
  {
    // The store compares numbers only.
    const std::uint64_t number = mStore.mRecord ? mStore.mNumber : 0;
    if (NumberOf(aWrite.mExpectedVersion) != number) {
      return false;
    }
    mStore.mRecord = aWrite.mRecord;
    ++mStore.mNumber;
    return true;
  }

  std::uint64_t Version() const { return MakeRevision(mEra, mStore.mNumber); }

  void ReturnAtTimes()
  {
    if (!mFaults.mStoreReturns) {
      return;
    }
    if (Draw(60) == 0) {
      mCopy = mStore;
    }
    if (Draw(400) == 0) {
      mStore = mCopy;
      ++mEra;
    }
  }

  void Read(node& aNode)
  {
    // The reply may be delayed; it contains the record as of the time of the
    // call.
    const time_point asOf = mNow;
    const auto record = mStore.mRecord;
    const auto version = Version();
    if (Draw(8) == 0) {
      mNow += milliseconds(Draw(1'500));
      Advance();
    }
    aNode.mLease.OnRecord(record, version, asOf, mNow);
  }

  void ReportHolder(node& aNode)
  {
    const auto& record = mStore.mRecord;
    if (!record || record->mHolder.empty()) {
      return;
    }
    const auto holder =
      static_cast<std::size_t>(std::stoi(record->mHolder.substr(1)));
    if (mNow >= mNodes[holder].mResumesAt && Draw(4) != 0) {
      aNode.mLease.OnHolderSeen(record->mHolder, mNow);
    }
  }

  void Write(node& aNode, const duty_write& aWrite)
  {
    const int outcome = Draw(10);
    if (outcome == 0) {
      // The reply is lost, and the write is executed a second later if the
      // version still matches.
      mDelayedWrites.push_back({ aWrite, mNow + milliseconds(1'000) });
      aNode.mLease.OnWritten(aWrite, std::nullopt, mNow);
      return;
    }
    const bool done = Execute(aWrite);
    const std::uint64_t version = Version();
    // The answer to a condition from an earlier era says nothing.
    const bool sameEra =
      aWrite.mExpectedVersion == 0 || EraOf(aWrite.mExpectedVersion) == mEra;
    const bool answered = outcome != 1 && sameEra;
    mNow += milliseconds(Draw(300));
    Advance();
    aNode.mLease.OnWritten(
      aWrite, done && answered ? std::optional(version) : std::nullopt, mNow);
  }

  void Order(node& aNode)
  {
    const bool holds =
      aNode.mLease.Holds(mNow) || aNode.mLease.Holds(mNow - mFaults.mExtraUse);
    if (holds) {
      const time_point arrives =
        mNow +
        milliseconds(Draw(static_cast<int>(duty_lease::kOrderTimeout.count())));
      mOrders.push_back({ aNode.mLease.Fence(),
                          arrives,
                          aNode.mName + "/" + std::to_string(aNode.mStarted) });
      aNode.mOrderedUntil = std::max(aNode.mOrderedUntil, arrives);
    }
  }

  void Resign(node& aNode)
  {
    if (Draw(400) == 0) {
      aNode.mLease.Resign();
      aNode.mResigned = true;
    }
    const bool ordersEnded =
      mFaults.mVacatesEarly || mNow >= aNode.mOrderedUntil;
    if (!aNode.mResigned || !ordersEnded) {
      return;
    }
    if (const auto write = aNode.mLease.VacateIfDue(mNow)) {
      Write(aNode, *write);
    }
  }

  std::mt19937_64 mRandom;
  lease_faults mFaults;
  time_point mNow = At(0);
  std::vector<node> mNodes;
  // A store with eras has other objects already.
  store_state mStore{ std::nullopt, mFaults.mStoreReturns ? 1U : 0U };
  store_state mCopy = mStore;
  std::uint64_t mEra = mFaults.mStoreReturns ? 1 : 0;
  std::deque<delayed_write> mDelayedWrites;
  std::deque<order> mOrders;
  std::uint64_t mLastFence = 0;
  std::string mLastHolder;
  std::uint64_t mChanges = 0;
  bool mViolated = false;
};

constexpr std::uint64_t kModelSeeds = 20;
constexpr int kModelSteps = 10'000;

TEST(DutyLeaseModelTest, SendsOrdersWithRisingFences)
{
  std::uint64_t changes = 0;
  for (std::uint64_t seed = 1; seed <= kModelSeeds; ++seed) {
    lease_model model(seed, {});
    for (int step = 0; step < kModelSteps; ++step) {
      model.Step();
    }
    EXPECT_FALSE(model.Violated()) << "seed " << seed;
    changes += model.Changes();
  }
  // The holder of the duty must have changed often enough for the check to be
  // meaningful.
  EXPECT_GT(changes, 100U);
}

TEST(DutyLeaseModelTest, SendsOrdersWithRisingFencesOverReturnsOfTheStore)
{
  std::uint64_t changes = 0;
  for (std::uint64_t seed = 1; seed <= kModelSeeds; ++seed) {
    lease_model model(seed, { .mStoreReturns = true });
    for (int step = 0; step < kModelSteps; ++step) {
      model.Step();
    }
    EXPECT_FALSE(model.Violated()) << "seed " << seed;
    changes += model.Changes();
  }
  EXPECT_GT(changes, 100U);
}

// Whether the model finds a fault with one of its seeds.
bool
Finds(lease_faults aFaults)
{
  for (std::uint64_t seed = 1; seed <= kModelSeeds; ++seed) {
    lease_model model(seed, aFaults);
    for (int step = 0; step < kModelSteps; ++step) {
      model.Step();
    }
    if (model.Violated()) {
      return true;
    }
  }
  return false;
}

TEST(DutyLeaseModelTest, NeedsTheSuccessorToWait)
{
  EXPECT_TRUE(Finds({ .mExtraUse = milliseconds(4'000) }));
}

TEST(DutyLeaseModelTest, NeedsTheDutyToBeKeptWhileOrdersAreUnderWay)
{
  EXPECT_TRUE(Finds({ .mVacatesEarly = true }));
}

} // namespace
} // namespace snipewalk
