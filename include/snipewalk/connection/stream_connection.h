// Non-blocking TCP connection on an event loop with bounded buffering, with or
// without TLS. Used for callers, peers, backend servers and the platform's
// store.
#ifndef SNIPEWALK_CONNECTION_STREAM_CONNECTION_H_
#define SNIPEWALK_CONNECTION_STREAM_CONNECTION_H_

#include "snipewalk/base/time.h"
#include "snipewalk/connection/event_loop.h"
#include "snipewalk/connection/tls_session.h"

#include <cstddef>
#include <functional>
#include <memory>
#include <string>

#include <Poco/Net/StreamSocket.h>

namespace snipewalk {

enum class close_cause
{
  // The other end closed an established connection.
  ClosedByPeer,
  // The other end reset an established connection, which takes back what it had
  // sent and what was not delivered yet.
  ResetByPeer,
  // The connection could not be established.
  Refused,
  // The TLS handshake failed, or a record was not valid.
  TlsFailure,
  // The other end reads too slowly: more than the output limit is waiting.
  OutputOverflow
};

class stream_connection : public socket_handler
{
public:
  // All handlers run on the loop thread and may destroy the connection only
  // through event_loop::Post() or after they returned.
  struct handlers
  {
    // Of accepted sockets only those with TLS call it, after the handshake.
    std::function<void(time_point)> mOnConnected;
    // Consumes a prefix of the buffer and leaves the rest.
    std::function<void(std::string& aInput, time_point)> mOnInput;
    // Called once; not called after Close().
    std::function<void(close_cause, time_point)> mOnClosed;
  };

  // Starts a connection to `aAddress` ("IP:port"). mOnClosed is called with
  // `Refused` from the loop when it fails, also for a malformed address. With
  // a session the connection speaks TLS.
  static std::unique_ptr<stream_connection> Connect(
    event_loop& aLoop,
    const std::string& aAddress,
    handlers aHandlers,
    std::unique_ptr<tls_session> aTls = nullptr);

  // Takes over an accepted socket.
  static std::unique_ptr<stream_connection> Adopt(
    event_loop& aLoop,
    const Poco::Net::StreamSocket& aSocket,
    handlers aHandlers,
    std::unique_ptr<tls_session> aTls = nullptr);

  ~stream_connection() override;
  stream_connection(const stream_connection&) = delete;
  stream_connection& operator=(const stream_connection&) = delete;

  // Appends bytes to the output and writes as much as the socket takes.
  void Send(std::string_view aBytes);

  // From now on every end of the connection resets it, also the end of the
  // process, and so does output that the other end has not acknowledged for
  // `aUnacknowledgedLimit`. Without this, the system goes on to deliver what
  // was written after the connection was closed.
  void ResetOnClose(milliseconds aUnacknowledgedLimit);

  // Closes without further callbacks. Unsent output is lost.
  void Close();

  // Sends the end of the stream and keeps the socket until the other end closes
  // too, which shows that it noticed; `aOnEnd` is called then. Input is dropped
  // and no other handler is called. False when the connection is not
  // established: it is closed at once.
  bool CloseAwaitingEnd(std::function<void(time_point)> aOnEnd);

  // Closes as soon as all output was written.
  void CloseAfterOutput();

  // Stops or resumes reading, which bounds the input of a busy connection.
  // Unread bytes stay with the system, whose flow control slows the sender.
  void PauseInput();
  void ResumeInput();

  // Offers input that the handler left in the buffer once more, from the loop.
  void PostInput();
  bool HasInput() const { return !mInput.empty(); }

  bool IsOpen() const { return mState != state::Closed; }
  bool IsConnected() const { return mState == state::Connected; }
  std::size_t PendingOutput() const { return mOutput.size() - mOutputSent; }
  // Null without TLS.
  const tls_session* Tls() const { return mTls.get(); }

  void OnReadable(time_point aNow) override;
  void OnWritable(time_point aNow) override;
  void OnSocketError(time_point aNow) override;

private:
  enum class state
  {
    Connecting,
    // Connected, before the end of the TLS handshake.
    Handshaking,
    Connected,
    // A TLS alert was sent; input is dropped until the other end closes.
    Alerted,
    Closed
  };

  stream_connection(event_loop& aLoop,
                    handlers aHandlers,
                    std::unique_ptr<tls_session> aTls);
  void BeginConnect(const std::string& aAddress);
  void FinishConnect(time_point aNow);
  void BecomeConnected(time_point aNow);
  void TakeRecords(std::string_view aRecords, time_point aNow);
  void OfferInput(time_point aNow);
  // Keeps the socket until the other end read the alert, then reports.
  void FailTls(time_point aNow);
  void EndOutput();
  // Writes what the socket takes; false when it is broken.
  bool WriteOutput();
  void DropWritten();
  void Flush(time_point aNow);
  void Fail(close_cause aCause, time_point aNow);
  void Detach();

  event_loop& mLoop;
  handlers mHandlers;
  Poco::Net::StreamSocket mSocket;
  state mState = state::Connecting;
  std::unique_ptr<tls_session> mTls;
  // Bytes of Send() before the TLS handshake ended.
  std::string mEarly;
  // Memory is released whenever a buffer is empty: most connections idle.
  std::string mInput;
  std::string mOutput;
  // Bytes of mOutput already written; never above mOutput.size().
  std::size_t mOutputSent = 0;
  bool mCloseAfterOutput = false;
  // Set by CloseAwaitingEnd. Apart from mHandlers, one of which may be running.
  std::function<void(time_point)> mOnEnd;
  // The socket's buffer is full; OnWritable() ends this.
  bool mBlocked = false;
  // Expires with the connection; guards callbacks posted to the loop.
  std::shared_ptr<bool> mAlive = std::make_shared<bool>(true);
};

} // namespace snipewalk

#endif // SNIPEWALK_CONNECTION_STREAM_CONNECTION_H_
