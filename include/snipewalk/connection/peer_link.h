// A connection between two instances: mutual HMAC challenge, then requests and
// responses pipelined by request id, with pings that detect silence.
#ifndef SNIPEWALK_CONNECTION_PEER_LINK_H_
#define SNIPEWALK_CONNECTION_PEER_LINK_H_

#include "snipewalk/base/log.h"
#include "snipewalk/base/protocol_version.h"
#include "snipewalk/base/time.h"
#include "snipewalk/connection/event_loop.h"
#include "snipewalk/connection/peer_messages.h"
#include "snipewalk/connection/stream_connection.h"

#include <functional>
#include <memory>
#include <string>
#include <vector>

namespace Poco::Net {
class StreamSocket;
} // namespace Poco::Net

namespace snipewalk {

inline constexpr milliseconds kPeerPingInterval{ 1'000 };
inline constexpr milliseconds kPeerSilenceLimit{ 3'000 };
// Connect and handshake together.
inline constexpr milliseconds kPeerHandshakeLimit{ 1'000 };

struct peer_identity
{
  std::string mInstance;
  // All verify, the first signs. At least one.
  std::vector<std::string> mFleetKeys;
  version_range mVersions = kBuildVersions;
};

// Loop thread only. A handler must not destroy the link before it returned:
// post the destruction to the loop.
class peer_link
{
public:
  struct handlers
  {
    // The handshake is complete; messages may be sent.
    std::function<void(time_point aNow)> mOnReady;
    // Called once, not after Close(). `aWasReady` tells whether messages may
    // have reached the peer.
    std::function<void(bool aWasReady, time_point aNow)> mOnClosed;
    // A request or response.
    std::function<void(peer_message aMessage, time_point aNow)> mOnMessage;
  };

  // Connects to a peer whose name must be `aPeer`.
  static std::unique_ptr<peer_link> Connect(event_loop& aLoop,
                                            peer_identity aIdentity,
                                            const std::string& aPeer,
                                            const std::string& aAddress,
                                            handlers aHandlers);

  // Takes over an accepted socket.
  static std::unique_ptr<peer_link> Adopt(
    event_loop& aLoop,
    peer_identity aIdentity,
    const Poco::Net::StreamSocket& aSocket,
    handlers aHandlers);

  ~peer_link();
  peer_link(const peer_link&) = delete;
  peer_link& operator=(const peer_link&) = delete;

  // False, with no byte sent, before the handshake is complete and after the
  // link closed. Bytes are written when the loop's round ends or at Flush().
  bool Send(const peer_message& aMessage);
  // Writes messages collected by Send().
  void Flush();

  void Close();

  bool IsReady() const { return mPhase == phase::Ready; }
  bool IsClosed() const { return mPhase == phase::Closed; }
  // Name of the peer; empty before it is proven.
  const std::string& Peer() const { return mPeer; }
  // Highest version that both ends support; 0 before the link is ready.
  int Version() const { return mVersion; }

private:
  enum class phase
  {
    Connecting,
    // Connecting side: the hello is sent. Accepting side: waits for the hello.
    Greeting,
    // Accepting side: the challenge is sent.
    Challenged,
    Ready,
    Closed
  };

  peer_link(event_loop& aLoop, peer_identity aIdentity, handlers aHandlers);
  stream_connection::handlers StreamHandlers();
  void SendNow(const peer_message& aMessage);
  void OnConnected();
  void OnInput(std::string& aInput, time_point aNow);
  void OnMessage(peer_message aMessage, time_point aNow);
  // The fleet key that the proof was made with; null when it is none.
  const std::string* KeyOfProof(handshake_side aSide,
                                const std::string& aInstance,
                                const std::string& aNonce,
                                const std::string& aProof) const;
  void OnHello(const peer_hello& aHello, time_point aNow);
  void OnChallenge(const peer_challenge& aChallenge, time_point aNow);
  void OnProof(const peer_proof& aProof, time_point aNow);
  // Refuses a peer without a common version. Call once its proof is verified.
  void Negotiate(std::string_view aPeerNonce, time_point aNow);
  void BecomeReady(time_point aNow);
  void OnTimer(time_point aNow);
  void Arm(time_point aWhen);
  void Fail(std::string_view aCause,
            time_point aNow,
            log_level aLevel = log_level::Info);

  event_loop& mLoop;
  peer_identity mIdentity;
  handlers mHandlers;
  phase mPhase = phase::Connecting;
  bool mConnects = false;
  // Expected name on the connecting side; proven name once ready.
  std::string mExpectedPeer;
  std::string mPeer;
  peer_hello mHello;
  // Nonce of the accepting side.
  std::string mNonce;
  int mVersion = 0;
  time_point mLastInput;
  time_point mLastOutput;
  // Frames collected in this round.
  std::string mPending;
  event_loop::timer_id mTimer = 0;
  std::unique_ptr<stream_connection> mStream;
};

} // namespace snipewalk

#endif // SNIPEWALK_CONNECTION_PEER_LINK_H_
