// Tests of the connection between two instances.
#include "snipewalk/connection/listener.h"
#include "snipewalk/connection/peer_link.h"

#include <gtest/gtest.h>

namespace snipewalk {
namespace {

// Two ends of a link on one loop.
class link_pair
{
public:
  link_pair(const std::vector<std::string>& aConnectingKeys,
            const std::vector<std::string>& aAcceptingKeys,
            const std::string& aExpectedPeer = "b")
  {
    mListener = *listener::Open(
      mLoop,
      "127.0.0.1:0",
      [this, aAcceptingKeys](const Poco::Net::StreamSocket& aSocket,
                             time_point) {
        mAccepted = peer_link::Adopt(
          mLoop, { "b", aAcceptingKeys }, aSocket, Handlers(mAcceptedReady));
      });
    mConnected = peer_link::Connect(mLoop,
                                    { "a", aConnectingKeys },
                                    aExpectedPeer,
                                    mListener->Address(),
                                    Handlers(mConnectedReady));
  }

  peer_link::handlers Handlers(bool& aReady)
  {
    peer_link::handlers handlers;
    handlers.mOnReady = [this, &aReady](time_point) {
      aReady = true;
      if (mOnReady) {
        mOnReady();
      }
    };
    handlers.mOnClosed = [this](bool aWasReady, time_point) {
      mClosedWhenReady = aWasReady;
      ++mClosed;
      mLoop.Stop();
    };
    handlers.mOnMessage = [this](peer_message aMessage, time_point) {
      mMessages.push_back(std::move(aMessage));
      if (mOnMessage) {
        mOnMessage();
      }
    };
    return handlers;
  }

  event_loop mLoop;
  std::unique_ptr<listener> mListener;
  std::unique_ptr<peer_link> mConnected;
  std::unique_ptr<peer_link> mAccepted;
  bool mConnectedReady = false;
  bool mAcceptedReady = false;
  int mClosed = 0;
  bool mClosedWhenReady = false;
  std::vector<peer_message> mMessages;
  std::function<void()> mOnReady;
  std::function<void()> mOnMessage;
};

statement_request
Request(const std::string& aId)
{
  statement_request request;
  request.mRequestId = aId;
  request.mService = "register";
  request.mAccount = "fassnetz";
  request.mBody = "get a";
  request.mDeadline = std::chrono::steady_clock::now() + seconds(5);
  return request;
}

// Guards against pipelined requests and responses that are lost or mixed up.
TEST(PeerLinkTest, PipelinesRequestsAndResponses)
{
  link_pair link({ "key" }, { "key" });
  link.mOnReady = [&] {
    for (int i = 0; i < 50 && link.mConnectedReady; ++i) {
      link.mConnected->Send(Request("r" + std::to_string(i)));
    }
    link.mConnected->Flush();
  };
  link.mOnMessage = [&] {
    const auto* request =
      std::get_if<statement_request>(&link.mMessages.back());
    if (request) {
      statement_response response;
      response.mRequestId = request->mRequestId;
      response.mOutcome = statement_outcome::Done;
      link.mAccepted->Send(response);
      link.mAccepted->Flush();
    } else if (std::get<statement_response>(link.mMessages.back()).mRequestId ==
               "r49") {
      link.mLoop.Stop();
    }
  };
  link.mLoop.Run();
  EXPECT_EQ(link.mConnected->Peer(), "b");
  EXPECT_EQ(link.mAccepted->Peer(), "a");
  EXPECT_GE(link.mMessages.size(), 100U);
}

// Guards against an instance without the fleet key that sends statements.
TEST(PeerLinkTest, RefusesPeerWithoutFleetKey)
{
  link_pair link({ "other" }, { "key" });
  link.mLoop.Run();
  EXPECT_EQ(link.mClosed, 1);
  EXPECT_FALSE(link.mClosedWhenReady);
  EXPECT_FALSE(link.mConnectedReady);
  EXPECT_FALSE(link.mAcceptedReady);
  EXPECT_FALSE(link.mConnected->Send(Request("r")));
}

// Guards against a rotation of the fleet key that separates instances which
// sign with different keys but know both.
TEST(PeerLinkTest, AcceptsAnyKnownFleetKey)
{
  using keys = std::vector<std::string>;
  const keys before{ "old", "new" };
  const keys after{ "new", "old" };
  for (const auto& [connecting, accepting] :
       { std::pair(before, after),
         std::pair(after, before),
         std::pair(keys{ "old" }, before),
         std::pair(before, keys{ "new" }) }) {
    link_pair link(connecting, accepting);
    link.mOnReady = [&] {
      if (link.mConnectedReady && link.mAcceptedReady) {
        link.mLoop.Stop();
      }
    };
    link.mLoop.Run();
    EXPECT_TRUE(link.mConnectedReady && link.mAcceptedReady);
  }
}

// Guards against requests that reach another instance at a reused address.
TEST(PeerLinkTest, RefusesAnotherInstance)
{
  link_pair link({ "key" }, { "key" }, "c");
  link.mLoop.Run();
  EXPECT_FALSE(link.mConnectedReady);
}

// Guards against a proof that is reflected to its author: the sides differ.
TEST(PeerLinkTest, ProofsOfTheTwoSidesDiffer)
{
  const peer_hello hello{ "a", "nonce" };
  EXPECT_NE(HandshakeProof("key", handshake_side::Connecting, hello, "b", "n2"),
            HandshakeProof("key", handshake_side::Accepting, hello, "b", "n2"));
}

// Guards against a peer that accepts connections but stays silent for ever.
TEST(PeerLinkTest, ClosesWithoutHandshake)
{
  event_loop loop;
  Poco::Net::ServerSocket silent(Poco::Net::SocketAddress("127.0.0.1", 0));
  bool closed = false;
  peer_link::handlers handlers;
  handlers.mOnClosed = [&](bool aWasReady, time_point) {
    closed = !aWasReady;
    loop.Stop();
  };
  const auto link = peer_link::Connect(loop,
                                       { "a", { "key" } },
                                       "b",
                                       silent.address().toString(),
                                       std::move(handlers));
  loop.Run();
  EXPECT_TRUE(closed);
}

// Guards against messages that change on their way through msgpack.
TEST(PeerMessagesTest, RoundTripsAllFields)
{
  const time_point now{ seconds(50) };
  statement_request request = Request("r1");
  request.mKind = statement_kind::Commit;
  request.mSession = "session";
  request.mMaxAge = milliseconds(7);
  request.mTransaction = "transaction";
  request.mIdempotencyKey = "key";
  request.mBody = std::string("a\0\xff", 3);
  request.mDeadline = now + milliseconds(90);
  const auto decoded =
    DecodePeerMessage(EncodePeerMessage(request, now), now + seconds(1));
  ASSERT_TRUE(decoded.ok());
  const auto& copy = std::get<statement_request>(*decoded);
  EXPECT_EQ(copy.mKind, request.mKind);
  EXPECT_EQ(copy.mSession, request.mSession);
  EXPECT_EQ(copy.mMaxAge, request.mMaxAge);
  EXPECT_EQ(copy.mTransaction, request.mTransaction);
  EXPECT_EQ(copy.mIdempotencyKey, request.mIdempotencyKey);
  EXPECT_EQ(copy.mBody, request.mBody);
  // The remaining time counts from the receipt.
  EXPECT_EQ(copy.mDeadline, now + seconds(1) + milliseconds(90));
}

} // namespace
} // namespace snipewalk
