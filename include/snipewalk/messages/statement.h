// Typed messages between a caller's edge and the code that serves a statement.
#ifndef SNIPEWALK_MESSAGES_STATEMENT_H_
#define SNIPEWALK_MESSAGES_STATEMENT_H_

#include "snipewalk/base/name_table.h"
#include "snipewalk/base/time.h"

#include <optional>
#include <string>

namespace snipewalk {

enum class statement_kind
{
  Read,
  Write,
  Begin,
  Commit,
  Rollback
};

inline constexpr name_table<statement_kind, 5> kStatementKindNames{ {
  { statement_kind::Read, "read" },
  { statement_kind::Write, "write" },
  { statement_kind::Begin, "begin" },
  { statement_kind::Commit, "commit" },
  { statement_kind::Rollback, "rollback" },
} };

// What is known about the effect of a request. `NotRun` is a promise that the
// request did not and will not take effect.
enum class statement_outcome
{
  Done,
  NotRun,
  Unknown
};

inline constexpr name_table<statement_outcome, 3> kStatementOutcomeNames{ {
  { statement_outcome::Done, "done" },
  { statement_outcome::NotRun, "not_run" },
  { statement_outcome::Unknown, "unknown" },
} };

// Why a request was refused or its outcome is unknown.
enum class refusal_reason
{
  None,
  BadRequest,
  BadSession,
  UnknownService,
  UnknownTransaction,
  TransactionLost,
  Overloaded,
  DeadlineExceeded,
  TooStale,
  NoPrimary,
  NoServer,
  ReplicasBehind,
  NoHolder,
  Conflict,
  ShuttingDown,
  ConnectionLost,
  NotAcknowledged
};

inline constexpr name_table<refusal_reason, 17> kRefusalReasonNames{ {
  { refusal_reason::None, "none" },
  { refusal_reason::BadRequest, "bad_request" },
  { refusal_reason::BadSession, "bad_session" },
  { refusal_reason::UnknownService, "unknown_service" },
  { refusal_reason::UnknownTransaction, "unknown_transaction" },
  { refusal_reason::TransactionLost, "transaction_lost" },
  { refusal_reason::Overloaded, "overloaded" },
  { refusal_reason::DeadlineExceeded, "deadline_exceeded" },
  { refusal_reason::TooStale, "too_stale" },
  { refusal_reason::NoPrimary, "no_primary" },
  { refusal_reason::NoServer, "no_server" },
  { refusal_reason::ReplicasBehind, "replicas_behind" },
  { refusal_reason::NoHolder, "no_holder" },
  { refusal_reason::Conflict, "conflict" },
  { refusal_reason::ShuttingDown, "shutting_down" },
  { refusal_reason::ConnectionLost, "connection_lost" },
  { refusal_reason::NotAcknowledged, "not_acknowledged" },
} };

struct statement_request
{
  // Unique within the entry instance; echoed in the response and in logs.
  std::string mRequestId;
  std::string mService;
  std::string mAccount;
  statement_kind mKind = statement_kind::Read;
  // Encoded session token; empty for a new session.
  std::string mSession;
  // Oldest data that the caller accepts; only for reads. With an age the
  // session's position is not required.
  std::optional<milliseconds> mMaxAge;
  // Encoded transaction id; empty outside a transaction.
  std::string mTransaction;
  // Never empty for writes and commits once the entry instance accepted the
  // request: it makes a key when the caller sent none.
  std::string mIdempotencyKey;
  std::string mBody;
  time_point mDeadline;
};

// Asks for the recorded outcome of an idempotency key.
struct outcome_request
{
  std::string mRequestId;
  std::string mService;
  std::string mAccount;
  std::string mIdempotencyKey;
  time_point mDeadline;
};

// Answer to a statement_request or an outcome_request.
struct statement_response
{
  std::string mRequestId;
  statement_outcome mOutcome = statement_outcome::NotRun;
  // `None` exactly when the outcome is `Done`.
  refusal_reason mReason = refusal_reason::None;
  // Text for people; empty when done.
  std::string mMessage;
  // Zero when no time to come back is known.
  milliseconds mRetryAfter{ 0 };
  std::string mBody;
  // The session's new token; empty when it did not change.
  std::string mSession;
  // Name of the backend server that executed the statement; may be empty.
  std::string mServer;
  // Upper bound of the age of the data read; only for reads with an age.
  std::optional<milliseconds> mDataAge;
  std::string mTransaction;
  std::string mIdempotencyKey;
  // True when the recorded outcome of an earlier try was returned.
  bool mReplayed = false;
};

} // namespace snipewalk

#endif // SNIPEWALK_MESSAGES_STATEMENT_H_
