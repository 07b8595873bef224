// Server side of the session engine: replies, lost connections, and their
// effect on pending statements.
#include "session/engine_state.h"
#include "snipewalk/base/log.h"

#include <absl/strings/str_cat.h>

#include <algorithm>
#include <utility>

namespace snipewalk {

namespace {

// Maximum number of attempts for one statement, including the first.
constexpr int kMaxAttempts = 6;
// A statement is repeated only if more than this time remains before its
// deadline.
constexpr milliseconds kLeastTimeToRepeat{ 20 };
// Delay before a refused statement is placed or sent again.
constexpr milliseconds kRepeatPause{ 15 };
// Delay before connecting again to a server after a failed attempt.
constexpr milliseconds kRefusedPause{ 100 };
constexpr milliseconds kFullPause{ 300 };
// Delay on an instance that does not host the service. It is shorter because
// the hosts soon close their surplus idle connections.
constexpr milliseconds kGuestPause{ 40 };
// The newest answer time contributes 1/kAverageDivisor to the moving average.
constexpr int kAverageDivisor = 8;

std::string
RetryText(std::string_view aReason, milliseconds aRetryAfter)
{
  return absl::StrCat(
    std::string(aReason), "; retry_after_ms=", aRetryAfter.count());
}

bool
PromisesNothingKept(result_code aCode)
{
  return aCode == result_code::Aborted || aCode == result_code::Busy;
}

} // namespace

void
session_engine::state::LearnFrom(server_connection& aConnection,
                                 const statement_reply& aReply,
                                 time_point aSent,
                                 time_point aNow)
{
  const auto found = mServers.find(aConnection.mServer);
  if (found == mServers.end()) {
    return;
  }
  known_server& server = found->second;
  server.mLastAnswer = aNow;
  server.mFailedConnects = 0;
  if (!aReply.mPosition) {
    return;
  }
  server.mApplied = std::max(server.mApplied, *aReply.mPosition);
  known_service& service = mServices[aConnection.mService];
  // The reply is evidence only if no newer primary could have acknowledged
  // commits when the command was sent.
  if (aConnection.mServer == service.mPrimary.mServer &&
      service.mPrimary.mAcceptsWork && aSent < mConfirmedUntil &&
      aReply.mError != result_code::NotPrimary) {
    service.mSamples.Add(aSent, *aReply.mPosition);
  }
}

void
session_engine::state::OnServerReply(server_connection_id aConnection,
                                     const statement_reply& aReply,
                                     time_point aNow)
{
  server_connection* connection = FindConnection(aConnection);
  if (connection == nullptr) {
    return;
  }
  if (connection->mExpected.empty()) {
    Log(log_level::Warning,
        "session",
        "server sent a reply without a pending command",
        { { "server", connection->mServer } });
    OnServerClosed(aConnection, aNow);
    mLinks.CloseServer(aConnection);
    return;
  }
  const expected_reply expected = connection->mExpected.front();
  connection->mExpected.pop_front();
  LearnFrom(*connection, aReply, expected.mSent, aNow);
  switch (expected.mKind) {
    case expected_kind::Opening:
      OnOpened(*connection, aReply, aNow);
      return;
    case expected_kind::Setup:
      if (aReply.mError) {
        connection->mContextUnknown = true;
        Log(
          log_level::Warning,
          "session",
          "setup command on a server connection failed",
          { { "server", connection->mServer }, { "code", aReply.mErrorCode } });
      }
      return;
    case expected_kind::Begin:
      OnBegun(*connection, aReply, aNow);
      return;
    case expected_kind::Statement:
      OnStatementReply(*connection, aReply, expected.mSent, aNow);
      return;
    case expected_kind::Check:
      OnCheckReply(*connection, aReply, expected.mSent);
      Release(*connection, aNow);
      return;
    case expected_kind::Rollback:
      connection->mInTransaction = aReply.mState != session_state::Idle;
      Release(*connection, aNow);
      return;
  }
}

void
session_engine::state::OnOpened(server_connection& aConnection,
                                const statement_reply& aReply,
                                time_point aNow)
{
  const std::string service = aConnection.mService;
  const auto server = mServers.find(aConnection.mServer);
  if (!aReply.mError) {
    aConnection.mIdleSince = aNow;
    Dispatch(service, aNow);
    return;
  }
  mMetrics.Count("server_connections_refused");
  Log(log_level::Info,
      "session",
      "server refused a connection",
      { { "server", aConnection.mServer }, { "code", aReply.mErrorCode } });
  if (server != mServers.end()) {
    const bool guest = !HostingOf(service).HasShare();
    server->second.mOpenAfter = aNow + (guest ? kGuestPause : kFullPause);
  }
  Discard(aConnection.mId);
}

void
session_engine::state::OnBegun(server_connection& aConnection,
                               const statement_reply& aReply,
                               time_point aNow)
{
  caller_session* session = FindSession(aConnection.mSession);
  if (session == nullptr || !session->mPending || !session->mTransaction) {
    aConnection.mInTransaction = aReply.mState != session_state::Idle;
    Release(aConnection, aNow);
    return;
  }
  if (aReply.mError) {
    OnStatementReply(aConnection, aReply, session->mPending->mSentAt, aNow);
    return;
  }
  session->mTransaction->mConnection = aConnection.mId;
  --session->mPending->mAttempts;
  SendLater(*session, aNow);
}

void
session_engine::state::OnStatementReply(server_connection& aConnection,
                                        const statement_reply& aReply,
                                        time_point aSent,
                                        time_point aNow)
{
  aConnection.mInTransaction = aReply.mState != session_state::Idle;
  const auto server = mServers.find(aConnection.mServer);
  if (server != mServers.end() && aReply.mError == result_code::Busy) {
    server->second.mWindow.OnRefusal(aNow);
  } else if (server != mServers.end()) {
    const duration took = aNow - aSent;
    server->second.mWindow.OnAnswer(took);
    duration& average = server->second.mAnswerTime;
    average = average == duration(0)
                ? took
                : average + (took - average) / kAverageDivisor;
  }
  caller_session* session = FindSession(aConnection.mSession);
  if (session == nullptr || !session->mPending ||
      session->mPending->mConnection != aConnection.mId) {
    Release(aConnection, aNow);
    return;
  }
  if (!aReply.mError) {
    if (server != mServers.end() && session->mPending->mAfter) {
      server->second.mRefusedPause = milliseconds(0);
    }
    Succeed(*session, aConnection, aReply, aNow);
    return;
  }
  if (server != mServers.end() && *aReply.mError == result_code::Behind) {
    server->second.mRefusedPause =
      NextRefusedPause(server->second.mRefusedPause);
    server->second.mRefusedUntil = aNow + server->second.mRefusedPause;
    --session->mPending->mAttempts;
    server->second.mRefusedPosition =
      session->mPending->mAfter.value_or(log_position{});
  }
  if (*aReply.mError == result_code::UnknownStatement) {
    aConnection.mContext.mPrepared.clear();
  }
  failure_facts facts = FactsOf(*session, aNow);
  facts.mFailure = statement_failure::Refused;
  facts.mCode = *aReply.mError;
  facts.mTransactionOpen = aReply.mState == session_state::InTransaction;
  const std::string text = aReply.mErrorCode + " " + aReply.mErrorText;
  const bool repeatHere =
    DecideFailureAnswer(facts).mAction == failure_action::RepeatHere;
  const std::string name = aConnection.mServer;
  if (!repeatHere) {
    Release(aConnection, aNow);
  }
  Fail(*session, facts, name, text, aNow);
}

void
session_engine::state::Succeed(caller_session& aSession,
                               server_connection& aConnection,
                               const statement_reply& aReply,
                               time_point aNow)
{
  const statement_purpose purpose = aSession.mPending->mPurpose;
  const bool commit =
    std::holds_alternative<commit_statement>(aSession.mPending->mStatement);
  const bool wrote = purpose == statement_purpose::SingleWrite ||
                     (commit && aSession.mTransaction->mWrote);
  if (wrote) {
    mServices[aConnection.mService].mWriteGate.OnConfirmed(aNow);
  }
  if (WaitsForPlacement(purpose)) {
    ForecastOf(aSession).OnServed(aSession.mPending->mGroup, aNow);
  }
  if (wrote && aReply.mPosition) {
    aSession.mWritten = std::max(aSession.mWritten, *aReply.mPosition);
  }
  if (commit) {
    aSession.mTransaction.reset();
    aSession.mState = session_state::Idle;
  } else if (aSession.mTransaction) {
    aSession.mTransaction->mLastUsed = aNow;
  }
  const bool release = commit || !aSession.mTransaction;
  const server_connection_id id = aConnection.mId;
  Finish(aSession, aReply, aNow);
  server_connection* connection = FindConnection(id);
  if (release && connection != nullptr) {
    Release(*connection, aNow);
  }
}

failure_facts
session_engine::state::FactsOf(const caller_session& aSession,
                               time_point aNow) const
{
  const pending_statement& pending = *aSession.mPending;
  failure_facts facts;
  facts.mPurpose = pending.mPurpose;
  facts.mTransactionWrote =
    aSession.mTransaction && aSession.mTransaction->mWrote;
  facts.mMayRepeat = pending.mAttempts < kMaxAttempts &&
                     aNow + kLeastTimeToRepeat < pending.mDeadline;
  return facts;
}

log_position
session_engine::state::AppliedAt(const std::string& aServer) const
{
  const auto found = mServers.find(aServer);
  return found == mServers.end() ? log_position{} : found->second.mApplied;
}

void
session_engine::state::Fail(caller_session& aSession,
                            const failure_facts& aFacts,
                            const std::string& aServer,
                            const std::string& aText,
                            time_point aNow)
{
  pending_statement& pending = *aSession.mPending;
  const failure_answer answer = DecideFailureAnswer(aFacts);
  if (answer.mAction == failure_action::RepeatHere) {
    pending.mStage = statement_stage::Pausing;
    pending.mRetryAt = aNow + kRepeatPause;
    return;
  }
  if (aSession.mTransaction) {
    // The connection was closed or is being rolled back.
    aSession.mTransaction->mConnection = 0;
    aSession.mTransaction->mWrote = false;
  }
  if (answer.mAction == failure_action::RepeatElsewhere) {
    Log(log_level::Info,
        "session",
        "statement is placed again",
        { { "request", pending.mRequestId },
          { "server", aServer },
          { "reason", aText },
          { "after", pending.mAfter ? pending.mAfter->ToString() : "-" },
          { "server_position", AppliedAt(aServer).ToString() },
          { "attempts", std::int64_t{ pending.mAttempts } } });
    mMetrics.Count("statements_repeated");
    pending.mTried.push_back(aServer);
    pending.mConnection = 0;
    // After a Behind refusal or a lost connection another server can be tried
    // immediately.
    const bool pause = aFacts.mFailure == statement_failure::Refused &&
                       aFacts.mCode != result_code::Behind;
    pending.mRetryAt = pause ? aNow + kRepeatPause : aNow;
    Enqueue(aSession, aNow);
    return;
  }
  statement_reply reply;
  reply.mError = answer.mCode;
  reply.mErrorText =
    PromisesNothingKept(answer.mCode)
      ? RetryText(aText, RetryAfter(pending.mRoute.mService, aNow))
      : aText;
  if (aSession.mTransaction) {
    const bool ended = aFacts.mPurpose == statement_purpose::Commit;
    aSession.mTransaction.reset();
    aSession.mState = ended ? session_state::Idle : session_state::Failed;
  }
  Finish(aSession, std::move(reply), aNow);
}

void
session_engine::state::Release(server_connection& aConnection, time_point aNow)
{
  aConnection.mSession = 0;
  if (!aConnection.mExpected.empty()) {
    return;
  }
  if (aConnection.mContextUnknown) {
    Discard(aConnection.mId);
    return;
  }
  if (aConnection.mInTransaction) {
    Transmit(aConnection,
             { statement_command{ "", {}, rollback_statement{} } },
             expected_kind::Rollback,
             aNow);
    return;
  }
  aConnection.mIdleSince = aNow;
  Dispatch(aConnection.mService, aNow);
}

void
session_engine::state::Discard(server_connection_id aConnection)
{
  const auto found = mConnections.find(aConnection);
  if (found == mConnections.end()) {
    return;
  }
  const auto server = mServers.find(found->second.mServer);
  if (server != mServers.end()) {
    server->second.mConnections.erase(aConnection);
  }
  mConnections.erase(found);
  mLinks.CloseServer(aConnection);
}

void
session_engine::state::OnServerClosed(server_connection_id aConnection,
                                      time_point aNow)
{
  const auto found = mConnections.find(aConnection);
  if (found == mConnections.end()) {
    return;
  }
  const server_connection connection = std::move(found->second);
  mConnections.erase(found);
  const bool opening =
    !connection.mExpected.empty() &&
    connection.mExpected.front().mKind == expected_kind::Opening;
  const auto server = mServers.find(connection.mServer);
  if (server != mServers.end()) {
    server->second.mConnections.erase(aConnection);
    if (opening) {
      ++server->second.mFailedConnects;
      server->second.mOpenAfter = aNow + kRefusedPause;
    }
  }
  Log(
    log_level::Info,
    "session",
    "connection to a server ended",
    { { "server", connection.mServer },
      { "opening", opening },
      { "expected", static_cast<std::int64_t>(connection.mExpected.size()) } });
  caller_session* session = FindSession(connection.mSession);
  if (session != nullptr && session->mPending &&
      session->mPending->mConnection == aConnection) {
    failure_facts facts = FactsOf(*session, aNow);
    facts.mFailure = statement_failure::NoAnswer;
    Fail(*session, facts, connection.mServer, "connection lost", aNow);
  } else if (session != nullptr && session->mTransaction &&
             session->mTransaction->mConnection == aConnection) {
    session->mTransaction->mConnection = 0;
    ExpireTransaction(*session, aNow);
  }
  Dispatch(connection.mService, aNow);
}

} // namespace snipewalk
