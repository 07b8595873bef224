// Tests of the history check: a clean history passes, and each planted
// violation is found.
#include "snipewalk/load/history_check.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <sstream>

namespace snipewalk {
namespace {

const std::string kTokenOne = MakeToken("drum-1", "s1", 1);
const std::string kTokenTwo = MakeToken("drum-1", "s1", 2);

class HistoryCheckTest : public testing::Test
{
protected:
  // Appends a done record that lasts one millisecond.
  history_record& Add(history_kind aKind,
                      const std::string& aKey,
                      const std::string& aToken,
                      const std::string& aValue)
  {
    history_record record;
    record.mStart = mTime;
    record.mEnd = mTime + 1'000;
    mTime += 2'000;
    record.mSession = "s1";
    record.mService = "drums";
    record.mKind = aKind;
    record.mKey = aKey;
    record.mToken = aToken;
    record.mValue = aValue;
    record.mOutcome = statement_outcome::Done;
    record.mIdempotencyKey = aToken;
    mHistory.push_back(record);
    return mHistory.back();
  }

  history_record& Write(const std::string& aToken, const std::string& aValue)
  {
    return Add(history_kind::Write, KeyOfToken(aToken), aToken, aValue);
  }

  history_record& Read(const std::string& aValue,
                       const std::string& aKey = "drum-1")
  {
    return Add(history_kind::Read, aKey, "", aValue);
  }

  history_record& End(history_kind aKind, statement_outcome aOutcome)
  {
    history_record& record = Add(aKind, "", "", "");
    record.mOutcome = aOutcome;
    return record;
  }

  void Log(const std::string& aIdempotencyKey,
           std::map<std::string, std::string> aEffects)
  {
    mLogs["drums"].push_back(
      { 1, mLogs["drums"].size() + 1, aIdempotencyKey, std::move(aEffects) });
  }

  bool Finds(violation aViolation) const
  {
    return CheckHistory(mHistory, mLogs).CountsByViolation().count(aViolation) >
           0;
  }

  bool IsClean() const
  {
    const auto report = CheckHistory(mHistory, mLogs);
    for (const auto& finding : report.mFindings) {
      ADD_FAILURE() << NameOf(kViolationNames, finding.mViolation) << ": "
                    << finding.mText;
    }
    return report.mFindings.empty();
  }

