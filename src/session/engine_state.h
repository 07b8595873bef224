// Internal state of the session engine, by life span: a statement, a
// transaction, a session, a connection, a server, a service.
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
  // On mConnection; an answer is due.
  Sent,
  // Refused as busy inside a transaction; sent again at mRetryAt.
  Pausing
};

struct pending_statement
{
  std::string mRequestId;
  session_statement mStatement;
  statement_purpose mPurpose = statement_purpose::SingleRead;
  // As of the begin of the transaction, or of this statement outside one.
  database_route mRoute;
  time_point mReceived;
  time_point mDeadline;
  statement_stage mStage = statement_stage::Waiting;
  // Not placed before.
  time_point mRetryAt = time_point::min();
  // As of its last placement.
  wait_group mGroup;
  time_point mSentAt;
  server_connection_id mConnection = 0;
  // Refusals for lack of a position do not count.
  int mAttempts = 0;
  // Servers where an attempt failed.
  std::vector<std::string> mTried;
  // Position that the server had to have, for the log.
  std::optional<log_position> mAfter;
};

// A write, or a commit, that a server has not answered yet.
inline bool
IsUnansweredWrite(const pending_statement& aPending)
{
  return aPending.mStage == statement_stage::Sent &&
         (aPending.mPurpose == statement_purpose::SingleWrite ||
          aPending.mPurpose == statement_purpose::Commit);
}

struct open_transaction
{
  database_route mRoute;
  bool mReadOnly = false;
  time_point mLastUsed;
  // Zero until a server has begun it.
  server_connection_id mConnection = 0;
  // A write was sent.
  bool mWrote = false;
};

struct caller_session
{
  session_id mId = 0;
  bool mOpened = false;
  std::string mDatabase;
  session_context mContext;
  session_state mState = session_state::Idle;
  // Set exactly while mState is InTransaction.
  std::optional<open_transaction> mTransaction;
  // The transaction was ended between statements; the next answer says so.
  // Only while mState is Failed.
  bool mAbortUntold = false;
  std::optional<pending_statement> mPending;
  // Newest commit of this session that was acknowledged.
  log_position mWritten;
};

enum class expected_kind
{
  Opening,
  Setup,
  Begin,
  Statement,
  Rollback,
  // Status of the server, for a check of the primary.
  Check
};

struct expected_reply
{
  expected_kind mKind = expected_kind::Setup;
  time_point mSent;
};

struct server_connection
{
  server_connection_id mId = 0;
  std::string mServer;
  std::string mService;
  // Zero while no session uses it.
  session_id mSession = 0;
  connection_context mContext;
  // Replies that are due, in order. The first one is Opening until the server
  // accepted the connection.
  std::deque<expected_reply> mExpected;
  // A transaction was begun and not ended on it.
  bool mInTransaction = false;
  // A setup command failed: the context is not known any more.
  bool mContextUnknown = false;
  time_point mIdleSince;

  bool IsIdle() const { return mSession == 0 && mExpected.empty(); }
};

struct known_server
{
  server_entry mEntry;
  std::set<server_connection_id> mConnections;
  send_window mWindow;
  duration mAnswerTime{ 0 };
  log_position mApplied;
  log_position mRefusedPosition;
  // It is not asked for mRefusedPosition or later ones before.
  time_point mRefusedUntil = time_point::min();
  // Last pause after a refusal; doubled while refusals go on.
  milliseconds mRefusedPause{ 0 };
  // No connection is opened before.
  time_point mOpenAfter = time_point::min();
  time_point mLastAnswer = time_point::min();
  int mFailedConnects = 0;
};

// Questions to the primary and to replicas that show, without the store,
// whether a newer primary can have acknowledged anything.
struct primary_check
{
  time_point mStarted;
  std::map<std::string, server_status> mAnswers;
};

