// Implementation of the connection between two instances.
#include "snipewalk/connection/peer_link.h"

#include "snipewalk/base/hmac.h"
#include "snipewalk/base/log.h"
#include "snipewalk/connection/frame_codec.h"

#include <Poco/Net/StreamSocket.h>

#include <algorithm>
#include <utility>

namespace snipewalk {

namespace {

std::string_view
TextOf(const absl::Status& aStatus)
{
  return { aStatus.message().data(), aStatus.message().size() };
}

} // namespace

peer_link::peer_link(event_loop& aLoop,
                     peer_identity aIdentity,
                     handlers aHandlers)
  : mLoop(aLoop)
  , mIdentity(std::move(aIdentity))
  , mHandlers(std::move(aHandlers))
  , mLastInput(aLoop.Now())
  , mLastOutput(aLoop.Now())
{
}

peer_link::~peer_link()
{
  Close();
}

stream_connection::handlers
peer_link::StreamHandlers()
{
  stream_connection::handlers stream;
  stream.mOnConnected = [this](time_point) { OnConnected(); };
  stream.mOnInput = [this](std::string& aInput, time_point aNow) {
    OnInput(aInput, aNow);
  };
  stream.mOnClosed = [this](close_cause, time_point aNow) {
    Fail("connection closed", aNow);
  };
  return stream;
}

std::unique_ptr<peer_link>
peer_link::Connect(event_loop& aLoop,
                   peer_identity aIdentity,
                   const std::string& aPeer,
                   const std::string& aAddress,
                   handlers aHandlers)
{
  std::unique_ptr<peer_link> link(
    new peer_link(aLoop, std::move(aIdentity), std::move(aHandlers)));
  link->mConnects = true;
  link->mExpectedPeer = aPeer;
  link->Arm(aLoop.Now() + kPeerHandshakeLimit);
  link->mStream =
    stream_connection::Connect(aLoop, aAddress, link->StreamHandlers());
  return link;
}

std::unique_ptr<peer_link>
peer_link::Adopt(event_loop& aLoop,
                 peer_identity aIdentity,
                 const Poco::Net::StreamSocket& aSocket,
                 handlers aHandlers)
{
  std::unique_ptr<peer_link> link(
    new peer_link(aLoop, std::move(aIdentity), std::move(aHandlers)));
  link->mPhase = phase::Greeting;
  link->Arm(aLoop.Now() + kPeerHandshakeLimit);
  link->mStream =
    stream_connection::Adopt(aLoop, aSocket, link->StreamHandlers());
  return link;
}

void
peer_link::Arm(time_point aWhen)
{
  mTimer = mLoop.RunAt(aWhen, [this](time_point aNow) {
    mTimer = 0;
    OnTimer(aNow);
  });
}

void
peer_link::Close()
{
  if (mPhase == phase::Closed) {
    return;
  }
  mPhase = phase::Closed;
  mLoop.Cancel(mTimer);
  if (mStream) {
    mStream->Close();
  }
}

void
peer_link::Fail(std::string_view aCause, time_point aNow, log_level aLevel)
{
  if (mPhase == phase::Closed) {
    return;
  }
  const bool wasReady = IsReady();
  Log(aLevel,
      "peer_link",
      "link to a peer ended",
      { { "peer", mPeer.empty() ? mExpectedPeer : mPeer },
        { "cause", aCause },
        { "ready", wasReady } });
  Close();
  if (mHandlers.mOnClosed) {
    mHandlers.mOnClosed(wasReady, aNow);
  }
}

bool
peer_link::Send(const peer_message& aMessage)
{
  if (!IsReady()) {
    return false;
  }
  AppendFrame(mPending, EncodePeerMessage(aMessage, mLoop.Now()));
  return true;
}

void
peer_link::Flush()
{
  if (mPending.empty() || mPhase == phase::Closed) {
    return;
  }
  mLastOutput = mLoop.Now();
  mStream->Send(mPending);
  std::string().swap(mPending);
}

void
peer_link::SendNow(const peer_message& aMessage)
{
  AppendFrame(mPending, EncodePeerMessage(aMessage, mLoop.Now()));
  Flush();
}

void
peer_link::OnConnected()
{
  mPhase = phase::Greeting;
  mHello = { mIdentity.mInstance, MakeNonce(mIdentity.mVersions) };
  SendNow(mHello);
}

void
peer_link::OnInput(std::string& aInput, time_point aNow)
{
  mLastInput = aNow;
  std::string_view rest(aInput);
  while (mPhase != phase::Closed) {
    const auto frame =
      TakeFrame(rest, IsReady() ? kFrameLimitBytes : kHandshakeFrameLimitBytes);
    if (!frame.ok()) {
      Fail(TextOf(frame.status()), aNow);
      return;
    }
    if (!*frame) {
      break;
    }
    auto message = DecodePeerMessage(**frame, aNow);
    if (!message.ok()) {
      Fail(TextOf(message.status()), aNow);
      return;
    }
    OnMessage(*std::move(message), aNow);
  }
  aInput.erase(0, aInput.size() - rest.size());
}

void
peer_link::OnMessage(peer_message aMessage, time_point aNow)
{
  if (IsReady()) {
    if (std::holds_alternative<peer_ping>(aMessage)) {
      SendNow(peer_pong());
    } else if (std::holds_alternative<statement_request>(aMessage) ||
               std::holds_alternative<outcome_request>(aMessage) ||
               std::holds_alternative<statement_response>(aMessage)) {
      mHandlers.mOnMessage(std::move(aMessage), aNow);
    } else if (!std::holds_alternative<peer_pong>(aMessage)) {
      Fail("handshake message on an established link", aNow);
    }
    return;
  }
  if (const auto* hello = std::get_if<peer_hello>(&aMessage)) {
    OnHello(*hello, aNow);
  } else if (const auto* challenge = std::get_if<peer_challenge>(&aMessage)) {
    OnChallenge(*challenge, aNow);
  } else if (const auto* proof = std::get_if<peer_proof>(&aMessage)) {
    OnProof(*proof, aNow);
  } else {
    Fail("message before the handshake", aNow);
  }
}

const std::string*
peer_link::KeyOfProof(handshake_side aSide,
                      const std::string& aInstance,
                      const std::string& aNonce,
                      const std::string& aProof) const
{
  for (const auto& key : mIdentity.mFleetKeys) {
    if (EqualInConstantTime(
          HandshakeProof(key, aSide, mHello, aInstance, aNonce), aProof)) {
      return &key;
    }
  }
  return nullptr;
}

void
peer_link::OnHello(const peer_hello& aHello, time_point aNow)
{
  if (mConnects || mPhase != phase::Greeting || aHello.mNonce.empty()) {
    Fail("unexpected hello", aNow);
    return;
  }
  mHello = aHello;
  mNonce = MakeNonce(mIdentity.mVersions);
  mPhase = phase::Challenged;
  SendNow(peer_challenge{ mIdentity.mInstance,
                          mNonce,
                          HandshakeProof(mIdentity.mFleetKeys.front(),
                                         handshake_side::Accepting,
                                         mHello,
                                         mIdentity.mInstance,
                                         mNonce) });
}

void
peer_link::OnChallenge(const peer_challenge& aChallenge, time_point aNow)
{
  const std::string* key = KeyOfProof(handshake_side::Accepting,
                                      aChallenge.mInstance,
                                      aChallenge.mNonce,
                                      aChallenge.mProof);
  if (!mConnects || mPhase != phase::Greeting || aChallenge.mNonce.empty() ||
      key == nullptr) {
    Fail("peer does not know the fleet key", aNow);
    return;
  }
  if (aChallenge.mInstance != mExpectedPeer) {
    Fail("another instance answers at this address", aNow);
    return;
  }
  Negotiate(aChallenge.mNonce, aNow);
  if (IsClosed()) {
    return;
  }
  // The peer is known to have this key, whichever one signs here.
  SendNow(peer_proof{ HandshakeProof(*key,
                                     handshake_side::Connecting,
                                     mHello,
                                     aChallenge.mInstance,
                                     aChallenge.mNonce) });
  mPeer = aChallenge.mInstance;
  BecomeReady(aNow);
}

void
peer_link::OnProof(const peer_proof& aProof, time_point aNow)
{
  if (mConnects || mPhase != phase::Challenged ||
      KeyOfProof(handshake_side::Connecting,
                 mIdentity.mInstance,
                 mNonce,
                 aProof.mProof) == nullptr) {
    Fail("peer does not know the fleet key", aNow);
    return;
  }
  mPeer = mHello.mInstance;
  Negotiate(mHello.mNonce, aNow);
  if (!IsClosed()) {
    BecomeReady(aNow);
  }
}

void
peer_link::Negotiate(std::string_view aPeerNonce, time_point aNow)
{
  const auto versions = VersionsOfNonce(aPeerNonce);
  if (!versions) {
    Fail("peer states an invalid range of versions", aNow, log_level::Warning);
    return;
  }
  const auto version = NegotiateVersion(mIdentity.mVersions, *versions);
  if (!version.ok()) {
    Fail(TextOf(version.status()), aNow, log_level::Warning);
    return;
  }
  mVersion = *version;
}

void
peer_link::BecomeReady(time_point aNow)
{
  mPhase = phase::Ready;
  mLoop.Cancel(mTimer);
  Arm(aNow + kPeerPingInterval);
  if (mHandlers.mOnReady) {
    mHandlers.mOnReady(aNow);
  }
}

void
peer_link::OnTimer(time_point aNow)
{
  if (!IsReady()) {
    Fail("handshake takes too long", aNow);
    return;
  }
  if (aNow - mLastInput >= kPeerSilenceLimit) {
    Fail("peer is silent", aNow);
    return;
  }
  if (aNow - mLastInput >= kPeerPingInterval ||
      aNow - mLastOutput >= kPeerPingInterval) {
    SendNow(peer_ping());
  }
  Arm(std::min(aNow + kPeerPingInterval, mLastInput + kPeerSilenceLimit));
}

} // namespace snipewalk
