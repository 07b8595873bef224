// Tests of the pool of connections to backend servers.
#include "snipewalk/request/connection_pool.h"

#include <array>

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

// Guards against a storm of reconnects to a server at its limit whose replies
// over another connection end the delays.
TEST_F(ConnectionPoolTest, BacksOffBesideAConnectionThatAnswers)
{
  Open(1);
  mPool.Release(Take(connection_use::Write), kStart, mActions);
  mPool.SetServer(0, { "a", "10.0.0.1:1" }, 6, mActions);
  int opened = 0;
  time_point now = kStart;
  for (; now < kStart + seconds(10); now += milliseconds(1)) {
    mActions.clear();
    mPool.OpenMissing(now, mActions);
    for (const auto& action : std::vector<engine_action>(mActions)) {
      const auto id = std::get<open_connection>(action).mConnection;
      mPool.Opened(id, now);
      mPool.Closed(id, false, now);
      ++opened;
    }
    mPool.Release(Take(connection_use::Write, now), now, mActions);
  }
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

// Guards against a probe that exceeds the share, and against one that replaces
// an idle connection: if that one is silent, too, the server counts both.
TEST_F(ConnectionPoolTest, ProbesWithinTheReserveOnly)
{
  Open(2);
  Take(connection_use::Write);
  EXPECT_FALSE(mPool.OpenProbe(0, mActions));
  EXPECT_EQ(mPool.Count(0), 2U);
  mPool.SetReserve(0, 1);
  EXPECT_TRUE(mPool.OpenProbe(0, mActions));
  EXPECT_EQ(mPool.Count(0), 3U);
  EXPECT_FALSE(mPool.OpenProbe(0, mActions));
}

// Guards against a reserve that is used while nothing is silent.
TEST_F(ConnectionPoolTest, KeepsTheReserveInNormalOperation)
{
  mPool.SetServer(0, { "a", "10.0.0.1:1" }, 3, mActions);
  mPool.SetReserve(0, 2);
  mPool.OpenMissing(kStart, mActions);
  EXPECT_EQ(mPool.Count(0), 3U);
}

// Guards against replacements that the server refuses, because it still counts
// the connections which went silent, or that take places of other holders.
TEST_F(ConnectionPoolTest, ReplacesSilentConnectionsWithinTheReserve)
{
  Open(3);
  mPool.SetReserve(0, 1);
  const std::array<connection_id, 3> silent{ Take(connection_use::Write),
                                             Take(connection_use::Write),
                                             Take(connection_use::Write) };
  for (const auto id : silent) {
    mPool.Close(id, mActions);
    mPool.OpenMissing(kStart, mActions);
    EXPECT_LE(mPool.Count(0) + mPool.HalfClosed(0), 4U);
  }
  EXPECT_EQ(mPool.Count(0), 1U);
  EXPECT_FALSE(mPool.IsStarved(0));
  // The server noticed one of them.
  mPool.Ended(silent[0]);
  mPool.OpenMissing(kStart, mActions);
  EXPECT_EQ(mPool.Count(0), 2U);
}

// Guards against a holder that never has its whole share again when the end of
// silent connections is never seen.
TEST_F(ConnectionPoolTest, TriesItsWholeShareAgainAfterTheHold)
{
  Open(3);
  for (int i = 0; i < 3; ++i) {
    mPool.Close(Take(connection_use::Write), mActions);
  }
  mPool.OpenMissing(kStart, mActions);
  EXPECT_EQ(mPool.Count(0), 0U);
  EXPECT_TRUE(mPool.IsStarved(0));
  ASSERT_EQ(mPool.NextOpen(), kStart + kHalfClosedHold);
  const time_point later = kStart + kHalfClosedHold;
  // One at a time: the server may still refuse them.
  for (connection_id id = 4; id <= 6; ++id) {
    mPool.OpenMissing(later, mActions);
    mPool.OpenMissing(later, mActions);
    EXPECT_EQ(mPool.Count(0), id - 3);
    mPool.Opened(id, later);
    // A statement would be lost if the server closed the connection.
    EXPECT_EQ(mPool.Find(id)->mUse, connection_use::Check);
    mPool.Release(id, later, mActions);
  }
}

// Guards against a transaction that keeps the only replacement for its length.
TEST_F(ConnectionPoolTest, ReservesTheLastReplacementForWrites)
{
  Open(1);
  mPool.SetReserve(0, 1);
  mPool.Close(Take(connection_use::Write), mActions);
  mPool.OpenMissing(kStart, mActions);
  mPool.Opened(2, kStart);
  mPool.Release(2, kStart, mActions);
  EXPECT_EQ(Take(connection_use::Transaction), 0U);
  EXPECT_NE(Take(connection_use::Write), 0U);
}

// Guards against a statement on a connection that is silent like the one whose
// reply is overdue.
TEST_F(ConnectionPoolTest, ChecksIdleConnectionsOlderThanASilentOne)
{
  Open(2);
  const auto later = kStart + milliseconds(100);
  mPool.ExpireIdle(0, later, later);
  EXPECT_EQ(Take(connection_use::Write, later), 0U);
  auto* checked = mPool.AcquireStale(0, later);
  ASSERT_TRUE(checked);
  mPool.Release(checked->mId, later, mActions);
  EXPECT_EQ(Take(connection_use::Write, later), checked->mId);
  EXPECT_TRUE(mPool.AcquireStale(0, later));
  EXPECT_FALSE(mPool.AcquireStale(0, later));
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
