// Internal state of the session engine, and the operations on it that the
// engine's source files implement.
#ifndef SNIPEWALK_SESSION_ENGINE_STATE_H_
#define SNIPEWALK_SESSION_ENGINE_STATE_H_

#include "session/engine_types.h"

#include <map>
#include <optional>
#include <set>
#include <string>
#include <unordered_map>
#include <vector>

namespace snipewalk {

// Servers that are considered for a statement.
enum class connection_source
{
  // Those with an idle connection.
  Idle,
  // Those to which one can be opened, perhaps in the place of another one.
  Opened,
  // Those with an idle connection, or with room for another one.
  IdleOrFree
};

// Result of trying to place one waiting statement.
enum class placement
{
  Placed,
  Waits,
  // The rate limit of the client account does not allow the operation.
  OverLimit
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

  // engine_candidate.cpp
  // Takes over the primary that is recorded, and begins or ends the check of a
  // candidate.
  // Forgets what holds only while the same primary leads in the same term.
  void OnOtherLead(known_service& aService, const std::string& aPrimary);
  void ApplyPrimary(known_service& aService,
                    const service_primary& aPrimary,
                    time_point aNow);
  // Asks a candidate for its status if its change of primary takes longer than
  // usual to be recorded as done.
  void AskCandidate(const std::string& aService, time_point aNow);
  void OnCandidateStatus(const server_connection& aConnection,
                         const statement_reply& aReply,
                         time_point aSent,
                         time_point aNow);

  // engine_timeouts.cpp
  void OnTick(time_point aNow);

  // engine_accounts.cpp
  std::optional<allowance_request> AllowanceRequestIfDue(time_point aNow);
  bool NeedsAllowances() const { return mAllowances.IsUrgent(); }
  void OnAllowanceGrant(const allowance_grant& aGrant, time_point aNow);

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

  // engine_accounts.cpp
  // Finds the client account of a new statement. Returns false if the session's
  // key does not identify one, or another one than in the open transaction.
  bool Authorize(caller_session& aSession);
  // Answers the statement whose session has lost its authorization, rolls back
  // its transaction and closes the session.
  void EndUnauthorized(caller_session& aSession, time_point aNow);
  // Closes idle sessions whose keys were removed, and refuses their waiting
  // statements. Those of a key that was moved run for its new account.
  void EndRevokedSessions(time_point aNow);
  // Notes that the operation which begins with the pending statement needs a
  // token.
  void RequireAllowance(caller_session& aSession, time_point aNow);
  // Whether the pending statement may be placed as far as its account's rate
  // limit is concerned. Returns Waits while tokens are expected soon.
  placement CheckAllowance(caller_session& aSession, time_point aNow);
  // Takes the token of a statement that is sent now, and ends its turn.
  void OnFirstSend(caller_session& aSession, time_point aNow);
  // Number of the account's operations that wait for a token and were received
  // earlier than the session's.
  std::size_t CountAwaitingAllowance(const caller_session& aSession) const;
  // Lets the waiting statement run for the account that the key now belongs to.
  void MoveToAccount(caller_session& aSession,
                     const std::string& aAccount,
                     time_point aNow);
  // Gives the statement that is queued its turn among the accounts.
  void AssignTurn(caller_session& aSession);
  // Gives back the turn of a statement that leaves the queue unplaced.
  void DropTurn(const caller_session& aSession,
                const pending_statement& aPending);
  // Refuses statements whose accounts have exhausted their rate limits.
  void RefuseOverLimit(const std::vector<session_id>& aSessions,
                       time_point aNow);

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
                                          connection_source aSource,
                                          time_point aNow) const;
  bool HasIdleConnection(const caller_session& aSession,
                         const known_server& aServer) const;
  // Opens a connection to a server that would have been chosen if it had one,
  // so that the account's reads do not stay with the servers that it used
  // first.
  void OpenToBetterServer(const caller_session& aSession,
                          const read_requirement& aRequirement,
                          const std::string& aChosen,
                          time_point aNow);
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
  // Returns an idle connection of the session's client account.
  server_connection* FindIdleConnection(const known_server& aServer,
                                        const caller_session& aSession);
  // Returns any idle connection, for commands of the instance itself.
  server_connection* FindIdleConnection(const known_server& aServer);
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
  // Sets the position that the server must have to execute the pending
  // statement: on a replica the one that the read requires, on the primary the
  // one that it has told while it led.
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
  // Whether a connection can be opened for the session's pending statement,
  // perhaps after closing an idle one of another client account.
  bool CanOpenFor(const caller_session& aSession,
                  const known_server& aServer,
                  time_point aNow) const;
  // Returns the idle connection that is closed so that one can be opened for
  // the session's pending statement; std::nullopt if there is none.
  std::optional<server_connection_id> EvictionFor(
    const caller_session& aSession,
    const known_server& aServer,
    time_point aNow) const;
  void OpenConnection(known_server& aServer,
                      const std::string& aAccount,
                      time_point aNow);
  // Opens a connection for the session's pending statement, after closing an
  // idle one of another account if the share is used up.
  void OpenConnectionFor(const caller_session& aSession,
                         known_server& aServer,
                         time_point aNow);
  // Whether another opening is in progress or was refused shortly before.
  bool MustDelayOpening(const known_server& aServer, time_point aNow) const;
  bool HasAccounts() const { return mDesired && mDesired->mAccounts; }
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
  // Tries the two proofs of a check on the answers received so far: that of a
  // primary which answered with `aStatus`, and that of the replicas.
  void CheckLeadingPrimary(known_service& aService,
                           const std::string& aName,
                           const server_status& aStatus);
  void CheckReplicas(known_service& aService, const std::string& aName);
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
  allowance_reserve mAllowances;
  // Whether sessions are closed as soon as they are idle.
  bool mShuttingDown = false;
  // Whether transactions are aborted between statements.
  bool mAbortingTransactions = false;
};

} // namespace snipewalk

#endif // SNIPEWALK_SESSION_ENGINE_STATE_H_
