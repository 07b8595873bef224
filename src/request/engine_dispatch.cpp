// Sends waiting requests to servers that have a free connection.
#include "request/service_engine_state.h"

#include <algorithm>

#include <absl/strings/str_cat.h>

namespace snipewalk {

namespace {

// An aged read waits this long for newer positions before the primary serves
// it or it is refused.
constexpr milliseconds kAgedHoldPrimary{ 20 };
constexpr milliseconds kAgedHold{ 100 };
// The same during a change of term and as long after its last step: positions
// of the new term are learned only once its primary serves. A planned change
// takes up to about 200 ms.
constexpr milliseconds kAgedHoldInChange{ 500 };
// Spacing of status requests that refresh positions for aged reads.
constexpr milliseconds kAgedRefreshInterval{ 10 };
// A statement that waited is sent only if this many times the high quantile of
// its time remains. What is cut by its deadline was work for nothing, costs its
// connection and, as a write, ends as unknown; and a stalled process adds to
// each duration.
constexpr double kDurationMargin = 1.5;

request_entry&
EntryOf(admission_node& aNode)
{
  return static_cast<request_entry&>(aNode);
}

} // namespace

bool
service_engine_state::PrimaryReady() const
{
  const auto primary = mRouter.Primary();
  return mView && mView->mTerm.mPhase == term_phase::Stable && primary &&
         mView->mConnectionShare > 0 && mNow >= mHoldWritesUntil &&
         mRouter.Servers()[*primary].mPresent &&
         !mRouter.Servers()[*primary].mSuspected;
}

bool
service_engine_state::HoldsBegins() const
{
  const auto primary = mRouter.Primary();
  return (primary && mRouter.Servers()[*primary].mLeaving) ||
         (mBeginsHeldTerm == mRouter.Term() && mNow < mBeginsHeldUntil);
}

void
service_engine_state::DispatchLookups()
{
  while (!mLookups.empty()) {
    auto* entry = FindRequest(mLookups.front());
    if (!entry || entry->mStage != request_stage::LookupQueued) {
      mLookups.pop_front();
      continue;
    }
    if (PrimaryReachedElsewhere() && IsStuckAtPrimary(*entry)) {
      mLookups.pop_front();
      Relocate(*entry);
      continue;
    }
    if (!PrimaryReady()) {
      return;
    }
    const std::size_t primary = *mRouter.Primary();
    auto* connection =
      mPool.Acquire(primary, connection_use::Lookup, entry->mNumber, mNow);
    if (!connection) {
      CheckIdle(primary, mLookups.size());
      return;
    }
    mLookups.pop_front();
    entry->mStage = request_stage::LookupSent;
    entry->mConnection = connection->mId;
    SendRaw(*connection,
            backend_outcome_query{ entry->mRequest.mIdempotencyKey },
            kOverdueAge);
  }
}

duration
service_engine_state::NeededTime(statement_kind aKind) const
{
  switch (aKind) {
    case statement_kind::Read:
      return std::chrono::duration_cast<duration>(kDurationMargin *
                                                  mReadHeld.High());
    case statement_kind::Write:
      return std::chrono::duration_cast<duration>(kDurationMargin *
                                                  mWriteConfirmed.High());
    default:
      return duration{ 0 };
  }
}

// Only statements that waited: an idle service sends at once, so that the
// durations are measured again after a slow time.
bool
service_engine_state::IsTooLate(const request_entry& aEntry) const
{
  return aEntry.mDoubtTerm == 0 && mNow > aEntry.mQueuedAt &&
         aEntry.mRequest.mDeadline - mNow < NeededTime(aEntry.mRequest.mKind);
}

void
service_engine_state::RefuseLate(request_entry& aEntry)
{
  AnswerFailed(aEntry,
               refusal_reason::Overloaded,
               "the remaining time is too short for the statement",
               std::max(ExpectedWait(aEntry.mLane, aEntry.mRequest.mAccount),
                        kRetryAfterLate));
}

void
service_engine_state::DispatchPrimaryLane(queue_lane aLane, connection_use aUse)
{
  while (auto* node = mQueue.Front(aLane)) {
    if (PrimaryReachedElsewhere()) {
      Relocate(EntryOf(*node));
      continue;
    }
    if (!PrimaryReady()) {
      if (aLane == queue_lane::PrimaryRead &&
          ReturnToReplicas(EntryOf(*node))) {
        continue;
      }
      return;
    }
    const std::size_t primary = *mRouter.Primary();
    if (aLane == queue_lane::Begin && HoldsBegins()) {
      return;
    }
    auto& entry = EntryOf(*node);
    // A read with a stated age does not need the session's position.
    if (entry.mPosition.mTerm > mRouter.Term() && !entry.mRequest.mMaxAge) {
      mQueue.Pop(aLane);
      Delay(entry, false);
      continue;
    }
    if (IsTooLate(entry)) {
      mQueue.Pop(aLane);
      RefuseLate(entry);
      continue;
    }
    auto* connection = mPool.Acquire(primary, aUse, entry.mNumber, mNow);
    if (!connection) {
      CheckIdle(primary, mQueue.Size(aLane));
      return;
    }
    mQueue.Pop(aLane);
    SendStatement(entry, *connection, read_route{});
  }
}

void
service_engine_state::DispatchReads(queue_lane aLane)
{
  while (auto* node = mQueue.Front(aLane)) {
    auto& entry = EntryOf(*node);
    if (IsTooLate(entry)) {
      mQueue.Pop(aLane);
      RefuseLate(entry);
    } else if (!DispatchRead(entry)) {
      return;
    }
  }
}

read_route
service_engine_state::RouteOf(const statement_request& aRequest,
                              const log_position& aPosition,
                              std::uint64_t aTried,
                              time_point aNow) const
{
  read_request_facts facts;
  facts.mNeed = aRequest.mMaxAge ? read_need::Age : read_need::Position;
  facts.mPosition = aPosition;
  facts.mMaxAge = aRequest.mMaxAge.value_or(milliseconds(0));
  facts.mTried = aTried;
  facts.mDeadline = aRequest.mDeadline;
  return mRouter.Route(
    facts,
    aNow,
    [&](std::size_t aServer) {
      return mPool.Available(aServer, connection_use::Read, aNow);
    },
    [&](std::size_t aServer) { return mPool.Outstanding(aServer); });
}

// Returns false when the read, and with it its lane, has to wait.
bool
service_engine_state::DispatchRead(request_entry& aEntry)
{
  const bool aged = aEntry.mLane == queue_lane::AgedRead;
  if (!aged && aEntry.mPosition.mTerm > mRouter.Term()) {
    // The session saw a term that this instance does not know yet.
    mQueue.Pop(aEntry.mLane);
    Delay(aEntry, false);
    return true;
  }
  const auto route =
    RouteOf(aEntry.mRequest, aEntry.mPosition, aEntry.mTriedServers, mNow);
  switch (route.mVerdict) {
    case route_verdict::Send: {
      mQueue.Pop(aEntry.mLane);
      auto* connection = mPool.Acquire(
        route.mServer, connection_use::Read, aEntry.mNumber, mNow);
      SendStatement(aEntry, *connection, route);
      if (aged) {
        RefreshPositions(kUnknownRefreshInterval, false);
      }
      return true;
    }
    case route_verdict::ToPrimary:
      if (aged) {
        return HoldAgedRead(aEntry);
      }
      MoveToPrimaryLane(aEntry);
      return true;
    case route_verdict::Refresh:
      return HoldAgedRead(aEntry);
    case route_verdict::Wait:
      break;
  }
  for (std::size_t i = 0; i < mRouter.Servers().size(); ++i) {
    if (mRouter.Primary() != i) {
      CheckIdle(i, mQueue.Size(aEntry.mLane));
    }
  }
  return false;
}

void
service_engine_state::MoveToPrimaryLane(request_entry& aEntry)
{
  mQueue.Remove(aEntry);
  aEntry.mLane = queue_lane::PrimaryRead;
  Enqueue(aEntry, false);
}

// A read that came to the primary's lane while no replica was known to follow
// the term need not wait for the next primary. Returns false if it has to.
bool
service_engine_state::ReturnToReplicas(request_entry& aEntry)
{
  const queue_lane lane = LaneOf(aEntry.mRequest);
  if (lane == queue_lane::PrimaryRead) {
    return false;
  }
  // A replica that lagged before may have caught up.
  const auto route =
    RouteOf(aEntry.mRequest, aEntry.mPosition, /*aTried=*/0, mNow);
  if (lane == queue_lane::SessionRead &&
      route.mVerdict != route_verdict::Send) {
    return false;
  }
  mQueue.Remove(aEntry);
  aEntry.mTriedServers = 0;
  aEntry.mLane = lane;
  Enqueue(aEntry, true);
  DispatchRead(aEntry);
  return true;
}

// No replica is known to be fresh enough: learns positions, then falls back to
// the primary while a majority confirms its term, else refuses. Returns false
// while the read is held.
bool
service_engine_state::HoldAgedRead(request_entry& aEntry)
{
  if (PrimaryReachedElsewhere()) {
    // The ages known here only grow without the primary's positions.
    Relocate(aEntry);
    return true;
  }
  RefreshPositions(kAgedRefreshInterval, false);
  const auto held = mNow - aEntry.mQueuedAt;
  const auto age = mRouter.PrimaryAge(mNow);
  const bool primary =
    PrimaryReady() && age && *age <= *aEntry.mRequest.mMaxAge;
  if (primary && held >= kAgedHoldPrimary) {
    MoveToPrimaryLane(aEntry);
    return true;
  }
  const bool changing = mView->mTerm.mPhase != term_phase::Stable ||
                        mNow - mTermChangedAt < kAgedHoldInChange;
  const milliseconds limit = changing ? kAgedHoldInChange : kAgedHold;
  if (held >= limit) {
    AnswerFailed(aEntry,
                 refusal_reason::TooStale,
                 "no server is known to have data of the stated age",
                 kAgedHold);
    return true;
  }
  const auto step = held < kAgedHoldPrimary ? kAgedHoldPrimary : limit;
  SetTimer(aEntry.mQueuedAt + step, timer_kind::Wakeup, 0);
  return false;
}

void
service_engine_state::SendStatement(request_entry& aEntry,
                                    pooled_connection& aConnection,
                                    const read_route& aRoute)
{
  aEntry.mStage = request_stage::Sent;
  aEntry.mConnection = aConnection.mId;
  aEntry.mServer = aConnection.mServer;
  aEntry.mAttempts =
    aEntry.mSentTerm == mRouter.Term() ? aEntry.mAttempts + 1 : 1;
  aEntry.mSentTerm = mRouter.Term();
  aEntry.mSentAt = mNow;
  aEntry.mAttemptId =
    absl::StrCat(aEntry.mRequest.mRequestId, ".", ++mLastAttempt);
  backend_statement statement;
  statement.mRequestId = aEntry.mAttemptId;
  statement.mTerm = aEntry.mSentTerm;
  statement.mKind = aEntry.mRequest.mKind;
  statement.mIdempotencyKey = aEntry.mRequest.mIdempotencyKey;
  statement.mMinIndex = aRoute.mMinIndex;
  statement.mWait = aRoute.mWait;
  statement.mBody = aEntry.mRequest.mBody;
  SendRaw(aConnection, std::move(statement), kOverdueAge + aRoute.mWait);
}

void
service_engine_state::SendRaw(pooled_connection& aConnection,
                              backend_request aRequest,
                              milliseconds aDue)
{
  aConnection.mOutstanding = true;
  aConnection.mOverdues = 0;
  aConnection.mSentAt = mNow;
  aConnection.mDueAt = mNow + aDue;
  EnsureOverdueTimer(aConnection);
  mActions->push_back(send_request{ aConnection.mId, std::move(aRequest) });
}

// Checks idle connections that are too old to be used unchecked, at most as
// many as requests wait for them.
void
service_engine_state::CheckIdle(std::size_t aServer, std::size_t aWaiting)
{
  while (mPool.InUse(aServer, connection_use::Check) < aWaiting) {
    auto* connection = mPool.AcquireForCheck(aServer, mNow);
    if (!connection) {
      return;
    }
    SendRaw(*connection, backend_status_query{}, kCheckOverdueAge);
  }
}

// One connection to the server is overdue: others that have not been used since
// `aSince` may be silent, too.
void
service_engine_state::CheckStale(std::size_t aServer, time_point aSince)
{
  mPool.ExpireIdle(aServer, aSince, mNow);
  while (auto* connection = mPool.AcquireStale(aServer, mNow)) {
    SendRaw(*connection, backend_status_query{}, kCheckOverdueAge);
  }
}

// Asks servers for their status over idle connections, each at most once in
// `aSpacing`; with `aUnknownOnly` those whose role in this term is not known.
void
service_engine_state::RefreshPositions(milliseconds aSpacing, bool aUnknownOnly)
{
  const auto& servers = mRouter.Servers();
  for (std::size_t i = 0; i < servers.size(); ++i) {
    if (!servers[i].mPresent || (aUnknownOnly && mRouter.Serving(i)) ||
        mPool.InUse(i, connection_use::Check) > 0) {
      continue;
    }
    if (mNow - mRefreshedAt[i] < aSpacing) {
      SetTimer(mRefreshedAt[i] + aSpacing, timer_kind::Wakeup, 0);
      continue;
    }
    if (auto* connection = mPool.AcquireForCheck(i, mNow)) {
      mRefreshedAt[i] = mNow;
      SendRaw(*connection, backend_status_query{}, kCheckOverdueAge);
    }
  }
}

} // namespace snipewalk
