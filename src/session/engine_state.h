// Internal state of the session engine: statements, transactions, sessions,
// connections, servers and services.
#ifndef SNIPEWALK_SESSION_ENGINE_STATE_H_
#define SNIPEWALK_SESSION_ENGINE_STATE_H_

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
  // Log position that the last attempt requires of the chosen replica; it is
  // sent as statement_command::mMinPosition. Unset if the primary was chosen.
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
};

// Status requests to the primary and the replicas. Their replies show, without
// using the store, whether a newer primary can have acknowledged a commit.
struct primary_check
{
  time_point mStarted;
  std::map<std::string, server_status> mAnswers;
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
  // No newer primary had acknowledged a commit before this time, as shown by
  // the latest successful check.
  time_point mPrimaryVerifiedAt = time_point::min();
  // The primary still led at this time, as shown by the latest check that it
  // answered.
  time_point mPrimaryLedAt = time_point::min();
  // Sessions with a waiting statement. Sorted by rank before statements are
  // placed.
  std::vector<session_id> mWaiting;
  // Wait forecasts of the statements that only the primary can execute, and of
  // all other statements.
  wait_forecast mPrimaryForecast;
  wait_forecast mReadForecast;
};

// Result of trying to place one waiting statement.
enum class placement
{
  Placed,
  Waits
};

class session_engine::state
{
public:
  state(session_engine_options aOptions, session_links& aLinks);

  // engine_callers.cpp
  void OnCallerMessage(session_id aSession,
                       const caller_message& aMessage,
                       time_point aNow);
  void OnCallerClosed(session_id aSession, time_point aNow);
  void CloseIdleSessions(time_point aNow);
  void AbortTransactions(time_point aNow);

  // engine_placement.cpp
  void Dispatch(const std::string& aService, time_point aNow);
  void DispatchAll(time_point aNow);

  // engine_replies.cpp
  void OnServerReply(server_connection_id aConnection,
                     const statement_reply& aReply,
                     time_point aNow);
  void OnServerClosed(server_connection_id aConnection, time_point aNow);

  // engine_admission.cpp
  void RefuseAllUnservable(time_point aNow);

  // engine_connections.cpp
  void YieldConnections(const std::string& aServer, time_point aNow);

  // engine_timeouts.cpp
  void OnTick(time_point aNow);

  // session_engine.cpp
  void SetDesiredState(std::shared_ptr<const desired_state> aState,
                       time_point aNow);
  void PutServer(const registered_server& aServer, time_point aNow);
  void RemoveServer(const std::string& aServer, time_point aNow);
  void SetPrimary(const std::string& aService,
                  const service_primary& aPrimary,
                  time_point aNow);
  log_position AcknowledgedPosition(const std::string& aService) const;
  std::vector<primary_observation> ObservePrimaries() const;
  // By service: when the oldest write that its primary has not confirmed was
  // sent. Services without a write in flight or stalled are left out.
  std::map<std::string, time_point> OldestUnconfirmedWrites() const;
  // Forgets the samples and proofs of primaries, whose times do not count a
  // suspension, and takes none from commands that were sent before.
  void ForgetTimes(time_point aNow);
  session_engine_counts Counts() const;

  // Until this time only the known primaries can act as primaries.
  time_point mConfirmedUntil = time_point::min();
  std::size_t mInstances = 1;
  // Sessions opened before the first desired state was received.
  std::vector<session_id> mPendingOpenings;
  // Sessions with a pending statement.
  std::set<session_id> mActiveSessions;
  metrics_registry mMetrics;

private:
  // engine_callers.cpp
  void OpenSession(caller_session& aSession,
                   const open_session& aOpen,
                   time_point aNow);
  void OnStatement(caller_session& aSession,
                   const statement_message& aMessage,
                   time_point aNow);
  // Handles statements that need no server; returns false for all others.
  bool AnswerLocally(caller_session& aSession,
                     const session_statement& aStatement,
                     time_point aNow);
  void Begin(caller_session& aSession, bool aReadOnly, time_point aNow);
  void StartStatement(caller_session& aSession,
                      const statement_message& aMessage,
                      time_point aNow);
  void AnswerOk(caller_session& aSession);
  void AnswerError(caller_session& aSession,
                   result_code aCode,
                   const std::string& aText);
  // Sends the final reply to the pending statement and clears it.
  void Finish(caller_session& aSession,
              statement_reply aReply,
              time_point aNow);
  // Discards the transaction and releases its connection, which rolls it back
  // on the server.
  void DiscardTransaction(caller_session& aSession, time_point aNow);
  void CloseIfShuttingDown(session_id aSession, time_point aNow);
  const database_route* FindRoute(const std::string& aDatabase) const;

