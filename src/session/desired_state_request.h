// Requests the desired state of another instance, over a connection of its own.
// An instance whose view of the store is older than that of others gets the
// state this way although it forwards no session to them.
#ifndef SNIPEWALK_SESSION_DESIRED_STATE_REQUEST_H_
#define SNIPEWALK_SESSION_DESIRED_STATE_REQUEST_H_

#include "session/forwarding_links.h"
#include "snipewalk/base/time.h"
#include "snipewalk/connection/event_loop.h"
#include "snipewalk/connection/stream_connection.h"

#include <cstddef>
#include <cstdint>
#include <memory>
#include <string>

namespace snipewalk {

class desired_state_request
{
public:
  // The state is passed to forwarding_links::AdoptDesiredState().
  desired_state_request(event_loop& aLoop, forwarding_links& aLinks);
  ~desired_state_request();
  desired_state_request(const desired_state_request&) = delete;
  desired_state_request& operator=(const desired_state_request&) = delete;

  // Asks the instance whose peer address is given. A request that is under way
  // ends without a reply, unless its reply is arriving: then it goes on, and
  // this call does nothing.
  void Send(const std::string& aPeerAddress, time_point aNow);

  bool IsReplyArriving() const { return mReplyBytes > 0; }

  // Replies since the start that were given up after a part of them had
  // arrived.
  std::uint64_t RepliesCutOff() const { return mRepliesCutOff; }

private:
  void SetTimeout(time_point aWhen);
  void OnInput(std::string& aInput, time_point aNow);
  void End();

  event_loop& mLoop;
  forwarding_links& mLinks;
  // Null while no request is under way.
  std::shared_ptr<stream_connection> mStream;
  event_loop::timer_id mTimeout = 0;
  // Bytes of the reply that have arrived.
  std::size_t mReplyBytes = 0;
  // The request ends by then, also if its reply is still arriving.
  time_point mEndBy;
  std::uint64_t mRepliesCutOff = 0;
};

} // namespace snipewalk

#endif // SNIPEWALK_SESSION_DESIRED_STATE_REQUEST_H_
