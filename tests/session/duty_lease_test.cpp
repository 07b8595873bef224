// Tests for the lease of the failover duty: single cases.
// duty_lease_model_test.cpp has a model of several instances.
#include "snipewalk/session/duty_lease.h"

#include "snipewalk/messages/store_revision.h"

#include <gtest/gtest.h>

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

// Guards against services without a primary for 10 s: a process that has just
// started does not know all replicas, and cannot prove as much of their logs as
// others can.
TEST(DutyLeaseTest, LeavesTheDutyToProcessesThatHaveRunForLonger)
{
  const duty_record former{ "h", 1, 4 };
  duty_lease young("a", 1, milliseconds(0));
  young.SetClaimsLastUntil(At(10'000));
  young.OnRecord(former, 7, At(0), At(0));
  duty_lease old("b", 1, duty_lease::kMaxStagger - milliseconds(1));
  old.OnRecord(former, 7, At(0), At(0));
  const int timeout = static_cast<int>(duty_lease::kHolderTimeout.count());
  const int stagger = static_cast<int>(duty_lease::kMaxStagger.count());
  EXPECT_FALSE(young.ClaimIfDue(At(timeout + stagger - 1)));
  EXPECT_TRUE(old.ClaimIfDue(At(timeout + stagger - 1)));
  EXPECT_TRUE(young.ClaimIfDue(At(timeout + stagger)));
}

// All processes of a new fleet are young.
TEST(DutyLeaseTest, ClaimsADutyThatNobodyHasHeldWithoutFurtherDelay)
{
  duty_lease lease("a", 1, milliseconds(0));
  lease.SetClaimsLastUntil(At(10'000));
  lease.OnRecord(std::nullopt, 0, At(0), At(0));
  EXPECT_TRUE(lease.ClaimIfDue(At(0)));
}

TEST(DutyLeaseTest, StaggersInstancesByTheirNames)
{
  EXPECT_EQ(duty_lease::StaggerOf("i1"), duty_lease::StaggerOf("i1"));
  EXPECT_NE(duty_lease::StaggerOf("i1"), duty_lease::StaggerOf("i2"));
  EXPECT_LT(duty_lease::StaggerOf("i1"), duty_lease::kMaxStagger);
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

} // namespace
} // namespace snipewalk
