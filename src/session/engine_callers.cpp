// Caller side of the session engine: sessions, transaction state and final
// replies.
#include "session/engine_state.h"
#include "snipewalk/base/log.h"

#include <absl/strings/str_cat.h>

#include <utility>

namespace snipewalk {

namespace {

std::int64_t
MillisecondsBetween(time_point aFrom, time_point aTo)
{
  return ToMilliseconds(aTo - aFrom);
}

} // namespace

void
session_engine::state::OnCallerMessage(session_id aSession,
                                       const caller_message& aMessage,
                                       time_point aNow)
{
  if (std::holds_alternative<end_session>(aMessage)) {
    mLinks.CloseCallerConnection(aSession);
    OnCallerClosed(aSession, aNow);
    return;
  }
  caller_session& session = mSessions[aSession];
  session.mId = aSession;
  const bool opening = std::holds_alternative<open_session>(aMessage);
  if (opening == session.mOpened || session.mPending) {
    // Protocol violation: a second opening, a statement before the opening, or
    // a statement sent before the previous one was answered.
    mMetrics.Count("callers_malformed");
    mLinks.RefuseSession(
      aSession, result_code::Malformed, "unexpected message");
    OnCallerClosed(aSession, aNow);
    return;
  }
  if (const auto* open = std::get_if<open_session>(&aMessage)) {
    OpenSession(session, *open, aNow);
  } else if (const auto* statement =
               std::get_if<statement_message>(&aMessage)) {
    OnStatement(session, *statement, aNow);
  }
}

void
session_engine::state::OpenSession(caller_session& aSession,
                                   const open_session& aOpen,
                                   time_point aNow)
{
  if (!mDesired) {
    // The desired state has not been received yet, as just after process start;
    // it normally takes one call to the store. The session is opened or refused
    // once it arrives.
    aSession.mOpened = true;
    aSession.mDatabase = aOpen.mDatabase;
    aSession.mKey = aOpen.mKey;
    mPendingOpenings.push_back(aSession.mId);
    return;
  }
  const database_route* route = FindRoute(aOpen.mDatabase);
  if (route == nullptr) {
    Log(log_level::Info,
        "session",
        "session refused: unknown database",
        { { "database", aOpen.mDatabase },
          { "desired_state", static_cast<std::int64_t>(mDesired->mVersion) } });
    mMetrics.Count("sessions_unknown_database");
    mLinks.RefuseSession(
      aSession.mId, result_code::UnknownDatabase, "no such database");
    OnCallerClosed(aSession.mId, aNow);
    return;
  }
  auto account = mDesired->AccountFor(*route, aOpen.mKey);
  if (!account) {
    Log(log_level::Info,
        "session",
        "session refused: unknown key",
        { { "database", aOpen.mDatabase },
          { "desired_state", static_cast<std::int64_t>(mDesired->mVersion) } });
    mMetrics.Count("sessions_unauthorized");
    mLinks.RefuseSession(
      aSession.mId, result_code::Unauthorized, "unknown key");
    OnCallerClosed(aSession.mId, aNow);
    return;
  }
  mMetrics.Count("sessions_opened");
  aSession.mOpened = true;
  aSession.mDatabase = aOpen.mDatabase;
  aSession.mKey = aOpen.mKey;
  aSession.mAccount = *std::move(account);
  mLinks.AcceptSession(aSession.mId);
}

const database_route*
session_engine::state::FindRoute(const std::string& aDatabase) const
{
  if (!mDesired) {
    return nullptr;
  }
  const auto found = mDesired->mRoutes.find(aDatabase);
  return found == mDesired->mRoutes.end() ? nullptr : &found->second;
}

void
session_engine::state::OnStatement(caller_session& aSession,
                                   const statement_message& aMessage,
                                   time_point aNow)
{
  if (!Authorize(aSession)) {
    EndUnauthorized(aSession, aNow);
    return;
  }
  const auto& statement = aMessage.mStatement;
  const bool ends = std::holds_alternative<commit_statement>(statement) ||
                    std::holds_alternative<rollback_statement>(statement);
  if (aSession.mState == session_state::Failed) {
    const bool reported = !std::exchange(aSession.mAbortUnreported, false);
    if (!ends) {
      AnswerError(aSession,
                  reported ? result_code::Malformed : result_code::Aborted,
                  "the transaction failed");
      return;
    }
    aSession.mState = session_state::Idle;
    if (std::holds_alternative<commit_statement>(statement)) {
      AnswerError(aSession, result_code::Aborted, "the transaction failed");
    } else {
      AnswerOk(aSession);
    }
    CloseIfShuttingDown(aSession.mId, aNow);
    return;
  }
  if (!AnswerLocally(aSession, statement, aNow)) {
    StartStatement(aSession, aMessage, aNow);
  }
}

bool
session_engine::state::AnswerLocally(caller_session& aSession,
                                     const session_statement& aStatement,
                                     time_point aNow)
{
  if (const auto* set = std::get_if<set_statement>(&aStatement)) {
    aSession.mContext.mValues[set->mName] = set->mValue;
    AnswerOk(aSession);
    return true;
  }
  if (const auto* prepare = std::get_if<prepare_statement>(&aStatement)) {
    aSession.mContext.mPrepared[prepare->mName] = *prepare;
    AnswerOk(aSession);
    return true;
  }
  if (const auto* forget = std::get_if<deallocate_statement>(&aStatement)) {
    aSession.mContext.mPrepared.erase(forget->mName);
    AnswerOk(aSession);
    return true;
  }
  if (const auto* begin = std::get_if<begin_statement>(&aStatement)) {
    Begin(aSession, begin->mReadOnly, aNow);
    return true;
  }
  if (std::holds_alternative<rollback_statement>(aStatement)) {
    DiscardTransaction(aSession, aNow);
    aSession.mState = session_state::Idle;
    AnswerOk(aSession);
    CloseIfShuttingDown(aSession.mId, aNow);
    return true;
  }
  if (std::holds_alternative<unknown_statement>(aStatement) ||
      ExecutesUnknownName(aSession.mContext, aStatement)) {
    AnswerError(aSession, result_code::Malformed, "unknown statement");
    return true;
  }
  return false;
}

void
session_engine::state::Begin(caller_session& aSession,
                             bool aReadOnly,
                             time_point aNow)
{
  if (aSession.mState != session_state::Idle) {
    AnswerError(aSession, result_code::Malformed, "already in a transaction");
    return;
  }
  const database_route* route = FindRoute(aSession.mDatabase);
  if (route == nullptr) {
    AnswerError(aSession, result_code::UnknownDatabase, "no such database");
    return;
  }
  // The transaction is started on a server with its first statement, so that a
  // caller that is idle after BEGIN does not occupy a connection.
  aSession.mState = session_state::InTransaction;
  aSession.mTransaction = open_transaction{ *route, aReadOnly, aNow, 0, false };
  AnswerOk(aSession);
}

void
session_engine::state::StartStatement(caller_session& aSession,
                                      const statement_message& aMessage,
                                      time_point aNow)
{
  const bool commit =
    std::holds_alternative<commit_statement>(aMessage.mStatement);
  pending_statement pending;
  pending.mRequestId = aMessage.mRequestId;
  pending.mStatement = aMessage.mStatement;
  pending.mReceived = aNow;
  if (aSession.mTransaction) {
    pending.mRoute = aSession.mTransaction->mRoute;
    pending.mPurpose = aSession.mTransaction->mConnection == 0
                         ? statement_purpose::First
                       : commit ? statement_purpose::Commit
                                : statement_purpose::Later;
    aSession.mTransaction->mLastUsed = aNow;
  } else {
    const database_route* route = FindRoute(aSession.mDatabase);
    if (commit || route == nullptr) {
      AnswerError(aSession,
                  commit ? result_code::Malformed
                         : result_code::UnknownDatabase,
                  commit ? "no transaction" : "no such database");
      return;
    }
    pending.mRoute = *route;
    pending.mPurpose = IsWrite(aSession.mContext, pending.mStatement)
                         ? statement_purpose::SingleWrite
                         : statement_purpose::SingleRead;
  }
  pending.mDeadline = aNow + pending.mRoute.mStatementTimeout;
  const bool waits = WaitsForPlacement(pending.mPurpose);
  aSession.mPending = std::move(pending);
  mActiveSessions.insert(aSession.mId);
  if (waits) {
    RequireAllowance(aSession, aNow);
    Enqueue(aSession, aNow);
  } else {
    ++aSession.mPending->mAttempts;
    SendInTransaction(aSession, aNow);
  }
}

void
session_engine::state::AnswerOk(caller_session& aSession)
{
  statement_reply reply;
  reply.mState = aSession.mState;
  mLinks.SendReply(aSession.mId, reply);
}

void
session_engine::state::AnswerError(caller_session& aSession,
                                   result_code aCode,
                                   const std::string& aText)
{
  Log(log_level::Info,
      "session",
      "statement refused",
      { { "database", aSession.mDatabase },
        { "code", NameOf(kResultCodeNames, aCode) },
        { "reason", aText } });
  statement_reply reply;
  reply.mError = aCode;
  reply.mErrorText = aText;
  reply.mState = aSession.mState;
  mLinks.SendReply(aSession.mId, reply);
}

void
session_engine::state::Finish(caller_session& aSession,
                              statement_reply aReply,
                              time_point aNow)
{
  const pending_statement pending = *std::exchange(aSession.mPending, {});
  mActiveSessions.erase(aSession.mId);
  DropTurn(aSession, pending);
  aReply.mState = aSession.mState;
  const std::string_view outcome =
    aReply.mError ? NameOf(kResultCodeNames, *aReply.mError) : "done";
  const auto* connection = FindConnection(pending.mConnection);
  const std::int64_t total = MillisecondsBetween(pending.mReceived, aNow);
  mMetrics.Count(absl::StrCat("statements_", std::string(outcome)));
  mMetrics
    .Get("statement_" +
           std::string(NameOf(kStatementPurposeNames, pending.mPurpose)),
         "ms")
    .Record(static_cast<double>(total));
  const std::string after =
    pending.mMinPosition ? pending.mMinPosition->ToString() : "-";
  Log(log_level::Info,
      "session",
      "statement finished",
      { { "request", pending.mRequestId },
        { "outcome", outcome },
        { "reason", aReply.mErrorText },
        { "database", aSession.mDatabase },
        { "account", aSession.mAccount },
        { "service", pending.mRoute.mService },
        { "purpose", NameOf(kStatementPurposeNames, pending.mPurpose) },
        { "server", connection ? connection->mServer : std::string("-") },
        { "connection", static_cast<std::int64_t>(pending.mConnection) },
        { "prepared", pending.mPreparedName },
        { "after", after },
        { "attempts", std::int64_t{ pending.mAttempts } },
        { "waited_ms",
          MillisecondsBetween(pending.mReceived,
                              pending.mAttempts > 0 ? pending.mSentAt : aNow) },
        { "total_ms", total },
        { "primary_confirmed_ms",
          mConfirmedUntil == time_point::min()
            ? std::int64_t{ -1 }
            : MillisecondsBetween(aNow, mConfirmedUntil) } });
  mLinks.SendReply(aSession.mId, aReply);
  CloseIfShuttingDown(aSession.mId, aNow);
}

void
session_engine::state::DiscardTransaction(caller_session& aSession,
                                          time_point aNow)
{
  if (!aSession.mTransaction) {
    return;
  }
  const server_connection_id id = aSession.mTransaction->mConnection;
  aSession.mTransaction.reset();
  if (server_connection* connection = FindConnection(id)) {
    ReleaseConnection(*connection, aNow);
  }
}

void
session_engine::state::OnCallerClosed(session_id aSession, time_point aNow)
{
  const auto found = mSessions.find(aSession);
  if (found == mSessions.end()) {
    return;
  }
  caller_session session = std::move(found->second);
  mSessions.erase(found);
  mActiveSessions.erase(aSession);
  server_connection_id used =
    session.mTransaction ? session.mTransaction->mConnection : 0;
  if (session.mPending) {
    DropTurn(session, *session.mPending);
    std::erase(mServices[session.mPending->mRoute.mService].mWaiting, aSession);
    if (session.mPending->mConnection != 0) {
      used = session.mPending->mConnection;
    }
    Log(
      log_level::Info,
      "session",
      "caller disconnected before the reply to its statement",
      { { "request", session.mPending->mRequestId },
        { "database", session.mDatabase },
        { "age_ms", MillisecondsBetween(session.mPending->mReceived, aNow) } });
  }
  if (server_connection* connection = FindConnection(used)) {
    ReleaseConnection(*connection, aNow);
  }
}

void
session_engine::state::CloseIfShuttingDown(session_id aSession, time_point aNow)
{
  caller_session* session = FindSession(aSession);
  if (!mShuttingDown || session == nullptr || session->mPending) {
    return;
  }
  if (session->mState != session_state::Idle) {
    if (mAbortingTransactions && session->mTransaction) {
      AbortTransaction(*session, aNow);
    }
    return;
  }
  mLinks.CloseCallerConnection(aSession);
  mSessions.erase(aSession);
}

void
session_engine::state::CloseIdleSessions(time_point aNow)
{
  mShuttingDown = true;
  std::vector<session_id> all;
  for (const auto& [id, session] : mSessions) {
    all.push_back(id);
  }
  for (const auto id : all) {
    CloseIfShuttingDown(id, aNow);
  }
}

void
session_engine::state::AbortTransactions(time_point aNow)
{
  mAbortingTransactions = true;
  std::vector<session_id> open;
  for (const auto& [id, session] : mSessions) {
    if (session.mTransaction && !session.mPending) {
      open.push_back(id);
    }
  }
  for (const auto id : open) {
    AbortTransaction(mSessions.at(id), aNow);
  }
}

} // namespace snipewalk
