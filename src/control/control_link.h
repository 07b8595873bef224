// One TCP connection of the control port with its handshake:
//
//   server -> client   nonce of the server
//   client -> server   hello: name, control address, nonce of the client and
//                      HMAC(key, "client", server nonce, name, address,
//                      client nonce)
//   server -> client   HMAC(key, "server", client nonce, server nonce)
//
// Then both sides send messages. The direction is part of the code, so that a
// server cannot be made to answer its own challenge.
//
// The nonces state the range of versions, because version 1 knows no other
// variable part of this handshake; the codes cover both nonces. Each end
// encodes for the highest common version.
#ifndef SNIPEWALK_CONTROL_CONTROL_LINK_H_
#define SNIPEWALK_CONTROL_CONTROL_LINK_H_

#include "snipewalk/base/protocol_version.h"
#include "snipewalk/connection/stream_connection.h"
#include "snipewalk/control/control_port.h"

#include <memory>
#include <string>
#include <vector>

namespace snipewalk {

class control_link
{
public:
  // Client side.
  control_link(control_port& aPort, link_id aId, const std::string& aTo);
  // Server side.
  control_link(control_port& aPort,
               link_id aId,
               const Poco::Net::StreamSocket& aSocket);

  void Send(fleet_message aMessage);

  bool IsReady() const { return mState == state::Ready; }
  bool IsOutgoing() const { return !mTo.empty(); }
  const std::string& To() const { return mTo; }
  // Sending does not keep a connection that never gets ready.
  time_point LastUse() const { return IsReady() ? mLastUse : mCreated; }

private:
  enum class state
  {
    // Client: waits for the server's nonce.
    AwaitNonce,
    // Server: waits for the hello.
    AwaitHello,
    // Client: waits for the server's proof.
    AwaitProof,
    Ready,
    Closed
  };

  stream_connection::handlers Handlers();
  void OnInput(std::string& aInput, time_point aNow);
  // False ends the connection.
  bool OnFrame(const std::string& aFrame, time_point aNow);
  bool OnNonce(const std::string& aFrame);
  bool OnHello(const std::string& aFrame);
  bool OnProof(const std::string& aFrame);
  bool OnMessage(const std::string& aFrame, time_point aNow);
  // Sets the version; false, with mRefusal set, without a common one.
  bool Negotiate(std::string_view aPeerNonce);
  void Write(std::string_view aBody);
  void Close();

  control_port& mPort;
  link_id mId;
  // Empty on the server side.
  std::string mTo;
  // Control address of the other end.
  std::string mPeer;
  state mState;
  std::string mOwnNonce;
  std::string mPeerNonce;
  int mVersion = kOldestProtocolVersion;
  // Why the versions do not match; empty otherwise.
  std::string mRefusal;
  // Messages waiting for the end of the handshake, and their encoded size.
  std::vector<fleet_message> mWaiting;
  std::size_t mWaitingBytes = 0;
  time_point mCreated;
  time_point mLastUse;
  std::unique_ptr<stream_connection> mConnection;
};

} // namespace snipewalk

#endif // SNIPEWALK_CONTROL_CONTROL_LINK_H_
