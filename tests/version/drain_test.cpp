// Tests of the drain planner.
#include "snipewalk/version/drain.h"

#include <gtest/gtest.h>

namespace snipewalk {
namespace {

// Of the document in the store.
constexpr std::uint64_t kVersion = 7;

class DrainTest : public testing::Test
{
protected:
  DrainTest() { mDocument.mService = "ledger"; }

  void Add(const std::string& aName, server_state aState)
  {
    mDocument.mServers.push_back({ aName, aName + ":1", "dc", aState, {} });
  }

  // Reports positions; `aLag` entries are missing at the server.
  void Report(const std::string& aName, std::uint64_t aReceived)
  {
    const auto role =
      aName == mTerm.mPrimary ? server_role::Primary : server_role::Replica;
    mDrain.OnStatus(
      { aName, mTerm.mTerm, role, mTerm.mTerm, aReceived, aReceived }, mNow);
  }

  // All servers hold the same log.
  void ReportAll()
  {
    for (const auto& server : mDocument.mServers) {
      Report(server.mName, 100);
    }
  }

  void Begin()
  {
    mDrain.Configure(mDocument, kVersion);
    mDrain.OnTerm(mTerm, mNow);
    mNow += seconds(2);
  }

  // The primary a leaves, b and c stay and are caught up; two live holders.
  void BeginLeavingPrimary()
  {
    Add("a", server_state::Leaving);
    Add("b", server_state::Active);
    Add("c", server_state::Active);
    mDrain.OnHolders({ "x", "y" });
    Begin();
  }

  // Both holders answer the query that is due, if one is.
  void Answer(std::uint64_t aOpenAtX,
              std::uint64_t aOpenAtY,
              std::uint64_t aVersionAtY = kVersion)
  {
    ReportAll();
    mDrain.Advance(mNow, mWall);
    if (const auto query = mDrain.NextQuery(mNow)) {
      mDrain.OnTransactions("x", ReportOn(*query, aOpenAtX, kVersion));
      mDrain.OnTransactions("y", ReportOn(*query, aOpenAtY, aVersionAtY));
    }
  }

  static transactions_report ReportOn(const transactions_query& aQuery,
                                      std::uint64_t aOpen,
                                      std::uint64_t aVersion)
  {
    return { aQuery.mService, aQuery.mServer, aQuery.mTerm,
             aQuery.mQuery,   aVersion,       aOpen };
  }

  // Lets time pass in steps of 100 ms until a change is due, at most `aLimit`;
  // `x` has one transaction open.
  duration TimeUntilChange(duration aLimit)
  {
    const time_point start = mNow;
    while (mNow - start < aLimit) {
      Answer(1, 0);
      if (mDrain.NextChange(mNow)) {
        break;
      }
      mNow += milliseconds(100);
      mWall += milliseconds(100);
    }
    return mNow - start;
  }

