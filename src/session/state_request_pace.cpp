// Implementation of the pace of requests for the desired state.
#include "snipewalk/session/state_request_pace.h"

namespace snipewalk {

bool
state_request_pace::TakeRequest(std::size_t aStateBytes, time_point aNow)
{
  if (aNow < mAwaitedUntil) {
    return false;
  }
  const milliseconds transfer(
    static_cast<milliseconds::rep>(aStateBytes / kSlowLinkBytes));
  mAwaitedUntil = aNow + kReplyTime + transfer;
  return true;
}

} // namespace snipewalk
