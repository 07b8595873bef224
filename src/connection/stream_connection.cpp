// Implementation of the non-blocking TCP connection.
#include "snipewalk/connection/stream_connection.h"

#include <Poco/Exception.h>
#include <Poco/Net/NetException.h>
#include <Poco/Net/SocketAddress.h>

#include <netinet/in.h>
#include <netinet/tcp.h>

#include <array>
#include <cerrno>
#include <utility>

namespace snipewalk {

namespace {

// A reader that leaves this much unread is disconnected.
constexpr std::size_t kOutputLimitBytes = 8 * 1024 * 1024;
constexpr std::size_t kReadChunkBytes = 64 * 1024;
// Closing at once would reset the connection when the other end still sends,
// and it would lose the alert.
constexpr milliseconds kAlertLinger{ 1'000 };

// Frees the memory of an empty buffer.
void
ReleaseIfEmpty(std::string& aBuffer)
{
  if (aBuffer.empty() && aBuffer.capacity() > sizeof(std::string)) {
    std::string().swap(aBuffer);
  }
}

int
ToSocketOption(milliseconds aTime)
{
  return static_cast<int>(aTime.count());
}

} // namespace

stream_connection::stream_connection(event_loop& aLoop,
                                     handlers aHandlers,
                                     std::unique_ptr<tls_session> aTls)
  : mLoop(aLoop)
  , mHandlers(std::move(aHandlers))
  , mTls(std::move(aTls))
{
}

stream_connection::~stream_connection()
{
  Close();
}

std::unique_ptr<stream_connection>
stream_connection::Connect(event_loop& aLoop,
                           const std::string& aAddress,
                           handlers aHandlers,
                           std::unique_ptr<tls_session> aTls)
{
  std::unique_ptr<stream_connection> connection(
    new stream_connection(aLoop, std::move(aHandlers), std::move(aTls)));
  connection->BeginConnect(aAddress);
  return connection;
}

std::unique_ptr<stream_connection>
stream_connection::Adopt(event_loop& aLoop,
                         const Poco::Net::StreamSocket& aSocket,
                         handlers aHandlers,
                         std::unique_ptr<tls_session> aTls)
{
  std::unique_ptr<stream_connection> connection(
    new stream_connection(aLoop, std::move(aHandlers), std::move(aTls)));
  connection->mSocket = aSocket;
  connection->mSocket.setBlocking(false);
  connection->mSocket.setNoDelay(true);
  connection->mState = connection->mTls ? state::Handshaking : state::Connected;
  aLoop.Add(connection->mSocket, connection.get(), false);
  return connection;
}

void
stream_connection::BeginConnect(const std::string& aAddress)
{
  try {
    mSocket.connectNB(Poco::Net::SocketAddress(aAddress));
    mLoop.Add(mSocket, this, true);
  } catch (const Poco::Exception&) {
    mLoop.Post([this, alive = std::weak_ptr<bool>(mAlive)] {
      if (!alive.expired() && IsOpen()) {
        Fail(close_cause::Refused, mLoop.Now());
      }
    });
  }
}

void
stream_connection::Send(std::string_view aBytes)
{
  if (!IsOpen() || mState == state::Alerted) {
    return;
  }
  if (!mTls) {
    mOutput.append(aBytes);
  } else if (IsConnected()) {
    mTls->Send(aBytes, mOutput);
  } else {
    mEarly.append(aBytes);
  }
  if (IsConnected()) {
    Flush(mLoop.Now());
  }
}

void
stream_connection::ResetOnClose(milliseconds aUnacknowledgedLimit)
{
  try {
    mSocket.setLinger(true, 0);
    mSocket.setOption(
      IPPROTO_TCP, TCP_USER_TIMEOUT, ToSocketOption(aUnacknowledgedLimit));
  } catch (const Poco::Exception&) {
    // The connection could not be begun, which is reported from the loop.
  }
}

void
stream_connection::Close()
{
  if (mState == state::Closed) {
    return;
  }
  if (mTls && IsConnected() && PendingOutput() == 0) {
    mTls->Close(mOutput);
    WriteOutput();
  }
  Detach();
}

bool
stream_connection::CloseAwaitingEnd(std::function<void(time_point)> aOnEnd)
{
  if (!IsConnected()) {
    Close();
    return false;
  }
  mOnEnd = std::move(aOnEnd);
  mOutput.clear();
  mOutputSent = 0;
  mLoop.SetWantWrite(mSocket, false);
  mLoop.SetWantRead(mSocket, true);
  EndOutput();
  return true;
}

void
stream_connection::CloseAfterOutput()
{
  mCloseAfterOutput = true;
  if (mTls && IsConnected() && PendingOutput() > 0) {
    mTls->Close(mOutput);
  }
  if (IsConnected() && PendingOutput() == 0) {
    Close();
  }
}

void
stream_connection::PauseInput()
{
  if (IsConnected()) {
    mLoop.SetWantRead(mSocket, false);
  }
}

void
stream_connection::ResumeInput()
{
  if (IsConnected()) {
    mLoop.SetWantRead(mSocket, true);
  }
}

void
stream_connection::PostInput()
{
  mLoop.Post([this, alive = std::weak_ptr<bool>(mAlive)] {
    if (!alive.expired() && IsConnected() && HasInput()) {
      OfferInput(mLoop.Now());
    }
  });
}

void
stream_connection::OfferInput(time_point aNow)
{
  mHandlers.mOnInput(mInput, aNow);
  ReleaseIfEmpty(mInput);
}

void
stream_connection::Detach()
{
  mState = state::Closed;
  mLoop.Remove(mSocket);
  try {
    mSocket.close();
  } catch (const Poco::Exception&) {
    // The descriptor is gone either way.
  }
}

void
stream_connection::Fail(close_cause aCause, time_point aNow)
{
  if (mState == state::Closed) {
    return;
  }
  Detach();
  if (mOnEnd) {
    const auto onEnd = std::move(mOnEnd);
    onEnd(aNow);
    return;
  }
  if (mHandlers.mOnClosed) {
    // Moved out so that the callback may replace this connection.
    auto onClosed = std::move(mHandlers.mOnClosed);
    onClosed(aCause, aNow);
  }
}

void
stream_connection::OnReadable(time_point aNow)
{
  if (mState == state::Connecting || mState == state::Closed) {
    return;
  }
  // One buffer a thread: idle connections keep none of their own.
  thread_local std::array<char, kReadChunkBytes> chunk;
  int received = 0;
  close_cause cause = close_cause::ClosedByPeer;
  try {
    received =
      mSocket.receiveBytes(chunk.data(), static_cast<int>(chunk.size()));
  } catch (const Poco::Exception&) {
    cause = close_cause::ResetByPeer;
  }
  if (received == 0) {
    Fail(mState == state::Alerted ? close_cause::TlsFailure : cause, aNow);
    return;
  }
  if (received < 0 || mOnEnd) {
    return;
  }
  const std::string_view bytes(chunk.data(),
                               static_cast<std::size_t>(received));
  if (mTls) {
    TakeRecords(bytes, aNow);
    return;
  }
  mInput.append(bytes);
  OfferInput(aNow);
}

void
stream_connection::TakeRecords(std::string_view aRecords, time_point aNow)
{
  if (mState == state::Alerted) {
    return;
  }
  const std::size_t before = mInput.size();
  const tls_state tls = mTls->Receive(aRecords, mInput, mOutput);
  if (mState == state::Handshaking && tls == tls_state::Established) {
    BecomeConnected(aNow);
  }
  if (IsOpen() && PendingOutput() > 0) {
    Flush(aNow);
  }
  if (IsConnected() && mInput.size() > before) {
    OfferInput(aNow);
  }
  if (tls == tls_state::Failed) {
    FailTls(aNow);
  } else if (tls == tls_state::Closed) {
    Fail(close_cause::ClosedByPeer, aNow);
  }
}

void
stream_connection::FailTls(time_point aNow)
{
  if (!IsOpen()) {
    return;
  }
  mState = state::Alerted;
  if (PendingOutput() == 0) {
    EndOutput();
  }
  mLoop.RunAt(aNow + kAlertLinger,
              [this, alive = std::weak_ptr<bool>(mAlive)](time_point aLater) {
                if (!alive.expired()) {
                  Fail(close_cause::TlsFailure, aLater);
                }
              });
}

void
stream_connection::EndOutput()
{
  try {
    mSocket.shutdownSend();
  } catch (const Poco::Exception&) {
    // The other end reset the connection, which the next read reports.
  }
}

void
stream_connection::OnWritable(time_point aNow)
{
  mBlocked = false;
  if (mState == state::Connecting) {
    FinishConnect(aNow);
  }
  if (mState != state::Connecting && IsOpen()) {
    Flush(aNow);
  }
}

void
stream_connection::OnSocketError(time_point aNow)
{
  Fail(mState == state::Connecting ? close_cause::Refused
                                   : close_cause::ClosedByPeer,
       aNow);
}

void
stream_connection::FinishConnect(time_point aNow)
{
  if (mSocket.impl()->socketError() != 0) {
    Fail(close_cause::Refused, aNow);
    return;
  }
  mSocket.setNoDelay(true);
  if (mTls) {
    mState = state::Handshaking;
    mTls->Start(mOutput);
    return;
  }
  BecomeConnected(aNow);
}

void
stream_connection::BecomeConnected(time_point aNow)
{
  mState = state::Connected;
  if (mTls) {
    mTls->Send(mEarly, mOutput);
    std::string().swap(mEarly);
  }
  if (mHandlers.mOnConnected) {
    mHandlers.mOnConnected(aNow);
  }
}

bool
stream_connection::WriteOutput()
{
  try {
    while (PendingOutput() > 0 && !mBlocked) {
      const int sent = mSocket.sendBytes(mOutput.data() + mOutputSent,
                                         static_cast<int>(PendingOutput()));
      if (sent <= 0) {
        break;
      }
      mOutputSent += static_cast<std::size_t>(sent);
    }
  } catch (const Poco::Exception& error) {
    // POCO reports a full socket buffer as an exception, too.
    mBlocked = error.code() == EAGAIN;
    if (!mBlocked) {
      return false;
    }
  }
  DropWritten();
  return true;
}

void
stream_connection::DropWritten()
{
  // A connection that always has output waiting would keep all of it. Half of
  // the buffer at a time keeps the cost of moving the rest constant a byte.
  if (mOutputSent >= kReadChunkBytes && mOutputSent >= PendingOutput()) {
    mOutput.erase(0, mOutputSent);
    mOutputSent = 0;
  }
}

void
stream_connection::Flush(time_point aNow)
{
  if (!WriteOutput()) {
    // The loop reports the broken socket; callers of Send() are not re-entered.
    mLoop.Post([this, alive = std::weak_ptr<bool>(mAlive)] {
      if (!alive.expired()) {
        Fail(close_cause::ClosedByPeer, mLoop.Now());
      }
    });
    return;
  }
  if (PendingOutput() == 0) {
    mOutput.clear();
    mOutputSent = 0;
    ReleaseIfEmpty(mOutput);
    mLoop.SetWantWrite(mSocket, false);
    if (mState == state::Alerted) {
      EndOutput();
    } else if (mCloseAfterOutput) {
      Close();
    }
    return;
  }
  if (PendingOutput() > kOutputLimitBytes) {
    mLoop.Post([this, alive = std::weak_ptr<bool>(mAlive)] {
      if (!alive.expired()) {
        Fail(close_cause::OutputOverflow, mLoop.Now());
      }
    });
    return;
  }
  (void)aNow;
  mLoop.SetWantWrite(mSocket, true);
}

} // namespace snipewalk