  // engine_placement.cpp
  void Enqueue(caller_session& aSession, time_point aNow);
  std::vector<std::string> ServicesWithWaitingStatements() const;
  // Sorts the waiting statements of the service by rank.
  void SortWaiting(const std::string& aService, time_point aNow);
  wait_rank RankOf(const pending_statement& aPending, time_point aNow) const;
  placement Place(caller_session& aSession, time_point aNow);
  read_requirement RequirementOf(const caller_session& aSession,
                                 const known_service& aService,
                                 time_point aNow) const;
  std::optional<std::string> ChooseServer(const caller_session& aSession,
                                          const read_requirement& aRequirement,
                                          bool aOpen,
                                          time_point aNow) const;
  bool AdmitsWrite(const known_service& aService, time_point aNow) const;
  // Time for which the server has had commands outstanding without sending any
  // reply; zero when no reply is outstanding.
  duration SilenceDuration(const known_server& aServer, time_point aNow) const;
  // Whether the statement must run on the primary, as writes and read-write
  // transactions do.
  bool NeedsPrimary(const caller_session& aSession) const;
  // Whether a check of the primary could allow the statement to be placed.
  bool NeedsPrimaryCheck(const caller_session& aSession,
                         const read_requirement& aRequirement,
                         const known_service& aService) const;
  server_connection* FindIdleConnection(const known_server& aServer,
                                        const session_context& aContext);
  void SendPlacedStatement(caller_session& aSession,
                           server_connection& aConnection,
                           const read_requirement& aRequirement,
                           time_point aNow);
  // Sends the pending statement on the connection of its transaction, after the
  // setup that it needs there.
  void SendInTransaction(caller_session& aSession, time_point aNow);
  // Sends the pending statement on a connection that is set up for it.
  void SendStatement(caller_session& aSession,
                     server_connection& aConnection,
                     time_point aNow);
  // Sets the position that a replica must have applied to execute the pending
  // statement.
  void SetMinPosition(pending_statement& aPending,
                      const server_connection& aConnection,
                      const read_requirement& aRequirement) const;
  void SendCommands(server_connection& aConnection,
                    const std::vector<server_command>& aCommands,
                    expected_reply_kind aLast,
                    time_point aNow);

  // engine_acknowledgement.cpp
  // Whether commits that the server confirmed at `aReplied` are known to
  // survive any change of primary.
  bool IsAcknowledged(const known_service& aService,
                      const std::string& aServer,
                      time_point aReplied) const;
  // Whether the server was replaced, or writes on it have ended, so that
  // commits it confirmed cannot be acknowledged any more.
  bool IsReleased(const known_service& aService,
                  const std::string& aServer) const;
  // Finishes a write or commit that its server reported as done, or holds the
  // reply back until it is known that the server was still the primary.
  void FinishWrite(caller_session& aSession,
                   const std::string& aServer,
                   const statement_reply& aReply,
                   time_point aNow);
  // Sends the reply of a statement in stage Unproven if that is decided.
  void Acknowledge(caller_session& aSession,
                   const statement_reply& aReply,
                   time_point aNow);
  void ResolveUnproven(caller_session& aSession, time_point aNow);

  // engine_setup.cpp
  // Sends the setup commands on the connection chosen for the pending
  // statement, which follows once they have succeeded.
  void StartSetup(caller_session& aSession,
                  server_connection& aConnection,
                  const std::vector<server_command>& aCommands,
                  time_point aNow);
  void OnSetupReply(server_connection& aConnection,
                    const statement_reply& aReply,
                    time_point aNow);
  void OnSetupFinished(server_connection& aConnection, time_point aNow);
  // Handles a pending statement that was not sent because its setup failed, and
  // closes the connection.
  void OnSetupFailed(caller_session& aSession,
                     server_connection& aConnection,
                     time_point aNow);
  // Whether the server of the connection satisfies the requirement.
  bool IsAllowed(const server_connection& aConnection,
                 const read_requirement& aRequirement) const;

  // engine_admission.cpp
  wait_forecast& ForecastOf(const caller_session& aSession);
  // Updates the wait forecasts of a service with the number of waiting
  // statements.
  void UpdateBacklog(const std::string& aService, time_point aNow);
  // Refuses waiting statements that are not expected to be placed before their
  // deadlines.
  void RefuseUnservable(const std::string& aService, time_point aNow);
  // Delay that refused callers of the service are advised to wait before a
  // retry.
  milliseconds RetryAfter(const std::string& aService, time_point aNow) const;

