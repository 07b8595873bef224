// Exchange of tokens of the accounts' rate limits with the holder of the duty.
#include "snipewalk/session/session_controller.h"

namespace snipewalk {

void
session_controller::RequestAllowances(time_point aNow)
{
  const auto request = mEngine.AllowanceRequestIfDue(aNow);
  if (!request) {
    return;
  }
  if (mDuty.Holds(aNow) && mHeldDuty) {
    mEngine.OnAllowanceGrant(
      mAllowances.OnRequest(
        mOptions.mInstance, mOptions.mStarted, *request, aNow),
      aNow);
    return;
  }
  const allowance_datagram datagram{ mOptions.mInstance,
                                     mOptions.mStarted,
                                     *request };
  for (const auto& name : PossibleHolders()) {
    const auto* holder = mInstances.Find(name);
    if (holder != nullptr && name != mOptions.mInstance) {
      mLinks.SendDatagram(holder->mRecord.mPeerAddress, datagram);
    }
  }
}

void
session_controller::OnAllowanceRequest(const std::string& aFrom,
                                       const allowance_datagram& aDatagram,
                                       time_point aNow)
{
  // The duty may have begun since the latest tick, which resets the allocator.
  if (mDuty.Holds(aNow) && mHeldDuty) {
    mLinks.SendDatagram(
      aFrom,
      mAllowances.OnRequest(
        aDatagram.mInstance, aDatagram.mStarted, aDatagram.mRequest, aNow));
  }
}

} // namespace snipewalk
