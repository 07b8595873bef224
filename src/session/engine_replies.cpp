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
constexpr milliseconds kMinTimeToRepeat{ 20 };
// Delay before a refused statement is placed or sent again.
constexpr milliseconds kRepeatDelay{ 15 };
// Delay before the next connection attempt after one that ended without a reply
// of the server: refused by its host, closed during the opening, or timed out.
constexpr milliseconds kReconnectDelay{ 100 };
// Delay before the next connection attempt after the server refused one with an
// error, usually because all of its connections are in use.
constexpr milliseconds kRefusedReconnectDelay{ 300 };
// Like kRefusedReconnectDelay, on an instance that does not host the service.
// It is shorter because the hosts soon close their surplus idle connections.
constexpr milliseconds kNonHostReconnectDelay{ 40 };
// The newest answer time contributes 1/kAnswerTimeAverageDivisor to the moving
// average.
constexpr int kAnswerTimeAverageDivisor = 8;

std::string
RetryText(std::string_view aReason, milliseconds aRetryAfter)
{
  return absl::StrCat(
    std::string(aReason), "; retry_after_ms=", aRetryAfter.count());
}

bool
CarriesRetryDelay(result_code aCode)
{
  return aCode == result_code::Aborted || aCode == result_code::Busy;
}

} // namespace

void
session_engine::state::UpdateServerState(server_connection& aConnection,
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
  if (aConnection.mServer != service.mPrimary.mServer ||
      aReply.mError == result_code::NotPrimary) {
    return;
  }
  // Commits up to this position may have been acknowledged, also if a newer
  // primary has acknowledged others.
  if (service.mPrimary.mHasLed) {
    service.mToldPosition = std::max(service.mToldPosition, *aReply.mPosition);
  }
  // The reply is a sample only if the server led when the command was sent, and
  // no newer primary could have acknowledged commits by then. An earlier
  // position than it has told before can come from another process of the
  // server, which does not have the log.
  const bool led = service.mPrimary.mAcceptsWork &&
                   aSent >= service.mPrimarySince &&
                   *aReply.mPosition >= service.mLedPosition;
  if (!led) {
    return;
  }
  service.mLedPosition = *aReply.mPosition;
  if (aSent < mConfirmedUntil) {
    AddPrimarySample(service, aSent, *aReply.mPosition);
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
  if (connection->mExpectedReplies.empty()) {
    Log(log_level::Warning,
        "session",
        "server sent a reply without a pending command",
        { { "server", connection->mServer } });
    OnServerClosed(aConnection, aNow);
    mLinks.CloseServerConnection(aConnection);
    return;
  }
  const expected_reply expected = connection->mExpectedReplies.front();
  connection->mExpectedReplies.pop_front();
  UpdateServerState(*connection, aReply, expected.mSent, aNow);
  switch (expected.mKind) {
    case expected_reply_kind::Opening:
      OnConnectionOpened(*connection, aReply, aNow);
      return;
    case expected_reply_kind::Setup:
      OnSetupReply(*connection, aReply, aNow);
      return;
    case expected_reply_kind::Begin:
      OnTransactionBegun(*connection, aReply, aNow);
      return;
    case expected_reply_kind::Statement:
      OnStatementReply(*connection, aReply, expected.mSent, aNow);
      return;
    case expected_reply_kind::Check:
      OnCandidateStatus(*connection, aReply, expected.mSent, aNow);
      OnCheckReply(*connection, aReply, expected.mSent);
      ReleaseConnection(*connection, aNow);
      return;
    case expected_reply_kind::Rollback:
      connection->mInTransaction = aReply.mState != session_state::Idle;
      // Closing the connection rolls the transaction back as well.
      connection->mContextUnknown = aReply.mError.has_value();
      ReleaseConnection(*connection, aNow);
      return;
  }
}

void
session_engine::state::OnConnectionOpened(server_connection& aConnection,
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
    const bool nonHost = !HostingOf(service).HasConnectionShare();
    server->second.mOpenAfter =
      aNow + (nonHost ? kNonHostReconnectDelay : kRefusedReconnectDelay);
  }
  DiscardConnection(aConnection.mId);
}

