// Entry points of the service engine: events, timers and the order of work.
#include "snipewalk/request/service_engine.h"

#include "request/service_engine_state.h"

#include <algorithm>

namespace snipewalk {

service_engine::service_engine(std::string aService, engine_options aOptions)
  : mState(std::make_unique<service_engine_state>(std::move(aService),
                                                  std::move(aOptions)))
{
}

service_engine::~service_engine() = default;

void
service_engine::Handle(const engine_event& aEvent,
                       time_point aNow,
                       wall_time aWallNow,
                       std::vector<engine_action>& aActions)
{
  mState->Handle(aEvent, aNow, aWallNow, aActions);
}

std::optional<time_point>
service_engine::NextTimer() const
{
  return mState->NextTimer();
}

engine_status
service_engine::Status() const
{
  return mState->Status();
}

std::string
service_engine::Explain(const statement_request& aRequest,
                        time_point aNow) const
{
  return mState->Explain(aRequest, aNow);
}

service_engine_state::service_engine_state(std::string aService,
                                           engine_options aOptions)
  : mService(std::move(aService))
  , mOptions(std::move(aOptions))
  , mBudget(mOptions.mSeed + 1)
  , mPool(mOptions.mSeed + 2)
{
}

void
service_engine_state::Handle(const engine_event& aEvent,
                             time_point aNow,
                             wall_time aWallNow,
                             std::vector<engine_action>& aActions)
{
  mNow = aNow;
  mWallNow = aWallNow;
  mActions = &aActions;
  std::visit([this](const auto& aTyped) { On(aTyped); }, aEvent);
  Pump();
  mActions = nullptr;
}

void
service_engine_state::Pump()
{
  if (!mView) {
    return;
  }
  const std::size_t firstAction = mActions->size();
  TrackRefusals();
  PumpAcknowledgements();
  DispatchLookups();
  DispatchPrimaryLane(queue_lane::Write, connection_use::Write);
  DispatchPrimaryLane(queue_lane::Begin, connection_use::Transaction);
  DispatchReads(queue_lane::SessionRead);
  DispatchReads(queue_lane::AgedRead);
  DispatchPrimaryLane(queue_lane::PrimaryRead, connection_use::PrimaryRead);
  RefuseWithoutConnections();
  RefreshPositions(kUnknownRefreshInterval, true);
  mPool.OpenMissing(mNow, *mActions);
  ArmNewConnections(firstAction);
}

void
service_engine_state::On(const connection_opened& aEvent)
{
  auto* connection = mPool.Opened(aEvent.mConnection, mNow);
  if (connection && connection->mUse == connection_use::Check) {
    SendRaw(*connection, backend_status_query{}, kCheckOverdueAge);
  }
}

void
service_engine_state::On(const connection_closed& aEvent)
{
  const auto closed = mPool.Closed(aEvent.mConnection, aEvent.mRefused, mNow);
  if (!closed) {
    return;
  }
  if (aEvent.mRefused) {
    ReportEvidence(closed->mServer, server_evidence::Refused, 0);
  }
  if (closed->mPhase == connection_phase::Busy ||
      closed->mUse == connection_use::Check) {
    OnLost(*closed);
  }
}

void
service_engine_state::On(const reply_received& aEvent)
{
  auto* connection = mPool.Find(aEvent.mConnection);
  if (!connection) {
    return;
  }
  const auto& reply = aEvent.mReply;
  const bool statement = connection->mUse != connection_use::Check &&
                         connection->mUse != connection_use::Acknowledgement &&
                         connection->mUse != connection_use::Lookup;
  if (!connection->mOutstanding || (!statement && !reply.mRequestId.empty())) {
    // A reply that nobody asked for: the connection is out of step.
    const pooled_connection copy = *connection;
    mPool.Close(copy.mId, *mActions);
    if (copy.mPhase == connection_phase::Busy) {
      OnLost(copy);
    }
    return;
  }
  ReportEvidence(connection->mServer, server_evidence::Answered, reply.mTerm);
  mRouter.ObserveTerm(connection->mServer, reply.mTerm, connection->mSentAt);
  switch (connection->mUse) {
    case connection_use::Check:
      OnCheckReply(connection->mId, reply);
      break;
    case connection_use::Acknowledgement:
      OnAcknowledgementReply(*connection, reply);
      break;
    case connection_use::Lookup:
      OnLookupReply(*connection, reply);
      break;
    default:
      OnStatementReply(*connection, reply);
      break;
  }
}

void
service_engine_state::On(const status_observed& aEvent)
{
  if (const auto server = mRouter.IndexOf(aEvent.mServer)) {
    ObserveStatus(*server, aEvent.mStatus, aEvent.mSentAt);
  }
}

void
service_engine_state::ObserveStatus(std::size_t aServer,
                                    const server_status& aStatus,
                                    time_point aSentAt)
{
  mRouter.ObserveStatus(aServer, aStatus, aSentAt);
  if (aStatus.mRole == server_role::Primary &&
      aStatus.mTerm == mAcknowledgement.Term() &&
      aStatus.mLogTerm == aStatus.mTerm && mRouter.Primary() == aServer) {
    mAcknowledgement.NoteWritten(aStatus.mReceived);
  }
}

void
service_engine_state::On(const drain_requested&)
{
  mDraining = true;
}

void
service_engine_state::On(const begins_held& aEvent)
{
  mBeginsHeldTerm = aEvent.mTerm;
  mBeginsHeldUntil = mNow + kBeginHold;
  SetTimer(mBeginsHeldUntil, timer_kind::Wakeup, 0);
}

void
service_engine_state::On(const connection_ended& aEvent)
{
  mPool.Ended(aEvent.mConnection);
}

void
service_engine_state::On(const timer_expired&)
{
  while (!mTimers.empty() && mTimers.begin()->mAt <= mNow) {
    const timer_key timer = *mTimers.begin();
    mTimers.erase(mTimers.begin());
    Fire(timer);
  }
}

void
service_engine_state::Fire(const timer_key& aTimer)
{
  auto* entry = FindRequest(aTimer.mId);
  switch (aTimer.mKind) {
    case timer_kind::Deadline:
      if (entry) {
        OnDeadline(*entry);
      }
      break;
    case timer_kind::DelayEnd:
      if (entry && entry->mStage == request_stage::Delayed) {
        if (entry->mDelayedLookup) {
          Lookup(*entry);
        } else {
          Enqueue(*entry, true);
        }
      }
      break;
    case timer_kind::Overdue:
      OnOverdue(aTimer.mId, aTimer.mAt);
      break;
    case timer_kind::TransactionIdle:
      OnTransactionIdle(aTimer.mId);
      break;
    case timer_kind::Wakeup:
      break;
  }
}

std::optional<time_point>
service_engine_state::NextTimer() const
{
  std::optional<time_point> next;
  if (!mTimers.empty()) {
    next = mTimers.begin()->mAt;
  }
  const auto open = mView ? mPool.NextOpen() : std::nullopt;
  if (open && (!next || *open < *next)) {
    next = open;
  }
  return next;
}

request_entry*
service_engine_state::FindRequest(std::uint64_t aNumber)
{
  const auto found = mRequests.find(aNumber);
  return found == mRequests.end() ? nullptr : found->second.get();
}

void
service_engine_state::SetTimer(time_point aAt,
                               timer_kind aKind,
                               std::uint64_t aId)
{
  mTimers.insert({ aAt, aKind, aId });
}

void
service_engine_state::EnsureOverdueTimer(pooled_connection& aConnection)
{
  // An earlier timer is left alone: when it fires, it is set again for the
  // request that is outstanding then. This saves two changes of the set of
  // timers a statement. A later one is ignored when it fires.
  if (!aConnection.mTimerAt || *aConnection.mTimerAt > aConnection.mDueAt) {
    aConnection.mTimerAt = aConnection.mDueAt;
    SetTimer(aConnection.mDueAt, timer_kind::Overdue, aConnection.mId);
  }
}

void
service_engine_state::ArmNewConnections(std::size_t aFirstAction)
{
  for (std::size_t i = aFirstAction; i < mActions->size(); ++i) {
    const auto* opened = std::get_if<open_connection>(&(*mActions)[i]);
    auto* connection = opened ? mPool.Find(opened->mConnection) : nullptr;
    if (connection) {
      connection->mDueAt = mNow + kOpenTimeout;
      EnsureOverdueTimer(*connection);
    }
  }
}

engine_status
service_engine_state::Status() const
{
  engine_status status = mCounters;
  status.mQueued = mQueue.Size();
  status.mInFlight = mRequests.size() - mQueue.Size();
  status.mTransactions = mTransactions.size();
  status.mConnections = mPool.Total();
  const auto& servers = mRouter.Servers();
  for (std::size_t i = 0; i < servers.size(); ++i) {
    engine_status::server server;
    server.mName = servers[i].mName;
    server.mConnections = mPool.Count(i);
    server.mTransactions = mPool.InUse(i, connection_use::Transaction);
    server.mAppliedIndex = servers[i].mApplied;
    if (servers[i].mPresent || server.mConnections > 0) {
      status.mServers.push_back(std::move(server));
    }
  }
  return status;
}

} // namespace snipewalk
