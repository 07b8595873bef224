// Client accounts in the session engine: authorization of statements, sessions
// whose keys were removed, and tokens of the accounts' rate limits.
#include "session/engine_state.h"
#include "snipewalk/base/log.h"

#include <algorithm>
#include <tuple>
#include <vector>

namespace snipewalk {

namespace {

// An operation waits this long for a token. The instance that issues them
// normally answers within milliseconds; if it is lost, callers should learn
// soon that the operation was not run.
constexpr milliseconds kAllowanceTimeout{ 150 };

} // namespace

bool
session_engine::state::Authorize(caller_session& aSession)
{
  if (!HasAccounts()) {
    // The connection of an open transaction still belongs to its account.
    if (!aSession.mTransaction) {
      aSession.mAccount.clear();
    }
    return true;
  }
  const database_route* route = aSession.mTransaction
                                  ? &aSession.mTransaction->mRoute
                                  : FindRoute(aSession.mDatabase);
  if (route == nullptr) {
    return true;
  }
  const auto account = mDesired->AccountFor(*route, aSession.mKey);
  if (!account || (aSession.mTransaction && *account != aSession.mAccount)) {
    return false;
  }
  aSession.mAccount = *account;
  return true;
}

void
session_engine::state::EndUnauthorized(caller_session& aSession,
                                       time_point aNow)
{
  const session_id id = aSession.mId;
  mMetrics.Count("statements_unauthorized");
  if (aSession.mPending) {
    DropTurn(aSession, *aSession.mPending);
    std::erase(mServices[aSession.mPending->mRoute.mService].mWaiting, id);
    aSession.mPending.reset();
    mActiveSessions.erase(id);
  }
  aSession.mState = session_state::Idle;
  AnswerError(aSession, result_code::Unauthorized, "the key is not valid");
  mLinks.CloseCallerConnection(id);
  OnCallerClosed(id, aNow);
}

void
session_engine::state::MoveToAccount(caller_session& aSession,
                                     const std::string& aAccount,
                                     time_point aNow)
{
  pending_statement& pending = *aSession.mPending;
  // The turn and the demand belong to the former account.
  DropTurn(aSession, pending);
  pending.mHasTurn = false;
  aSession.mAccount = aAccount;
  AssignTurn(aSession);
  if (pending.mAllowance == allowance_need::Needed) {
    pending.mAllowance = allowance_need::None;
    RequireAllowance(aSession, aNow);
  }
}

void
session_engine::state::AssignTurn(caller_session& aSession)
{
  pending_statement& pending = *aSession.mPending;
  pending.mHasTurn = !aSession.mAccount.empty();
  pending.mTurn = 0;
  if (pending.mHasTurn) {
    pending.mTurn = mServices[pending.mRoute.mService].mTurns.Assign(
      aSession.mAccount, pending.mRoute.mPriority);
  }
}

void
session_engine::state::EndRevokedSessions(time_point aNow)
{
  std::vector<session_id> waiting;
  std::vector<session_id> idle;
  for (auto& [id, session] : mSessions) {
    if (!HasAccounts() || !session.mOpened) {
      continue;
    }
    const database_route* route = FindRoute(session.mDatabase);
    const auto account = route == nullptr
                           ? std::optional(session.mAccount)
                           : mDesired->AccountFor(*route, session.mKey);
    const bool waits =
      session.mPending && session.mPending->mStage == statement_stage::Waiting;
    if (account) {
      if (waits && *account != session.mAccount) {
        MoveToAccount(session, *account, aNow);
      }
      continue;
    }
    // Statements that were sent are answered, and open transactions end with
    // their next statement.
    if (!session.mPending && session.mState == session_state::Idle) {
      idle.push_back(id);
    } else if (waits) {
      waiting.push_back(id);
    }
  }
  for (const auto id : idle) {
    mLinks.CloseCallerConnection(id);
    OnCallerClosed(id, aNow);
  }
  for (const auto id : waiting) {
    if (caller_session* session = FindSession(id)) {
      EndUnauthorized(*session, aNow);
    }
  }
  if (!idle.empty() || !waiting.empty()) {
    Log(log_level::Info,
        "session",
        "sessions closed: their keys were removed",
        { { "idle", static_cast<std::int64_t>(idle.size()) },
          { "waiting", static_cast<std::int64_t>(waiting.size()) } });
  }
}

void
session_engine::state::RequireAllowance(caller_session& aSession,
                                        time_point aNow)
{
  if (!aSession.mAccount.empty()) {
    mAllowances.OnArrival(aSession.mAccount, aNow);
    aSession.mPending->mAllowance = allowance_need::Needed;
  }
}

std::size_t
session_engine::state::CountAwaitingAllowance(
  const caller_session& aSession) const
{
  const auto count = std::count_if(
    mActiveSessions.begin(), mActiveSessions.end(), [&](session_id aId) {
      const caller_session& other = mSessions.at(aId);
      return other.mAccount == aSession.mAccount &&
             other.mPending->mTokenMissingSince &&
             std::tie(other.mPending->mReceived, aId) <
               std::tie(aSession.mPending->mReceived, aSession.mId);
    });
  return static_cast<std::size_t>(count);
}

placement
session_engine::state::CheckAllowance(caller_session& aSession, time_point aNow)
{
  pending_statement& pending = *aSession.mPending;
  if (pending.mAllowance != allowance_need::Needed ||
      mAllowances.HasToken(aSession.mAccount, aNow)) {
    pending.mTokenMissingSince.reset();
    return placement::Placed;
  }
  const time_point since = pending.mTokenMissingSince.value_or(aNow);
  pending.mTokenMissingSince = since;
  if (aNow >= since + kAllowanceTimeout ||
      !mAllowances.Await(
        aSession.mAccount, CountAwaitingAllowance(aSession), aNow)) {
    return placement::OverLimit;
  }
  return placement::Waits;
}

void
session_engine::state::OnFirstSend(caller_session& aSession, time_point aNow)
{
  pending_statement& pending = *aSession.mPending;
  if (pending.mAllowance == allowance_need::Needed) {
    // Not earlier: a token that waits with its statement would be used together
    // with those that replace it. CheckAllowance() has found one.
    mAllowances.Take(aSession.mAccount, aNow);
    pending.mAllowance = allowance_need::Taken;
  }
  if (pending.mHasTurn) {
    pending.mHasTurn = false;
    mServices.at(pending.mRoute.mService)
      .mTurns.OnPlaced(pending.mRoute.mPriority, pending.mTurn);
  }
}

void
session_engine::state::DropTurn(const caller_session& aSession,
                                const pending_statement& aPending)
{
  if (aPending.mHasTurn) {
    mServices[aPending.mRoute.mService].mTurns.OnDropped(
      aSession.mAccount, aPending.mRoute.mPriority);
  }
}

void
session_engine::state::RefuseOverLimit(const std::vector<session_id>& aSessions,
                                       time_point aNow)
{
  for (const auto id : aSessions) {
    caller_session* session = FindSession(id);
    if (session == nullptr || !session->mPending) {
      continue;
    }
    mMetrics.Count("operations_over_limit");
    failure_facts facts = MakeFailureFacts(*session, aNow);
    facts.mFailure = statement_failure::NotSent;
    facts.mMayRepeat = false;
    OnStatementFailed(
      *session, facts, "", "rate limit of the client account", aNow);
  }
}

std::optional<allowance_request>
session_engine::state::AllowanceRequestIfDue(time_point aNow)
{
  return HasAccounts() ? mAllowances.RequestIfDue(aNow) : std::nullopt;
}

void
session_engine::state::OnAllowanceGrant(const allowance_grant& aGrant,
                                        time_point aNow)
{
  mAllowances.OnGrant(aGrant, aNow);
  DispatchAll(aNow);
}

} // namespace snipewalk
