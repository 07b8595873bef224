// Tests of the drain planner.
#include "snipewalk/version/drain.h"

#include <gtest/gtest.h>

namespace snipewalk {
namespace {

// Version of the service document in the store.
constexpr std::uint64_t kVersion = 7;

class DrainTest : public testing::Test
{
protected:
  DrainTest() { mDocument.mService = "ledger"; }

  void Add(const std::string& aName, server_state aState)
  {
    mDocument.mServers.push_back({ aName, aName + ":1", "dc", aState, {} });
  }

  // Reports the position of a server in the current term to the planner.
  void Report(const std::string& aName, std::uint64_t aReceived)
  {
    const auto role =
      aName == mTerm.mPrimary ? server_role::Primary : server_role::Replica;
    mDrain.OnStatus(
      { aName, mTerm.mTerm, role, mTerm.mTerm, aReceived, aReceived }, mNow);
  }

  // Reports the same position for all servers.
  void ReportAll()
  {
    for (const auto& server : mDocument.mServers) {
      Report(server.mName, 100);
    }
  }

  // Configures the planner and advances the time until a change may start.
  void Begin()
  {
    mDrain.Configure(mDocument, kVersion);
    mDrain.OnTerm(mTerm, mNow);
    mNow += seconds(2);
  }

  // Starts a drain of the primary a; b and c stay, and there are two live
  // holders, x and y.
  void BeginLeavingPrimary()
  {
    Add("a", server_state::Leaving);
    Add("b", server_state::Active);
    Add("c", server_state::Active);
    mDrain.OnHolders({ "x", "y" });
    Begin();
  }

  // Reports the same position for all servers and lets both holders answer the
  // query that is due, if there is one.
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

  // Advances the time in steps of 100 ms until a change is due, at most by
  // `aLimit`, while holder x has one open transaction. Returns the time passed.
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

// Guards against changes of the term while no server is leaving.
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

// Guards against a planned primary or voter that is behind the current primary.
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

// Guards against replacing more than one voter in a term, and against a drain
// of all old servers that never ends.
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

// Guards against reporting a drain as complete while connections to the server
// are open.
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

// Guards against reporting a missed deadline only after it has passed; the
// estimated remaining time has to be taken into account.
TEST_F(DrainTest, AnnouncesBreachFromTheEstimate)
{
  Add("a", server_state::Active);
  Add("b", server_state::Active);
  Add("c", server_state::Leaving);
  Add("d", server_state::Active);
  mDocument.mServers[2].mLeaveBy = mWall + seconds(60);
  Begin();
  // Server d receives 100 entries per second and lacks 100,000.
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

// Guards against a change that aborts an open transaction of another holder,
// and against one that still waits after all transactions have ended.
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

// Guards against relying on a holder that reports no open transaction but uses
// an older document. It does not know that the server is leaving, so it may
// still begin transactions there.
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

// Guards against relying on a report that was delayed or belongs to another
// term; transactions may have begun since it was written.
TEST_F(DrainTest, IgnoresOldAndForeignReports)
{
  BeginLeavingPrimary();
  ReportAll();
  mDrain.Advance(mNow, mWall);
  const auto query = mDrain.NextQuery(mNow);
  ASSERT_TRUE(query);
  EXPECT_FALSE(mDrain.NextQuery(mNow + kTransactionQueryInterval / 2));
  auto report = ReportOn(*query, 0, kVersion);
  mDrain.OnTransactions("x", report);
  ++report.mTerm;
  mDrain.OnTransactions("y", report);
  EXPECT_FALSE(mDrain.NextChange(mNow));
  mNow += kMaxTransactionCountAge + milliseconds(1);
  ReportAll();
  EXPECT_TRUE(mDrain.NextQuery(mNow));
  mDrain.OnTransactions("y", ReportOn(*query, 0, kVersion));
  EXPECT_FALSE(mDrain.NextChange(mNow));
}

// Guards against a drain that waits for the report of a holder that is no
// longer live.
TEST_F(DrainTest, DoesNotWaitForAGoneHolder)
{
  BeginLeavingPrimary();
  Answer(0, 1);
  EXPECT_FALSE(mDrain.NextChange(mNow));
  mDrain.OnHolders({ "x" });
  EXPECT_TRUE(mDrain.NextChange(mNow));
}

// Guards against a drain that waits forever for a transaction that does not
// end.
TEST_F(DrainTest, BoundsTheWaitForTransactions)
{
  BeginLeavingPrimary();
  const auto limit = mDocument.mTransactionIdleLimit + kTransactionWaitMargin;
  EXPECT_EQ(TimeUntilChange(seconds(60)), limit);
  EXPECT_FALSE(mDrain.NextQuery(mNow + seconds(1)));
}

// Guards against missing the deadline of a leaving server because the change
// waits too long for open transactions.
TEST_F(DrainTest, EndsTheWaitEarlyEnoughForTheDeadline)
{
  BeginLeavingPrimary();
  mDocument.mServers[0].mLeaveBy = mWall + seconds(10);
  mDrain.Configure(mDocument, kVersion);
  const auto left = seconds(10) - TimeUntilChange(seconds(60));
  EXPECT_GE(left, 2 * kEstimatedChangeTime);
  EXPECT_LT(left, 3 * kEstimatedChangeTime);
}

// Guards against transaction queries to the holders while no change is needed.
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

// Guards against a change of voters that aborts open transactions on a staying
// primary, and against a long transaction there that stops new transactions
// until it ends: they may be held back in part of each interval only.
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
  EXPECT_EQ(asked, kVoterChangeHoldTime / kTransactionQueryInterval);
  Answer(0, 0);
  EXPECT_TRUE(mDrain.NextChange(mNow));
}

} // namespace
} // namespace snipewalk
