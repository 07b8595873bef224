// Setup of server connections for the sessions that share them. A connection
// still holds the session values and prepared statements of its last user. A
// server executes the commands of a connection one after the other also if one
// of them fails, so a statement is sent only after the server has confirmed
// all commands that set the connection up for it.
#include "session/engine_state.h"
#include "snipewalk/base/log.h"

#include <utility>

namespace snipewalk {

void
session_engine::state::StartSetup(caller_session& aSession,
                                  server_connection& aConnection,
                                  const std::vector<server_command>& aCommands,
                                  time_point aNow)
{
  pending_statement& pending = *aSession.mPending;
  pending.mConnection = aConnection.mId;
  pending.mStage = statement_stage::SettingUp;
  pending.mSentAt = aNow;
  mMetrics.Count("connection_setups");
  SendCommands(aConnection, aCommands, expected_reply_kind::Setup, aNow);
}

void
session_engine::state::OnSetupReply(server_connection& aConnection,
                                    const statement_reply& aReply,
                                    time_point aNow)
{
  if (aReply.mError) {
    aConnection.mContextUnknown = true;
    mMetrics.Count("connection_setups_failed");
    const caller_session* session = FindSession(aConnection.mSession);
    Log(log_level::Warning,
        "session",
        "setup command on a server connection failed",
        { { "request",
            session != nullptr && session->mPending
              ? session->mPending->mRequestId
              : std::string("-") },
          { "server", aConnection.mServer },
          { "connection", static_cast<std::int64_t>(aConnection.mId) },
          { "code", aReply.mErrorCode } });
  }
  // Further setup commands or the begin of a transaction were sent with it.
  if (aConnection.mExpectedReplies.empty()) {
    OnSetupFinished(aConnection, aNow);
  }
}

void
session_engine::state::OnSetupFinished(server_connection& aConnection,
                                       time_point aNow)
{
  caller_session* session = FindSession(aConnection.mSession);
  if (session == nullptr || !session->mPending ||
      session->mPending->mConnection != aConnection.mId) {
    ReleaseConnection(aConnection, aNow);
    return;
  }
  if (aConnection.mContextUnknown) {
    OnSetupFailed(*session, aConnection, aNow);
    return;
  }
  if (session->mTransaction) {
    SendInTransaction(*session, aNow);
    return;
  }
  // Servers and positions may have changed since the connection was chosen.
  pending_statement& pending = *session->mPending;
  pending.mStage = statement_stage::Waiting;
  const read_requirement requirement =
    RequirementOf(*session, mServices.at(aConnection.mService), aNow);
  if (IsAllowed(aConnection, requirement)) {
    SetMinPosition(pending, aConnection, requirement);
    SendStatement(*session, aConnection, aNow);
    return;
  }
  --pending.mAttempts;
  pending.mConnection = 0;
  ReleaseConnection(aConnection, aNow);
  Enqueue(*session, aNow);
}

bool
session_engine::state::IsAllowed(const server_connection& aConnection,
                                 const read_requirement& aRequirement) const
{
  const known_service& service = mServices.at(aConnection.mService);
  if (aConnection.mServer == service.mPrimary.mServer) {
    return aRequirement.mPrimaryAllowed;
  }
  const auto server = mServers.find(aConnection.mServer);
  return aRequirement.mReplicasAllowed && server != mServers.end() &&
         !server->second.mEntry.mDraining;
}

void
session_engine::state::OnSetupFailed(caller_session& aSession,
                                     server_connection& aConnection,
                                     time_point aNow)
{
  failure_facts facts = MakeFailureFacts(aSession, aNow);
  facts.mFailure = statement_failure::SetupRefused;
  const std::string server = aConnection.mServer;
  ReleaseConnection(aConnection, aNow);
  OnStatementFailed(
    aSession, facts, server, "session values or statement not set up", aNow);
}

} // namespace snipewalk
