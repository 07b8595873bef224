// Confirmation of writes by voters over one connection to each.
#include "request/service_engine_state.h"

#include <algorithm>

namespace snipewalk {

namespace {

// Longest that a voter holds a wait before it answers without the index.
constexpr milliseconds kWaitMax{ 200 };
// Spacing after an answer without progress.
constexpr milliseconds kRetryInterval{ 5 };

} // namespace

void
service_engine_state::AwaitAcknowledgement(request_entry& aEntry)
{
  aEntry.mStage = request_stage::Acknowledging;
  aEntry.mConnection = 0;
  aEntry.mDoubtTerm = std::max(aEntry.mDoubtTerm, aEntry.mExecuted.mTerm);
  if (mAcknowledgement.Add(aEntry.mExecuted.mIndex, aEntry.mNumber, mNow)) {
    Confirmed(aEntry);
  }
}

void
service_engine_state::PumpAcknowledgements()
{
  for (std::size_t i = 0; i < mLinks.size(); ++i) {
    PumpAcknowledgement(i);
  }
}

void
service_engine_state::PumpAcknowledgement(std::size_t aServer)
{
  auto& link = mLinks[aServer];
  const auto& server = mRouter.Servers()[aServer];
  const bool wanted =
    server.mVoter && mRouter.Primary() != aServer &&
    mView->mDocument.mAcknowledge == acknowledge_policy::Replicated;
  const auto index = mAcknowledgement.NextIndex(aServer);
  // With a single connection reads use it while nothing has to be confirmed.
  // Without the slot, writes that still execute need a confirmation.
  const bool finishing = mPool.Limit(aServer) == 0 && !mRequests.empty();
  const bool keep = wanted && (index || mPool.Limit(aServer) > 1 || finishing);
  auto* connection = link.mConnection ? mPool.Find(link.mConnection) : nullptr;
  if (!keep) {
    if (connection && !connection->mOutstanding) {
      mPool.Release(link.mConnection, mNow, *mActions);
      link.mConnection = 0;
    }
    return;
  }
  if (!connection) {
    connection =
      mPool.Acquire(aServer, connection_use::Acknowledgement, 0, mNow);
    link.mConnection = connection ? connection->mId : 0;
    if (!connection) {
      CheckIdle(aServer, 1);
      return;
    }
  }
  if (!index || connection->mOutstanding) {
    return;
  }
  if (mNow < link.mNotBefore) {
    SetTimer(link.mNotBefore, timer_kind::Wakeup, 0);
    return;
  }
  if (!mRouter.Serving(aServer)) {
    // A fenced voter may hold entries of an old term at this index.
    SendRaw(*connection, backend_status_query{}, kCheckOverdueAge);
    return;
  }
  link.mWaitTerm = mAcknowledgement.Term();
  SendRaw(*connection,
          backend_wait{ link.mWaitTerm, *index, kWaitMax },
          kWaitMax + kCheckOverdueAge);
}

void
service_engine_state::OnAcknowledgementReply(pooled_connection& aConnection,
                                             const backend_reply& aReply)
{
  const std::size_t server = aConnection.mServer;
  auto& link = mLinks[server];
  aConnection.mOutstanding = false;
  if (aReply.mStatus) {
    ObserveStatus(server, *aReply.mStatus, aConnection.mSentAt);
    if (!mRouter.Serving(server)) {
      link.mNotBefore = mNow + kRetryInterval;
    }
    return;
  }
  const bool current = link.mWaitTerm == mAcknowledgement.Term();
  if (aReply.mError != backend_error::None || aReply.mTerm != link.mWaitTerm) {
    link.mNotBefore = mNow + kRetryInterval;
    if (current && aReply.mTerm != link.mWaitTerm) {
      mRouter.ObserveRefusal(server);
    }
    return;
  }
  if (!current) {
    return;
  }
  for (const auto number : mAcknowledgement.Confirm(server, aReply.mIndex)) {
    if (auto* entry = FindRequest(number)) {
      Confirmed(*entry);
    }
  }
}

// Writes of the old term that are not confirmed are settled by their keys at
// the new primary.
void
service_engine_state::StartTerm()
{
  std::vector<std::size_t> voters;
  const auto& servers = mRouter.Servers();
  for (std::size_t i = 0; i < servers.size(); ++i) {
    if (servers[i].mVoter) {
      voters.push_back(i);
    }
  }
  mAcknowledgement.StartTerm(mRouter.Term(),
                             mRouter.Primary(),
                             voters,
                             mView->mDocument.mAcknowledge ==
                               acknowledge_policy::Replicated);
  // The times of the replaced primary say nothing about the new one.
  mWriteHeld.Clear();
  mWriteConfirmed.Clear();
  std::vector<std::uint64_t> open;
  for (const auto& [number, entry] : mRequests) {
    if (entry->mStage == request_stage::Acknowledging) {
      open.push_back(number);
    }
  }
  std::sort(open.begin(), open.end());
  for (const auto number : open) {
    Lookup(*FindRequest(number));
  }
}

} // namespace snipewalk
