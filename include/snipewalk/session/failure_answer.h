// Decides what happens after a statement got no successful reply: whether the
// instance repeats it, and which error the caller receives. One table covers
// all cases, so that every reply that promises "not executed" can be reviewed
// in one place.
#ifndef SNIPEWALK_SESSION_FAILURE_ANSWER_H_
#define SNIPEWALK_SESSION_FAILURE_ANSWER_H_

#include "snipewalk/session/session_messages.h"

#include <optional>

namespace snipewalk {

enum class statement_purpose
{
  // Statements outside a transaction.
  SingleRead,
  SingleWrite,
  // First statement of a transaction, which also starts the transaction on the
  // server.
  First,
  // Any later read or write of a transaction.
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

// Returns whether statements of this purpose wait in the service's queue. The
// others are sent on the connection of their transaction.
constexpr bool
WaitsForPlacement(statement_purpose aPurpose)
{
  return aPurpose != statement_purpose::Later &&
         aPurpose != statement_purpose::Commit;
}

enum class statement_failure
{
  // No attempt of the statement is outstanding at a server: it still waits for
  // a connection or for the setup of its connection, or for its repetition
  // after the server refused it as busy.
  NotSent,
  // The statement was not sent because the server refused a command that sets
  // up its connection.
  SetupRefused,
  // The connection was lost, or no reply arrived in time, after the statement
  // was sent.
  NoAnswer,
  // The server answered with an error code.
  Refused
};

struct failure_facts
{
  statement_purpose mPurpose = statement_purpose::SingleRead;
  statement_failure mFailure = statement_failure::NoAnswer;
  // Error code of the server if mFailure is Refused.
  result_code mCode = result_code::Other;
  // Whether the transaction is still open on the server after the refusal.
  bool mTransactionOpen = false;
  // Whether a statement of the transaction may have written.
  bool mTransactionWrote = false;
  // Whether enough time and attempts remain for a repeat.
  bool mMayRepeat = false;
};

enum class failure_action
{
  // Close or release the connection and place the statement again, preferably
  // on another server.
  RepeatElsewhere,
  // Send the statement again on the same connection after a pause.
  RepeatHere,
  // Send the error mCode to the caller.
  Answer
};

struct failure_answer
{
  failure_action mAction = failure_action::Answer;
  result_code mCode = result_code::InDoubt;
};

// Invariant: the returned code is Aborted or one of the "not executed" codes
// only if no effect of the caller's statement persists or can still take place.
failure_answer
DecideFailureAnswer(const failure_facts& aFacts);

} // namespace snipewalk

#endif // SNIPEWALK_SESSION_FAILURE_ANSWER_H_