  std::int64_t mTime = 1'000'000;
  std::vector<history_record> mHistory;
  final_logs mLogs;
};

// Guards against false findings in a correct run.
TEST_F(HistoryCheckTest, AcceptsCorrectHistory)
{
  Write(kTokenOne, kTokenOne);
  Read(kTokenOne);
  Write(kTokenTwo, "").mOutcome = statement_outcome::Unknown;
  Write(kTokenTwo, kTokenOne + kTokenTwo);
  Read(kTokenOne + kTokenTwo);
  // Data from before the second write is permitted at an age of 20 ms.
  history_record& aged = Read(kTokenOne);
  aged.mMaxAgeMs = 20;
  aged.mDataAgeMs = 19;
  Read("", "drum-2");
  Log(kTokenOne, { { "drum-1", kTokenOne } });
  Log(kTokenTwo, { { "drum-1", kTokenOne + kTokenTwo } });
  EXPECT_TRUE(IsClean());
}

// Guards against a missed stale read after a write of the same session.
TEST_F(HistoryCheckTest, FindsReadThatMissesOwnWrite)
{
  Write(kTokenOne, kTokenOne);
  Read("");
  Read(kTokenOne);
  EXPECT_TRUE(Finds(violation::ReadYourWrites));
  EXPECT_FALSE(Finds(violation::LostWrite));
}

// Guards against a missed step back between two reads of one session.
TEST_F(HistoryCheckTest, FindsReadThatGoesBack)
{
  Write(kTokenOne, kTokenOne);
  Read(kTokenOne).mSession = "s2";
  Read("").mSession = "s2";
  EXPECT_TRUE(Finds(violation::MonotonicReads));
  EXPECT_FALSE(Finds(violation::ReadYourWrites));
}

// Guards against a missed lost write, by the reads alone and by the log.
TEST_F(HistoryCheckTest, FindsLostWrite)
{
  Write(kTokenOne, kTokenOne);
  Read("");
  EXPECT_TRUE(Finds(violation::LostWrite));
  mHistory.pop_back();
  EXPECT_TRUE(IsClean());
  Log("other", { { "drum-1", "" } });
  EXPECT_TRUE(Finds(violation::LostWrite));
}

// Guards against a missed second effect, in a value and in the log.
TEST_F(HistoryCheckTest, FindsDoubledWrite)
{
  Write(kTokenOne, kTokenOne);
  Log(kTokenOne, { { "drum-1", kTokenOne } });
  EXPECT_TRUE(IsClean());
  Log("k2", { { "drum-1", kTokenOne + kTokenOne } });
  EXPECT_TRUE(Finds(violation::DoubledWrite));
  mLogs.clear();
  Read(kTokenOne + kTokenOne);
  EXPECT_TRUE(Finds(violation::DoubledWrite));
}

// Guards against a missed effect of a request called "not run", and against a
// finding where another attempt with the key was of unknown outcome.
TEST_F(HistoryCheckTest, FindsUntrueNotRun)
{
  Write(kTokenOne, "").mOutcome = statement_outcome::NotRun;
  Read(kTokenOne);
  EXPECT_TRUE(Finds(violation::UntrueNotRun));
  mHistory.pop_back();
  EXPECT_TRUE(IsClean());
  Log(kTokenOne, { { "drum-1", kTokenOne } });
  EXPECT_TRUE(Finds(violation::UntrueNotRun));
  Write(kTokenOne, "").mOutcome = statement_outcome::Unknown;
  EXPECT_TRUE(IsClean());
}

// Guards against an outcome query that denies an acknowledged write or a write
// that takes effect all the same.
TEST_F(HistoryCheckTest, FindsUntrueOutcomeQuery)
{
  Write(kTokenOne, "").mOutcome = statement_outcome::Unknown;
  Add(history_kind::Outcome, "drum-1", kTokenOne, "").mOutcome =
    statement_outcome::NotRun;
  EXPECT_TRUE(IsClean());
  Log(kTokenOne, { { "drum-1", kTokenOne } });
  EXPECT_TRUE(Finds(violation::UntrueNotRun));
  mLogs.clear();
  mHistory.front().mOutcome = statement_outcome::Done;
  mHistory.front().mValue = kTokenOne;
  EXPECT_TRUE(Finds(violation::UntrueNotRun));
}

// Guards against a missed answer to another request.
TEST_F(HistoryCheckTest, FindsCrossedAnswers)
{
  Write(kTokenOne, kTokenOne);
  Read(kTokenOne, "drum-2");
  EXPECT_TRUE(Finds(violation::CrossedAnswer));
  mHistory.back() = mHistory.front();
  mHistory.back().mToken = kTokenTwo;
  EXPECT_TRUE(Finds(violation::CrossedAnswer));
  mHistory.pop_back();
  EXPECT_TRUE(IsClean());
  mHistory.back().mIdMatched = false;
  EXPECT_TRUE(Finds(violation::CrossedAnswer));
}

// Guards against a missed read of data that is older than stated, by the
// reported age and by what the read does not show.
TEST_F(HistoryCheckTest, FindsExceededAge)
{
  Write(kTokenOne, kTokenOne);
  mTime += 100'000;
  Read(kTokenOne).mMaxAgeMs = 50;
  mHistory.back().mDataAgeMs = 51;
  EXPECT_TRUE(Finds(violation::AgeExceeded));
  mHistory.back().mDataAgeMs = 50;
  EXPECT_TRUE(IsClean());
  mHistory.back().mValue = "";
  EXPECT_TRUE(Finds(violation::AgeExceeded));
  mHistory.back().mMaxAgeMs = 200;
  mHistory.back().mDataAgeMs = 150;
  EXPECT_TRUE(IsClean());
}

// Guards against a missed transaction that is visible in part, after its
// rollback, or committed together with another one.
TEST_F(HistoryCheckTest, FindsMixedTransactions)
{
  const std::string left = MakeToken("left", "s1", 1);
  const std::string right = MakeToken("right", "s1", 2);
  for (const std::string& token : { left, right }) {
    Write(token, token).mTransaction = 7;
  }
  End(history_kind::Commit, statement_outcome::Done).mTransaction = 7;
  Read(left, "left").mTransaction = 8;
  Read(right, "right").mTransaction = 8;
  End(history_kind::Commit, statement_outcome::Done).mTransaction = 8;
  Log("c7", { { "left", left }, { "right", right } });
  EXPECT_TRUE(IsClean());

  const auto whole = mHistory;
  mHistory[4].mValue = "";
  EXPECT_TRUE(Finds(violation::MixedTransaction));
  mHistory = whole;
  mHistory[2].mKind = history_kind::Rollback;
  EXPECT_TRUE(Finds(violation::MixedTransaction));
  mHistory = whole;
  mLogs["drums"][0].mEffects.erase("right");
  EXPECT_TRUE(Finds(violation::MixedTransaction));
  Log("c9", { { "right", right } });
  EXPECT_TRUE(Finds(violation::MixedTransaction));
}

// Guards against log entries that hold the effects of several requests.
TEST_F(HistoryCheckTest, FindsRequestsMergedInOneEntry)
{
  Write(kTokenOne, kTokenOne);
  Write(MakeToken("drum-2", "s1", 2), MakeToken("drum-2", "s1", 2));
  Log("k",
      { { "drum-1", kTokenOne }, { "drum-2", MakeToken("drum-2", "s1", 2) } });
  EXPECT_TRUE(Finds(violation::MixedTransaction));
}

// Guards against findings about keys that the run did not use, and a write of
// the run that passes because it went to such a key.
TEST_F(HistoryCheckTest, IgnoresEntriesOfOtherRuns)
{
  Log("before", { { "other", "1" } });
  Log("again", { { "other", "2" } });
  Write(kTokenOne, kTokenOne);
  Log(kTokenOne, { { "drum-1", kTokenOne } });
  EXPECT_TRUE(IsClean());
  Log("k", { { "other", "2" + kTokenOne } });
  EXPECT_TRUE(Finds(violation::CrossedAnswer));
}

// Guards against fields lost between writing and reading a history.
TEST_F(HistoryCheckTest, ReadsWhatWasWritten)
{
  history_record& record = Write(kTokenOne, "value \"quoted\"");
  record.mMaxAgeMs = 5;
  record.mDataAgeMs = 4;
  record.mTransaction = 9;
  record.mIdMatched = false;
  record.mReason = "too_stale";
  std::istringstream input(WriteHistoryLine(record) + "\n\n");
  const auto read = ReadHistory(input);
  ASSERT_TRUE(read.ok()) << read.status();
  ASSERT_EQ(read->size(), 1U);
  EXPECT_EQ(WriteHistoryLine(read->front()), WriteHistoryLine(record));
}

// Guards against malformed input that passes as an empty history.
TEST_F(HistoryCheckTest, ReportsMalformedLinesTogether)
{
  std::istringstream input(
    "{\"kind\":\"read\"}\nnot json\n{\"kind\":[],\"outcome\":\"done\"}\n");
  const auto read = ReadHistory(input);
  ASSERT_FALSE(read.ok());
  EXPECT_EQ(read.status().message(), "malformed lines: 1, 2, 3");
  std::istringstream log("{\"entries\":5}\n");
  EXPECT_FALSE(ReadFinalLog(log).ok());
}

} // namespace
} // namespace snipewalk
