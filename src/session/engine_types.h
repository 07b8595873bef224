// Data of the session engine: statements, transactions, sessions, connections,
// servers and services.
#ifndef SNIPEWALK_SESSION_ENGINE_TYPES_H_
#define SNIPEWALK_SESSION_ENGINE_TYPES_H_

#include "snipewalk/account/allowance_reserve.h"
#include "snipewalk/account/fair_turns.h"
#include "snipewalk/session/connection_context.h"
#include "snipewalk/session/failure_answer.h"
#include "snipewalk/session/freshness.h"
#include "snipewalk/session/send_window.h"
#include "snipewalk/session/server_choice.h"
#include "snipewalk/session/session_engine.h"
#include "snipewalk/session/wait_forecast.h"
#include "snipewalk/session/wait_order.h"
#include "snipewalk/session/write_gate.h"

#include <deque>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <unordered_map>
#include <vector>

namespace snipewalk {

enum class statement_stage
{
  // In the service's queue.
  Waiting,
  // Not sent yet: the setup commands sent on mConnection must succeed first.
  SettingUp,
  // Sent on mConnection; a reply is expected.
  Sent,
  // Refused as busy inside a transaction; sent again at mRetryAt.
  Pausing,
  // A write or commit that its server reported as done, while it is not known
  // whether that server was still the primary. mHeldReply is sent once it is.
  Unproven
};

enum class allowance_need
{
  // The account has no limit, or an earlier statement has taken the token.
  None,
  Needed,
  Taken
};

struct pending_statement
{
  std::string mRequestId;
  session_statement mStatement;
  statement_purpose mPurpose = statement_purpose::SingleRead;
  // Route at the start of the transaction, or of this statement outside a
  // transaction.
  database_route mRoute;
  time_point mReceived;
  time_point mDeadline;
  statement_stage mStage = statement_stage::Waiting;
  // Earliest time of the next attempt.
  time_point mRetryAt = time_point::min();
  // Wait group at the time of the last placement.
  wait_group mGroup;
  time_point mSentAt;
  server_connection_id mConnection = 0;
  // Name by which the last attempt executed a prepared statement on its
  // connection; empty for other statements.
  std::string mPreparedName;
  // Number of attempts. Refusals because a server lacks the required position
  // are not counted.
  int mAttempts = 0;
  // Ids of the servers where an attempt failed.
  std::vector<std::string> mTried;
  // If the stage is Unproven: reply of the server mUnprovenServer, which was
  // the recorded primary with the lead term mUnprovenTerm at mRepliedAt.
  statement_reply mHeldReply;
  std::string mUnprovenServer;
  std::uint64_t mUnprovenTerm = 0;
  time_point mRepliedAt;
  // Whether the operation of which this is the first statement needs a token of
  // its account's rate limit, or has taken one.
  allowance_need mAllowance = allowance_need::None;
  // Since when the token has been missing; std::nullopt if it has not.
  std::optional<time_point> mTokenMissingSince;
  // Turn of the client account for the latest placement; see fair_turns.
  double mTurn = 0;
  bool mHasTurn = false;
  // Log position that the last attempt requires of the chosen server; it is
  // sent as statement_command::mMinPosition. Unset if nothing is required.
  std::optional<log_position> mMinPosition;
};

// Returns whether a server has not answered commands sent for the statement.
inline bool
AwaitsServer(const pending_statement& aPending)
{
  return aPending.mStage == statement_stage::SettingUp ||
         aPending.mStage == statement_stage::Sent;
}

// Returns how the statement failed if its connection is lost or its time is
// over.
inline statement_failure
FailureWithoutReply(const pending_statement& aPending)
{
  return aPending.mStage == statement_stage::Sent ? statement_failure::NoAnswer
                                                  : statement_failure::NotSent;
}

inline bool
IsWriteOrCommit(const pending_statement& aPending)
{
  return aPending.mPurpose == statement_purpose::SingleWrite ||
         aPending.mPurpose == statement_purpose::Commit;
}

// Returns whether the statement is a write or commit that was sent and has no
// reply yet.
inline bool
IsUnansweredWrite(const pending_statement& aPending)
{
  return aPending.mStage == statement_stage::Sent && IsWriteOrCommit(aPending);
}

// Returns whether the statement is a write or commit that was sent, or will be
// once its connection is set up, and has no reply yet.
inline bool
IsPlacedWrite(const pending_statement& aPending)
{
  return AwaitsServer(aPending) && IsWriteOrCommit(aPending);
}

struct open_transaction
{
  database_route mRoute;
  bool mReadOnly = false;
  time_point mLastUsed;
  // Connection that the transaction is pinned to; zero until the server has
  // confirmed its begin.
  server_connection_id mConnection = 0;
  // Whether a write was sent in the transaction.
  bool mWrote = false;
};

struct caller_session
{
  session_id mId = 0;
  bool mOpened = false;
  std::string mDatabase;
  // Identifies the caller's client account.
  std::string mKey;
  // Client account of the present or latest operation; empty without accounts.
  std::string mAccount;
  session_context mContext;
  session_state mState = session_state::Idle;
  // Set if and only if mState is InTransaction.
  std::optional<open_transaction> mTransaction;
  // Whether the transaction was aborted between statements and the caller has
  // not been informed yet. The reply to the next statement reports it. Only
  // used while mState is Failed.
  bool mAbortUnreported = false;
  std::optional<pending_statement> mPending;
  // Position of the latest acknowledged commit of this session.
  log_position mLastCommit;
};

enum class expected_reply_kind
{
  Opening,
  // Session value, prepared statement or reset; no statement of the session is
  // sent before the last of them was answered.
  Setup,
  Begin,
  Statement,
  Rollback,
  // Server status requested by a check of the primary.
  Check
};

struct expected_reply
{
  expected_reply_kind mKind = expected_reply_kind::Setup;
  time_point mSent;
};

struct server_connection
{
  server_connection_id mId = 0;
  std::string mServer;
  std::string mService;
  // Client account whose statements the connection may execute; empty for those
  // without an account.
  std::string mAccount;
  // Session that uses the connection, or zero.
  session_id mSession = 0;
  connection_context mContext;
  // Outstanding replies in the order in which they are expected. The first one
  // is Opening until the server has accepted the connection.
  std::deque<expected_reply> mExpectedReplies;
  // Whether a transaction is open on the connection.
  bool mInTransaction = false;
  // Set after a setup command or a rollback failed: the session values, the
  // prepared statements or the transaction on the connection are no longer
  // known. The connection is closed instead of being used again.
  bool mContextUnknown = false;
  time_point mIdleSince;

