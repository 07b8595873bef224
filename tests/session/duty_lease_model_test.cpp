// Model of the lease of the failover duty: several instances with a store that
// loses replies and executes writes late.
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
  time_point mNow = time_point() + milliseconds(100'000);
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
