// Implementation of the shutdown sequence.
#include "snipewalk/daemon/shutdown.h"

namespace snipewalk {

void
shutdown_sequence::Enter(shutdown_phase aPhase, time_point aNow)
{
  mPhase = aPhase;
  mEntered = aNow;
}

void
shutdown_sequence::Request(time_point aNow,
                           std::vector<shutdown_action>& aActions)
{
  if (mPhase == shutdown_phase::Serving) {
    Enter(shutdown_phase::Announced, aNow);
    aActions.push_back(shutdown_action::Announce);
  }
}

void
shutdown_sequence::Tick(time_point aNow,
                        const shutdown_load& aLoad,
                        std::vector<shutdown_action>& aActions)
{
  switch (mPhase) {
    case shutdown_phase::Announced:
      if (aNow - mEntered >= mLimits.mNotice) {
        Enter(shutdown_phase::Finishing, aNow);
        aActions.push_back(shutdown_action::CloseCallers);
        aActions.push_back(shutdown_action::DrainEngines);
      }
      break;
    case shutdown_phase::Finishing:
      Finish(aNow, aLoad, aActions);
      break;
    case shutdown_phase::Releasing:
      // With the store down the slots stay taken; the successors then wait for
      // the leave message or the death of this instance.
      if (aNow - mEntered >= mLimits.mRelease) {
        Enter(shutdown_phase::Settling, aNow);
      }
      break;
    case shutdown_phase::Settling:
      if (IsSettled(aNow, aLoad)) {
        Enter(shutdown_phase::Leaving, aNow);
        aActions.push_back(shutdown_action::SendLeave);
      }
      break;
    case shutdown_phase::Leaving:
      Enter(shutdown_phase::Done, aNow);
      aActions.push_back(shutdown_action::Exit);
      break;
    default:
      break;
  }
}

void
shutdown_sequence::Finish(time_point aNow,
                          const shutdown_load& aLoad,
                          std::vector<shutdown_action>& aActions)
{
  const duration since = aNow - mEntered;
  const bool callersDone = aLoad.mCallers == 0 || since >= mLimits.mRequests;
  const bool transactionsDone =
    aLoad.mTransactions == 0 || since >= mLimits.mTransactions;
  if (callersDone && transactionsDone && since >= mLimits.mCounting) {
    Enter(shutdown_phase::Releasing, aNow);
    aActions.push_back(shutdown_action::ReleaseSlots);
    return;
  }
  if (since >= mLimits.mIdleGrace) {
    aActions.push_back(shutdown_action::CloseIdleCallers);
  }
}

bool
shutdown_sequence::IsSettled(time_point aNow, const shutdown_load& aLoad)
{
  if (aLoad.mInFlight > 0) {
    mQuietSince.reset();
    return aNow - mEntered >= mLimits.mRequests;
  }
  if (!mQuietSince) {
    mQuietSince = aNow;
  }
  return aNow - *mQuietSince >= mLimits.mQuiet;
}

void
shutdown_sequence::SlotsReleased(time_point aNow)
{
  if (mPhase == shutdown_phase::Releasing) {
    Enter(shutdown_phase::Settling, aNow);
  }
}

} // namespace snipewalk
