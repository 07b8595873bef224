// Requests that another holder has to serve because this instance lost its
// route to a primary that others reach. The forwarder repeats them there; a
// write that was sent is repeated with its key, so that it runs at most once.
#include "request/service_engine_state.h"

#include <algorithm>

namespace snipewalk {

bool
service_engine_state::PrimaryReachedElsewhere() const
{
  const auto primary = mRouter.Primary();
  return mView && primary && mView->mTerm.mPhase == term_phase::Stable &&
         mRouter.Servers()[*primary].mSuspected &&
         !mView->mPrimaryReachedBy.empty();
}

// Whether the request waits for the primary over a connection or a look-up.
// Queued ones are found when their lane is dispatched. Executed ones wait for
// the voters only, and transactions are pinned to this instance.
bool
service_engine_state::IsStuckAtPrimary(const request_entry& aEntry)
{
  if (!aEntry.mRequest.mTransaction.empty()) {
    return false;
  }
  switch (aEntry.mStage) {
    case request_stage::Sent: {
      const auto* connection = mPool.Find(aEntry.mConnection);
      return connection && mRouter.Primary() == connection->mServer;
    }
    case request_stage::LookupQueued:
    case request_stage::LookupSent:
      return true;
    case request_stage::Delayed:
      return aEntry.mDelayedLookup;
    case request_stage::Queued:
    case request_stage::Acknowledging:
      return false;
  }
  return false;
}

void
service_engine_state::RelocateStuck()
{
  std::vector<std::uint64_t> stuck;
  for (const auto& [number, entry] : mRequests) {
    if (IsStuckAtPrimary(*entry)) {
      stuck.push_back(number);
    }
  }
  std::sort(stuck.begin(), stuck.end());
  for (const auto number : stuck) {
    Relocate(*FindRequest(number));
  }
}

// The forwarder takes both answers as a reason to ask another holder.
void
service_engine_state::Relocate(request_entry& aEntry)
{
  if (aEntry.mConnection != 0) {
    if (aEntry.mStage == request_stage::Sent && aEntry.mHasEffect) {
      aEntry.mDoubtTerm = std::max(aEntry.mDoubtTerm, aEntry.mSentTerm);
    }
    mPool.Close(aEntry.mConnection, *mActions);
    aEntry.mConnection = 0;
  }
  if (aEntry.mDoubtTerm == 0) {
    AnswerFailed(aEntry,
                 refusal_reason::NoHolder,
                 "this instance does not reach the primary",
                 milliseconds(100));
  } else {
    AnswerFailed(aEntry,
                 refusal_reason::ConnectionLost,
                 "the route to the primary failed after the request was sent");
  }
}

} // namespace snipewalk