  bool IsIdle() const { return mSession == 0 && mExpectedReplies.empty(); }
};

struct known_server
{
  registered_server mEntry;
  std::set<server_connection_id> mConnections;
  send_window mSendWindow;
  duration mAnswerTime{ 0 };
  log_position mApplied;
  log_position mRefusedPosition;
  // Until this time no read that requires mRefusedPosition or a later position
  // is sent to the server.
  time_point mRefusedUntil = time_point::min();
  // Delay applied after the last refusal; doubled on each consecutive refusal.
  milliseconds mRefusalDelay{ 0 };
  // Until this time the share of connections is rounded down.
  time_point mYieldsUntil = time_point::min();
  // Earliest time at which another connection may be opened.
  time_point mOpenAfter = time_point::min();
  time_point mLastAnswer = time_point::min();
  int mFailedConnects = 0;
  // The next two are what checks have proved of this server as the primary in
  // its term. A server that has started again has another known_server, for
  // which no proof holds.
  // No newer primary had acknowledged a commit before this time.
  time_point mVerifiedAt = time_point::min();
  // The server still led at this time, as shown by the latest check that it
  // answered.
  time_point mLedAt = time_point::min();
};

// Status requests to the primary and the replicas. Their replies show, without
// using the store, whether a newer primary can have acknowledged a commit.
struct primary_check
{
  time_point mStarted;
  std::map<std::string, server_status> mAnswers;
  // Whether a log position was proved.
  bool mPassed = false;
};

// What this instance knows of a server that is being promoted and reports that
// it leads.
struct candidate_check
{
  // A status that was requested since then shows whether it leads.
  time_point mSince;
  time_point mAskedAt = time_point::min();
  bool mLeads = false;
};

struct known_service
{
  service_limits mLimits;
  // Ids of the servers of the service that are currently known.
  std::set<std::string> mServers;
  // Number of servers that the service is expected to have, at least
  // mServers.size(). A server that disappeared without draining stays counted
  // until another one replaces it or it has been missing for a long time.
  std::size_t mExpectedServers = 0;
  // Largest number of servers known at the same time.
  std::size_t mMaxKnownServers = 0;
  // Last time at which no server was missing, or at which the primaries were
  // not confirmed, so that a missing server could not be judged as removed.
  time_point mLastCompleteAt = time_point::min();
  service_primary mPrimary;
  // Since when mPrimary has been known to lead and to accept work. What a
  // command that was sent earlier shows may be from before it led.
  time_point mPrimarySince = time_point::min();
  // Newest position that mPrimary has told while it led. Its process can end,
  // and another one start without the log; that one refuses reads which require
  // this position.
  log_position mLedPosition;
  // Set while mPrimary is being promoted and reports that it leads.
  std::optional<candidate_check> mCandidate;
  freshness_samples mSamples;
  // Newest position at which a commit was acknowledged to a caller.
  log_position mAcknowledged;
  // When a server other than the primary last left or lost its log. It may have
  // been the only one that received the newest commits. Unset once the primary
  // has told its position since.
  std::optional<time_point> mReplicaLeftAt;
  // Newest position that a primary told. If the known replicas lack it, another
  // one that has left or is not known yet confirms the commits.
  log_position mToldPosition;
  write_gate mWriteGate;
  // The latest check, in progress or finished.
  std::optional<primary_check> mCheck;
  // Sessions with a waiting statement. Sorted by rank before statements are
  // placed.
  std::vector<session_id> mWaiting;
  fair_turns mTurns;
  // Wait forecasts of the statements that only the primary can execute, and of
  // all other statements.
  wait_forecast mPrimaryForecast;
  wait_forecast mReadForecast;
};

} // namespace snipewalk

#endif // SNIPEWALK_SESSION_ENGINE_TYPES_H_
