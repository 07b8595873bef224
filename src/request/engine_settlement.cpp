// Look-ups of outcomes and answers. "Not run" is said only before an attempt
// was sent, after a server's refusal, or when the key is absent at the primary
// of a higher term.
#include "request/service_engine_state.h"

#include <algorithm>

namespace snipewalk {

namespace {

bool
IsAfter(const log_position& aLeft, const log_position& aRight)
{
  return std::tie(aLeft.mTerm, aLeft.mIndex) >
         std::tie(aRight.mTerm, aRight.mIndex);
}

} // namespace

void
service_engine_state::Lookup(request_entry& aEntry)
{
  aEntry.mStage = request_stage::LookupQueued;
  aEntry.mConnection = 0;
  mLookups.push_back(aEntry.mNumber);
}

void
service_engine_state::Delay(request_entry& aEntry, bool aLookup)
{
  aEntry.mStage = request_stage::Delayed;
  aEntry.mConnection = 0;
  aEntry.mDelayedLookup = aLookup;
  SetTimer(mNow + mBudget.Delay(aEntry.mDelays++),
           timer_kind::DelayEnd,
           aEntry.mNumber);
}

void
service_engine_state::OnLookupReply(pooled_connection& aConnection,
                                    const backend_reply& aReply)
{
  auto* entry = FindRequest(aConnection.mOwner);
  const std::size_t server = aConnection.mServer;
  if (aReply.mError == backend_error::None && !aReply.mKeyState) {
    const pooled_connection copy = aConnection;
    mPool.Close(copy.mId, *mActions);
    OnLost(copy);
    return;
  }
  mPool.Release(aConnection.mId, mNow, *mActions);
  if (!entry) {
    return;
  }
  // Only the primary of the present term knows which entries survive.
  if (aReply.mError != backend_error::None || aReply.mTerm != mRouter.Term() ||
      mRouter.Primary() != server) {
    Delay(*entry, true);
    return;
  }
  switch (*aReply.mKeyState) {
    case key_state::Done:
      entry->mServer = server;
      entry->mExecuted = { aReply.mTerm, aReply.mIndex };
      entry->mReplyBody = aReply.mBody;
      entry->mReplayed = true;
      AwaitAcknowledgement(*entry);
      break;
    case key_state::InProgress:
      Delay(*entry, true);
      break;
    case key_state::Absent:
      OnKeyAbsent(*entry, aReply.mTerm);
      break;
  }
}

void
service_engine_state::OnKeyAbsent(request_entry& aEntry, std::uint64_t aTerm)
{
  if (aEntry.mOutcomeOnly) {
    AnswerFailed(aEntry,
                 refusal_reason::NotAcknowledged,
                 "no outcome is recorded; the request may still be under way");
    return;
  }
  if (aEntry.mRejected) {
    // The attempt has ended with a complete reply and left no effect.
    aEntry.mDoubtTerm = aEntry.mDoubtBefore;
    AnswerFailed(
      aEntry, *aEntry.mRejected, "the server rejected the statement");
    return;
  }
  // Until a majority holds an entry of this term, a later primary could still
  // come from the old primary's log and have the key.
  const bool impossible =
    aTerm > aEntry.mDoubtTerm && mAcknowledgement.Anchored();
  if (impossible) {
    aEntry.mDoubtTerm = 0;
  }
  if (aEntry.mRequest.mKind == statement_kind::Commit) {
    if (impossible) {
      AnswerFailed(aEntry,
                   refusal_reason::TransactionLost,
                   "the transaction was rolled back");
    } else if (aEntry.mDoubtTerm == UINT64_MAX) {
      AnswerFailed(aEntry,
                   refusal_reason::TransactionLost,
                   "the holder is gone and no outcome is recorded");
    } else {
      Delay(aEntry, true);
    }
    return;
  }
  // The same key has at most one effect, so the write may be sent again even
  // if the first attempt is still on its way.
  const bool newTerm = aTerm > aEntry.mSentTerm;
  if (newTerm || (aEntry.mAttempts < kAttemptsMax && mBudget.TryRetry(mNow))) {
    ++mCounters.mRetries;
    Enqueue(aEntry, true);
  } else {
    Delay(aEntry, true);
  }
}

// An attempt that is cut by its deadline tells that statements take longer.
void
service_engine_state::NoteCut(const request_entry& aEntry)
{
  const bool sent = aEntry.mStage == request_stage::Sent;
  const bool executed =
    aEntry.mStage == request_stage::Acknowledging && !aEntry.mReplayed;
  if ((!sent && !executed) || aEntry.mTransaction != 0) {
    return;
  }
  const duration taken = mNow - aEntry.mSentAt;
  if (aEntry.mRequest.mKind == statement_kind::Read) {
    mReadHeld.AddCut(taken);
  } else if (aEntry.mRequest.mKind == statement_kind::Write) {
    mWriteConfirmed.AddCut(taken);
    if (sent) {
      mWriteHeld.AddCut(taken);
    }
  }
}

void
service_engine_state::OnDeadline(request_entry& aEntry)
{
  if (aEntry.mTransaction != 0 && aEntry.mStage == request_stage::Sent) {
    LoseTransaction(aEntry.mTransaction, refusal_reason::DeadlineExceeded);
    return;
  }
  NoteCut(aEntry);
  if (aEntry.mConnection != 0) {
    // The reply would come later: the connection cannot be used again.
    if (aEntry.mStage == request_stage::Sent && aEntry.mHasEffect) {
      aEntry.mDoubtTerm = std::max(aEntry.mDoubtTerm, aEntry.mSentTerm);
    }
    mPool.Close(aEntry.mConnection, *mActions);
    aEntry.mConnection = 0;
  }
  if (aEntry.mStage == request_stage::Acknowledging) {
    AnswerFailed(aEntry,
                 refusal_reason::NotAcknowledged,
                 "the write is not confirmed by a majority yet");
    return;
  }
  const bool needsPrimary = aEntry.mRequest.mKind != statement_kind::Read ||
                            aEntry.mLane == queue_lane::PrimaryRead;
  if (aEntry.mStage == request_stage::Queued && needsPrimary &&
      !PrimaryReady()) {
    AnswerFailed(aEntry,
                 refusal_reason::NoPrimary,
                 "the service has no primary at present",
                 milliseconds(200));
    return;
  }
  // The deadline says nothing about the next attempt of what did not run.
  AnswerFailed(aEntry,
               refusal_reason::DeadlineExceeded,
               "the deadline has passed",
               aEntry.mDoubtTerm == 0 ? kRetryAfterLate : milliseconds(0));
}

// A majority holds the write.
void
service_engine_state::Confirmed(request_entry& aEntry)
{
  mCounters.mWritesDone += aEntry.mOutcomeOnly ? 0 : 1;
  if (!aEntry.mReplayed && aEntry.mRequest.mKind == statement_kind::Write) {
    mWriteConfirmed.Add(mNow - aEntry.mSentAt);
  }
  AnswerDone(aEntry);
}

void
service_engine_state::AnswerDone(request_entry& aEntry)
{
  statement_response response;
  response.mOutcome = statement_outcome::Done;
  response.mBody = std::move(aEntry.mReplyBody);
  response.mSession = SessionAfter(aEntry);
  response.mServer = mRouter.Servers()[aEntry.mServer].mName;
  response.mReplayed = aEntry.mReplayed;
  if (aEntry.mRequest.mMaxAge &&
      aEntry.mRequest.mKind == statement_kind::Read &&
      aEntry.mTransaction == 0) {
    const auto age = mRouter.Primary() == aEntry.mServer
                       ? mRouter.PrimaryAge(mNow)
                       : mRouter.AgeOf(aEntry.mExecuted.mIndex, mNow);
    if (age) {
      response.mDataAge = std::chrono::ceil<milliseconds>(*age);
    }
  }
  Finish(aEntry, std::move(response));
}

// The outcome follows from what was sent: see request_entry::mDoubtTerm.
void
service_engine_state::AnswerFailed(request_entry& aEntry,
                                   refusal_reason aReason,
                                   const char* aMessage,
                                   milliseconds aRetryAfter)
{
  statement_response response;
  response.mOutcome = aEntry.mDoubtTerm == 0 ? statement_outcome::NotRun
                                             : statement_outcome::Unknown;
  response.mReason = aReason;
  response.mMessage = aMessage;
  response.mRetryAfter = aRetryAfter;
  ++(aEntry.mDoubtTerm == 0 ? mCounters.mRefused : mCounters.mUnknown);
  Finish(aEntry, std::move(response));
}

// The token after a statement outside a transaction or a commit; empty when
// the session's position did not change.
std::string
service_engine_state::SessionAfter(const request_entry& aEntry) const
{
  const auto& request = aEntry.mRequest;
  const bool committed = aEntry.mHasEffect;
  const bool read = request.mKind == statement_kind::Read &&
                    aEntry.mTransaction == 0 && !request.mMaxAge;
  if ((!committed && !read) || aEntry.mOutcomeOnly ||
      !IsAfter(aEntry.mExecuted, aEntry.mPosition)) {
    return {};
  }
  const auto token = EncodeSession(
    { mService, request.mAccount, aEntry.mExecuted }, mSessionKeys, mWallNow);
  return token.ok() ? *token : std::string();
}

void
service_engine_state::Finish(request_entry& aEntry,
                             statement_response aResponse)
{
  aResponse.mRequestId = std::move(aEntry.mRequest.mRequestId);
  aResponse.mIdempotencyKey = std::move(aEntry.mRequest.mIdempotencyKey);
  if (aResponse.mTransaction.empty() &&
      aEntry.mRequest.mKind != statement_kind::Commit &&
      aEntry.mRequest.mKind != statement_kind::Rollback) {
    aResponse.mTransaction = std::move(aEntry.mRequest.mTransaction);
  }
  mQueue.Remove(aEntry);
  if (aEntry.mStage == request_stage::Acknowledging) {
    mAcknowledgement.Remove(aEntry.mExecuted.mIndex, aEntry.mNumber);
  }
  mTimers.erase(
    { aEntry.mRequest.mDeadline, timer_kind::Deadline, aEntry.mNumber });
  mRequests.erase(aEntry.mNumber);
  mActions->push_back(answer_request{ std::move(aResponse) });
}

} // namespace snipewalk