void
session_engine::state::OnTransactionBegun(server_connection& aConnection,
                                          const statement_reply& aReply,
                                          time_point aNow)
{
  caller_session* session = FindSession(aConnection.mSession);
  if (session == nullptr || !session->mPending || !session->mTransaction) {
    aConnection.mInTransaction = aReply.mState != session_state::Idle;
    ReleaseConnection(aConnection, aNow);
    return;
  }
  if (aReply.mError) {
    OnStatementReply(aConnection, aReply, session->mPending->mSentAt, aNow);
    return;
  }
  if (aConnection.mContextUnknown) {
    OnSetupFailed(*session, aConnection, aNow);
    return;
  }
  session->mTransaction->mConnection = aConnection.mId;
  SendInTransaction(*session, aNow);
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
    server->second.mSendWindow.OnRefusal(aNow);
  } else if (server != mServers.end()) {
    const duration answerTime = aNow - aSent;
    server->second.mSendWindow.OnAnswer(answerTime);
    duration& average = server->second.mAnswerTime;
    average = average == duration(0)
                ? answerTime
                : average + (answerTime - average) / kAnswerTimeAverageDivisor;
  }
  caller_session* session = FindSession(aConnection.mSession);
  if (session == nullptr || !session->mPending ||
      session->mPending->mConnection != aConnection.mId) {
    ReleaseConnection(aConnection, aNow);
    return;
  }
  if (!aReply.mError) {
    if (server != mServers.end() && session->mPending->mMinPosition) {
      server->second.mRefusalDelay = milliseconds(0);
    }
    OnStatementSucceeded(*session, aConnection, aReply, aNow);
    return;
  }
  if (server != mServers.end() && *aReply.mError == result_code::Behind) {
    server->second.mRefusalDelay =
      NextRefusalDelay(server->second.mRefusalDelay);
    server->second.mRefusedUntil = aNow + server->second.mRefusalDelay;
    --session->mPending->mAttempts;
    server->second.mRefusedPosition =
      session->mPending->mMinPosition.value_or(log_position{});
  }
  if (*aReply.mError == result_code::UnknownStatement) {
    aConnection.mContext.mPrepared.clear();
  }
  failure_facts facts = MakeFailureFacts(*session, aNow);
  facts.mFailure = statement_failure::Refused;
  facts.mCode = *aReply.mError;
  facts.mTransactionOpen = aReply.mState == session_state::InTransaction;
  const std::string text = aReply.mErrorCode + " " + aReply.mErrorText;
  const bool repeatHere =
    DecideFailureAnswer(facts).mAction == failure_action::RepeatHere;
  const std::string serverName = aConnection.mServer;
  if (!repeatHere) {
    ReleaseConnection(aConnection, aNow);
  }
  OnStatementFailed(*session, facts, serverName, text, aNow);
}

void
session_engine::state::OnStatementSucceeded(caller_session& aSession,
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
    ForecastOf(aSession).OnExecuted(aSession.mPending->mGroup, aNow);
  }
  if (wrote && aReply.mPosition) {
    aSession.mLastCommit = std::max(aSession.mLastCommit, *aReply.mPosition);
  }
  if (commit) {
    aSession.mTransaction.reset();
    aSession.mState = session_state::Idle;
  } else if (aSession.mTransaction) {
    aSession.mTransaction->mLastUsed = aNow;
  }
  const bool release = commit || !aSession.mTransaction;
  const server_connection_id id = aConnection.mId;
  if (wrote) {
    FinishWrite(aSession, aConnection.mServer, aReply, aNow);
  } else {
    Finish(aSession, aReply, aNow);
  }
  server_connection* connection = FindConnection(id);
  if (release && connection != nullptr) {
    ReleaseConnection(*connection, aNow);
  }
}

failure_facts
session_engine::state::MakeFailureFacts(const caller_session& aSession,
                                        time_point aNow) const
{
  const pending_statement& pending = *aSession.mPending;
  failure_facts facts;
  facts.mPurpose = pending.mPurpose;
  facts.mTransactionWrote =
    aSession.mTransaction && aSession.mTransaction->mWrote;
  facts.mMayRepeat = pending.mAttempts < kMaxAttempts &&
                     aNow + kMinTimeToRepeat < pending.mDeadline;
  return facts;
}

