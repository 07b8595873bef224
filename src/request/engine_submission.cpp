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

// The expected wait is a mean and can be exceeded: a request is admitted only
// if this many times it and the statement itself fit into the remaining time.
// At 1, most requests of an overloaded service are refused only after they
// waited.
constexpr double kWaitMargin = 2;

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
  if (mQueue.Full() && !Displace(entry)) {
    RefuseFull(entry);
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
  const auto wait = ExpectedWait(entry.mLane, request.mAccount);
  if (wait > milliseconds(0) &&
      mNow + kWaitMargin * wait + NeededTime(request.mKind) >
        request.mDeadline) {
    AnswerFailed(entry,
                 refusal_reason::Overloaded,
                 "the expected wait exceeds the remaining time",
                 std::max(wait, kRetryAfterLate));
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
  // Checked before the lag, which grows when this engine cannot ask the voters.
  if (changes && !CanConfirm() && HasOtherHolder()) {
    return refuse(
      refusal_reason::NoHolder, kConnectionsStillCounted, kRetryAfterStarved);
  }
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
      if (aRequest.mMaxAge) {
        return queue_lane::AgedRead;
      }
      return mView && mView->mDocument.mReads == read_policy::Primary
               ? queue_lane::PrimaryRead
               : queue_lane::SessionRead;
    case statement_kind::Begin:
      return queue_lane::Begin;
    default:
      return queue_lane::Write;
  }
}

void
service_engine_state::RefuseFull(request_entry& aEntry)
{
  AnswerFailed(aEntry,
               refusal_reason::Overloaded,
               "too many requests are waiting",
               std::max(ExpectedWait(aEntry.mLane, aEntry.mRequest.mAccount),
                        kRetryAfterChange));
}

// Makes room in a full queue at the expense of an account that has more
// requests waiting, so that one account cannot keep the others out.
bool
service_engine_state::Displace(const request_entry& aEntry)
{
  auto* node = mQueue.Displaceable(aEntry.mLane, aEntry.mRequest.mAccount);
  auto* displaced = static_cast<request_entry*>(node);
  if (!displaced || displaced->mDoubtTerm != 0) {
    return false;
  }
  RefuseFull(*displaced);
  return true;
}

// Connections of a server that waiting statements can get.
std::size_t
service_engine_state::SharedConnections(std::size_t aServer) const
{
  const std::size_t bound =
    mPool.InUse(aServer, connection_use::Acknowledgement) +
    mPool.InUse(aServer, connection_use::Transaction);
  return mPool.OpenCount(aServer) - std::min(mPool.OpenCount(aServer), bound);
}

// Zero while nothing can be estimated, as during a change of primary.
milliseconds
service_engine_state::ExpectedWait(queue_lane aLane,
                                   const std::string& aAccount) const
{
  std::size_t connections = 0;
  std::size_t waiting = 0;
  duration each = mReadHeld.Mean();
  if (aLane == queue_lane::Write || aLane == queue_lane::Begin) {
    if (!PrimaryReady()) {
      return milliseconds(0);
    }
    each = mWriteHeld.Mean();
    connections = SharedConnections(*mRouter.Primary());
    waiting = aLane == queue_lane::Begin ? mQueue.Size(queue_lane::Write) : 0;
  } else {
    for (std::size_t i = 0; i < mRouter.Servers().size(); ++i) {
      connections += mRouter.Primary() == i ? 0 : SharedConnections(i);
    }
    waiting =
      aLane == queue_lane::AgedRead ? mQueue.Size(queue_lane::SessionRead) : 0;
  }
  if (connections == 0) {
    return milliseconds(0);
  }
  waiting += mQueue.Ahead(aLane, aAccount);
  return std::chrono::duration_cast<milliseconds>(
    each * (static_cast<double>(waiting) / static_cast<double>(connections)));
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
