// Implementation of a connection of the control port.
#include "control_link.h"

#include "fleet/fleet_codec.h"

#include "snipewalk/base/hmac.h"
#include "snipewalk/base/log.h"
#include "snipewalk/connection/frame_codec.h"

#include <openssl/rand.h>

#include <utility>

namespace snipewalk {

namespace {

constexpr std::size_t kNonceBytes = 32;
// Messages queued while a connection is being established.
constexpr std::size_t kMaxWaitingBytes = 4 * 1024 * 1024;

// Nonces that start with it state a range in the next bytes. A random nonce of
// version 1 does so once in 2^64 handshakes; 22 random bytes are left.
constexpr std::string_view kRangeMarker = "versions";

std::string
NewNonce(const version_range& aVersions)
{
  std::string nonce(kNonceBytes, '\0');
  RAND_bytes(reinterpret_cast<unsigned char*>(nonce.data()),
             static_cast<int>(nonce.size()));
  if (aVersions != kUnannouncedVersions) {
    const std::string stated =
      std::string(kRangeMarker) + EncodeVersions(aVersions);
    nonce.replace(0, stated.size(), stated);
  }
  return nonce;
}

std::string
ClientCode(const std::string& aKey,
           const std::string& aServerNonce,
           const control_hello& aHello)
{
  control_hello signedPart = aHello;
  signedPart.mCode.clear();
  return HmacSha256(aKey,
                    "snipewalk control client 1\n" + aServerNonce +
                      EncodeHello(signedPart));
}

std::string
ServerCode(const std::string& aKey,
           const std::string& aClientNonce,
           const std::string& aServerNonce)
{
  return HmacSha256(
    aKey, "snipewalk control server 1\n" + aClientNonce + aServerNonce);
}

} // namespace

control_link::control_link(control_port& aPort,
                           link_id aId,
                           const std::string& aTo)
  : mPort(aPort)
  , mId(aId)
  , mTo(aTo)
  , mPeer(aTo)
  , mState(state::AwaitNonce)
  , mOwnNonce(NewNonce(aPort.mOptions.mVersions))
  , mCreated(aPort.mLoop.Now())
  , mLastUse(mCreated)
  , mConnection(stream_connection::Connect(aPort.mLoop, aTo, Handlers()))
{
}

control_link::control_link(control_port& aPort,
                           link_id aId,
                           const Poco::Net::StreamSocket& aSocket)
  : mPort(aPort)
  , mId(aId)
  , mState(state::AwaitHello)
  , mOwnNonce(NewNonce(aPort.mOptions.mVersions))
  , mCreated(aPort.mLoop.Now())
  , mLastUse(mCreated)
  , mConnection(stream_connection::Adopt(aPort.mLoop, aSocket, Handlers()))
{
  Write(mOwnNonce);
}

stream_connection::handlers
control_link::Handlers()
{
  return { {},
           [this](std::string& aInput, time_point aNow) {
             OnInput(aInput, aNow);
           },
           [this](close_cause, time_point) { Close(); } };
}

void
control_link::Write(std::string_view aBody)
{
  std::string frame;
  AppendFrame(frame, aBody);
  mPort.mCounters.mBytesSent += frame.size();
  mConnection->Send(frame);
}

void
control_link::Send(fleet_message aMessage)
{
  mLastUse = mPort.mLoop.Now();
  const std::string bytes = EncodeFleetMessage(aMessage, mVersion);
  if (mState == state::Ready) {
    Write(bytes);
  } else if (mWaitingBytes + bytes.size() < kMaxWaitingBytes) {
    // The version is not known yet.
    mWaitingBytes += bytes.size();
    mWaiting.push_back(std::move(aMessage));
  }
}

void
control_link::Close()
{
  if (mState != state::Closed) {
    mState = state::Closed;
    mConnection->Close();
    mPort.Drop(mId);
  }
}

void
control_link::OnInput(std::string& aInput, time_point aNow)
{
  mLastUse = aNow;
  while (mState != state::Closed) {
    const std::size_t limit =
      mState == state::Ready ? kMaxFrameBytes : kHandshakeFrameLimitBytes;
    std::string_view rest = aInput;
    const auto payload = TakeFrame(rest, limit);
    if (payload.ok() && !*payload) {
      return;
    }
    std::string frame;
    if (payload.ok()) {
      // Handling the frame may close the connection and its buffer.
      frame = **payload;
      aInput.erase(0, aInput.size() - rest.size());
    }
    if (!payload.ok() || !OnFrame(frame, aNow)) {
      ++mPort.mCounters.mConnectionsRejected;
      Log(log_level::Warning,
          "control_port",
          mRefusal.empty()
            ? "Closing a control connection that breaks the protocol"
            : "Refusing a control connection",
          { { "peer", std::string_view(mPeer) },
            { "cause", std::string_view(mRefusal) },
            { "authenticated", mState == state::Ready } });
      Close();
      return;
    }
  }
}

bool
control_link::OnFrame(const std::string& aFrame, time_point aNow)
{
  switch (mState) {
    case state::AwaitNonce:
      return OnNonce(aFrame);
    case state::AwaitHello:
      return OnHello(aFrame);
    case state::AwaitProof:
      return OnProof(aFrame);
    case state::Ready:
      return OnMessage(aFrame, aNow);
    case state::Closed:
      break;
  }
  return false;
}

bool
control_link::Negotiate(std::string_view aPeerNonce)
{
  version_range peer = kUnannouncedVersions;
  if (aPeerNonce.starts_with(kRangeMarker)) {
    const auto stated = DecodeVersions(aPeerNonce.substr(kRangeMarker.size()));
    if (!stated) {
      mRefusal = "the peer states an invalid range of versions";
      return false;
    }
    peer = *stated;
  }
  const auto version = NegotiateVersion(mPort.mOptions.mVersions, peer);
  if (!version.ok()) {
    mRefusal = std::string(version.status().message());
    return false;
  }
  mVersion = *version;
  return true;
}

bool
control_link::OnNonce(const std::string& aFrame)
{
  if (aFrame.size() != kNonceBytes || mPort.mOptions.mKeys.empty() ||
      !Negotiate(aFrame)) {
    return false;
  }
  mPeerNonce = aFrame;
  control_hello hello{ mPort.mOptions.mName, mPort.mAddress, mOwnNonce, "" };
  hello.mCode = ClientCode(mPort.mOptions.mKeys.front(), mPeerNonce, hello);
  Write(EncodeHello(hello));
  mState = state::AwaitProof;
  return true;
}

bool
control_link::OnHello(const std::string& aFrame)
{
  const auto hello = DecodeHello(aFrame);
  if (!hello || hello->mNonce.size() != kNonceBytes) {
    return false;
  }
  for (const auto& key : mPort.mOptions.mKeys) {
    if (EqualInConstantTime(ClientCode(key, mOwnNonce, *hello), hello->mCode)) {
      mPeer = hello->mAddress;
      if (!Negotiate(hello->mNonce)) {
        return false;
      }
      Write(ServerCode(key, hello->mNonce, mOwnNonce));
      mState = state::Ready;
      return true;
    }
  }
  return false;
}

bool
control_link::OnProof(const std::string& aFrame)
{
  for (const auto& key : mPort.mOptions.mKeys) {
    if (EqualInConstantTime(ServerCode(key, mOwnNonce, mPeerNonce), aFrame)) {
      mState = state::Ready;
      for (const auto& message : std::exchange(mWaiting, {})) {
        Write(EncodeFleetMessage(message, mVersion));
      }
      return true;
    }
  }
  return false;
}

bool
control_link::OnMessage(const std::string& aFrame, time_point aNow)
{
  auto message = DecodeFleetMessage(aFrame);
  if (!message) {
    return false;
  }
  mPort.mHandlers.mOnMessage(mId, mPeer, std::move(*message), aNow);
  return true;
}

} // namespace snipewalk
