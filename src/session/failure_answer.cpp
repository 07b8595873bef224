// Implementation of the decision table for failed statements.
#include "snipewalk/session/failure_answer.h"

namespace snipewalk {

namespace {

constexpr failure_answer kRepeatElsewhere{ failure_action::RepeatElsewhere,
                                           result_code::Busy };

failure_answer
Answer(result_code aCode)
{
  return { failure_action::Answer, aCode };
}

// Decides for a statement that may have been executed although no reply
// arrived.
failure_answer
DecideNoAnswer(const failure_facts& aFacts)
{
  switch (aFacts.mPurpose) {
    case statement_purpose::SingleRead:
      return aFacts.mMayRepeat ? kRepeatElsewhere
                               : Answer(result_code::TimedOut);
    case statement_purpose::SingleWrite:
      return Answer(result_code::InDoubt);
    case statement_purpose::First:
      // Closing the connection rolls the transaction back, so the statement can
      // be repeated in a new transaction.
      return aFacts.mMayRepeat ? kRepeatElsewhere
                               : Answer(result_code::Aborted);
    case statement_purpose::Later:
      return Answer(result_code::Aborted);
    case statement_purpose::Commit:
      return Answer(aFacts.mTransactionWrote ? result_code::InDoubt
                                             : result_code::Aborted);
  }
  return Answer(result_code::InDoubt);
}

failure_answer
DecideRefused(const failure_facts& aFacts)
{
  const bool notExecuted = IsNotExecuted(aFacts.mCode);
  switch (aFacts.mPurpose) {
    case statement_purpose::SingleRead:
    case statement_purpose::SingleWrite:
      if (notExecuted && aFacts.mMayRepeat) {
        return kRepeatElsewhere;
      }
      // Callers do not use log positions or shared statement names, so such
      // codes are replaced by Busy.
      return Answer(notExecuted ? result_code::Busy : aFacts.mCode);
    case statement_purpose::First:
      if (notExecuted) {
        return aFacts.mMayRepeat ? kRepeatElsewhere
                                 : Answer(result_code::Aborted);
      }
      return Answer(aFacts.mCode);
    case statement_purpose::Later:
    case statement_purpose::Commit:
      if (aFacts.mCode == result_code::Busy && aFacts.mTransactionOpen &&
          aFacts.mMayRepeat) {
        return { failure_action::RepeatHere, result_code::Busy };
      }
      return Answer(notExecuted ? result_code::Aborted : aFacts.mCode);
  }
  return Answer(result_code::InDoubt);
}

} // namespace

failure_answer
DecideFailureAnswer(const failure_facts& aFacts)
{
  switch (aFacts.mFailure) {
    case statement_failure::NotSent:
    case statement_failure::SetupRefused: {
      if (!WaitsForPlacement(aFacts.mPurpose)) {
        return Answer(result_code::Aborted);
      }
      return aFacts.mMayRepeat ? kRepeatElsewhere : Answer(result_code::Busy);
    }
    case statement_failure::NoAnswer:
      return DecideNoAnswer(aFacts);
    case statement_failure::Refused:
      return DecideRefused(aFacts);
  }
  return Answer(result_code::InDoubt);
}

} // namespace snipewalk