  service_document mDocument;
  term_record mTerm{
    4, "a", { "a", "b", "c" }, term_phase::Stable, "x/1/1", "x"
  };
  drain mDrain;
  time_point mNow = time_point(seconds(100));
  wall_time mWall = wall_time(seconds(1'800'000'000));
};

// Guards against changes of term although nothing leaves.
TEST_F(DrainTest, PlansNothingWhenAllVotersStay)
{
  for (const std::string name : { "a", "b", "c" }) {
    Add(name, server_state::Active);
  }
  Begin();
  Report("a", 10);
  EXPECT_FALSE(mDrain.IsNeeded());
  EXPECT_FALSE(mDrain.NextChange(mNow));
}

// Guards against a new primary or voter that lacks entries.
TEST_F(DrainTest, WaitsForCaughtUpCandidate)
{
  Add("a", server_state::Leaving);
  Add("b", server_state::Active);
  Add("c", server_state::Active);
  Begin();
  Report("a", 100);
  Report("b", 20);
  Report("c", 20);
  EXPECT_FALSE(mDrain.NextChange(mNow));
  const auto status = mDrain.Status(mNow, mWall);
  EXPECT_EQ(status.mServers.at(0).mState, drain_state::Blocked);
  EXPECT_FALSE(status.mServers.at(0).mObstacles.empty());
  Report("b", 100);
  Report("c", 100);
  const auto change = mDrain.NextChange(mNow);
  ASSERT_TRUE(change);
  EXPECT_EQ(change->mCandidate, "b");
  EXPECT_EQ(change->mVoters, (std::vector<std::string>{ "b", "c" }));
}

// Guards against more than one voter that changes in one term, and against a
// drain of all old servers that never ends.
TEST_F(DrainTest, MovesOneServerATermUntilAllOldOnesAreGone)
{
  for (const std::string name : { "a", "b", "c" }) {
    Add(name, server_state::Leaving);
  }
  for (const std::string name : { "d", "e", "f" }) {
    Add(name, server_state::Active);
  }
  Begin();
  int changes = 0;
  while (mDrain.IsNeeded() && changes < 10) {
    ReportAll();
    const auto change = mDrain.NextChange(mNow);
    ASSERT_TRUE(change) << "after " << changes << " changes";
    ++changes;
    EXPECT_TRUE(Contains(mTerm.mVoters, change->mCandidate));
    EXPECT_TRUE(Contains(change->mVoters, change->mCandidate));
    int added = 0;
    for (const auto& voter : change->mVoters) {
      added += Contains(mTerm.mVoters, voter) ? 0 : 1;
    }
    EXPECT_LE(added, 1);
    EXPECT_EQ(change->mVoters.size(), 3U);
    mTerm.mPrimary = change->mCandidate;
    mTerm.mVoters = change->mVoters;
    ++mTerm.mTerm;
    mDrain.OnTerm(mTerm, mNow);
    mNow += seconds(2);
  }
  EXPECT_EQ(changes, 3);
  EXPECT_FALSE(mDrain.IsNeeded());
  for (const auto& server : mDrain.Status(mNow, mWall).mServers) {
    EXPECT_EQ(server.mState, drain_state::Complete);
  }
}

// Guards against a drain reported complete while connections are open.
TEST_F(DrainTest, IsNotCompleteWhileConnectionsAreOpen)
{
  Add("a", server_state::Active);
  Add("b", server_state::Active);
  Add("c", server_state::Active);
  Add("d", server_state::Leaving);
  Begin();
  mDrain.OnConnections("d", 2);
  EXPECT_EQ(mDrain.Status(mNow, mWall).mServers.at(0).mState,
            drain_state::Running);
  mDrain.OnConnections("d", 0);
  EXPECT_EQ(mDrain.Status(mNow, mWall).mServers.at(0).mState,
            drain_state::Complete);
}

// Guards against a missed deadline that is announced only afterwards.
TEST_F(DrainTest, AnnouncesBreachFromTheEstimate)
{
  Add("a", server_state::Active);
  Add("b", server_state::Active);
  Add("c", server_state::Leaving);
  Add("d", server_state::Active);
  mDocument.mServers[2].mLeaveBy = mWall + seconds(60);
  Begin();
  // The new server gains 100 entries a second and lacks 100,000.
  for (int i = 0; i <= 20; ++i) {
    Report("a", 200'000);
    Report("b", 200'000);
    Report("d", 100'000 + static_cast<std::uint64_t>(i) * 10);
    mNow += milliseconds(100);
  }
  const auto status = mDrain.Status(mNow, mWall);
  ASSERT_TRUE(status.mServers.at(0).mRemaining);
  EXPECT_GT(*status.mServers.at(0).mRemaining, seconds(500));
  EXPECT_TRUE(status.mServers.at(0).mBreach);
}

// Guards against a change that cuts a transaction of another holder, and
// against one that waits although all transactions have ended.
TEST_F(DrainTest, ChangesOnceNoHolderHasOpenTransactions)
{
  BeginLeavingPrimary();
  Answer(0, 2);
  EXPECT_FALSE(mDrain.NextChange(mNow));
  mNow += seconds(1);
  Answer(0, 1);
  EXPECT_FALSE(mDrain.NextChange(mNow));
  const auto status = mDrain.Status(mNow, mWall).mServers.at(0);
  EXPECT_EQ(status.mState, drain_state::Blocked);
  ASSERT_EQ(status.mObstacles.size(), 1U);
  EXPECT_EQ(status.mObstacles[0],
            "waits at most 31000 ms for open transactions on a: y has 1");
  mNow += milliseconds(100);
  Answer(0, 0);
  const auto change = mDrain.NextChange(mNow);
  ASSERT_TRUE(change);
  EXPECT_EQ(change->mCandidate, "b");
  EXPECT_EQ(mDrain.Status(mNow, mWall).mServers.at(0).mState,
            drain_state::Running);
}

// Guards against a zero from a holder that may still begin transactions on the
// server because it has not seen that it leaves.
TEST_F(DrainTest, DoesNotCountZeroOfAHolderWithAnOlderDocument)
{
  BeginLeavingPrimary();
  Answer(0, 0, kVersion - 1);
  EXPECT_FALSE(mDrain.NextChange(mNow));
  mNow += seconds(1);
  Answer(0, 0, kVersion - 1);
  EXPECT_EQ(mDrain.Status(mNow, mWall).mServers.at(0).mObstacles.at(0),
            "waits at most 31000 ms for open transactions on a: y does not "
            "report");
  mNow += milliseconds(100);
  Answer(0, 0, kVersion + 1);
  EXPECT_TRUE(mDrain.NextChange(mNow));
}

// Guards against a report that was delayed on the way, or that is about another
// term, and permits a change although transactions began since.
TEST_F(DrainTest, IgnoresOldAndForeignReports)
{
  BeginLeavingPrimary();
  ReportAll();
  mDrain.Advance(mNow, mWall);
  const auto query = mDrain.NextQuery(mNow);
  ASSERT_TRUE(query);
  EXPECT_FALSE(mDrain.NextQuery(mNow + kTransactionsInterval / 2));
  auto report = ReportOn(*query, 0, kVersion);
  mDrain.OnTransactions("x", report);
  ++report.mTerm;
  mDrain.OnTransactions("y", report);
  EXPECT_FALSE(mDrain.NextChange(mNow));
  mNow += kTransactionsAge + milliseconds(1);
  ReportAll();
  EXPECT_TRUE(mDrain.NextQuery(mNow));
  mDrain.OnTransactions("y", ReportOn(*query, 0, kVersion));
  EXPECT_FALSE(mDrain.NextChange(mNow));
}

// Guards against a drain that waits for a holder that is gone.
TEST_F(DrainTest, DoesNotWaitForAGoneHolder)
{
  BeginLeavingPrimary();
  Answer(0, 1);
  EXPECT_FALSE(mDrain.NextChange(mNow));
  mDrain.OnHolders({ "x" });
  EXPECT_TRUE(mDrain.NextChange(mNow));
}

// Guards against a transaction without an end that stops a drain.
TEST_F(DrainTest, BoundsTheWaitForTransactions)
{
  BeginLeavingPrimary();
  const auto limit = mDocument.mTransactionIdleLimit + kTransactionWaitMargin;
  EXPECT_EQ(TimeUntilChange(seconds(60)), limit);
  EXPECT_FALSE(mDrain.NextQuery(mNow + seconds(1)));
}

// Guards against a wait that makes the server miss its deadline.
TEST_F(DrainTest, EndsTheWaitEarlyEnoughForTheDeadline)
{
  BeginLeavingPrimary();
  mDocument.mServers[0].mLeaveBy = mWall + seconds(10);
  mDrain.Configure(mDocument, kVersion);
  const auto left = seconds(10) - TimeUntilChange(seconds(60));
  EXPECT_GE(left, 2 * kChangeTime);
  EXPECT_LT(left, 3 * kChangeTime);
}

// Guards against queries between the holders while nothing has to change.
TEST_F(DrainTest, AsksNothingWithoutAChange)
{
  for (const std::string name : { "a", "b", "c" }) {
    Add(name, server_state::Active);
  }
  mDrain.OnHolders({ "x", "y" });
  Begin();
  mDrain.Advance(mNow, mWall);
  EXPECT_FALSE(mDrain.NextQuery(mNow));
}

// Guards against a change of voters that cuts transactions on a primary that
// stays, and against a long one there that stops all new ones until it ends.
TEST_F(DrainTest, HoldsTransactionsOnAStayingPrimaryOnlyNowAndThen)
{
  Add("a", server_state::Active);
  Add("b", server_state::Leaving);
  Add("c", server_state::Active);
  Add("d", server_state::Active);
  mDrain.OnHolders({ "x", "y" });
  Begin();
  std::int64_t asked = 0;
  for (int i = 0; i < 100; ++i) {
    ReportAll();
    mDrain.Advance(mNow, mWall);
    if (const auto query = mDrain.NextQuery(mNow)) {
      ++asked;
      EXPECT_EQ(query->mServer, "a");
      mDrain.OnTransactions("x", ReportOn(*query, 1, kVersion));
    }
    EXPECT_FALSE(mDrain.NextChange(mNow));
    mNow += milliseconds(100);
  }
  EXPECT_EQ(asked, kVoterHold / kTransactionsInterval);
  Answer(0, 0);
  EXPECT_TRUE(mDrain.NextChange(mNow));
}

} // namespace
} // namespace snipewalk
