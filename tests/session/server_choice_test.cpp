// Tests of the choice of a server for reads, including its behaviour when
// replicas are slow or lag.
#include "snipewalk/session/server_choice.h"

#include <gtest/gtest.h>

#include <array>
#include <vector>

namespace snipewalk {
namespace {

const time_point kNow = time_point() + std::chrono::hours(1);
constexpr log_position kNeeded{ 3, 100 };

read_candidate
Replica(int aOutstanding = 0)
{
  read_candidate candidate;
  candidate.mHasConnection = true;
  candidate.mOutstanding = aOutstanding;
  candidate.mApplied = kNeeded;
  candidate.mAnswerTime = milliseconds(20);
  return candidate;
}

read_candidate
Primary(int aOutstanding = 0)
{
  read_candidate candidate = Replica(aOutstanding);
  candidate.mPrimary = true;
  return candidate;
}

constexpr read_requirement kAny{ true, true, kNeeded };
constexpr read_requirement kPrimaryOnly{ true, false, {} };

TEST(ServerChoiceTest, PrefersAnIdleReplicaToTheIdlePrimary)
{
  const std::vector<read_candidate> all{ Primary(), Replica() };
  EXPECT_EQ(ChooseReadServer(all, kAny, kNow), 1U);
}

TEST(ServerChoiceTest, UsesThePrimaryWhenReplicasAreBusy)
{
  const std::vector<read_candidate> all{ Primary(), Replica(4), Replica(5) };
  EXPECT_EQ(ChooseReadServer(all, kAny, kNow), 0U);
}

TEST(ServerChoiceTest, KeepsPrimaryReadsOffReplicas)
{
  const std::vector<read_candidate> all{ Replica(), Replica() };
  EXPECT_FALSE(ChooseReadServer(all, kPrimaryOnly, kNow));
}

TEST(ServerChoiceTest, WaitsWhileThePrimaryIsNotConfirmed)
{
  const std::vector<read_candidate> all{ Primary() };
  EXPECT_FALSE(ChooseReadServer(all, { false, true, kNeeded }, kNow));
}

// A replica that lags far behind is not asked again for a position that it has
// just refused, but may be asked for an earlier one.
TEST(ServerChoiceTest, LeavesOutAReplicaThatRefusedThePosition)
{
  read_candidate behind = Replica();
  behind.mRefusedUntil = kNow + milliseconds(10);
  behind.mRefusedPosition = kNeeded;
  const std::vector<read_candidate> all{ behind };
  EXPECT_FALSE(ChooseReadServer(all, kAny, kNow));
  EXPECT_EQ(ChooseReadServer(all, { true, true, { 3, 99 } }, kNow), 0U);
  EXPECT_EQ(ChooseReadServer(all, kAny, kNow + milliseconds(10)), 0U);
}

// A replica that lags by seconds must not be asked for every read, but after a
// short lag it must be asked again soon.
TEST(ServerChoiceTest, AsksALaggingReplicaLessOften)
{
  milliseconds pause(0);
  milliseconds total(0);
  int questions = 0;
  for (; total < milliseconds(5'000); ++questions) {
    pause = NextRefusalDelay(pause);
    total += pause;
  }
  EXPECT_LE(NextRefusalDelay(milliseconds(0)), milliseconds(60));
  EXPECT_LE(questions, 20);
}

// One of two replicas becomes five times slower while reads keep arriving. It
// must receive the smaller share.
TEST(ServerChoiceTest, SendsLessToASlowReplica)
{
  std::array<read_candidate, 2> servers{ Replica(), Replica() };
  servers[0].mAnswerTime = milliseconds(100);
  std::array<int, 2> placed{};
  for (int i = 0; i < 60; ++i) {
    const auto chosen = ChooseReadServer(servers, kAny, kNow);
    ASSERT_TRUE(chosen);
    ++placed[*chosen];
    ++servers[*chosen].mOutstanding;
    // The fast replica finishes five statements in the time that the slow one
    // needs for one.
    if (i % 2 == 0 && servers[1].mOutstanding > 0) {
      --servers[1].mOutstanding;
    }
    if (i % 10 == 0 && servers[0].mOutstanding > 0) {
      --servers[0].mOutstanding;
    }
  }
  EXPECT_LT(placed[0] * 2, placed[1]);
}

TEST(ServerChoiceTest, ReturnsToAServerWhereItFailedOnlyAsTheLast)
{
  read_candidate tried = Replica();
  tried.mTried = true;
  const std::vector<read_candidate> both{ tried, Replica(20) };
  EXPECT_EQ(ChooseReadServer(both, kAny, kNow), 1U);
  const std::vector<read_candidate> one{ tried };
  EXPECT_EQ(ChooseReadServer(one, kAny, kNow), 0U);
}

} // namespace
} // namespace snipewalk
