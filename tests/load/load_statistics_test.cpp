// Tests of a load run's figures and of its callers' decisions.
#include "snipewalk/load/load_session.h"
#include "snipewalk/load/load_statistics.h"

#include <gtest/gtest.h>

#include <numeric>

namespace snipewalk {
namespace {

history_record
RecordOf(history_kind aKind, std::int64_t aEnd, const std::string& aServer)
{
  history_record record;
  record.mStart = aEnd - 500;
  record.mEnd = aEnd;
  record.mService = "drums";
  record.mKind = aKind;
  record.mServer = aServer;
  record.mOutcome = statement_outcome::Done;
  return record;
}

// Guards against quantiles that are off by one rank.
TEST(LoadStatisticsTest, TakesQuantilesByNearestRank)
{
  std::vector<std::int64_t> values(1'000);
  std::iota(values.rbegin(), values.rend(), 1);
  const auto summary = SummariseLatencies(values);
  EXPECT_EQ(summary.mP50, 500);
  EXPECT_EQ(summary.mP90, 900);
  EXPECT_EQ(summary.mP99, 990);
  EXPECT_EQ(summary.mP999, 999);
  EXPECT_EQ(summary.mMax, 1'000);
  std::vector<std::int64_t> none;
  EXPECT_EQ(SummariseLatencies(none).mCount, 0U);
}

// Guards against a gap that is missed between threads' writes or at the end.
TEST(LoadStatisticsTest, FindsLongestTimeWithoutWrite)
{
  load_statistics one;
  load_statistics two;
  one.Add(RecordOf(history_kind::Write, 1'000'000, "a"));
  one.Add(RecordOf(history_kind::Write, 3'000'000, "a"));
  two.Add(RecordOf(history_kind::Write, 2'100'000, "a"));
  one.Merge(two);
  EXPECT_DOUBLE_EQ(one.Report(0, 3'200'000).mGapMs.at("drums"), 1'100);
  EXPECT_DOUBLE_EQ(one.Report(0, 5'000'000).mGapMs.at("drums"), 2'000);
}

// Guards against reads of a former primary that count as a replica's and the
// other way round.
TEST(LoadStatisticsTest, CountsReadsByTheServerOfTheLastWrite)
{
  load_statistics statistics;
  statistics.Add(RecordOf(history_kind::Write, 1'000, "a"));
  statistics.Add(RecordOf(history_kind::Read, 2'000, "a"));
  statistics.Add(RecordOf(history_kind::Read, 3'000, "b"));
  statistics.Add(RecordOf(history_kind::Write, 4'000, "b"));
  statistics.Add(RecordOf(history_kind::Read, 5'000, "a"));
  statistics.Add(RecordOf(history_kind::Read, 6'000, "c"));
  EXPECT_DOUBLE_EQ(statistics.Report(0, 1'000'000).mReplicaPercent, 75);
}

// Guards against refusals that count as throughput.
TEST(LoadStatisticsTest, CountsOnlyDoneRequestsAsThroughput)
{
  load_statistics statistics;
  statistics.Add(RecordOf(history_kind::Write, 1'000, "a"));
  history_record refused = RecordOf(history_kind::Write, 2'000, "");
  refused.mOutcome = statement_outcome::NotRun;
  refused.mReason = "overloaded";
  statistics.Add(refused);
  const auto report = statistics.Report(0, 1'000'000);
  EXPECT_DOUBLE_EQ(report.mDonePerSecond, 1);
  EXPECT_EQ(report.mNotRun.at("write"), 1U);
  EXPECT_EQ(report.mReasons.at("overloaded"), 1U);
}

class LoadSessionTest : public testing::Test
{
protected:
  load_answer Outcome(statement_outcome aOutcome) const
  {
    load_answer answer;
    answer.mOutcome = aOutcome;
    return answer;
  }

  load_profile Profile() const
  {
    load_profile profile;
    profile.mPattern = load_pattern::MonthEnd;
    profile.mRepeatFor = milliseconds(100);
    return profile;
  }

  time_point mNow{ seconds(1) };
  load_key_pool mPool;
};

// Guards against a repeat under a new key, which could run the write twice.
TEST_F(LoadSessionTest, KeepsKeyUntilUnknownWriteIsSettled)
{
  load_session session("s1", Profile(), mPool, 1);
  const auto first = session.Next();
  ASSERT_EQ(first->mKind, history_kind::Write);
  session.Answered(Outcome(statement_outcome::Unknown), mNow);
  EXPECT_GT(session.NotBefore(), mNow);
  EXPECT_EQ(session.Next()->mIdempotencyKey, first->mIdempotencyKey);
  session.Answered(Outcome(statement_outcome::NotRun), mNow);
  EXPECT_EQ(session.Next()->mIdempotencyKey, first->mIdempotencyKey);
  session.Answered(Outcome(statement_outcome::Done), mNow);
  const auto read = session.Next();
  EXPECT_EQ(read->mKind, history_kind::Read);
  EXPECT_EQ(read->mKey, first->mKey);
}

// Guards against an unresolved write whose outcome is never asked for.
TEST_F(LoadSessionTest, QueriesOutcomeOfWritesThatStayUnknown)
{
  load_session session("s1", Profile(), mPool, 1);
  const auto first = session.Next();
  session.Answered(Outcome(statement_outcome::Unknown), mNow);
  session.Next();
  session.Answered(Outcome(statement_outcome::Unknown), mNow + seconds(1));
  EXPECT_NE(session.Next()->mIdempotencyKey, first->mIdempotencyKey);
  session.Answered(Outcome(statement_outcome::Done), mNow);
  session.Finish();
  const auto query = session.Next();
  EXPECT_EQ(query->mKind, history_kind::Outcome);
  EXPECT_EQ(query->mIdempotencyKey, first->mIdempotencyKey);
  session.Answered(Outcome(statement_outcome::Done), mNow);
  while (const auto rest = session.Next()) {
    EXPECT_EQ(rest->mKind, history_kind::Read);
    session.Answered(Outcome(statement_outcome::Done), mNow);
  }
}

// Guards against statements that go on after their transaction failed.
TEST_F(LoadSessionTest, RollsBackTransactionAfterFailedStatement)
{
  load_profile profile = Profile();
  profile.mTransactionPercent = 100;
  load_session session("s1", profile, mPool, 1);
  EXPECT_EQ(session.Next()->mKind, history_kind::Begin);
  load_answer begun = Outcome(statement_outcome::Done);
  begun.mTransaction = "t-1";
  session.Answered(begun, mNow);
  EXPECT_EQ(session.Next()->mTransaction, "t-1");
  session.Answered(Outcome(statement_outcome::Unknown), mNow);
  const auto rollback = session.Next();
  EXPECT_EQ(rollback->mKind, history_kind::Rollback);
  EXPECT_EQ(rollback->mTransaction, "t-1");
  session.Answered(Outcome(statement_outcome::Done), mNow);
  EXPECT_EQ(session.Next()->mKind, history_kind::Begin);
}

} // namespace
} // namespace snipewalk
