// Internals of the service engine. The member functions are spread over
// engine_*.cpp by topic; all of them run inside service_engine::Handle.
#ifndef SNIPEWALK_REQUEST_SERVICE_ENGINE_STATE_H_
#define SNIPEWALK_REQUEST_SERVICE_ENGINE_STATE_H_

#include "request/service_time.h"
#include "snipewalk/request/admission_queue.h"
#include "snipewalk/request/connection_pool.h"
#include "snipewalk/request/read_router.h"
#include "snipewalk/request/retry_budget.h"
#include "snipewalk/request/service_engine.h"
#include "snipewalk/request/write_acknowledgement.h"

#include <deque>
#include <memory>
#include <optional>
#include <string>
#include <tuple>
#include <vector>

#include <absl/container/btree_set.h>
#include <absl/container/flat_hash_map.h>
#include <absl/container/flat_hash_set.h>

namespace snipewalk {

// A reply that is late by this much starts a probe over a new connection.
inline constexpr milliseconds kOverdueAge{ 1'000 };
// A status request is answered without work, so its silence shows earlier.
inline constexpr milliseconds kCheckOverdueAge{ 300 };

// A connection that is not established within this time counts as refused.
inline constexpr milliseconds kOpenTimeout{ 2'000 };
// Servers whose role in the present term is unknown are asked this often.
inline constexpr milliseconds kUnknownRefreshInterval{ 50 };

// Told to callers whose request does not fit into its remaining time.
inline constexpr milliseconds kRetryAfterLate{ 50 };

// Told to callers while a server still counts connections that went silent.
inline constexpr milliseconds kRetryAfterStarved{ 100 };
inline constexpr const char* kConnectionsStillCounted =
  "the server still counts connections that went silent";

// A statement is sent at most this often in one term.
inline constexpr int kAttemptsMax = 4;

enum class request_stage
{
  // Waits in the admission queue; no attempt is under way.
  Queued,
  // An attempt is outstanding on mConnection.
  Sent,
  // Executed; waits for the confirmation by a majority.
  Acknowledging,
  // An attempt's outcome is not known: waits to ask the primary for it.
  LookupQueued,
  LookupSent,
  // Returns to LookupQueued or to the queue when a delay ends.
  Delayed
};

struct request_entry : admission_node
{
  // Unique within the engine; the key of service_engine_state::mRequests.
  std::uint64_t mNumber = 0;
  statement_request mRequest;
  // An outcome_submitted: only the look-up, no statement.
  bool mOutcomeOnly = false;
  // Has an effect that must not be repeated: a write or a commit.
  bool mHasEffect = false;
  request_stage mStage = request_stage::Queued;
  // Where a delay leads.
  bool mDelayedLookup = false;
  queue_lane mLane = queue_lane::Write;
  log_position mPosition;
  connection_id mConnection = 0;
  // Echoed by the server; differs for each attempt.
  std::string mAttemptId;
  std::uint64_t mSentTerm = 0;
  time_point mQueuedAt;
  // When the last attempt was sent.
  time_point mSentAt;
  // Highest term in which an attempt was sent whose outcome is not known; zero
  // when "not run" may be said.
  std::uint64_t mDoubtTerm = 0;
  // Set when the server answered the last attempt without saying whether it
  // ran: the reason to give once the key turns out to be absent.
  std::optional<refusal_reason> mRejected;
  // mDoubtTerm before that attempt.
  std::uint64_t mDoubtBefore = 0;
  std::uint64_t mTriedServers = 0;
  int mAttempts = 0;
  // Delays so far.
  int mDelays = 0;
  // Set from the execution on.
  std::size_t mServer = 0;
  log_position mExecuted;
  std::string mReplyBody;
  bool mReplayed = false;
  // Number of the transaction it belongs to, or zero.
  std::uint64_t mTransaction = 0;
};

// A transaction is pinned to one connection from begin to its end.
struct open_transaction
{
  std::uint64_t mNumber = 0;
  connection_id mConnection = 0;
  std::string mAccount;
  // Number of the statement under way, or zero.
  std::uint64_t mStatement = 0;
  time_point mIdleSince;
};

enum class timer_kind
{
  Deadline,
  DelayEnd,
  Overdue,
  TransactionIdle,
  Wakeup
};

struct timer_key
{
  time_point mAt;
  timer_kind mKind = timer_kind::Wakeup;
  std::uint64_t mId = 0;

  bool operator<(const timer_key& aOther) const
  {
    return std::tie(mAt, mKind, mId) <
           std::tie(aOther.mAt, aOther.mKind, aOther.mId);
  }
};

// Acknowledgement connection to one voter.
struct acknowledgement_link
{
  connection_id mConnection = 0;
  // Term of the outstanding wait.
  std::uint64_t mWaitTerm = 0;
  // Spaces out requests that were answered without progress.
  time_point mNotBefore;
  // The only connection goes to a read first.
  bool mYields = false;
};

class service_engine_state
{
public:
  service_engine_state(std::string aService, engine_options aOptions);

  void Handle(const engine_event& aEvent,
              time_point aNow,
              wall_time aWallNow,
              std::vector<engine_action>& aActions);
  std::optional<time_point> NextTimer() const;
  engine_status Status() const;
  std::string Explain(const statement_request& aRequest, time_point aNow) const;

private:
  // service_engine.cpp: events and timers.
  void On(const statement_submitted& aEvent);
  void On(const outcome_submitted& aEvent);
  void On(const connection_opened& aEvent);
  void On(const connection_closed& aEvent);
  void On(const reply_received& aEvent);
  void On(const status_observed& aEvent);
  void On(const view_changed& aEvent);
  void On(const drain_requested& aEvent);
  void On(const begins_held& aEvent);
  void On(const connection_ended& aEvent);
  void On(const timer_expired& aEvent);
  void ObserveStatus(std::size_t aServer,
                     const server_status& aStatus,
                     time_point aSentAt);
  void Fire(const timer_key& aTimer);
  void Pump();

  // engine_submission.cpp: admission.
  bool Admit(request_entry& aEntry);
  queue_lane LaneOf(const statement_request& aRequest) const;
  std::size_t SharedConnections(std::size_t aServer) const;
  milliseconds ExpectedWait(queue_lane aLane,
                            const std::string& aAccount) const;
  void RefuseFull(request_entry& aEntry);
  bool Displace(const request_entry& aEntry);
  void Enqueue(request_entry& aEntry, bool aFront);
  request_entry& Insert(std::unique_ptr<request_entry> aEntry);

  // engine_dispatch.cpp: from the queue to a connection.
  void DispatchLookups();
  void DispatchPrimaryLane(queue_lane aLane, connection_use aUse);
  void DispatchReads(queue_lane aLane);
  read_route RouteOf(const statement_request& aRequest,
                     const log_position& aPosition,
                     std::uint64_t aTried,
                     time_point aNow) const;
  bool DispatchRead(request_entry& aEntry);
  duration NeededTime(statement_kind aKind) const;
  bool IsTooLate(const request_entry& aEntry) const;
  void RefuseLate(request_entry& aEntry);
  bool PrimaryReady() const;
  // New transactions wait for the successor of the primary, or for the term.
  bool HoldsBegins() const;
  void MoveToPrimaryLane(request_entry& aEntry);
  bool ReturnToReplicas(request_entry& aEntry);
  bool HoldAgedRead(request_entry& aEntry);
  void SendStatement(request_entry& aEntry,
                     pooled_connection& aConnection,
                     const read_route& aRoute);
  void SendRaw(pooled_connection& aConnection,
               backend_request aRequest,
               milliseconds aDue);
  void CheckIdle(std::size_t aServer, std::size_t aWaiting);
  void CheckStale(std::size_t aServer, time_point aSince);
  void RefreshPositions(milliseconds aSpacing, bool aUnknownOnly);
  void ArmNewConnections(std::size_t aFirstAction);

  // engine_replies.cpp: replies and lost connections.
  void NoteHeld(const request_entry& aEntry,
                duration aHeld,
                const backend_reply& aReply);
  void OnStatementReply(pooled_connection& aConnection,
                        const backend_reply& aReply);
  void OnExecuted(request_entry& aEntry,
                  std::size_t aServer,
                  const backend_reply& aReply);
  void OnReadDone(request_entry& aEntry, const backend_reply& aReply);
  void OnRefused(request_entry& aEntry,
                 std::size_t aServer,
                 const backend_reply& aReply);
  void OnRejected(request_entry& aEntry, backend_error aError);
  void OnCheckReply(connection_id aId, const backend_reply& aReply);
  void OnLost(const pooled_connection& aConnection);
  void OnAttemptLost(request_entry& aEntry);
  void OnOverdue(connection_id aId, time_point aTimerAt);
  void OnStatementOverdue(pooled_connection& aConnection);
  void GiveUpOverdue(std::size_t aServer, bool aAnswered);
  void ReportEvidence(std::size_t aServer,
                      server_evidence aEvidence,
                      std::uint64_t aTerm);

  // engine_settlement.cpp: look-ups and answers.
  void Lookup(request_entry& aEntry);
  void Delay(request_entry& aEntry, bool aLookup);
  void OnLookupReply(pooled_connection& aConnection,
                     const backend_reply& aReply);
  void OnKeyAbsent(request_entry& aEntry, std::uint64_t aTerm);
  void OnDeadline(request_entry& aEntry);
  void NoteCut(const request_entry& aEntry);
  void Confirmed(request_entry& aEntry);
  void AnswerDone(request_entry& aEntry);
  void AnswerFailed(request_entry& aEntry,
                    refusal_reason aReason,
                    const char* aMessage,
                    milliseconds aRetryAfter = milliseconds(0));
  std::string SessionAfter(const request_entry& aEntry) const;
  void Finish(request_entry& aEntry, statement_response aResponse);

  // engine_relocation.cpp: requests that another holder has to serve.
  void TrackRefusals();
  bool HasOtherHolder() const;
  bool PrimaryReachedElsewhere() const;
  bool IsStuckAtPrimary(const request_entry& aEntry);
  void RelocateStuck();
  void Relocate(request_entry& aEntry);

  // engine_acknowledgement.cpp: confirmation of writes by voters.
  void AwaitAcknowledgement(request_entry& aEntry);
  void StartTerm();
  void PumpAcknowledgements();
  void PumpAcknowledgement(std::size_t aServer);
  void OnAcknowledgementReply(pooled_connection& aConnection,
                              const backend_reply& aReply);

  // engine_transactions.cpp.
  void SubmitInTransaction(request_entry& aEntry);
  void SubmitAfterTransaction(request_entry& aEntry, std::uint64_t aNumber);
  void OnBegun(request_entry& aEntry,
               pooled_connection& aConnection,
               const backend_reply& aReply);
  void OnTransactionReply(open_transaction& aTransaction,
                          request_entry& aEntry,
                          const backend_reply& aReply);
  void LoseTransaction(
    std::uint64_t aNumber,
    refusal_reason aReason = refusal_reason::TransactionLost);
  void OnTransactionIdle(std::uint64_t aNumber);
  void RememberCommit(std::uint64_t aNumber);

  // engine_view.cpp: documents, terms and limits.
  void ApplyServers();
  void AbandonServer(std::size_t aServer);
  void RefuseWithoutShare();
  bool CanConfirm() const;
  void RefuseWithoutConnections();
  std::string ExplainServers() const;
  std::string ExplainVerdict(const read_route& aRoute) const;
  std::size_t LimitOf(const server_entry& aEntry, std::size_t aServer) const;

  request_entry* FindRequest(std::uint64_t aNumber);
  void SetTimer(time_point aAt, timer_kind aKind, std::uint64_t aId);
  void EnsureOverdueTimer(pooled_connection& aConnection);

  const std::string mService;
  const engine_options mOptions;
  std::shared_ptr<const service_view> mView;
  std::vector<session_key> mSessionKeys;
  bool mDraining = false;

  // Valid inside Handle.
  time_point mNow;
  wall_time mWallNow;
  std::vector<engine_action>* mActions = nullptr;

  admission_queue mQueue;
  read_router mRouter;
  retry_budget mBudget;
  connection_pool mPool;
  write_acknowledgement mAcknowledgement;
  std::vector<acknowledgement_link> mLinks;
  std::vector<time_point> mAnsweredReportedAt;

  absl::flat_hash_map<std::uint64_t, std::unique_ptr<request_entry>> mRequests;
  absl::flat_hash_map<std::uint64_t, open_transaction> mTransactions;
  // Requests of stage LookupQueued; entries of other stages are skipped.
  std::deque<std::uint64_t> mLookups;
  // Transactions whose commit was sent, newest last; bounded.
  absl::flat_hash_set<std::uint64_t> mCommitSent;
  std::deque<std::uint64_t> mCommitOrder;
  absl::btree_set<timer_key> mTimers;
  std::uint64_t mLastNumber = 0;
  std::uint64_t mLastAttempt = 0;
  std::uint64_t mLastTransaction = 0;
  // Per server: when its status was last asked for.
  std::vector<time_point> mRefreshedAt;
  // Writes are held until then because the primary refused its role or term.
  time_point mHoldWritesUntil;
  // When the term or its phase last changed in the view.
  time_point mTermChangedAt;
  // No transaction begins in this term until the time given.
  std::uint64_t mBeginsHeldTerm = 0;
  time_point mBeginsHeldUntil;
  // Times that writes and reads outside transactions occupy a connection.
  service_time mWriteHeld;
  service_time mReadHeld;
  // Times of writes from the sending to the confirmation by a majority.
  service_time mWriteConfirmed;
  // Since when the primary refuses each connection of this engine.
  std::optional<time_point> mRefusedSince;
  engine_status mCounters;
};

} // namespace snipewalk

#endif // SNIPEWALK_REQUEST_SERVICE_ENGINE_STATE_H_
