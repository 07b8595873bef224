// Admission of requests to the service engine.
#include "request/service_engine_state.h"

#include "snipewalk/request/transaction_id.h"

#include <algorithm>

#include <absl/strings/str_cat.h>

namespace snipewalk {

namespace {

// Told to callers that are refused until a term or a view arrives.
constexpr milliseconds kRetryAfterChange{ 200 };
// Transactions held for a planned change fill at most this fraction of the
// queue, so that writes are still admitted.
constexpr std::size_t kHeldBeginsFraction = 4;

bool
EndsTransaction(statement_kind aKind)
{
  return aKind == statement_kind::Commit || aKind == statement_kind::Rollback;
}

} // namespace

request_entry&
service_engine_state::Insert(std::unique_ptr<request_entry> aEntry)
{
  const auto number = ++mLastNumber;
  aEntry->mNumber = number;
  aEntry->mQueuedAt = mNow;
  const auto added = mRequests.emplace(number, std::move(aEntry)).first;
  SetTimer(added->second->mRequest.mDeadline, timer_kind::Deadline, number);
  return *added->second;
}

void
service_engine_state::On(const statement_submitted& aEvent)
{
  mBudget.CountRequest();
  auto created = std::make_unique<request_entry>();
  created->mRequest = aEvent.mRequest;
  auto& entry = Insert(std::move(created));
  auto& request = entry.mRequest;
  const bool inTransaction = !request.mTransaction.empty();
  entry.mHasEffect = request.mKind == statement_kind::Commit ||
                     (request.mKind == statement_kind::Write && !inTransaction);
  if (entry.mHasEffect && request.mIdempotencyKey.empty()) {
    request.mIdempotencyKey = absl::StrCat(mOptions.mInstance,
                                           "-",
                                           mOptions.mIncarnation,
                                           "-",
                                           mOptions.mSeed,
                                           "-",
                                           entry.mNumber);
  }
  if (!Admit(entry)) {
    return;
  }
  if (inTransaction) {
    SubmitInTransaction(entry);
    return;
  }
  entry.mLane = LaneOf(request);
  if (mQueue.Full()) {
    AnswerFailed(entry,
                 refusal_reason::Overloaded,
                 "too many requests are waiting",
                 std::max(ExpectedWait(entry.mLane), kRetryAfterChange));
    return;
  }
  const auto limit = static_cast<std::size_t>(mView->mDocument.mQueueLimit);
  if (entry.mLane == queue_lane::Begin && HoldsBegins() &&
      mQueue.Size(queue_lane::Begin) >= limit / kHeldBeginsFraction) {
    AnswerFailed(entry,
                 refusal_reason::Overloaded,
                 "too many transactions wait for a planned change",
                 kRetryAfterChange);
    return;
  }
  const auto wait = ExpectedWait(entry.mLane);
  if (mNow + wait > request.mDeadline) {
    AnswerFailed(entry,
                 refusal_reason::Overloaded,
                 "the expected wait exceeds the remaining time",
                 wait);
    return;
  }
  Enqueue(entry, false);
}

// Checks what needs no queue. Answers the request and returns false when it
// cannot be served.
bool
service_engine_state::Admit(request_entry& aEntry)
{
  const auto& request = aEntry.mRequest;
  const auto refuse = [&](refusal_reason aReason,
                          const char* aMessage,
                          milliseconds aRetryAfter = milliseconds(0)) {
    AnswerFailed(aEntry, aReason, aMessage, aRetryAfter);
    return false;
  };
  if (!mView || mView->mConnectionShare <= 0) {
    return refuse(refusal_reason::NoHolder,
                  "this instance holds no slot of the service",
                  kRetryAfterChange);
  }
  if (request.mDeadline <= mNow) {
    return refuse(refusal_reason::DeadlineExceeded, "no time is left");
  }
  if (EndsTransaction(request.mKind) && request.mTransaction.empty()) {
    return refuse(refusal_reason::BadRequest, "no transaction is given");
  }
  if (request.mKind == statement_kind::Begin) {
    if (!request.mTransaction.empty()) {
      return refuse(refusal_reason::BadRequest,
                    "a transaction cannot begin inside another");
    }
    if (mDraining) {
      return refuse(refusal_reason::ShuttingDown,
                    "the instance is shutting down",
                    kRetryAfterChange);
    }
  }
  if (!request.mSession.empty()) {
    const auto session =
      DecodeSession(request.mSession, mSessionKeys, mService, request.mAccount);
    if (!session.ok()) {
      return refuse(refusal_reason::BadSession, "the session token is invalid");
    }
    aEntry.mPosition = session->mPosition;
  }
  const bool changes =
    aEntry.mHasEffect && request.mKind == statement_kind::Write;
  if (changes && mAcknowledgement.Lag(mNow) > mView->mDocument.mMaxLag) {
    return refuse(refusal_reason::ReplicasBehind,
                  "all replicas are too far behind",
                  kRetryAfterChange);
  }
  return true;
}

queue_lane
service_engine_state::LaneOf(const statement_request& aRequest) const
{
  switch (aRequest.mKind) {
    case statement_kind::Read:
      return aRequest.mMaxAge ? queue_lane::AgedRead : queue_lane::SessionRead;
    case statement_kind::Begin:
      return queue_lane::Begin;
    default:
      return queue_lane::Write;
  }
}

// Zero while nothing can be estimated, as during a change of primary.
milliseconds
service_engine_state::ExpectedWait(queue_lane aLane) const
{
  std::size_t connections = 0;
  double waiting = 0;
  double each = mReadSeconds;
  if (aLane == queue_lane::Write || aLane == queue_lane::Begin) {
    if (!PrimaryReady()) {
      return milliseconds(0);
    }
    each = mWriteSeconds;
    connections = mPool.OpenCount(*mRouter.Primary());
    waiting = static_cast<double>(mQueue.Size(queue_lane::Write));
    if (aLane == queue_lane::Begin) {
      waiting += static_cast<double>(mQueue.Size(queue_lane::Begin));
    }
  } else {
    for (std::size_t i = 0; i < mRouter.Servers().size(); ++i) {
      connections += mRouter.Primary() == i ? 0 : mPool.OpenCount(i);
    }
    waiting = static_cast<double>(mQueue.Size(queue_lane::SessionRead));
    if (aLane == queue_lane::AgedRead) {
      waiting += static_cast<double>(mQueue.Size(queue_lane::AgedRead));
    }
  }
  if (connections == 0) {
    return milliseconds(0);
  }
  return milliseconds(static_cast<std::int64_t>(
    1'000 * waiting * each / static_cast<double>(connections)));
}

void
service_engine_state::Enqueue(request_entry& aEntry, bool aFront)
{
  aEntry.mStage = request_stage::Queued;
  aEntry.mConnection = 0;
  mQueue.Push(aEntry.mLane, aEntry.mRequest.mAccount, aEntry, aFront);
}

void
service_engine_state::On(const outcome_submitted& aEvent)
{
  auto created = std::make_unique<request_entry>();
  auto& request = created->mRequest;
  request.mRequestId = aEvent.mRequest.mRequestId;
  request.mService = aEvent.mRequest.mService;
  request.mAccount = aEvent.mRequest.mAccount;
  request.mKind = statement_kind::Write;
  request.mIdempotencyKey = aEvent.mRequest.mIdempotencyKey;
  request.mDeadline = aEvent.mRequest.mDeadline;
  created->mOutcomeOnly = true;
  created->mHasEffect = true;
  // The terms of the attempts are not known: "not run" is never said.
  created->mDoubtTerm = UINT64_MAX;
  auto& entry = Insert(std::move(created));
  if (!Admit(entry)) {
    return;
  }
  if (mLookups.size() >=
      static_cast<std::size_t>(mView->mDocument.mQueueLimit)) {
    AnswerFailed(entry,
                 refusal_reason::Overloaded,
                 "too many look-ups are waiting",
                 kRetryAfterChange);
    return;
  }
  Lookup(entry);
}

} // namespace snipewalk
