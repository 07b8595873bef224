// Implementation of the stand-ins' HTTP server.
#include "standins/http_service.h"

#include <Poco/Exception.h>
#include <Poco/Net/SocketAddress.h>

#include <utility>

namespace snipewalk::standins {

namespace {

constexpr int kBacklog = 1024;
// A stream closes silently after its last output, so it is looked at again.
constexpr milliseconds kCloseCheck{ 5 };
// Statements of tests stay below the proxy's own limit of 1 MiB; the store's
// values may reach it.
constexpr http_limits kLimits{ 32 * 1024, 4 * 1024 * 1024 };

} // namespace

http_service::http_service(event_loop& aLoop, handlers aHandlers)
  : mLoop(aLoop)
  , mHandlers(std::move(aHandlers))
{
}

http_service::~http_service()
{
  Shut();
}

std::uint16_t
http_service::Listen(std::uint16_t aPort)
{
  mSocket = Poco::Net::ServerSocket();
  mSocket.bind(Poco::Net::SocketAddress("127.0.0.1", aPort), true);
  mSocket.listen(kBacklog);
  mSocket.setBlocking(false);
  mLoop.Add(mSocket, this, false);
  mListening = true;
  return mSocket.address().port();
}

void
http_service::Shut()
{
  if (mListening) {
    mLoop.Remove(mSocket);
    mSocket.close();
    mListening = false;
  }
  while (!mConnections.empty()) {
    Close(mConnections.begin()->first);
  }
}

void
http_service::OnReadable(time_point aNow)
{
  while (mListening && mSocket.poll(0, Poco::Net::Socket::SELECT_READ)) {
    Poco::Net::StreamSocket socket;
    try {
      socket = mSocket.acceptConnection();
    } catch (const Poco::Exception&) {
      return;
    }
    if (mSetUpDelay == milliseconds(0)) {
      Open(socket);
      continue;
    }
    mLoop.RunAt(
      aNow + mSetUpDelay,
      [this, socket, alive = std::weak_ptr<bool>(mAlive)](time_point) {
        if (!alive.expired()) {
          Open(socket);
        }
      });
  }
}

void
http_service::Open(const Poco::Net::StreamSocket& aSocket)
{
  const connection_number number = mNext++;
  client& opened = mConnections[number];
  opened.mReader = http_reader(kLimits);
  stream_connection::handlers callbacks;
  callbacks.mOnInput = [this, number](std::string& aInput, time_point aNow) {
    const auto found = mConnections.find(number);
    if (found == mConnections.end()) {
      return;
    }
    found->second.mPending += aInput;
    aInput.clear();
    Read(number, aNow);
  };
  callbacks.mOnClosed = [this, number](close_cause, time_point) {
    Release(number);
    mHandlers.mOnClosed(number);
  };
  try {
    opened.mStream =
      stream_connection::Adopt(mLoop, aSocket, std::move(callbacks));
  } catch (const Poco::Exception&) {
    // The peer was gone before the set-up delay passed.
    mConnections.erase(number);
    return;
  }
  if (mHandlers.mOnOpened) {
    mHandlers.mOnOpened(number);
  }
}

void
http_service::Read(connection_number aConnection, time_point aNow)
{
  const auto found = mConnections.find(aConnection);
  if (found == mConnections.end() || found->second.mBusy) {
    return;
  }
  client& reading = found->second;
  auto request = reading.mReader.ReadRequest(reading.mPending);
  if (!request.ok()) {
    http_response refusal = JsonResponse(400, "{\"error\":\"malformed\"}");
    refusal.mKeepAlive = false;
    reading.mStream->Send(WriteResponse(refusal));
    Close(aConnection);
    return;
  }
  if (request->has_value()) {
    reading.mBusy = true;
    reading.mKeepAlive = (*request)->mKeepAlive;
    mHandlers.mOnRequest(aConnection, **std::move(request), aNow);
  }
}

void
http_service::Answer(connection_number aConnection,
                     const http_response& aResponse)
{
  const auto found = mConnections.find(aConnection);
  if (found == mConnections.end() || !found->second.mBusy) {
    return;
  }
  client& answered = found->second;
  http_response response = aResponse;
  response.mKeepAlive = answered.mKeepAlive && aResponse.mKeepAlive;
  answered.mBusy = false;
  answered.mStream->Send(WriteResponse(response));
  if (!response.mKeepAlive) {
    // The peer closes after it read the answer; half-read input is dropped.
    answered.mBusy = true;
    answered.mStream->CloseAfterOutput();
    ReleaseOnceClosed(aConnection);
    return;
  }
  if (!answered.mPending.empty()) {
    // Posted so that pipelined requests cannot recurse.
    mLoop.Post([this, aConnection, alive = std::weak_ptr<bool>(mAlive)] {
      if (!alive.expired()) {
        Read(aConnection, mLoop.Now());
      }
    });
  }
}

void
http_service::ReleaseOnceClosed(connection_number aConnection)
{
  const auto found = mConnections.find(aConnection);
  if (found == mConnections.end()) {
    return;
  }
  if (!found->second.mStream->IsOpen()) {
    Release(aConnection);
    mHandlers.mOnClosed(aConnection);
    return;
  }
  mLoop.RunAt(
    mLoop.Now() + kCloseCheck,
    [this, aConnection, alive = std::weak_ptr<bool>(mAlive)](time_point) {
      if (!alive.expired()) {
        ReleaseOnceClosed(aConnection);
      }
    });
}

void
http_service::Close(connection_number aConnection)
{
  const auto found = mConnections.find(aConnection);
  if (found != mConnections.end()) {
    found->second.mStream->Close();
    Release(aConnection);
  }
}

void
http_service::Release(connection_number aConnection)
{
  const auto found = mConnections.find(aConnection);
  if (found == mConnections.end()) {
    return;
  }
  // std::function needs a copyable owner.
  auto stream = std::make_shared<std::unique_ptr<stream_connection>>(
    std::move(found->second.mStream));
  mConnections.erase(found);
  mLoop.Post([stream] {});
}

http_response
JsonResponse(int aStatus, std::string aBody)
{
  http_response response;
  response.mStatus = aStatus;
  response.mHeaders.Add("Content-Type", "application/json");
  response.mBody = std::move(aBody);
  return response;
}

} // namespace snipewalk::standins
