// Tests of the read router.
#include "snipewalk/request/read_router.h"

#include <gtest/gtest.h>

namespace snipewalk {
namespace {

const time_point kStart{ seconds(100) };

class ReadRouterTest : public ::testing::Test
{
protected:
  ReadRouterTest()
  {
    for (const char* name : { "a", "b", "c" }) {
      server_entry entry;
      entry.mName = name;
      entry.mDataCentre = name == std::string("b") ? "here" : "there";
      mView.mDocument.mServers.push_back(entry);
      mView.mTerm.mVoters.emplace_back(name);
    }
    mView.mTerm.mTerm = 2;
    mView.mTerm.mPrimary = "a";
    mRouter.SetView(mView, "here");
  }

  void Observe(std::size_t aServer,
               std::uint64_t aApplied,
               time_point aSentAt = kStart,
               std::uint64_t aLogTerm = 2)
  {
    server_status status;
    status.mTerm = 2;
    status.mLogTerm = aLogTerm;
    status.mRole = aServer == 0 ? server_role::Primary : server_role::Replica;
    status.mApplied = status.mReceived = aApplied;
    mRouter.ObserveStatus(aServer, status, aSentAt);
  }

  read_route Route(const read_request_facts& aFacts,
                   time_point aNow = kStart) const
  {
    return mRouter.Route(
      aFacts,
      aNow,
      [this](std::size_t aServer) { return mFree.at(aServer); },
      [this](std::size_t aServer) { return mOutstanding.at(aServer); });
  }

  static read_request_facts At(std::uint64_t aIndex)
  {
    read_request_facts facts;
    facts.mPosition = { 2, aIndex };
    facts.mDeadline = kStart + seconds(5);
    return facts;
  }

  service_view mView;
  read_router mRouter;
  std::vector<bool> mFree{ true, true, true };
  std::vector<std::size_t> mOutstanding{ 0, 0, 0 };
};

// Guards against a distant replica for data that a near one has, and against a
// near replica that is overloaded meanwhile.
TEST_F(ReadRouterTest, PrefersTheNearReplicaUntilItIsBusier)
{
  Observe(1, 10);
  Observe(2, 10);
  EXPECT_EQ(Route(At(10)).mServer, 1U);
  mOutstanding[1] = 5;
  EXPECT_EQ(Route(At(10)).mServer, 2U);
}

// Guards against a replica behind the session's position that serves it.
TEST_F(ReadRouterTest, LetsTheFreshestReplicaWaitForThePosition)
{
  Observe(1, 4);
  Observe(2, 7);
  const auto route = Route(At(9));
  EXPECT_EQ(route.mVerdict, route_verdict::Send);
  EXPECT_EQ(route.mServer, 2U);
  EXPECT_EQ(route.mMinIndex, 9U);
  EXPECT_EQ(route.mWait, kPositionWaitMax);
}

// Guards against a wait that uses up the caller's time.
TEST_F(ReadRouterTest, WaitsForAtMostHalfOfTheTime)
{
  Observe(1, 4);
  auto facts = At(9);
  facts.mDeadline = kStart + milliseconds(30);
  EXPECT_EQ(Route(facts).mWait, milliseconds(15));
}

// Guards against a read that is lost when both replicas are behind.
TEST_F(ReadRouterTest, AsksThePrimaryAfterTwoReplicas)
{
  Observe(1, 4);
  Observe(2, 4);
  auto facts = At(9);
  facts.mTried = 0b110;
  EXPECT_EQ(Route(facts).mVerdict, route_verdict::ToPrimary);
}

// Guards against reads on leaving or suspected servers.
TEST_F(ReadRouterTest, AvoidsLeavingAndSuspectedServers)
{
  Observe(1, 10);
  Observe(2, 10);
  mView.mDocument.mServers[1].mState = server_state::Leaving;
  mRouter.SetView(mView, "here");
  EXPECT_EQ(Route(At(10)).mServer, 2U);
  mView.mSuspected = { "c" };
  mRouter.SetView(mView, "here");
  EXPECT_EQ(Route(At(10)).mVerdict, route_verdict::ToPrimary);
}

// Guards against reads from a log that the new primary does not have.
TEST_F(ReadRouterTest, DoesNotUseAReplicaWithoutAnEntryOfTheTerm)
{
  Observe(1, 50, kStart, 1);
  EXPECT_EQ(Route(At(10)).mVerdict, route_verdict::ToPrimary);
  Observe(1, 51);
  EXPECT_EQ(Route(At(10)).mVerdict, route_verdict::Send);
}

// Guards against a promise of freshness by an old primary that is cut off
// together with this instance: without a majority no age is known.
TEST_F(ReadRouterTest, CountsSamplesOnlyAfterAMajorityConfirmedTheTerm)
{
  Observe(0, 10);
  EXPECT_FALSE(mRouter.AgeOf(10, kStart));
  EXPECT_FALSE(mRouter.PrimaryAge(kStart));
  Observe(1, 10, kStart + milliseconds(5));
  EXPECT_EQ(mRouter.AgeOf(10, kStart + milliseconds(20)), milliseconds(20));
  EXPECT_EQ(mRouter.PrimaryAge(kStart + milliseconds(20)), milliseconds(20));
  Observe(0, 20, kStart + milliseconds(50));
  EXPECT_EQ(mRouter.AgeOf(20, kStart + milliseconds(90)), milliseconds(85));
}

// Guards against an age that jumps back to an early sample whenever the
// primary was asked after the replicas, as happens all the time under load.
TEST_F(ReadRouterTest, KeepsTheAgeWhileAnIdlePrimaryIsAskedOften)
{
  Observe(0, 10);
  Observe(1, 10);
  for (int i = 1; i <= 20; ++i) {
    const auto asked = kStart + milliseconds(50 * i);
    Observe(1, 10, asked - milliseconds(20));
    Observe(0, 10, asked);
    EXPECT_EQ(mRouter.AgeOf(10, asked + milliseconds(10)), milliseconds(30));
  }
}

// Guards against an age that stands still while the primary is silent.
TEST_F(ReadRouterTest, LetsTheAgeGrowWhileThePrimaryIsSilent)
{
  Observe(0, 10);
  Observe(1, 10);
  read_request_facts facts = At(0);
  facts.mNeed = read_need::Age;
  facts.mMaxAge = milliseconds(200);
  EXPECT_EQ(Route(facts, kStart + milliseconds(200)).mVerdict,
            route_verdict::Send);
  Observe(1, 10, kStart + milliseconds(190));
  EXPECT_EQ(Route(facts, kStart + milliseconds(201)).mVerdict,
            route_verdict::Refresh);
}

// Guards against data counted as fresh at a replica that lacks a later write.
TEST_F(ReadRouterTest, TakesTheAgeOfTheSampleThatTheReplicaReached)
{
  for (unsigned i = 0; i < 5; ++i) {
    const auto sentAt = kStart + milliseconds(10 * i);
    Observe(0, 10U + i, sentAt);
    Observe(1, 10, sentAt);
  }
  EXPECT_EQ(mRouter.AgeOf(12, kStart + milliseconds(60)), milliseconds(40));
  EXPECT_EQ(mRouter.AgeOf(99, kStart + milliseconds(60)), milliseconds(20));
  EXPECT_FALSE(mRouter.AgeOf(9, kStart));
}

} // namespace
} // namespace snipewalk
