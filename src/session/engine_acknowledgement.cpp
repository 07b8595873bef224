// Acknowledgement of writes and commits to callers.
//
// A change of primary keeps the commits that were acknowledged before all
// instances released the old primary, or their confirmations expired. The old
// primary may still be running then, out of reach of the duty holder, and
// report commits as done that the new primary's log lacks. An instance
// therefore passes on such a report only while it knows that the server is the
// primary.
#include "session/engine_state.h"

#include <algorithm>
#include <utility>

namespace snipewalk {

bool
session_engine::state::IsAcknowledged(const known_service& aService,
                                      const std::string& aServer,
                                      time_point aReplied) const
{
  // Without synchronous replicas, no other server has the commits anyway.
  const bool replicated = aService.mLimits.mSyncReplicas > 0;
  const bool allowed = aService.mPrimary.mServer == aServer &&
                       aService.mPrimary.mWrites == write_permission::Allowed;
  const auto server = mServers.find(aServer);
  const bool led =
    server != mServers.end() && server->second.mLedAt >= aReplied;
  return !replicated || (allowed && (mConfirmedUntil > aReplied || led));
}

bool
session_engine::state::IsReleased(const known_service& aService,
                                  const std::string& aServer) const
{
  return aService.mPrimary.mServer != aServer ||
         aService.mPrimary.mWrites == write_permission::Ended;
}

void
session_engine::state::FinishWrite(caller_session& aSession,
                                   const std::string& aServer,
                                   const statement_reply& aReply,
                                   time_point aNow)
{
  pending_statement& pending = *aSession.mPending;
  if (IsAcknowledged(mServices[pending.mRoute.mService], aServer, aNow)) {
    Acknowledge(aSession, aReply, aNow);
    return;
  }
  pending.mStage = statement_stage::Unproven;
  pending.mHeldReply = aReply;
  pending.mUnprovenServer = aServer;
  pending.mUnprovenTerm = mServices[pending.mRoute.mService].mPrimary.mLeadTerm;
  pending.mRepliedAt = aNow;
  pending.mConnection = 0;
  mMetrics.Count("writes_held_unproven");
  ResolveUnproven(aSession, aNow);
}

void
session_engine::state::Acknowledge(caller_session& aSession,
                                   const statement_reply& aReply,
                                   time_point aNow)
{
  // The position is that of the server's log when it replied, which can be
  // later than the commit.
  log_position& acknowledged =
    mServices[aSession.mPending->mRoute.mService].mAcknowledged;
  acknowledged =
    std::max(acknowledged, aReply.mPosition.value_or(log_position{}));
  Finish(aSession, aReply, aNow);
}

void
session_engine::state::ResolveUnproven(caller_session& aSession,
                                       time_point aNow)
{
  pending_statement& pending = *aSession.mPending;
  const std::string service = pending.mRoute.mService;
  const known_service& known = mServices[service];
  const bool sameTerm = known.mPrimary.mLeadTerm == pending.mUnprovenTerm;
  if (sameTerm &&
      IsAcknowledged(known, pending.mUnprovenServer, pending.mRepliedAt)) {
    Acknowledge(aSession, pending.mHeldReply, aNow);
  } else if (!sameTerm || IsReleased(known, pending.mUnprovenServer) ||
             aNow >= pending.mDeadline) {
    statement_reply reply;
    reply.mError = result_code::InDoubt;
    reply.mErrorText = "server may not have been the primary any more";
    Finish(aSession, std::move(reply), aNow);
  } else {
    StartCheck(service, aNow);
  }
}

} // namespace snipewalk
