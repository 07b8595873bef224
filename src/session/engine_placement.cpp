// Placement of waiting statements on connections to backend servers.
#include "session/engine_state.h"
#include "snipewalk/base/log.h"

#include <algorithm>
#include <utility>

namespace snipewalk {

namespace {

// Margin for the time until the server executes the read: a position must also
// cover commits acknowledged up to this long after the oldest moment that the
// allowed staleness permits.
constexpr milliseconds kStalenessMargin{ 50 };
// Returns the time `aBy` before `aMoment`, which must not be close to the
// minimum of the clock: the subtraction would underflow.
time_point
TimeBefore(time_point aMoment, duration aBy)
{
  return aMoment - aBy;
}

bool
HasTried(const pending_statement& aPending, const std::string& aServer)
{
  return std::find(aPending.mTried.begin(), aPending.mTried.end(), aServer) !=
         aPending.mTried.end();
}

} // namespace

void
session_engine::state::Enqueue(caller_session& aSession, time_point aNow)
{
  const std::string service = aSession.mPending->mRoute.mService;
  aSession.mPending->mStage = statement_stage::Waiting;
  AssignTurn(aSession);
  mServices[service].mWaiting.push_back(aSession.mId);
  Dispatch(service, aNow);
}

std::vector<std::string>
session_engine::state::ServicesWithWaitingStatements() const
{
  std::vector<std::string> services;
  for (const auto& [name, service] : mServices) {
    if (!service.mWaiting.empty()) {
      services.push_back(name);
    }
  }
  return services;
}

void
session_engine::state::DispatchAll(time_point aNow)
{
  for (const auto& name : ServicesWithWaitingStatements()) {
    Dispatch(name, aNow);
  }
}

void
session_engine::state::Dispatch(const std::string& aService, time_point aNow)
{
  auto& waiting = mServices[aService].mWaiting;
  if (waiting.empty()) {
    UpdateBacklog(aService, aNow);
    return;
  }
  SortWaiting(aService, aNow);
  std::vector<session_id> overLimit;
  std::size_t index = 0;
  while (index < waiting.size()) {
    caller_session& session = mSessions.at(waiting[index]);
    const placement result = session.mPending->mRetryAt > aNow
                               ? placement::Waits
                               : Place(session, aNow);
    if (result == placement::Waits) {
      ++index;
      continue;
    }
    if (result == placement::OverLimit) {
      overLimit.push_back(session.mId);
    }
    waiting.erase(waiting.begin() + static_cast<std::ptrdiff_t>(index));
  }
  UpdateBacklog(aService, aNow);
  RefuseOverLimit(overLimit, aNow);
}

void
session_engine::state::SortWaiting(const std::string& aService, time_point aNow)
{
  known_service& service = mServices[aService];
  std::vector<std::pair<wait_rank, session_id>> ranked;
  ranked.reserve(service.mWaiting.size());
  for (const auto id : service.mWaiting) {
    ranked.emplace_back(RankOf(*mSessions.at(id).mPending, aNow), id);
  }
  std::sort(ranked.begin(), ranked.end());
  std::transform(ranked.begin(),
                 ranked.end(),
                 service.mWaiting.begin(),
                 [](const auto& aRanked) { return aRanked.second; });
}

wait_rank
session_engine::state::RankOf(const pending_statement& aPending,
                              time_point aNow) const
{
  const auto service = mServices.find(aPending.mRoute.mService);
  const auto primary = service == mServices.end()
                         ? mServers.end()
                         : mServers.find(service->second.mPrimary.mServer);
  const duration expected =
    primary == mServers.end() ? duration(0) : primary->second.mAnswerTime;
  return ComputeWaitRank({ aPending.mRoute.mPriority,
                           aPending.mReceived,
                           aPending.mRoute.mLatencyObjective,
                           aPending.mTurn },
                         expected,
                         aNow);
}

bool
session_engine::state::NeedsPrimary(const caller_session& aSession) const
{
  if (aSession.mTransaction) {
    return !aSession.mTransaction->mReadOnly;
  }
  return aSession.mPending->mPurpose == statement_purpose::SingleWrite;
}

read_requirement
session_engine::state::RequirementOf(const caller_session& aSession,
                                     const known_service& aService,
                                     time_point aNow) const
{
  const pending_statement& pending = *aSession.mPending;
  const duration age = pending.mRoute.mMaxStaleness;
  const bool single = pending.mPurpose == statement_purpose::SingleWrite;
  // A single write does not need a confirmed primary: a server that lost its
  // role refuses the write, or waits for replicas that follow the new primary.
  // Without synchronous replicas neither protects the write.
  const bool unchecked = single && aService.mLimits.mSyncReplicas > 0;
  read_requirement requirement;
  requirement.mPrimaryAllowed =
    aService.mPrimary.mAcceptsWork &&
    (unchecked || IsPrimaryKnown(aService, TimeBefore(pending.mReceived, age)));
  if (NeedsPrimary(aSession)) {
    requirement.mPrimaryAllowed =
      requirement.mPrimaryAllowed && AdmitsWrite(aService, aNow);
    return requirement;
  }
  requirement.mPrimaryPosition = aService.mLedPosition;
  const bool anyCommit =
    pending.mRoute.mConsistency == read_consistency::Primary;
  if (anyCommit && requirement.mPrimaryAllowed &&
      !HasTried(pending, aService.mPrimary.mServer)) {
    return requirement;
  }
  const auto covering = aService.mSamples.PositionCovering(
    anyCommit ? pending.mReceived : TimeBefore(aNow, age) + kStalenessMargin);
  if (covering) {
    requirement.mReplicasAllowed = true;
    requirement.mPosition = *covering;
    if (pending.mRoute.mConsistency == read_consistency::ReadYourWrites) {
      requirement.mPosition = std::max(*covering, aSession.mLastCommit);
    }
  }
  return requirement;
}

bool
session_engine::state::NeedsPrimaryCheck(const caller_session& aSession,
                                         const read_requirement& aRequirement,
                                         const known_service& aService) const
{
  const pending_statement& pending = *aSession.mPending;
  if (NeedsPrimary(aSession)) {
    // A check is useful only if nothing but the confirmation of the primary is
    // missing.
    return aService.mPrimary.mAcceptsWork &&
           !IsPrimaryKnown(
             aService,
             TimeBefore(pending.mReceived, pending.mRoute.mMaxStaleness));
  }
  const bool primary = aRequirement.mPrimaryAllowed &&
                       !HasTried(pending, aService.mPrimary.mServer);
  return !primary && !aRequirement.mReplicasAllowed;
}

std::optional<std::string>
session_engine::state::ChooseServer(const caller_session& aSession,
                                    const read_requirement& aRequirement,
                                    connection_source aSource,
                                    time_point aNow) const
{
  const pending_statement& pending = *aSession.mPending;
  const known_service& service = mServices.at(pending.mRoute.mService);
  std::vector<read_candidate> candidates;
  std::vector<std::string> names;
  for (const auto& id : service.mServers) {
    const known_server& server = mServers.at(id);
    const bool primary = id == service.mPrimary.mServer;
    if (!primary && server.mEntry.mDraining) {
      continue;
    }
    read_candidate candidate;
    candidate.mPrimary = primary;
    candidate.mSameDataCentre =
      server.mEntry.mDataCentre == mOptions.mDataCentre;
    candidate.mAnswerTime =
      std::max(server.mAnswerTime, SilenceDuration(server, aNow));
    candidate.mApplied = server.mApplied;
    candidate.mRefusedPosition = server.mRefusedPosition;
    candidate.mRefusedUntil = server.mRefusedUntil;
    candidate.mTried =
      std::find(pending.mTried.begin(), pending.mTried.end(), id) !=
      pending.mTried.end();
    int inFlight = 0;
    for (const auto connection : server.mConnections) {
      const server_connection& serverConnection = mConnections.at(connection);
      candidate.mOutstanding += serverConnection.IsIdle() ? 0 : 1;
      inFlight += serverConnection.mExpectedReplies.empty() ? 0 : 1;
    }
    const bool idle = aSource != connection_source::Opened &&
                      HasIdleConnection(aSession, server);
    const bool opens = !idle && (aSource == connection_source::Opened
                                   ? CanOpenFor(aSession, server, aNow)
                                   : aSource == connection_source::IdleOrFree &&
                                       CanOpen(server, aNow));
    candidate.mNeedsOpening = opens && aSource == connection_source::IdleOrFree;
    candidate.mHasConnection =
      server.mSendWindow.Admits(inFlight) && (idle || opens);
    candidates.push_back(candidate);
    names.push_back(id);
  }
  const auto chosen = ChooseReadServer(candidates, aRequirement, aNow);
  if (!chosen) {
    return std::nullopt;
  }
  return names[*chosen];
}

bool
session_engine::state::HasIdleConnection(const caller_session& aSession,
                                         const known_server& aServer) const
{
  return std::any_of(
    aServer.mConnections.begin(),
    aServer.mConnections.end(),
    [&](server_connection_id aId) {
      const server_connection& connection = mConnections.at(aId);
      return connection.IsIdle() && connection.mAccount == aSession.mAccount;
    });
}

void
session_engine::state::OpenToBetterServer(const caller_session& aSession,
                                          const read_requirement& aRequirement,
                                          const std::string& aChosen,
                                          time_point aNow)
{
  if (!HasAccounts() || NeedsPrimary(aSession)) {
    return;
  }
  const auto best =
    ChooseServer(aSession, aRequirement, connection_source::IdleOrFree, aNow);
  if (best && *best != aChosen &&
      !HasIdleConnection(aSession, mServers.at(*best))) {
    OpenConnection(mServers.at(*best), aSession.mAccount, aNow);
  }
}

bool
session_engine::state::AdmitsWrite(const known_service& aService,
                                   time_point aNow) const
{
  const auto primary = mServers.find(aService.mPrimary.mServer);
  if (primary == mServers.end()) {
    return true;
  }
  write_gate_facts facts;
  facts.mSilence = SilenceDuration(primary->second, aNow);
  for (const auto id : mActiveSessions) {
    const pending_statement& pending = *mSessions.at(id).mPending;
    if (IsPlacedWrite(pending) &&
        pending.mRoute.mService == primary->second.mEntry.mService) {
      ++facts.mInFlight;
      facts.mOldestSent =
        std::min(facts.mOldestSent.value_or(pending.mSentAt), pending.mSentAt);
    }
  }
  return aService.mWriteGate.Admits(facts, aNow);
}

duration
session_engine::state::SilenceDuration(const known_server& aServer,
                                       time_point aNow) const
{
  std::optional<time_point> oldest;
  for (const auto id : aServer.mConnections) {
    const auto& expected = mConnections.at(id).mExpectedReplies;
    if (!expected.empty() &&
        expected.front().mKind != expected_reply_kind::Opening) {
      const time_point sent = expected.front().mSent;
      oldest = std::min(oldest.value_or(sent), sent);
    }
  }
  if (!oldest) {
    return duration(0);
  }
  return aNow - std::max(*oldest, aServer.mLastAnswer);
}

placement
session_engine::state::Place(caller_session& aSession, time_point aNow)
{
  const placement allowed = CheckAllowance(aSession, aNow);
  if (allowed != placement::Placed) {
    return allowed;
  }
  const known_service& service = mServices[aSession.mPending->mRoute.mService];
  const read_requirement requirement = RequirementOf(aSession, service, aNow);
  if (const auto idle =
        ChooseServer(aSession, requirement, connection_source::Idle, aNow)) {
    known_server& server = mServers.at(*idle);
    OpenToBetterServer(aSession, requirement, *idle, aNow);
    SendPlacedStatement(
      aSession, *FindIdleConnection(server, aSession), requirement, aNow);
    return placement::Placed;
  }
  if (const auto opened =
        ChooseServer(aSession, requirement, connection_source::Opened, aNow)) {
    OpenConnectionFor(aSession, mServers.at(*opened), aNow);
  }
  if (NeedsPrimaryCheck(aSession, requirement, service)) {
    StartCheck(aSession.mPending->mRoute.mService, aNow);
  }
  AskCandidate(aSession.mPending->mRoute.mService, aNow);
  return placement::Waits;
}

server_connection*
session_engine::state::FindIdleConnection(const known_server& aServer,
                                          const caller_session& aSession)
{
  // Prefers a connection that already holds the session's values and needs no
  // setup for them.
  server_connection* best = nullptr;
  bool bestMatches = false;
  for (const auto id : aServer.mConnections) {
    server_connection& connection = mConnections.at(id);
    if (!connection.IsIdle() || connection.mAccount != aSession.mAccount) {
      continue;
    }
    const bool matches =
      connection.mContext.mValues == aSession.mContext.mValues;
    if (best == nullptr || (matches && !bestMatches)) {
      best = &connection;
      bestMatches = matches;
    }
  }
  return best;
}

server_connection*
session_engine::state::FindIdleConnection(const known_server& aServer)
{
  for (const auto id : aServer.mConnections) {
    server_connection& connection = mConnections.at(id);
    if (connection.IsIdle()) {
      return &connection;
    }
  }
  return nullptr;
}

void
session_engine::state::SendCommands(
  server_connection& aConnection,
  const std::vector<server_command>& aCommands,
  expected_reply_kind aLast,
  time_point aNow)
{
  for (std::size_t index = 0; index < aCommands.size(); ++index) {
    const bool last = index + 1 == aCommands.size();
    aConnection.mExpectedReplies.push_back(
      { last ? aLast : expected_reply_kind::Setup, aNow });
  }
  mLinks.SendCommands(aConnection.mId, aCommands);
}

void
session_engine::state::SetMinPosition(
  pending_statement& aPending,
  const server_connection& aConnection,
  const read_requirement& aRequirement) const
{
  const auto& primary = mServices.at(aConnection.mService).mPrimary.mServer;
  const log_position& required = aConnection.mServer == primary
                                   ? aRequirement.mPrimaryPosition
                                   : aRequirement.mPosition;
  aPending.mMinPosition.reset();
  if (required != log_position{}) {
    aPending.mMinPosition = required;
  }
}

void
session_engine::state::SendPlacedStatement(caller_session& aSession,
                                           server_connection& aConnection,
                                           const read_requirement& aRequirement,
                                           time_point aNow)
{
  pending_statement& pending = *aSession.mPending;
  SetMinPosition(pending, aConnection, aRequirement);
  std::vector<server_command> commands;
  PlanSetup(aSession.mContext,
            pending.mStatement,
            false,
            aConnection.mContext,
            commands);
  aConnection.mSession = aSession.mId;
  OnFirstSend(aSession, aNow);
  ++pending.mAttempts;
  pending.mGroup = { RankOf(pending, aNow).mLate, pending.mRoute.mPriority };
  if (aSession.mTransaction) {
    // The statement is sent only after the server has confirmed the begin: if
    // the begin is refused, the statement must not run outside a transaction.
    // The begin itself depends on no session value, so the setup need not be
    // confirmed before it.
    pending.mConnection = aConnection.mId;
    pending.mStage = statement_stage::Sent;
    pending.mSentAt = aNow;
    aConnection.mInTransaction = true;
    commands.emplace_back(
      statement_command{ "",
                         pending.mMinPosition,
                         begin_statement{ aSession.mTransaction->mReadOnly } });
    SendCommands(aConnection, commands, expected_reply_kind::Begin, aNow);
    return;
  }
  if (commands.empty()) {
    SendStatement(aSession, aConnection, aNow);
  } else {
    StartSetup(aSession, aConnection, commands, aNow);
  }
}

void
session_engine::state::SendInTransaction(caller_session& aSession,
                                         time_point aNow)
{
  pending_statement& pending = *aSession.mPending;
  server_connection& connection =
    mConnections.at(aSession.mTransaction->mConnection);
  std::vector<server_command> commands;
  PlanSetup(
    aSession.mContext, pending.mStatement, true, connection.mContext, commands);
  if (commands.empty()) {
    SendStatement(aSession, connection, aNow);
  } else {
    StartSetup(aSession, connection, commands, aNow);
  }
}

void
session_engine::state::SendStatement(caller_session& aSession,
                                     server_connection& aConnection,
                                     time_point aNow)
{
  pending_statement& pending = *aSession.mPending;
  std::optional<log_position> minPosition = pending.mMinPosition;
  if (aSession.mTransaction) {
    // The position was required of the server at the begin.
    minPosition.reset();
    aSession.mTransaction->mWrote =
      aSession.mTransaction->mWrote ||
      IsWrite(aSession.mContext, pending.mStatement);
  }
  pending.mConnection = aConnection.mId;
  pending.mStage = statement_stage::Sent;
  pending.mSentAt = aNow;
  const statement_command command{ pending.mRequestId,
                                   minPosition,
                                   TranslateStatement(aSession.mContext,
                                                      aConnection.mContext,
                                                      pending.mStatement) };
  const auto* execute = std::get_if<execute_statement>(&command.mStatement);
  pending.mPreparedName = execute == nullptr ? std::string() : execute->mName;
  SendCommands(aConnection, { command }, expected_reply_kind::Statement, aNow);
}

} // namespace snipewalk
