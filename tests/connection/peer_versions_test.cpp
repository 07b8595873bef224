// Tests of the versions of the messages on the peer port.
#include "snipewalk/connection/listener.h"
#include "snipewalk/connection/peer_link.h"

#include <absl/strings/escaping.h>

#include <gtest/gtest.h>
#include <msgpack.hpp>

#include <array>

namespace snipewalk {
namespace {

const time_point kNow{ seconds(1'000) };
// Version 1 refuses longer nonces.
constexpr std::size_t kNonceLimitBytes = 16;

// Hello to response, recorded from the build before versions were stated; the
// versions 1 and 2 encode all of them alike.
constexpr std::array<std::string_view, 8> kRecorded{
  "9300c4026931c4106e6e6e6e6e6e6e6e6e6e6e6e6e6e6e6e",
  "9401c4026932c4106d6d6d6d6d6d6d6d6d6d6d6d6d6d6d6dc4207070707070707070707070"
  "707070707070707070707070707070707070707070",
  "9202c4207070707070707070707070707070707070707070707070707070707070707070",
  "9103",
  "9104",
  "9b05c403312d31c4087265676973746572c408666173736e65747a01c40014c400c40a6661"
  "73736e65747a2f6bc40773657420612031cd07d0",
  "9606c403312d32c4087265676973746572c408666173736e65747ac4016bcd03e8",
  "9d07c403312d310000c40000c4026f6bc400c40003c400c400c2"
};

// Guards against a build that no longer understands, or no longer sends, the
// messages of a version that it supports.
TEST(PeerVersionsTest, RecordedMessagesStayValid)
{
  for (const auto hex : kRecorded) {
    const std::string bytes =
      absl::HexStringToBytes({ hex.data(), hex.size() });
    const auto message = DecodePeerMessage(bytes, kNow);
    ASSERT_TRUE(message.ok()) << hex;
    EXPECT_EQ(EncodePeerMessage(*message, kNow), bytes) << hex;
  }
}

// Guards against later versions that cannot add fields, and against unbounded
// ones.
TEST(PeerVersionsTest, IgnoresSomeExtraFields)
{
  const auto pong = [](std::uint32_t aExtra) {
    msgpack::sbuffer buffer;
    msgpack::packer<msgpack::sbuffer> packer(buffer);
    packer.pack_array(1 + aExtra);
    packer.pack(4);
    for (std::uint32_t i = 0; i < aExtra; ++i) {
      packer.pack_array(1);
      packer.pack(7);
    }
    return DecodePeerMessage({ buffer.data(), buffer.size() }, kNow);
  };
  EXPECT_TRUE(pong(1).ok());
  EXPECT_TRUE(pong(16).ok());
  EXPECT_FALSE(pong(17).ok());
}

// Guards against nonces that version 1 refuses or takes for a range.
TEST(PeerVersionsTest, NoncesStateTheRange)
{
  for (const version_range range :
       { version_range{ 1, 1 }, version_range{ 1, 2 } }) {
    const std::string nonce = MakeNonce(range);
    EXPECT_LE(nonce.size(), kNonceLimitBytes);
    EXPECT_EQ(VersionsOfNonce(nonce), range);
    EXPECT_NE(nonce, MakeNonce(range));
  }
  EXPECT_EQ(VersionsOfNonce(std::string(15, '\0')), std::nullopt);
}

struct handshake_result
{
  int mConnecting = 0;
  int mAccepting = 0;
  // Frames that arrived as requests.
  int mMessages = 0;
};

handshake_result
Handshake(const version_range& aConnecting, const version_range& aAccepting)
{
  event_loop loop;
  std::unique_ptr<peer_link> accepted;
  std::unique_ptr<peer_link> connected;
  handshake_result result;
  const auto handlers = [&](bool aSends) {
    peer_link::handlers made;
    made.mOnReady = [&, aSends](time_point) {
      if (aSends) {
        statement_request request;
        request.mRequestId = request.mService = request.mAccount = "r";
        connected->Send(request);
        connected->Flush();
      }
    };
    made.mOnClosed = [&](bool, time_point) { loop.Stop(); };
    made.mOnMessage = [&](const peer_message&, time_point) {
      ++result.mMessages;
      loop.Stop();
    };
    return made;
  };
  const auto port = *listener::Open(
    loop,
    "127.0.0.1:0",
    [&](const Poco::Net::StreamSocket& aSocket, time_point) {
      accepted = peer_link::Adopt(
        loop, { "b", { "key" }, aAccepting }, aSocket, handlers(false));
    });
  connected = peer_link::Connect(loop,
                                 { "a", { "key" }, aConnecting },
                                 "b",
                                 port->Address(),
                                 handlers(true));
  loop.Run();
  result.mConnecting = connected->Version();
  result.mAccepting = accepted->Version();
  return result;
}

// Guards against a mixed fleet whose instances do not connect, and against ends
// that use different versions.
TEST(PeerVersionsTest, BothEndsUseTheHighestCommonVersion)
{
  for (int connecting = 1; connecting <= 2; ++connecting) {
    for (int accepting = 1; accepting <= 2; ++accepting) {
      const auto result = Handshake({ 1, connecting }, { 1, accepting });
      EXPECT_EQ(result.mConnecting, std::min(connecting, accepting));
      EXPECT_EQ(result.mAccepting, std::min(connecting, accepting));
      EXPECT_EQ(result.mMessages, 1);
    }
  }
}

// Guards against an instance that takes requests in a version it does not know.
TEST(PeerVersionsTest, RefusesAPeerWithoutACommonVersion)
{
  for (const bool swap : { false, true }) {
    const version_range old{ 1, 2 };
    const version_range later{ 3, 4 };
    const auto result = Handshake(swap ? old : later, swap ? later : old);
    EXPECT_EQ(result.mConnecting, 0);
    EXPECT_EQ(result.mAccepting, 0);
    EXPECT_EQ(result.mMessages, 0);
  }
}

// Guards against a third party that changes the range on the way: the proofs
// cover the nonces.
TEST(PeerVersionsTest, ProofCoversTheRange)
{
  peer_hello hello{ "a", MakeNonce({ 1, 2 }) };
  const auto proof = [&] {
    return HandshakeProof("key", handshake_side::Accepting, hello, "b", "n");
  };
  const std::string original = proof();
  hello.mNonce[1] = 1;
  EXPECT_NE(proof(), original);
}

} // namespace
} // namespace snipewalk
