// Replies of servers to statements, and connections that are lost or silent.
#include "request/service_engine_state.h"

#include <algorithm>

namespace snipewalk {

namespace {

constexpr milliseconds kAnsweredInterval{ 100 };
// Writes are held this long after the primary refused its role or term, unless
// a new view comes first.
constexpr milliseconds kHoldWrites{ 10 };

bool
IsStatement(connection_use aUse)
{
  return aUse != connection_use::Check && aUse != connection_use::Lookup &&
         aUse != connection_use::Acknowledgement;
}

} // namespace

// Refusals and replays are answered without the work of a statement, and
// statements of transactions do not wait for a connection.
void
service_engine_state::NoteHeld(const request_entry& aEntry,
                               duration aHeld,
                               const backend_reply& aReply)
{
  if (aReply.mError != backend_error::None || aReply.mReplayed ||
      aEntry.mTransaction != 0) {
    return;
  }
  if (aEntry.mRequest.mKind == statement_kind::Read) {
    mReadHeld.Add(aHeld);
  } else if (aEntry.mRequest.mKind == statement_kind::Write) {
    mWriteHeld.Add(aHeld);
  }
}

void
service_engine_state::OnStatementReply(pooled_connection& aConnection,
                                       const backend_reply& aReply)
{
  const auto found = mTransactions.find(aConnection.mOwner);
  open_transaction* transaction =
    found == mTransactions.end() ? nullptr : &found->second;
  auto* entry =
    FindRequest(transaction ? transaction->mStatement : aConnection.mOwner);
  const bool broken = aReply.mError == backend_error::Malformed ||
                      aReply.mError == backend_error::Internal;
  if (!entry || aReply.mRequestId != entry->mAttemptId ||
      (broken && transaction)) {
    // Not the reply to this request, or a transaction in an unknown state.
    const pooled_connection copy = aConnection;
    mPool.Close(copy.mId, *mActions);
    OnLost(copy);
    return;
  }
  aConnection.mOutstanding = false;
  NoteHeld(*entry, mNow - aConnection.mSentAt, aReply);
  if (transaction) {
    OnTransactionReply(*transaction, *entry, aReply);
    return;
  }
  if (entry->mRequest.mKind == statement_kind::Begin &&
      aReply.mError == backend_error::None) {
    OnBegun(*entry, aConnection, aReply);
    return;
  }
  const std::size_t server = aConnection.mServer;
  const time_point sentAt = aConnection.mSentAt;
  mPool.Release(aConnection.mId, mNow, *mActions);
  entry->mConnection = 0;
  if (broken) {
    OnRejected(*entry, aReply.mError);
    return;
  }
  if (aReply.mError != backend_error::None) {
    OnRefused(*entry, server, aReply);
    return;
  }
  if (!aReply.mReplayed) {
    mRouter.ObserveIndex(server, aReply.mTerm, aReply.mIndex, sentAt);
  }
  OnExecuted(*entry, server, aReply);
}

void
service_engine_state::OnExecuted(request_entry& aEntry,
                                 std::size_t aServer,
                                 const backend_reply& aReply)
{
  aEntry.mServer = aServer;
  aEntry.mExecuted = { aReply.mTerm, aReply.mIndex };
  aEntry.mReplyBody = aReply.mBody;
  aEntry.mReplayed = aReply.mReplayed;
  if (aEntry.mRequest.mKind == statement_kind::Read) {
    OnReadDone(aEntry, aReply);
    return;
  }
  aEntry.mDoubtTerm = std::max(aEntry.mDoubtTerm, aEntry.mSentTerm);
  if (aReply.mTerm != aEntry.mSentTerm || aReply.mTerm != mRouter.Term()) {
    // Executed in a term that is over: the present primary knows whether the
    // write is in its log.
    Lookup(aEntry);
    return;
  }
  if (!aReply.mReplayed) {
    mAcknowledgement.NoteWritten(aReply.mIndex);
  }
  AwaitAcknowledgement(aEntry);
}

void
service_engine_state::OnReadDone(request_entry& aEntry,
                                 const backend_reply& aReply)
{
  const bool byPrimary = mRouter.Primary() == aEntry.mServer;
  if (aEntry.mRequest.mMaxAge) {
    const auto age =
      byPrimary ? mRouter.PrimaryAge(mNow) : mRouter.AgeOf(aReply.mIndex, mNow);
    if (aReply.mTerm != mRouter.Term() || !age ||
        *age > *aEntry.mRequest.mMaxAge) {
      // The age is promised at the time of the answer, not of the choice.
      aEntry.mTriedServers |= std::uint64_t{ 1 } << aEntry.mServer;
      aEntry.mLane = queue_lane::AgedRead;
      if (byPrimary) {
        AnswerFailed(aEntry,
                     refusal_reason::TooStale,
                     "the primary's term is not confirmed",
                     milliseconds(100));
      } else {
        Enqueue(aEntry, true);
      }
      return;
    }
  }
  ++(byPrimary ? mCounters.mReadsByPrimary : mCounters.mReadsByReplicas);
  AnswerDone(aEntry);
}

// The server answered completely without saying whether the statement ran.
void
service_engine_state::OnRejected(request_entry& aEntry, backend_error aError)
{
  const auto reason = aError == backend_error::Malformed
                        ? refusal_reason::BadRequest
                        : refusal_reason::ConnectionLost;
  if (!aEntry.mHasEffect) {
    AnswerFailed(aEntry, reason, "the server rejected the statement");
    return;
  }
  aEntry.mRejected = reason;
  aEntry.mDoubtBefore = aEntry.mDoubtTerm;
  aEntry.mDoubtTerm = std::max(aEntry.mDoubtTerm, aEntry.mSentTerm);
  Lookup(aEntry);
}

// The server did not execute the statement.
void
service_engine_state::OnRefused(request_entry& aEntry,
                                std::size_t aServer,
                                const backend_reply& aReply)
{
  if (aReply.mError == backend_error::Conflict) {
    AnswerFailed(
      aEntry, refusal_reason::Conflict, "the server reports a conflict");
    return;
  }
  const bool wrongRole = aReply.mError == backend_error::TermMismatch ||
                         aReply.mError == backend_error::NotPrimary;
  if (wrongRole && aEntry.mSentTerm == mRouter.Term()) {
    mRouter.ObserveRefusal(aServer);
    if (mRouter.Primary() == aServer) {
      mHoldWritesUntil = mNow + kHoldWrites;
      SetTimer(mHoldWritesUntil, timer_kind::Wakeup, 0);
    }
  }
  if (aEntry.mRequest.mKind == statement_kind::Read) {
    aEntry.mTriedServers |= std::uint64_t{ 1 } << aServer;
    if (aEntry.mLane == queue_lane::PrimaryRead) {
      aEntry.mTriedServers = 0;
      aEntry.mLane = LaneOf(aEntry.mRequest);
    }
    Enqueue(aEntry, true);
    return;
  }
  if (aReply.mError == backend_error::InProgress) {
    // An earlier attempt under this key is running: its outcome counts.
    aEntry.mDoubtTerm = std::max(aEntry.mDoubtTerm, aReply.mTerm);
    Delay(aEntry, true);
  } else if (wrongRole) {
    Enqueue(aEntry, true);
  } else {
    Delay(aEntry, false);
  }
}

void
service_engine_state::OnCheckReply(connection_id aId,
                                   const backend_reply& aReply)
{
  const auto connection = *mPool.Find(aId);
  if (!aReply.mStatus) {
    mPool.Close(aId, *mActions);
    return;
  }
  ObserveStatus(connection.mServer, *aReply.mStatus, connection.mSentAt);
  // Given up first: then the reserve that carried the probe replaces them.
  GiveUpOverdue(connection.mServer, true);
  mPool.Release(aId, mNow, *mActions);
}

// A probe of the server ended. If it answered, overdue writes are on silent
// connections and are settled by a look-up; if not, overdue reads go elsewhere,
// and so do writes once the control thread had time to suspect the server and
// did not: then only this engine's connections fail.
void
service_engine_state::GiveUpOverdue(std::size_t aServer, bool aAnswered)
{
  for (const auto id : mPool.Busy(aServer)) {
    const auto* busy = mPool.Find(id);
    if (!busy || busy->mOverdues == 0) {
      continue;
    }
    const bool read = busy->mUse == connection_use::Read ||
                      busy->mUse == connection_use::PrimaryRead;
    if (aAnswered ? busy->mUse == connection_use::Write : read) {
      const pooled_connection copy = *busy;
      mPool.Close(id, *mActions);
      OnLost(copy);
      continue;
    }
    auto* entry = FindRequest(busy->mOwner);
    if (!aAnswered && busy->mUse == connection_use::Write &&
        busy->mOverdues > 1 && !mRouter.Servers()[aServer].mSuspected &&
        entry && HasOtherHolder()) {
      Relocate(*entry);
    }
  }
}

// The connection is gone. Its request is settled without a reply.
void
service_engine_state::OnLost(const pooled_connection& aConnection)
{
  if (aConnection.mUse == connection_use::Acknowledgement) {
    mLinks[aConnection.mServer].mConnection = 0;
    return;
  }
  if (aConnection.mUse == connection_use::Check) {
    GiveUpOverdue(aConnection.mServer, false);
    return;
  }
  if (mTransactions.contains(aConnection.mOwner)) {
    LoseTransaction(aConnection.mOwner);
    return;
  }
  auto* entry = FindRequest(aConnection.mOwner);
  if (!entry || entry->mConnection != aConnection.mId) {
    return;
  }
  entry->mConnection = 0;
  if (entry->mStage == request_stage::LookupSent) {
    Delay(*entry, true);
  } else if (entry->mStage == request_stage::Sent) {
    OnAttemptLost(*entry);
  }
}

void
service_engine_state::OnAttemptLost(request_entry& aEntry)
{
  if (aEntry.mHasEffect) {
    aEntry.mDoubtTerm = std::max(aEntry.mDoubtTerm, aEntry.mSentTerm);
    Lookup(aEntry);
    return;
  }
  // A read has no effect; a begin is rolled back with its connection.
  if (aEntry.mAttempts >= kAttemptsMax || !mBudget.TryRetry(mNow)) {
    AnswerFailed(aEntry,
                 refusal_reason::ConnectionLost,
                 "the connection to the server was lost",
                 milliseconds(100));
    return;
  }
  ++mCounters.mRetries;
  if (aEntry.mRequest.mKind == statement_kind::Read) {
    aEntry.mTriedServers |= std::uint64_t{ 1 } << aEntry.mServer;
    aEntry.mLane = LaneOf(aEntry.mRequest);
  }
  Enqueue(aEntry, true);
}

void
service_engine_state::OnOverdue(connection_id aId, time_point aTimerAt)
{
  auto* connection = mPool.Find(aId);
  if (!connection || connection->mTimerAt != aTimerAt) {
    return;
  }
  connection->mTimerAt.reset();
  const bool opening = connection->mPhase == connection_phase::Opening;
  if (!opening && !connection->mOutstanding) {
    return;
  }
  if (mNow < connection->mDueAt) {
    EnsureOverdueTimer(*connection);
    return;
  }
  ReportEvidence(connection->mServer, server_evidence::Silent, 0);
  const pooled_connection copy = *connection;
  if (opening) {
    mActions->push_back(close_connection{ aId });
    mPool.Closed(aId, true, mNow);
    if (copy.mUse == connection_use::Check) {
      OnLost(copy);
    }
    return;
  }
  if (IsStatement(copy.mUse)) {
    OnStatementOverdue(*connection);
  } else {
    mPool.Close(aId, *mActions);
    OnLost(copy);
    CheckStale(copy.mServer, copy.mSentAt);
  }
}

// The reply may be slow rather than lost. A probe over a new connection tells
// whether the server lives; a read moves on after half of its time.
void
service_engine_state::OnStatementOverdue(pooled_connection& aConnection)
{
  const auto* entry = FindRequest(aConnection.mOwner);
  const bool read = entry && !entry->mHasEffect;
  const bool late = ++aConnection.mOverdues > 1;
  aConnection.mDueAt = mNow + kOverdueAge;
  if (read) {
    aConnection.mDueAt = std::max(
      aConnection.mDueAt, mNow + (entry->mRequest.mDeadline - mNow) / 2);
  }
  EnsureOverdueTimer(aConnection);
  const std::size_t server = aConnection.mServer;
  if (mPool.InUse(server, connection_use::Check) == 0) {
    mPool.OpenProbe(server, *mActions);
  }
  CheckStale(server, aConnection.mSentAt);
  const bool probed = mPool.InUse(server, connection_use::Check) > 0;
  // Without a probe every connection is busy, perhaps silent like this one:
  // giving it up makes room for a new one, and a look-up settles the write.
  const bool giveUp =
    read ? late : !probed && aConnection.mUse == connection_use::Write;
  if (giveUp && aConnection.mUse != connection_use::Transaction) {
    const pooled_connection copy = aConnection;
    mPool.Close(copy.mId, *mActions);
    OnLost(copy);
  }
}

void
service_engine_state::ReportEvidence(std::size_t aServer,
                                     server_evidence aEvidence,
                                     std::uint64_t aTerm)
{
  if (aEvidence == server_evidence::Answered) {
    auto& reported = mAnsweredReportedAt[aServer];
    if (mNow - reported < kAnsweredInterval) {
      return;
    }
    reported = mNow;
  }
  mActions->push_back(
    report_evidence{ mRouter.Servers()[aServer].mName, aEvidence, aTerm });
}

} // namespace snipewalk