log_position
session_engine::state::AppliedPositionOf(const std::string& aServer) const
{
  const auto found = mServers.find(aServer);
  return found == mServers.end() ? log_position{} : found->second.mApplied;
}

void
session_engine::state::OnStatementFailed(caller_session& aSession,
                                         const failure_facts& aFacts,
                                         const std::string& aServer,
                                         const std::string& aText,
                                         time_point aNow)
{
  pending_statement& pending = *aSession.mPending;
  const failure_answer answer = DecideFailureAnswer(aFacts);
  if (answer.mAction == failure_action::RepeatHere) {
    pending.mStage = statement_stage::Pausing;
    pending.mRetryAt = aNow + kRepeatDelay;
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
          { "after",
            pending.mMinPosition ? pending.mMinPosition->ToString() : "-" },
          { "server_position", AppliedPositionOf(aServer).ToString() },
          { "attempts", std::int64_t{ pending.mAttempts } } });
    mMetrics.Count("statements_repeated");
    pending.mTried.push_back(aServer);
    pending.mConnection = 0;
    // After a Behind refusal or a lost connection another server can be tried
    // immediately.
    const bool pause = aFacts.mFailure == statement_failure::SetupRefused ||
                       (aFacts.mFailure == statement_failure::Refused &&
                        aFacts.mCode != result_code::Behind);
    pending.mRetryAt = pause ? aNow + kRepeatDelay : aNow;
    Enqueue(aSession, aNow);
    return;
  }
  statement_reply reply;
  reply.mError = answer.mCode;
  reply.mErrorText =
    CarriesRetryDelay(answer.mCode)
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
session_engine::state::ReleaseConnection(server_connection& aConnection,
                                         time_point aNow)
{
  aConnection.mSession = 0;
  if (!aConnection.mExpectedReplies.empty()) {
    return;
  }
  if (aConnection.mContextUnknown) {
    DiscardConnection(aConnection.mId);
    return;
  }
  if (aConnection.mInTransaction) {
    SendCommands(aConnection,
                 { statement_command{ "", {}, rollback_statement{} } },
                 expected_reply_kind::Rollback,
                 aNow);
    return;
  }
  aConnection.mIdleSince = aNow;
  const std::string service = aConnection.mService;
  const auto server = mServers.find(aConnection.mServer);
  if (server != mServers.end() && aNow < server->second.mYieldsUntil &&
      ExceedsShare(server->second, aNow)) {
    DiscardConnection(aConnection.mId);
  }
  Dispatch(service, aNow);
}

void
session_engine::state::DiscardConnection(server_connection_id aConnection)
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
  mLinks.CloseServerConnection(aConnection);
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
    !connection.mExpectedReplies.empty() &&
    connection.mExpectedReplies.front().mKind == expected_reply_kind::Opening;
  const auto server = mServers.find(connection.mServer);
  if (server != mServers.end()) {
    server->second.mConnections.erase(aConnection);
    if (opening) {
      ++server->second.mFailedConnects;
      server->second.mOpenAfter = aNow + kReconnectDelay;
    }
  }
  Log(log_level::Info,
      "session",
      "connection to a server ended",
      { { "server", connection.mServer },
        { "opening", opening },
        { "expected",
          static_cast<std::int64_t>(connection.mExpectedReplies.size()) } });
  caller_session* session = FindSession(connection.mSession);
  if (session != nullptr && session->mPending &&
      session->mPending->mConnection == aConnection) {
    failure_facts facts = MakeFailureFacts(*session, aNow);
    facts.mFailure = FailureWithoutReply(*session->mPending);
    OnStatementFailed(
      *session, facts, connection.mServer, "connection lost", aNow);
  } else if (session != nullptr && session->mTransaction &&
             session->mTransaction->mConnection == aConnection) {
    session->mTransaction->mConnection = 0;
    AbortTransaction(*session, aNow);
  }
  Dispatch(connection.mService, aNow);
}

} // namespace snipewalk
