// Tests of connections to backend servers that went silent.
#include "request/engine_driver.h"

#include <gtest/gtest.h>

#include <algorithm>

namespace snipewalk {
namespace {

// Guards against a caller that waits for its whole deadline on a connection
// that became silent: a probe over a new connection tells.
TEST(ServiceEngineTest, ProbesAServerWhoseReplyIsOverdue)
{
  engine_driver driver;
  driver.mView.mConnectionReserve = 1;
  driver.Start();
  driver.Submit(driver.Request(statement_kind::Write));
  const auto write = driver.Take<backend_statement>("a");
  ASSERT_TRUE(write);
  driver.Advance(milliseconds(1'001));
  EXPECT_FALSE(driver.mOpening.empty());
  EXPECT_EQ(driver.mEvidence.back().mEvidence, server_evidence::Silent);
  driver.Settle();
  EXPECT_EQ(std::count(driver.mClosed.begin(),
                       driver.mClosed.end(),
                       write->first.mConnection),
            1);
  EXPECT_TRUE(driver.Take<backend_outcome_query>("a"));
}

// Guards against requests that wait for their whole deadline at a holder whose
// connections went silent and are still counted by the server, while another
// holder could run them.
TEST(ServiceEngineTest, RefusesAsNoHolderWithoutAnyConnection)
{
  engine_driver driver;
  driver.mView.mConnectionShare = 2;
  driver.Start();
  driver.mSilent = true;
  driver.Submit(driver.Request(statement_kind::Write));
  driver.Submit(driver.Request(statement_kind::Write));
  // All replies are overdue; no probe has room.
  driver.Advance(milliseconds(1'100));
  EXPECT_TRUE(driver.mOpening.empty());
  driver.Submit(driver.Request(statement_kind::Write));
  ASSERT_FALSE(driver.mAnswers.empty());
  EXPECT_EQ(driver.mAnswers.back().mRequestId, "r3");
  EXPECT_EQ(driver.mAnswers.back().mOutcome, statement_outcome::NotRun);
  EXPECT_EQ(driver.mAnswers.back().mReason, refusal_reason::NoHolder);
  // Nothing is known of the first two.
  driver.Advance(seconds(5));
  ASSERT_EQ(driver.mAnswers.size(), 3U);
  EXPECT_EQ(driver.mAnswers.back().mOutcome, statement_outcome::Unknown);
}

// Guards against a holder that calls the replicas too far behind, or sends
// writes that it cannot confirm, because its own connections to the voters went
// silent: another holder runs them.
TEST(ServiceEngineTest, PassesOnWritesThatItCannotConfirm)
{
  for (const bool others : { false, true }) {
    engine_driver driver;
    driver.mView.mConnectionShare = 1;
    driver.mView.mDocument.mMaxLag = seconds(2);
    driver.mView.mSlots.mHolders = { { "i1", 7 } };
    if (others) {
      driver.mView.mSlots.mHolders.push_back({ "i2", 1 });
    }
    driver.Start();
    driver.Submit(driver.Request(statement_kind::Write));
    driver.Execute(*driver.Take<backend_statement>("a"), 1);
    // The waits at both replicas become overdue.
    driver.mSilent = true;
    driver.Advance(seconds(1));
    const auto expected =
      others ? refusal_reason::NoHolder : refusal_reason::ReplicasBehind;
    driver.Advance(seconds(2));
    driver.Submit(driver.Request(statement_kind::Write));
    ASSERT_FALSE(driver.mAnswers.empty());
    EXPECT_EQ(driver.mAnswers.back().mRequestId, "r2");
    EXPECT_EQ(driver.mAnswers.back().mOutcome, statement_outcome::NotRun);
    EXPECT_EQ(driver.mAnswers.back().mReason, expected);
  }
}

// Guards against writes that keep the last connection to a replica for their
// acknowledgements, so that reads there wait for ever.
TEST(ServiceEngineTest, SharesTheOnlyConnectionOfAReplicaWithReads)
{
  engine_driver driver;
  driver.mView.mConnectionShare = 1;
  driver.mView.mDocument.mServers.pop_back();
  driver.mView.mTerm.mVoters = { "a", "b" };
  driver.Start();
  for (std::uint64_t index = 1; index <= 3; ++index) {
    driver.Submit(driver.Request(statement_kind::Write));
    const auto write = driver.Take<backend_statement>("a");
    ASSERT_TRUE(write);
    driver.Execute(*write, index);
  }
  driver.Submit(driver.Request(statement_kind::Read));
  EXPECT_FALSE(driver.Take<backend_statement>("b"));
  EXPECT_TRUE(driver.Acknowledge("b", 1));
  const auto read = driver.Take<backend_statement>("b");
  ASSERT_TRUE(read);
  driver.Execute(*read, 3);
  EXPECT_TRUE(driver.Acknowledge("b", 3));
  EXPECT_EQ(driver.mAnswers.size(), 4U);
}

} // namespace
} // namespace snipewalk
