// Paces the requests for the desired state that go over the connections of
// forwarded sessions. Each reply contains the whole state: several at once
// would delay each other on a slow link. A state machine without sockets or
// clocks.
#ifndef SNIPEWALK_SESSION_STATE_REQUEST_PACE_H_
#define SNIPEWALK_SESSION_STATE_REQUEST_PACE_H_

#include "snipewalk/base/time.h"

#include <cstddef>

namespace snipewalk {

class state_request_pace
{
public:
  // Time for the reply to a request apart from the transfer of the state.
  static constexpr milliseconds kReplyTime{ 150 };
  // Bytes of the state that arrive each millisecond on a slow link.
  static constexpr std::size_t kSlowLinkBytes = 500;

  // Whether to send a request. The caller does so if it is true: the next one
  // is due when a state has arrived, or when one of `aStateBytes` should have.
  bool TakeRequest(std::size_t aStateBytes, time_point aNow);
  // Notes that another instance has replied.
  void OnReply() { mAwaitedUntil = time_point::min(); }

private:
  // A reply is awaited until then; in the past if none is.
  time_point mAwaitedUntil = time_point::min();
};

} // namespace snipewalk

#endif // SNIPEWALK_SESSION_STATE_REQUEST_PACE_H_
