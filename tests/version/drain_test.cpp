// Tests of the drain planner.
#include "snipewalk/version/drain.h"

#include <gtest/gtest.h>

namespace snipewalk {
namespace {

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

  void Begin()
  {
    mDrain.Configure(mDocument);
    mDrain.OnTerm(mTerm, mNow);
    mNow += seconds(2);
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
    for (const auto& server : mDocument.mServers) {
      Report(server.mName, 100);
    }
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

} // namespace
} // namespace snipewalk
