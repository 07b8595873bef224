// Requests that another holder has to serve because this instance lost its
// route to a primary that others reach. The forwarder repeats them there; a
// write that was sent is repeated with its key, so that it runs at most once.
#include "request/service_engine_state.h"

#include <algorithm>

namespace snipewalk {

// A server at its limit, or a full table of a middlebox, refuses this engine
// while the connections of other holders work.
void
service_engine_state::TrackRefusals()
{
  const auto primary = mRouter.Primary();
  if (!primary || mPool.Limit(*primary) == 0 || !mPool.IsRefused(*primary)) {
    mRefusedSince.reset();
    return;
  }
  if (!mRefusedSince) {
    mRefusedSince = mNow;
    SetTimer(mNow + kOverdueAge, timer_kind::Wakeup, 0);
  }
  // Nothing else is sent to the primary: a check tells when it serves again.
  CheckIdle(*primary, 1);
}

bool
service_engine_state::HasOtherHolder() const
{
  const auto& holders = mView->mSlots.mHolders;
  return std::any_of(holders.begin(), holders.end(), [&](const auto& aHolder) {
    return !aHolder.mInstance.empty() &&
           aHolder.mInstance != mOptions.mInstance;
  });
}

// A suspected primary may have failed for all: only the report of a holder
// tells. One that the control thread still reaches serves others.
bool
service_engine_state::PrimaryReachedElsewhere() const
{
  const auto primary = mRouter.Primary();
  if (!mView || !primary || mView->mTerm.mPhase != term_phase::Stable) {
    return false;
  }
  if (mRouter.Servers()[*primary].mSuspected) {
    return !mView->mPrimaryReachedBy.empty();
  }
  return mRefusedSince && mNow - *mRefusedSince >= kOverdueAge &&
         HasOtherHolder();
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
