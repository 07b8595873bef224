// New views: documents, terms and limits; and the explanation of a routing.
#include "request/service_engine_state.h"

#include <algorithm>

#include <absl/strings/str_cat.h>

namespace snipewalk {

void
service_engine_state::On(const view_changed& aEvent)
{
  const auto old = mView;
  mView = aEvent.mView;
  mSessionKeys = aEvent.mSessionKeys;
  const auto oldPrimary = mRouter.Primary();
  const auto oldTerm = mRouter.Term();
  mRouter.SetView(*mView, mOptions.mDataCentre);
  mQueue.SetLimit(static_cast<std::size_t>(mView->mDocument.mQueueLimit));
  ApplyServers();
  const bool sameRules =
    old && old->mTerm.mVoters == mView->mTerm.mVoters &&
    old->mDocument.mAcknowledge == mView->mDocument.mAcknowledge;
  if (mRouter.Term() != oldTerm || mRouter.Primary() != oldPrimary ||
      !sameRules) {
    mHoldWritesUntil = mNow;
    if (oldPrimary && mRouter.Primary() != oldPrimary) {
      AbandonServer(*oldPrimary);
    }
    StartTerm();
  }
  if (mView->mConnectionShare <= 0) {
    RefuseWithoutShare();
  }
}

void
service_engine_state::ApplyServers()
{
  const auto& servers = mRouter.Servers();
  mLinks.resize(servers.size());
  mAnsweredReportedAt.resize(servers.size());
  mRefreshedAt.resize(servers.size());
  for (std::size_t i = 0; i < servers.size(); ++i) {
    const auto* entry = mView->mDocument.Find(servers[i].mName);
    const server_endpoint endpoint{ servers[i].mName,
                                    entry ? entry->mAddress : std::string() };
    const auto lost =
      mPool.SetServer(i, endpoint, entry ? LimitOf(*entry, i) : 0, *mActions);
    for (const auto& connection : lost) {
      OnLost(connection);
    }
  }
}

// A leaving server keeps what its remaining role needs, and nothing without a
// role.
std::size_t
service_engine_state::LimitOf(const server_entry& aEntry,
                              std::size_t aServer) const
{
  const auto share =
    static_cast<std::size_t>(std::max(0, mView->mConnectionShare));
  if (aEntry.mState == server_state::Active || mRouter.Primary() == aServer) {
    return share;
  }
  return mRouter.Servers()[aServer].mVoter ? std::min<std::size_t>(1, share)
                                           : 0;
}

// Closes the connections whose requests or transactions ended with the role of
// this primary.
void
service_engine_state::AbandonServer(std::size_t aServer)
{
  for (const auto id : mPool.Busy(aServer)) {
    const auto* connection = mPool.Find(id);
    if (!connection || connection->mUse == connection_use::Acknowledgement ||
        connection->mUse == connection_use::Check ||
        connection->mUse == connection_use::Read) {
      continue;
    }
    const pooled_connection copy = *connection;
    mPool.Close(id, *mActions);
    OnLost(copy);
  }
}

// The instance lost its slot: waiting requests go to another holder, running
// ones finish.
void
service_engine_state::RefuseWithoutShare()
{
  std::vector<std::uint64_t> waiting;
  for (const auto& [number, entry] : mRequests) {
    if (entry->mStage == request_stage::Queued ||
        entry->mStage == request_stage::Delayed ||
        entry->mStage == request_stage::LookupQueued) {
      waiting.push_back(number);
    }
  }
  std::sort(waiting.begin(), waiting.end());
  for (const auto number : waiting) {
    AnswerFailed(*FindRequest(number),
                 refusal_reason::NoHolder,
                 "this instance lost its slot of the service",
                 milliseconds(100));
  }
}

std::string
service_engine_state::Explain(const statement_request& aRequest,
                              time_point aNow) const
{
  if (!mView || mView->mConnectionShare <= 0) {
    return "This instance holds no slot of the service; the request would be "
           "forwarded to a holder.\n";
  }
  const auto& servers = mRouter.Servers();
  const auto primary = mRouter.Primary();
  std::string text =
    absl::StrCat("Service ",
                 mService,
                 ", term ",
                 mRouter.Term(),
                 " (",
                 std::string(NameOf(kTermPhaseNames, mView->mTerm.mPhase)),
                 "), primary ",
                 primary ? servers[*primary].mName : std::string("none"),
                 ".\n");
  for (std::size_t i = 0; i < servers.size(); ++i) {
    const auto& server = servers[i];
    if (!server.mPresent) {
      continue;
    }
    absl::StrAppend(&text,
                    "  ",
                    server.mName,
                    ": applied ",
                    server.mApplied,
                    " in term ",
                    server.mServingTerm,
                    ", ",
                    mPool.Outstanding(i),
                    " outstanding, ",
                    mPool.Count(i),
                    " of ",
                    mPool.Limit(i),
                    " connections",
                    server.mLeaving ? ", leaving" : "",
                    server.mSuspected ? ", suspected" : "",
                    mRouter.Serving(i) ? "" : ", role in this term not known",
                    "\n");
  }
  if (aRequest.mKind != statement_kind::Read ||
      !aRequest.mTransaction.empty()) {
    return text + (mNow >= mHoldWritesUntil && PrimaryReady()
                     ? "The request would go to the primary.\n"
                     : "The request would wait for a primary.\n");
  }
  read_request_facts facts;
  facts.mNeed = aRequest.mMaxAge ? read_need::Age : read_need::Position;
  facts.mMaxAge = aRequest.mMaxAge.value_or(milliseconds(0));
  facts.mDeadline = aRequest.mDeadline;
  const auto session =
    DecodeSession(aRequest.mSession, mSessionKeys, mService, aRequest.mAccount);
  if (session.ok()) {
    facts.mPosition = session->mPosition;
  } else if (!aRequest.mSession.empty()) {
    return text + "The session token is invalid: the request is refused.\n";
  }
  const auto route = mRouter.Route(
    facts,
    aNow,
    [&](std::size_t aServer) {
      return mPool.Available(aServer, connection_use::Read, aNow);
    },
    [&](std::size_t aServer) { return mPool.Outstanding(aServer); });
  absl::StrAppend(
    &text, "Needed position: index ", facts.mPosition.mIndex, ".\n");
  switch (route.mVerdict) {
    case route_verdict::Send:
      absl::StrAppend(&text,
                      "The read would go to ",
                      servers[route.mServer].mName,
                      " (fewest outstanding statements among the servers that "
                      "are fresh enough, or the freshest one).\n");
      break;
    case route_verdict::Wait:
      text += "The read would wait for a free connection.\n";
      break;
    case route_verdict::ToPrimary:
      text += "No replica can serve the read: it would go to the primary.\n";
      break;
    case route_verdict::Refresh:
      text += "No replica is known to have data of the stated age: positions "
              "would be refreshed first.\n";
      break;
  }
  return text;
}

} // namespace snipewalk
