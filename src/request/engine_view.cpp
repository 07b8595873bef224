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
  if (old && (old->mTerm.mTerm != mView->mTerm.mTerm ||
              old->mTerm.mPhase != mView->mTerm.mPhase)) {
    mTermChangedAt = mNow;
  }
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
    mRefusedSince.reset();
    if (oldPrimary && mRouter.Primary() != oldPrimary) {
      AbandonServer(*oldPrimary);
    }
    StartTerm();
  }
  if (mView->mConnectionShare <= 0) {
    RefuseWithoutShare();
  }
  if (PrimaryReachedElsewhere()) {
    RelocateStuck();
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
    mPool.SetReserve(
      i, static_cast<std::size_t>(std::max(0, mView->mConnectionReserve)));
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

// Whether enough voters for a majority can be asked: a server that still counts
// the silent connections of the whole share cannot.
bool
service_engine_state::CanConfirm() const
{
  if (mView->mDocument.mAcknowledge != acknowledge_policy::Replicated) {
    return true;
  }
  std::size_t voters = 0;
  std::size_t reachable = 0;
  for (std::size_t i = 0; i < mRouter.Servers().size(); ++i) {
    if (mRouter.Servers()[i].mVoter) {
      ++voters;
      reachable += mRouter.Primary() == i || !mPool.IsStarved(i) ? 1 : 0;
    }
  }
  return reachable >= voters / 2 + 1;
}

// While a server counts connections that went silent, and nothing is left of
// the share, another holder may still have a connection to it. Requests whose
// outcome is in doubt stay: only this engine knows what it sent.
void
service_engine_state::RefuseWithoutConnections()
{
  if (mQueue.Size() == 0) {
    return;
  }
  const auto primary = mRouter.Primary();
  const bool noPrimary = primary && mPool.IsStarved(*primary);
  std::size_t replicas = 0;
  std::size_t starved = 0;
  for (std::size_t i = 0; i < mRouter.Servers().size(); ++i) {
    if (primary != i && mRouter.Servers()[i].mPresent) {
      ++replicas;
      starved += mPool.IsStarved(i) ? 1 : 0;
    }
  }
  const bool noReplica = replicas > 0 && starved == replicas;
  if (!noPrimary && !noReplica) {
    return;
  }
  std::vector<std::uint64_t> refused;
  for (const auto& [number, entry] : mRequests) {
    const bool replicaRead = entry->mLane == queue_lane::SessionRead ||
                             entry->mLane == queue_lane::AgedRead;
    if (entry->mStage == request_stage::Queued && entry->mDoubtTerm == 0 &&
        (replicaRead ? noReplica : noPrimary)) {
      refused.push_back(number);
    }
  }
  std::sort(refused.begin(), refused.end());
  for (const auto number : refused) {
    AnswerFailed(*FindRequest(number),
                 refusal_reason::NoHolder,
                 kConnectionsStillCounted,
                 kRetryAfterStarved);
  }
}

std::string
service_engine_state::ExplainServers() const
{
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
    absl::StrAppend(&text, "  ", server.mName, ": applied ", server.mApplied);
    absl::StrAppend(&text, " in term ", server.mServingTerm, ", ");
    absl::StrAppend(&text, mPool.Outstanding(i), " outstanding, ");
    absl::StrAppend(&text, mPool.Count(i), " of ", mPool.Limit(i));
    absl::StrAppend(&text, " connections", server.mLeaving ? ", leaving" : "");
    absl::StrAppend(&text, server.mSuspected ? ", suspected" : "");
    absl::StrAppend(
      &text, mRouter.Serving(i) ? "" : ", role in this term not known", "\n");
  }
  return text;
}

std::string
service_engine_state::Explain(const statement_request& aRequest,
                              time_point aNow) const
{
  if (!mView || mView->mConnectionShare <= 0) {
    return "This instance holds no slot of the service; the request would be "
           "forwarded to a holder.\n";
  }
  const std::string text = ExplainServers();
  if (aRequest.mKind != statement_kind::Read ||
      !aRequest.mTransaction.empty() ||
      LaneOf(aRequest) == queue_lane::PrimaryRead) {
    if (PrimaryReachedElsewhere()) {
      return text + "This instance does not reach the primary; the request "
                    "would be forwarded to a holder that does.\n";
    }
    return text + (PrimaryReady() ? "The request would go to the primary.\n"
                                  : "The request would wait for a primary.\n");
  }
  const auto session =
    DecodeSession(aRequest.mSession, mSessionKeys, mService, aRequest.mAccount);
  if (!session.ok() && !aRequest.mSession.empty()) {
    return text + "The session token is invalid: the request is refused.\n";
  }
  const auto position = session.ok() ? session->mPosition : log_position{};
  const auto route = RouteOf(aRequest, position, 0, aNow);
  return absl::StrCat(text,
                      "Needed position: index ",
                      position.mIndex,
                      ".\n",
                      ExplainVerdict(route));
}

std::string
service_engine_state::ExplainVerdict(const read_route& aRoute) const
{
  switch (aRoute.mVerdict) {
    case route_verdict::Send:
      return absl::StrCat(
        "The read would go to ",
        mRouter.Servers()[aRoute.mServer].mName,
        " (fewest outstanding statements among the servers that are fresh "
        "enough, or the freshest one).\n");
    case route_verdict::Wait:
      return "The read would wait for a free connection.\n";
    case route_verdict::ToPrimary:
      return "No replica can serve the read: it would go to the primary.\n";
    case route_verdict::Refresh:
      return "No replica is known to have data of the stated age: positions "
             "would be refreshed first.\n";
  }
  return {};
}

} // namespace snipewalk
