// Tests of the pool of connections to backend servers.
#include "snipewalk/connection/connection_pool.h"

#include <gtest/gtest.h>

namespace snipewalk {
namespace {

const time_point kStart{ seconds(100) };

class ConnectionPoolTest : public ::testing::Test
{
protected:
  void Open(std::size_t aLimit)
  {
    mPool.SetServer(0, { "a", "10.0.0.1:1" }, aLimit, mActions);
    mPool.OpenMissing(kStart, mActions);
    for (connection_id id = 1; id <= aLimit; ++id) {
      mPool.Opened(id, kStart);
    }
  }

  connection_id Take(connection_use aUse, time_point aNow = kStart)
  {
    auto* connection = mPool.Acquire(0, aUse, 1, aNow);
    return connection ? connection->mId : 0;
  }

  connection_pool mPool{ 1 };
  std::vector<engine_action> mActions;
};

// Guards against a storm of reconnects to a server at its connection limit: it
// accepts each connection and closes it at once.
TEST_F(ConnectionPoolTest, BacksOffWhenNewConnectionsCloseAtOnce)
{
  mPool.SetServer(0, { "a", "10.0.0.1:1" }, 6, mActions);
  int opened = 0;
  time_point now = kStart;
  for (; now < kStart + seconds(10); now += milliseconds(1)) {
    mActions.clear();
    mPool.OpenMissing(now, mActions);
    for (const auto& action : mActions) {
      const auto id = std::get<open_connection>(action).mConnection;
      mPool.Opened(id, now);
      mPool.Closed(id, false, now);
      ++opened;
    }
  }
  // Six at once, then delays that grow to 2 s; without them it was 60,000.
  EXPECT_LT(opened, 30);
}

// Guards against connections beyond the share and against opening on demand.
TEST_F(ConnectionPoolTest, OpensItsShareAheadOfNeed)
{
  Open(7);
  mPool.OpenMissing(kStart, mActions);
  EXPECT_EQ(mPool.Count(0), 7U);
  EXPECT_EQ(mActions.size(), 7U);
}

// Guards against reads at the primary that starve writes.
TEST_F(ConnectionPoolTest, LimitsPrimaryReadsToHalf)
{
  Open(6);
  for (int i = 0; i < 3; ++i) {
    EXPECT_NE(Take(connection_use::PrimaryRead), 0U);
  }
  EXPECT_EQ(Take(connection_use::PrimaryRead), 0U);
  EXPECT_NE(Take(connection_use::Write), 0U);
}

// Guards against transactions and reads that together leave no connection for
// writes.
TEST_F(ConnectionPoolTest, KeepsOneConnectionForWrites)
{
  Open(4);
  EXPECT_NE(Take(connection_use::Transaction), 0U);
  EXPECT_NE(Take(connection_use::Transaction), 0U);
  EXPECT_NE(Take(connection_use::PrimaryRead), 0U);
  EXPECT_EQ(Take(connection_use::PrimaryRead), 0U);
  EXPECT_EQ(Take(connection_use::Transaction), 0U);
  EXPECT_NE(Take(connection_use::Write), 0U);
}

// Guards against sending a statement on a connection that went silent while
// it was idle.
TEST_F(ConnectionPoolTest, RequiresACheckAfterTwoSecondsOfIdleness)
{
  Open(1);
  const auto later = kStart + kIdleCheckAge;
  EXPECT_EQ(Take(connection_use::Write, later), 0U);
  auto* checked = mPool.AcquireForCheck(0, later);
  ASSERT_TRUE(checked);
  mPool.Release(checked->mId, later, mActions);
  EXPECT_NE(Take(connection_use::Write, later), 0U);
}

// Guards against a leaving server that keeps connections, and against cutting a
// request that is under way.
TEST_F(ConnectionPoolTest, DrainsToZeroWithoutCuttingRequests)
{
  Open(3);
  const auto busy = Take(connection_use::Read);
  mPool.SetServer(0, { "a", "10.0.0.1:1" }, 0, mActions);
  EXPECT_EQ(mPool.Count(0), 1U);
  EXPECT_EQ(Take(connection_use::Read), 0U);
  mPool.Release(busy, kStart, mActions);
  EXPECT_EQ(mPool.Count(0), 0U);
}

// Guards against a storm of connection attempts to a server that is down.
TEST_F(ConnectionPoolTest, RetriesARefusingServerOneAtATime)
{
  mPool.SetServer(0, { "a", "10.0.0.1:1" }, 2, mActions);
  mPool.OpenMissing(kStart, mActions);
  mPool.Closed(1, true, kStart);
  mPool.Closed(2, true, kStart);
  mActions.clear();
  mPool.OpenMissing(kStart, mActions);
  EXPECT_TRUE(mActions.empty());
  const auto next = mPool.NextOpen();
  ASSERT_TRUE(next);
  EXPECT_GE(*next, kStart + kReconnectDelayMin / 2);
  EXPECT_LE(*next, kStart + kReconnectDelayMax);
  mPool.OpenMissing(*next, mActions);
  EXPECT_EQ(mActions.size(), 1U);
}

// Guards against a probe that exceeds the share.
TEST_F(ConnectionPoolTest, ReplacesAnIdleConnectionByAProbe)
{
  Open(2);
  Take(connection_use::Write);
  EXPECT_TRUE(mPool.OpenProbe(0, mActions));
  EXPECT_EQ(mPool.Count(0), 2U);
  EXPECT_FALSE(mPool.OpenProbe(0, mActions));
}

// Guards against requests that stay at an address which the document replaced.
TEST_F(ConnectionPoolTest, ReportsBusyConnectionsToAnOldAddress)
{
  Open(2);
  const auto busy = Take(connection_use::Write);
  const auto lost = mPool.SetServer(0, { "a", "10.0.0.9:1" }, 2, mActions);
  ASSERT_EQ(lost.size(), 1U);
  EXPECT_EQ(lost[0].mId, busy);
  EXPECT_EQ(mPool.Count(0), 0U);
}

} // namespace
} // namespace snipewalk
