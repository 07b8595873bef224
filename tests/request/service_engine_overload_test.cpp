// The service engine under more load than its connections can take.
#include "engine_driver.h"
#include "request/service_time.h"

#include <gtest/gtest.h>

namespace snipewalk {
namespace {

using sent_statement = std::pair<engine_driver::sent, backend_statement>;

// Submits writes with `aTimeout` until all connections of the primary are busy
// and the last write waits. Returns those that were sent.
std::vector<sent_statement>
FillConnections(engine_driver& aDriver, milliseconds aTimeout)
{
  std::vector<sent_statement> sent;
  for (;;) {
    auto request = aDriver.Request(statement_kind::Write);
    request.mDeadline = aDriver.mNow + aTimeout;
    aDriver.Submit(request);
    const auto write = aDriver.Take<backend_statement>("a");
    if (!write) {
      return sent;
    }
    sent.push_back(*write);
  }
}

// Lets the window of service times fill with 100 ms and submits 100 writes with
// a time limit of 1 s: more than the connections can take.
void
OverloadWithWrites(engine_driver& aDriver)
{
  for (std::size_t i = 0; i < kServiceTimeWindow; ++i) {
    aDriver.Submit(aDriver.Request(statement_kind::Write));
    aDriver.Advance(milliseconds(100));
    aDriver.Execute(*aDriver.Take<backend_statement>("a"), 1);
    aDriver.Settle();
  }
  aDriver.mAnswers.clear();
  for (int i = 0; i < 100; ++i) {
    auto request = aDriver.Request(statement_kind::Write);
    request.mDeadline = aDriver.mNow + milliseconds(1'000);
    aDriver.Submit(request);
    aDriver.Settle();
  }
}

// Guards against writes that are sent too late because the estimate still
// comes from the time when the server was fast.
TEST(ServiceEngineOverloadTest, FollowsAServerThatBecomesSlower)
{
  engine_driver driver;
  driver.mView.mDocument.mAcknowledge = acknowledge_policy::Primary;
  driver.Start();
  for (int i = 0; i < 100; ++i) {
    driver.Submit(driver.Request(statement_kind::Write));
    driver.Advance(milliseconds(1));
    driver.Execute(*driver.Take<backend_statement>("a"), 1);
  }
  const auto slow = FillConnections(driver, milliseconds(600));
  ASSERT_GE(slow.size(), 2U);
  driver.mAnswers.clear();
  driver.Advance(milliseconds(400));
  driver.Execute(slow[0], 2);
  // The first slow reply makes room for the write that waits: a fresh one.
  const auto next = driver.Take<backend_statement>("a");
  ASSERT_TRUE(next);
  auto late = driver.Request(statement_kind::Write);
  late.mDeadline = driver.mNow + milliseconds(300);
  driver.Submit(late);
  driver.Advance(milliseconds(1));
  driver.Execute(slow[1], 3);
  EXPECT_FALSE(driver.Take<backend_statement>("a"));
  ASSERT_FALSE(driver.mAnswers.empty());
  const auto& refused = driver.mAnswers.back();
  EXPECT_EQ(refused.mOutcome, statement_outcome::NotRun);
  EXPECT_EQ(refused.mReason, refusal_reason::Overloaded);
}

// Guards against writes that are executed in time but confirmed too late,
// because only the execution was measured.
TEST(ServiceEngineOverloadTest, CountsTheConfirmationAsTimeOfAWrite)
{
  engine_driver driver;
  driver.Start();
  std::uint64_t index = 0;
  for (int i = 0; i < 3; ++i) {
    driver.Submit(driver.Request(statement_kind::Write));
    driver.Execute(*driver.Take<backend_statement>("a"), ++index);
    driver.Advance(milliseconds(150));
    ASSERT_TRUE(driver.Acknowledge("b", index));
  }
  ASSERT_EQ(driver.mAnswers.size(), 3U);
  const auto sent = FillConnections(driver, milliseconds(200));
  ASSERT_FALSE(sent.empty());
  driver.Advance(milliseconds(10));
  driver.Execute(sent[0], ++index);
  EXPECT_FALSE(driver.Take<backend_statement>("a"));
  ASSERT_EQ(driver.mAnswers.size(), 4U);
  EXPECT_EQ(driver.mAnswers[3].mOutcome, statement_outcome::NotRun);
  EXPECT_EQ(driver.mAnswers[3].mReason, refusal_reason::Overloaded);
}

// Guards against reads that are sent although their deadline cuts them: each
// costs its connection, so that the throughput falls under overload.
TEST(ServiceEngineOverloadTest, RefusesWaitingReadsThatCannotEndInTime)
{
  engine_driver driver;
  driver.Start();
  std::vector<sent_statement> sent;
  for (bool waits = false; !waits;) {
    auto request = driver.Request(statement_kind::Read);
    request.mDeadline = driver.mNow + milliseconds(600);
    driver.Submit(request);
    const auto read = driver.Take<backend_statement>();
    waits = !read;
    if (read) {
      sent.push_back(*read);
    }
  }
  ASSERT_GE(sent.size(), 2U);
  driver.Advance(milliseconds(400));
  driver.mAnswers.clear();
  driver.Execute(sent[0], 1);
  EXPECT_FALSE(driver.Take<backend_statement>());
  ASSERT_EQ(driver.mAnswers.size(), 2U);
  EXPECT_EQ(driver.mAnswers[0].mOutcome, statement_outcome::Done);
  EXPECT_EQ(driver.mAnswers[1].mOutcome, statement_outcome::NotRun);
  EXPECT_EQ(driver.mAnswers[1].mReason, refusal_reason::Overloaded);
  EXPECT_GT(driver.mAnswers[1].mRetryAfter, milliseconds(0));
}

// Guards against requests that wait in vain: admitted although a wait somewhat
// longer than expected leaves too little time for the statement.
TEST(ServiceEngineOverloadTest, DecidesAtAdmission)
{
  engine_driver driver;
  driver.mView.mDocument.mAcknowledge = acknowledge_policy::Primary;
  driver.Start();
  OverloadWithWrites(driver);
  const std::size_t refused = driver.mAnswers.size();
  EXPECT_GT(refused, 50U);
  EXPECT_LT(refused, 90U);
  for (int i = 0; i < 10; ++i) {
    driver.Advance(milliseconds(150));
    std::vector<sent_statement> running;
    while (const auto write = driver.Take<backend_statement>("a")) {
      running.push_back(*write);
    }
    for (const auto& write : running) {
      driver.Execute(write, 1);
    }
  }
  ASSERT_EQ(driver.mAnswers.size(), 100U);
  for (std::size_t i = 0; i < driver.mAnswers.size(); ++i) {
    EXPECT_EQ(driver.mAnswers[i].mOutcome,
              i < refused ? statement_outcome::NotRun : statement_outcome::Done)
      << i;
  }
}

// Guards against one account that fills the queue and keeps the others out.
TEST(ServiceEngineOverloadTest, AdmitsAQuietAccountBesideABusyOne)
{
  engine_driver driver;
  driver.mView.mDocument.mQueueLimit = 20;
  driver.Start();
  for (int i = 0; i < 40; ++i) {
    driver.Submit(driver.Request(statement_kind::Write));
  }
  const std::size_t refused = driver.mAnswers.size();
  EXPECT_GT(refused, 0U);
  auto quiet = driver.Request(statement_kind::Write);
  quiet.mAccount = "quiet";
  driver.Submit(quiet);
  ASSERT_EQ(driver.mAnswers.size(), refused + 1);
  EXPECT_NE(driver.mAnswers.back().mRequestId, quiet.mRequestId);
  EXPECT_EQ(driver.mAnswers.back().mOutcome, statement_outcome::NotRun);
  EXPECT_GT(driver.mAnswers.back().mRetryAfter, milliseconds(0));
  // After the one request of the busy account that has the turn.
  for (int i = 0; i < 2; ++i) {
    const auto running = driver.Take<backend_statement>("a");
    ASSERT_TRUE(running);
    driver.Execute(*running, 1);
  }
  bool sent = false;
  while (const auto write = driver.Take<backend_statement>("a")) {
    sent = sent || write->second.mIdempotencyKey == quiet.mIdempotencyKey;
  }
  EXPECT_TRUE(sent);
}

// Guards against refusals of an account whose own request would come soon.
TEST(ServiceEngineOverloadTest, ExpectsAWaitByTheTurnsOfTheAccount)
{
  engine_driver driver;
  driver.mView.mDocument.mAcknowledge = acknowledge_policy::Primary;
  driver.Start();
  OverloadWithWrites(driver);
  const std::size_t refused = driver.mAnswers.size();
  EXPECT_GT(refused, 0U);
  auto quiet = driver.Request(statement_kind::Write);
  quiet.mAccount = "quiet";
  quiet.mDeadline = driver.mNow + milliseconds(1'000);
  driver.Submit(quiet);
  EXPECT_EQ(driver.mAnswers.size(), refused);
}

// Guards against refusals without a time to come back: a request that waits
// behind another account's turn can reach its deadline in the queue.
TEST(ServiceEngineOverloadTest, NamesATimeToComeBackAtTheDeadline)
{
  engine_driver driver;
  driver.Start();
  FillConnections(driver, milliseconds(5'000));
  auto request = driver.Request(statement_kind::Write);
  request.mDeadline = driver.mNow + milliseconds(50);
  driver.Submit(request);
  driver.Advance(milliseconds(60));
  ASSERT_EQ(driver.mAnswers.size(), 1U);
  EXPECT_EQ(driver.mAnswers[0].mOutcome, statement_outcome::NotRun);
  EXPECT_GT(driver.mAnswers[0].mRetryAfter, milliseconds(0));
}

} // namespace
} // namespace snipewalk
