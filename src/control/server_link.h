// Control connection to one backend server: one request at a time, in order,
// each with a timeout.
//
// A connection that got no answer is closed, but a server that is not reached
// over it counts it on. Until the server has closed it too, or takes and keeps
// a later one, the link is in doubt and closes each connection after its
// answer: the server may have room for few replacements, which statements need.
#ifndef SNIPEWALK_CONTROL_SERVER_LINK_H_
#define SNIPEWALK_CONTROL_SERVER_LINK_H_

#include "snipewalk/base/time.h"
#include "snipewalk/connection/backend_connection.h"
#include "snipewalk/connection/event_loop.h"
#include "snipewalk/messages/backend_messages.h"

#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <vector>

namespace snipewalk {

enum class link_result
{
  Answered,
  // The connection was not established.
  Refused,
  // No answer in time, or the connection broke: the effect is unknown.
  Lost,
  // The server accepted a new connection and closed it without an answer while
  // it may still count connections that went silent: it is alive, but at its
  // connection limit.
  Full
};

struct link_reply
{
  link_result mResult = link_result::Lost;
  // Set exactly when answered.
  std::optional<backend_reply> mReply;
  // Number of the connection that was used.
  std::uint64_t mConnection = 0;
  // When the request was handed to the connection.
  time_point mSentAt;
};

struct link_request
{
  backend_request mRequest;
  milliseconds mTimeout{ 0 };
  // Close an open connection first.
  bool mNewConnection = false;
  // A probe gives way to other requests when it got no answer at once.
  bool mIsProbe = false;
  std::function<void(const link_reply& aReply, time_point aNow)> mOnDone;
};

// Loop thread only.
class server_link
{
public:
  // `aOnIdleClose` is called when the server closes the connection while no
  // request is outstanding.
  server_link(event_loop& aLoop,
              server_endpoint aServer,
              std::function<void(time_point aNow)> aOnIdleClose);
  // Outstanding requests get no reply.
  ~server_link();
  server_link(const server_link&) = delete;
  server_link& operator=(const server_link&) = delete;

  void Submit(link_request aRequest, time_point aNow);
  // Ends the link and hands over the requests that were not completed.
  std::vector<link_request> TakeRequests();
  const server_endpoint& Server() const { return mServer; }

private:
  void Pump(time_point aNow);
  void Open();
  // Closes the connection. If no answer came over it, the link is in doubt
  // until the server closes it too.
  void Drop(bool aInDoubt);
  bool InDoubt() const { return !mHalfClosed.empty(); }
  void EndDoubt();
  void OnOpened(time_point aNow);
  void OnClosed(bool aRefused, time_point aNow);
  void Finish(const link_reply& aReply, time_point aNow);

  event_loop& mLoop;
  server_endpoint mServer;
  std::function<void(time_point aNow)> mOnIdleClose;
  // Shared so that a connection outlives the handler that drops it.
  std::shared_ptr<backend_connection> mConnection;
  std::uint64_t mConnectionNumber = 0;
  // An answer came over the present connection.
  bool mProven = false;
  // Connections closed here that the server may still count, by number.
  std::map<std::uint64_t, std::shared_ptr<backend_connection>> mHalfClosed;
  // From then on the link tries to keep a connection open again.
  time_point mDoubtUntil;
  // Expires with the link; guards the ends of closed connections.
  std::shared_ptr<bool> mAlive = std::make_shared<bool>(true);
  std::deque<link_request> mWaiting;
  std::optional<link_request> mCurrent;
  time_point mStarted;
  event_loop::timer_id mTimer = 0;
};

} // namespace snipewalk

#endif // SNIPEWALK_CONTROL_SERVER_LINK_H_
