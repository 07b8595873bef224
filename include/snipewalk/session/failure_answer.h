// What follows when a statement got no successful answer: whether the instance
// repeats it, and what the caller is told. One table for all cases, so that
// every statement "not executed" can be checked in one place.
#ifndef SNIPEWALK_SESSION_FAILURE_ANSWER_H_
#define SNIPEWALK_SESSION_FAILURE_ANSWER_H_

#include "snipewalk/session/session_messages.h"

#include <optional>

namespace snipewalk {

enum class statement_purpose
{
  // Outside a transaction.
  SingleRead,
  SingleWrite,
  // First statement of a transaction, sent together with its begin.
  First,
  // A later read or write of a transaction.
  Later,
  Commit
};

inline constexpr name_table<statement_purpose, 5> kStatementPurposeNames{ {
  { statement_purpose::SingleRead, "single_read" },
  { statement_purpose::SingleWrite, "single_write" },
  { statement_purpose::First, "first" },
  { statement_purpose::Later, "later" },
  { statement_purpose::Commit, "commit" },
} };

// Whether statements of this purpose wait in the service's queue; the others
// have a connection.
constexpr bool
WaitsForPlacement(statement_purpose aPurpose)
{
  return aPurpose != statement_purpose::Later &&
         aPurpose != statement_purpose::Commit;
}

enum class statement_failure
{
  // The connection ended or was given up before any byte of the statement.
  NotSent,
  // It ended, or stayed silent, after the statement was sent.
  NoAnswer,
  // The server answered with an error code.
  Refused
};

struct failure_facts
{
  statement_purpose mPurpose = statement_purpose::SingleRead;
  statement_failure mFailure = statement_failure::NoAnswer;
  // Of a refusal.
  result_code mCode = result_code::Other;
  // The server still holds the transaction open after the refusal.
  bool mTransactionOpen = false;
  // A statement of the transaction may have written.
  bool mTransactionWrote = false;
  // Time and attempts are left.
  bool mMayRepeat = false;
};

enum class failure_action
{
  // Close or release the connection and place the statement again.
  RepeatElsewhere,
  // Send the statement again on the same connection after a pause.
  RepeatHere,
  // Answer with mCode.
  Answer
};

struct failure_answer
{
  failure_action mAction = failure_action::Answer;
  result_code mCode = result_code::InDoubt;
};

// Invariant: the code is one of the "not executed" or `Aborted` codes only if
// no effect of the caller's attempt is kept or can still appear.
failure_answer
DecideFailureAnswer(const failure_facts& aFacts);

} // namespace snipewalk

#endif // SNIPEWALK_SESSION_FAILURE_ANSWER_H_
