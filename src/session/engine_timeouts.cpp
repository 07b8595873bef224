// Timeouts of the session engine: unresponsive servers, expired statements,
// idle transactions and unanswered connection openings.
#include "session/engine_state.h"
#include "snipewalk/base/log.h"

#include <algorithm>
#include <utility>

namespace snipewalk {

namespace {

// Fraction of the statement's timeout after which an unanswered attempt is
// ended, if it can be repeated or safely aborted.
constexpr double kSilenceTimeoutFraction = 0.6;
// A server that has sent no reply for this long while a statement is pending is
// treated as unresponsive, and the statement is placed on another server.
constexpr milliseconds kUnresponsiveAfter{ 300 };
// Interval between scans of all sessions and services, for limits in the range
// of seconds.
constexpr milliseconds kSlowTickInterval{ 200 };
} // namespace

void
session_engine::state::AbortTransaction(caller_session& aSession,
                                        time_point aNow)
{
  Log(
    log_level::Info,
    "session",
    "transaction ended between statements",
    { { "database", aSession.mDatabase },
      { "idle_ms", ToMilliseconds(aNow - aSession.mTransaction->mLastUsed) } });
  mMetrics.Count("transactions_ended");
  DiscardTransaction(aSession, aNow);
  aSession.mState = session_state::Failed;
  aSession.mAbortUnreported = true;
}

void
session_engine::state::OnStatementTimeout(caller_session& aSession,
                                          time_point aNow)
{
  const pending_statement& pending = *aSession.mPending;
  const server_connection_id id = pending.mConnection;
  const server_connection* connection = FindConnection(id);
  const std::string server = connection ? connection->mServer : std::string();
  const bool awaitsServer = AwaitsServer(pending);
  failure_facts facts = MakeFailureFacts(aSession, aNow);
  facts.mFailure = FailureWithoutReply(pending);
  facts.mMayRepeat = facts.mMayRepeat && awaitsServer;
  if (pending.mStage == statement_stage::Waiting) {
    std::erase(mServices[pending.mRoute.mService].mWaiting, aSession.mId);
  }
  if (IsUnansweredWrite(pending)) {
    mServices[pending.mRoute.mService].mWriteGate.OnUnanswered(pending.mSentAt);
  }
  const std::string text = awaitsServer ? "no answer" : "no capacity";
  DiscardConnection(id);
  OnStatementFailed(aSession, facts, server, text, aNow);
}

bool
session_engine::state::IsServerUnresponsive(const pending_statement& aPending,
                                            time_point aNow) const
{
  const auto connection = mConnections.find(aPending.mConnection);
  if (connection == mConnections.end()) {
    return false;
  }
  const auto server = mServers.find(connection->second.mServer);
  return server != mServers.end() &&
         aNow >= aPending.mSentAt + kUnresponsiveAfter &&
         aNow >= server->second.mLastAnswer + kUnresponsiveAfter;
}

void
session_engine::state::OnTick(time_point aNow)
{
  const std::set<session_id> active = mActiveSessions;
  for (const auto id : active) {
    caller_session* session = FindSession(id);
    if (session == nullptr || !session->mPending) {
      continue;
    }
    if (session->mPending->mStage == statement_stage::Unproven) {
      ResolveUnproven(*session, aNow);
      continue;
    }
    const pending_statement& pending = *session->mPending;
    const bool outcomeUnknown =
      pending.mStage == statement_stage::Sent &&
      (pending.mPurpose == statement_purpose::SingleWrite ||
       (pending.mPurpose == statement_purpose::Commit &&
        session->mTransaction->mWrote));
    const auto silence = std::chrono::duration_cast<duration>(
      pending.mRoute.mStatementTimeout * kSilenceTimeoutFraction);
    const bool silent = AwaitsServer(pending) && !outcomeUnknown &&
                        (aNow >= pending.mSentAt + silence ||
                         IsServerUnresponsive(pending, aNow));
    if (aNow >= pending.mDeadline || silent) {
      OnStatementTimeout(*session, aNow);
    } else if (pending.mStage == statement_stage::Pausing &&
               aNow >= pending.mRetryAt) {
      ++session->mPending->mAttempts;
      SendInTransaction(*session, aNow);
    }
  }
  CloseUnansweredConnections(aNow);
  const bool slowTickDue = mLastSlowTick == time_point::min() ||
                           aNow >= mLastSlowTick + kSlowTickInterval;
  if (slowTickDue) {
    mLastSlowTick = aNow;
    AbortIdleTransactions(aNow);
    UpdateExpectedServers(aNow);
  }
  CloseSurplusConnections(aNow);
  DispatchAll(aNow);
  RefuseAllUnservable(aNow);
}

void
session_engine::state::AbortIdleTransactions(time_point aNow)
{
  if (!mDesired) {
    return;
  }
  std::vector<session_id> expired;
  for (const auto& [id, session] : mSessions) {
    if (session.mTransaction && !session.mPending &&
        aNow >=
          session.mTransaction->mLastUsed + mDesired->mTransactionIdleLimit) {
      expired.push_back(id);
    }
  }
  for (const auto id : expired) {
    AbortTransaction(mSessions.at(id), aNow);
  }
}

} // namespace snipewalk