  // engine_connections.cpp
  service_hosting HostingOf(const std::string& aService) const;
  // Maximum number of connections that this instance may have to the server.
  std::size_t ConnectionShareOf(const known_server& aServer,
                                time_point aNow) const;
  bool CanOpen(const known_server& aServer, time_point aNow) const;
  void OpenConnection(known_server& aServer, time_point aNow);
  // Whether this instance keeps one idle connection to the server.
  bool KeepsIdleConnection(const known_server& aServer) const;
  void CloseSurplusConnections(time_point aNow);
  // Whether the instance has more connections to the server than its share.
  bool ExceedsShare(const known_server& aServer, time_point aNow) const;
  // Closes connections whose opening, rollback or status request was not
  // answered in time.
  void CloseUnansweredConnections(time_point aNow);

  // engine_check.cpp
  // Notes the position of a server that was known to be the primary when the
  // command was sent.
  static void AddPrimarySample(known_service& aService,
                               time_point aSent,
                               const log_position& aPosition);
  // Whether the newest log of the known replicas contains all that replicas
  // which have left, or are not known yet, are known to have confirmed.
  bool CoversOtherReplicas(const known_service& aService,
                           const log_position& aNewest) const;
  void OnCheckPassed(known_service& aService,
                     const std::string& aName,
                     log_position aPosition,
                     const char* aProof);
  // Whether it is known that no newer primary had acknowledged a commit by
  // `aMoment`.
  bool IsPrimaryKnown(const known_service& aService, time_point aMoment) const;
  // Updates the expected number of servers: servers that have been missing for
  // a long time are no longer counted.
  void UpdateExpectedServers(time_point aNow);
  // Whether enough servers have been known for the replies to a check to be
  // conclusive.
  static bool KnowsEnoughServers(const known_service& aService);
  void StartCheck(const std::string& aService, time_point aNow);
  void OnCheckReply(const server_connection& aConnection,
                    const statement_reply& aReply,
                    time_point aSent);

  // engine_replies.cpp
  void OnConnectionOpened(server_connection& aConnection,
                          const statement_reply& aReply,
                          time_point aNow);
  void OnTransactionBegun(server_connection& aConnection,
                          const statement_reply& aReply,
                          time_point aNow);
  void OnStatementReply(server_connection& aConnection,
                        const statement_reply& aReply,
                        time_point aSent,
                        time_point aNow);
  void OnStatementSucceeded(caller_session& aSession,
                            server_connection& aConnection,
                            const statement_reply& aReply,
                            time_point aNow);
  // Handles a pending statement without a successful reply: repeats it or sends
  // the error to the caller. Its connection, if any, must have been closed or
  // released, unless the statement is repeated on it.
  void OnStatementFailed(caller_session& aSession,
                         const failure_facts& aFacts,
                         const std::string& aServer,
                         const std::string& aText,
                         time_point aNow);
  failure_facts MakeFailureFacts(const caller_session& aSession,
                                 time_point aNow) const;
  // Latest log position that the server is known to have applied.
  log_position AppliedPositionOf(const std::string& aServer) const;
  void UpdateServerState(server_connection& aConnection,
                         const statement_reply& aReply,
                         time_point aSent,
                         time_point aNow);
  // Makes the connection idle again, after a rollback if a transaction is open
  // on it.
  void ReleaseConnection(server_connection& aConnection, time_point aNow);
  // Closes the connection without notifying a statement that uses it.
  void DiscardConnection(server_connection_id aConnection);

  // engine_timeouts.cpp
  // Whether the server has sent no reply for some time since the statement was
  // sent.
  bool IsServerUnresponsive(const pending_statement& aPending,
                            time_point aNow) const;
  void OnStatementTimeout(caller_session& aSession, time_point aNow);
  void AbortTransaction(caller_session& aSession, time_point aNow);
  void AbortIdleTransactions(time_point aNow);

  caller_session* FindSession(session_id aId);
  server_connection* FindConnection(server_connection_id aId);

  session_engine_options mOptions;
  session_links& mLinks;
  std::shared_ptr<const desired_state> mDesired;
  std::unordered_map<session_id, caller_session> mSessions;
  std::unordered_map<server_connection_id, server_connection> mConnections;
  server_connection_id mNextConnection = 1;
  // Servers by id. The mServers sets of all services together contain exactly
  // these ids.
  std::map<std::string, known_server> mServers;
  std::map<std::string, known_service> mServices;
  // Last time at which idle transactions and missing servers were checked.
  time_point mLastSlowTick = time_point::min();
  // Whether sessions are closed as soon as they are idle.
  bool mShuttingDown = false;
  // Whether transactions are aborted between statements.
  bool mAbortingTransactions = false;
};

} // namespace snipewalk

#endif // SNIPEWALK_SESSION_ENGINE_STATE_H_
