// Tests of the service engine with typed messages only.
#include "request/engine_driver.h"

#include <gtest/gtest.h>

namespace snipewalk {
namespace {

// Guards against reads that load the primary although a replica is current.
TEST(ServiceEngineTest, ServesReadsFromAReplicaOfTheSameDataCentre)
{
  engine_driver driver;
  driver.Start();
  driver.Submit(driver.Request(statement_kind::Read));
  const auto read = driver.Take<backend_statement>();
  ASSERT_TRUE(read);
  EXPECT_EQ(read->first.mServer, "b");
  driver.Execute(*read, 5, "rows");
  ASSERT_EQ(driver.mAnswers.size(), 1U);
  EXPECT_EQ(driver.mAnswers[0].mOutcome, statement_outcome::Done);
  EXPECT_EQ(driver.mAnswers[0].mBody, "rows");
}

// Guards against acknowledging a write that only the primary holds.
TEST(ServiceEngineTest, AnswersAWriteOnlyAfterAMajorityHoldsIt)
{
  engine_driver driver;
  driver.Start();
  driver.Submit(driver.Request(statement_kind::Write));
  const auto write = driver.Take<backend_statement>("a");
  ASSERT_TRUE(write);
  driver.Execute(*write, 9);
  EXPECT_TRUE(driver.mAnswers.empty());
  ASSERT_TRUE(driver.Acknowledge("c", 9));
  ASSERT_EQ(driver.mAnswers.size(), 1U);
  EXPECT_EQ(driver.mAnswers[0].mOutcome, statement_outcome::Done);
  EXPECT_FALSE(driver.mAnswers[0].mSession.empty());
}

} // namespace
} // namespace snipewalk
