// One caller's HTTP connection: requests are answered one at a time and in
// order. An idle connection keeps no buffers.
#ifndef SNIPEWALK_TRAFFIC_CALLER_CONNECTION_H_
#define SNIPEWALK_TRAFFIC_CALLER_CONNECTION_H_

#include "snipewalk/base/time.h"
#include "snipewalk/connection/caller_adapter.h"
#include "snipewalk/connection/event_loop.h"
#include "snipewalk/connection/http_codec.h"
#include "snipewalk/connection/stream_connection.h"
#include "snipewalk/connection/tls_session.h"

#include <cstdint>
#include <memory>
#include <string>

namespace snipewalk {

inline constexpr milliseconds kCallerIdleLimit{ 5 * 60'000 };
inline constexpr milliseconds kHalfRequestLimit{ 10'000 };
inline constexpr milliseconds kHandshakeLimit{ 10'000 };
// Bytes that a caller may send ahead while its request is served.
inline constexpr std::size_t kReadAheadLimitBytes = 64 * 1024;

using caller_id = std::uint64_t;

// What a connection with TLS needs; without a session it is plain HTTP.
struct caller_tls
{
  std::unique_ptr<tls_session> mSession;
  // Of the caller, for the log.
  std::string mAddress;
};

// The thread that owns the connections.
class caller_owner
{
public:
  virtual ~caller_owner() = default;
  virtual caller_context Context(time_point aNow) = 0;
  // Leads to exactly one Respond() unless the connection closes before.
  virtual void OnCallerRequest(caller_id aCaller,
                               caller_request aRequest,
                               time_point aNow) = 0;
  // The TLS handshake ended well, failed or was given up; called once for each
  // connection with TLS. `aFailure` is empty when it ended well.
  virtual void OnCallerHandshake(const std::string& aAddress,
                                 const std::string& aFailure,
                                 time_point aNow) = 0;
  // The connection is destroyed after this returned.
  virtual void OnCallerClosed(caller_id aCaller) = 0;
  // True when callers are to reconnect elsewhere.
  virtual bool ClosesCallers() const = 0;
};

// Loop thread only.
class caller_connection
{
public:
  caller_connection(event_loop& aLoop,
                    const Poco::Net::StreamSocket& aSocket,
                    caller_id aId,
                    caller_owner& aOwner,
                    caller_tls&& aTls = {});
  caller_connection(const caller_connection&) = delete;
  caller_connection& operator=(const caller_connection&) = delete;

  // Answers the request that is being served.
  void Respond(http_response aResponse, time_point aNow);

  // Closes a connection that is idle, half-received or unread for longer than
  // its limit, and reports one that closed after its output. True when it ends.
  bool CloseIfOverdue(time_point aNow);

  // Closes the connection when it has been idle since `aSince` or longer.
  bool CloseIfIdleSince(time_point aSince);

  bool IsBusy() const { return mBusy; }

private:
  void OnEstablished(time_point aNow);
  void OnClosed(close_cause aCause, time_point aNow);
  // Reports the end of a handshake; does nothing after the first call.
  void EndHandshake(const std::string& aFailure, time_point aNow);
  void OnInput(std::string& aInput, time_point aNow);
  void Serve(http_request aRequest, time_point aNow);
  void Refuse(int aStatus, std::string_view aMessage);
  void CloseAfterOutput();
  stream_connection::handlers Handlers();

  caller_owner& mOwner;
  caller_id mId;
  // A request is being served.
  bool mBusy = false;
  bool mKeepAlive = true;
  bool mPaused = false;
  bool mHalfReceived = false;
  bool mHandshaking = false;
  // The last response is being written; the connection then closes.
  bool mEnding = false;
  // Proven by the certificate; empty without TLS.
  std::string mAccount;
  // Kept for the log until the handshake ended.
  std::string mAddress;
  // Start of the handshake, of the half-received request or of the idle time.
  time_point mSince;
  http_reader mReader;
  std::unique_ptr<stream_connection> mStream;
};

} // namespace snipewalk

#endif // SNIPEWALK_TRAFFIC_CALLER_CONNECTION_H_
