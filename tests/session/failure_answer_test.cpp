// Tests of the decision table for failed statements, over all of its cases.
#include "snipewalk/session/failure_answer.h"

#include <gtest/gtest.h>

#include <functional>

namespace snipewalk {
namespace {

bool
StatesNoEffect(result_code aCode)
{
  return IsNotExecuted(aCode) || aCode == result_code::Aborted;
}

void
ForEachCase(const std::function<void(const failure_facts&)>& aCheck)
{
  for (const auto& purpose : kStatementPurposeNames) {
    for (const auto failure : { statement_failure::NotSent,
                                statement_failure::SetupRefused,
                                statement_failure::NoAnswer,
                                statement_failure::Refused }) {
      for (const auto& code : kResultCodeNames) {
        for (int bits = 0; bits < 8; ++bits) {
          aCheck({ purpose.mValue,
                   failure,
                   code.mValue,
                   (bits & 1) != 0,
                   (bits & 2) != 0,
                   (bits & 4) != 0 });
        }
      }
    }
  }
}

// If a reply falsely states that a write had no effect, the caller repeats a
// write that was executed.
TEST(FailureAnswerTest, NeverReportsNoEffectForAWriteThatMayHaveRun)
{
  ForEachCase([](const failure_facts& aFacts) {
    const bool mayHaveCommitted =
      aFacts.mFailure == statement_failure::NoAnswer &&
      (aFacts.mPurpose == statement_purpose::SingleWrite ||
       (aFacts.mPurpose == statement_purpose::Commit &&
        aFacts.mTransactionWrote));
    if (!mayHaveCommitted) {
      return;
    }
    const failure_answer answer = DecideFailureAnswer(aFacts);
    EXPECT_EQ(answer.mAction, failure_action::Answer);
    EXPECT_FALSE(StatesNoEffect(answer.mCode));
  });
}

// A statement that was not sent cannot have run. Guards against callers that
// are left in doubt and do not repeat it.
TEST(FailureAnswerTest, ReportsNoEffectForAStatementThatWasNotSent)
{
  ForEachCase([](const failure_facts& aFacts) {
    const bool sent = aFacts.mFailure != statement_failure::NotSent &&
                      aFacts.mFailure != statement_failure::SetupRefused;
    const failure_answer answer = DecideFailureAnswer(aFacts);
    if (!sent && answer.mAction == failure_action::Answer) {
      EXPECT_TRUE(StatesNoEffect(answer.mCode));
    }
  });
}

// An error of a statement that was executed must not be reported as not
// executed, and the statement must not be repeated, since it may have written.
TEST(FailureAnswerTest, PassesOnExecutedFailures)
{
  ForEachCase([](const failure_facts& aFacts) {
    const bool executed = aFacts.mFailure == statement_failure::Refused &&
                          !StatesNoEffect(aFacts.mCode);
    if (!executed) {
      return;
    }
    const failure_answer answer = DecideFailureAnswer(aFacts);
    EXPECT_EQ(answer.mAction, failure_action::Answer);
    EXPECT_EQ(answer.mCode, aFacts.mCode);
  });
}

TEST(FailureAnswerTest, RepeatsOnlyWhileTimeIsLeft)
{
  ForEachCase([](const failure_facts& aFacts) {
    if (!aFacts.mMayRepeat) {
      EXPECT_EQ(DecideFailureAnswer(aFacts).mAction, failure_action::Answer);
    }
  });
}

// A later statement of a transaction depends on the earlier ones, which are
// lost with their connection.
TEST(FailureAnswerTest, NeverMovesAStartedTransaction)
{
  ForEachCase([](const failure_facts& aFacts) {
    if (aFacts.mPurpose == statement_purpose::Later ||
        aFacts.mPurpose == statement_purpose::Commit) {
      EXPECT_NE(DecideFailureAnswer(aFacts).mAction,
                failure_action::RepeatElsewhere);
    }
  });
}

// Callers do not use log positions or shared statement names, so error codes
// about them must not reach callers.
TEST(FailureAnswerTest, HidesCodesOfTheServersSide)
{
  ForEachCase([](const failure_facts& aFacts) {
    const failure_answer answer = DecideFailureAnswer(aFacts);
    EXPECT_NE(answer.mCode, result_code::Behind);
    EXPECT_NE(answer.mCode, result_code::UnknownStatement);
  });
}

TEST(FailureAnswerTest, RepeatsAReadWhoseAnswerWasLost)
{
  failure_facts facts;
  facts.mPurpose = statement_purpose::SingleRead;
  facts.mFailure = statement_failure::NoAnswer;
  facts.mMayRepeat = true;
  EXPECT_EQ(DecideFailureAnswer(facts).mAction,
            failure_action::RepeatElsewhere);
}

} // namespace
} // namespace snipewalk