struct known_service
{
  service_limits mLimits;
  // Ids of its servers.
  std::set<std::string> mServers;
  // At least as many: those that vanished without leaving count on until others
  // take their place, or until they have been missing for long.
  std::size_t mExpectedServers = 0;
  // Most that were known at the same time.
  std::size_t mMostServers = 0;
  // Last moment at which none was missing, or nothing confirmed that.
  time_point mCompleteAt = time_point::min();
  service_primary mPrimary;
  freshness_samples mSamples;
  write_gate mWriteGate;
  // The last check, under way or over.
  std::optional<primary_check> mCheck;
  // No commit of a newer primary was acknowledged before this moment.
  time_point mCheckedAt = time_point::min();
  // Sessions whose statement waits; sorted when statements are placed.
  std::vector<session_id> mWaiting;
  // Of statements that only the primary can execute, and of the others.
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
  void OnCaller(session_id aSession,
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

  // engine_timeouts.cpp
  void OnTick(time_point aNow);

  // session_engine.cpp
  void SetDesiredState(std::shared_ptr<const desired_state> aState,
                       time_point aNow);
  void PutServer(const server_entry& aServer, time_point aNow);
  void RemoveServer(const std::string& aServer, time_point aNow);
  void SetPrimary(const std::string& aService,
                  const service_primary& aPrimary,
                  time_point aNow);
  std::vector<primary_observation> ObservePrimaries() const;
  session_engine_counts Counts() const;

  // Until when no server but the known primaries takes over.
  time_point mConfirmedUntil = time_point::min();
  std::size_t mInstances = 1;
  // Sessions that opened before the desired state was known.
  std::vector<session_id> mUnopened;
  // Sessions with a statement under way.
  std::set<session_id> mActive;
  metrics_registry mMetrics;

private:
  // engine_callers.cpp
  void OpenSession(caller_session& aSession,
                   const open_session& aOpen,
                   time_point aNow);
  void OnStatement(caller_session& aSession,
                   const statement_message& aMessage,
                   time_point aNow);
  // Answers what needs no server; false for the other statements.
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
  // Sends the final answer of the pending statement.
  void Finish(caller_session& aSession,
              statement_reply aReply,
              time_point aNow);
  // Ends the transaction on the server side and forgets it.
  void DropTransaction(caller_session& aSession, time_point aNow);
  void CloseIfLeaving(session_id aSession, time_point aNow);
  const database_route* FindRoute(const std::string& aDatabase) const;

  // engine_placement.cpp
  void Enqueue(caller_session& aSession, time_point aNow);
  std::vector<std::string> ServicesWithWaiting() const;
  // Brings the service's waiting statements into their order.
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
  // How long the server has owed an answer without giving any.
  duration Silence(const known_server& aServer, time_point aNow) const;
  // Whether the statement must run on the primary: writes and transactions that
  // may write.
  bool NeedsPrimary(const caller_session& aSession) const;
  // Whether a check of the primary could make the statement placeable.
  bool WantsCheck(const caller_session& aSession,
                  const read_requirement& aRequirement,
                  const known_service& aService) const;
  server_connection* IdleConnection(const known_server& aServer,
                                    const session_context& aContext);
  void SendFirst(caller_session& aSession,
                 server_connection& aConnection,
                 const read_requirement& aRequirement,
                 time_point aNow);
  void SendLater(caller_session& aSession, time_point aNow);
  void Transmit(server_connection& aConnection,
                const std::vector<server_command>& aCommands,
                expected_kind aLast,
                time_point aNow);

  // engine_admission.cpp
  wait_forecast& ForecastOf(const caller_session& aSession);
  // Tells the forecasts of a service how many statements wait.
  void NoteBacklog(const std::string& aService, time_point aNow);
  // Refuses the waiting statements that will not be placed in time.
  void RefuseUnservable(const std::string& aService, time_point aNow);
  // When callers of the service should come back.
  milliseconds RetryAfter(const std::string& aService, time_point aNow) const;

  // engine_connections.cpp
  service_hosting HostingOf(const std::string& aService) const;
  // Connections to a server that this instance may have.
  std::size_t ShareOf(const std::string& aService) const;
  bool CanOpen(const known_server& aServer, time_point aNow) const;
  void OpenConnection(known_server& aServer, time_point aNow);
  // Whether this instance keeps a connection to the server without use.
  bool KeepsIdle(const known_server& aServer) const;
  void CloseSurplusConnections(time_point aNow);
  // Openings and rollbacks that got no answer.
  void CloseStuckConnections(time_point aNow);

  // engine_check.cpp
  void OnChecked(known_service& aService,
                 const std::string& aName,
                 log_position aPosition,
                 const char* aProof);
  // Whether no newer primary had acknowledged a commit at `aMoment`.
  bool IsPrimaryKnown(const known_service& aService, time_point aMoment) const;
  // Stops expecting servers that have been missing for long.
  void SettleExpectedServers(time_point aNow);
  // Whether the servers known are enough for a proof.
  static bool KnowsServers(const known_service& aService);
  void StartCheck(const std::string& aService, time_point aNow);
  void OnCheckReply(const server_connection& aConnection,
                    const statement_reply& aReply,
                    time_point aSent);

  // engine_replies.cpp
  void OnOpened(server_connection& aConnection,
                const statement_reply& aReply,
                time_point aNow);
  void OnBegun(server_connection& aConnection,
               const statement_reply& aReply,
               time_point aNow);
  void OnStatementReply(server_connection& aConnection,
                        const statement_reply& aReply,
                        time_point aSent,
                        time_point aNow);
  void Succeed(caller_session& aSession,
               server_connection& aConnection,
               const statement_reply& aReply,
               time_point aNow);
  // The pending statement got no successful answer; the connection, if any,
  // was closed or released before.
  void Fail(caller_session& aSession,
            const failure_facts& aFacts,
            const std::string& aServer,
            const std::string& aText,
            time_point aNow);
  failure_facts FactsOf(const caller_session& aSession, time_point aNow) const;
  // Newest position that the server is known to have applied.
  log_position AppliedAt(const std::string& aServer) const;
  void LearnFrom(server_connection& aConnection,
                 const statement_reply& aReply,
                 time_point aSent,
                 time_point aNow);
  // Returns the connection to the idle ones, after a rollback if needed.
  void Release(server_connection& aConnection, time_point aNow);
  // Closes the connection; its statement, if any, is not told.
  void Discard(server_connection_id aConnection);

  // engine_timeouts.cpp
  // The server has been silent since the statement was sent.
  bool IsDark(const pending_statement& aPending, time_point aNow) const;
  void OnSilence(caller_session& aSession, time_point aNow);
  void ExpireTransaction(caller_session& aSession, time_point aNow);
  void ExpireIdleTransactions(time_point aNow);

  caller_session* FindSession(session_id aId);
  server_connection* FindConnection(server_connection_id aId);

  session_engine_options mOptions;
  session_links& mLinks;
  std::shared_ptr<const desired_state> mDesired;
  std::unordered_map<session_id, caller_session> mSessions;
  std::unordered_map<server_connection_id, server_connection> mConnections;
  server_connection_id mNextConnection = 1;
  // By server id; mServers of the services name exactly these.
  std::map<std::string, known_server> mServers;
  std::map<std::string, known_service> mServices;
  // When idle transactions and missing servers were last looked for.
  time_point mSlowTickAt = time_point::min();
  // Idle sessions are closed.
  bool mLeaving = false;
  // Transactions are ended between statements.
  bool mAborting = false;
};

} // namespace snipewalk

#endif // SNIPEWALK_SESSION_ENGINE_STATE_H_
