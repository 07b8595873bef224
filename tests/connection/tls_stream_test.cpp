// Tests of connections with TLS on real sockets and one loop.
#include "snipewalk/connection/listener.h"
#include "snipewalk/connection/stream_connection.h"
#include "standins/certificate_maker.h"

#include <gtest/gtest.h>

#include <optional>

namespace snipewalk {
namespace {

using standins::certificate_maker;

constexpr milliseconds kTestLimit{ 20'000 };

// A client and a server connection on one loop.
class TlsStreamTest : public ::testing::Test
{
protected:
  void SetUp() override
  {
    auto opened = listener::Open(
      mLoop,
      "127.0.0.1:0",
      [this](const Poco::Net::StreamSocket& aSocket, time_point) {
        mServer = stream_connection::Adopt(
          mLoop,
          aSocket,
          HandlersOf(mServerInput, mServerClosed, mOnServerConnected),
          tls_session::Server(mServerContext));
      });
    ASSERT_TRUE(opened.ok()) << opened.status();
    mListener = *std::move(opened);
    mLoop.RunAt(mLoop.Now() + kTestLimit, [this](time_point) {
      ADD_FAILURE() << "the test does not end";
      mLoop.Stop();
    });
  }

  stream_connection::handlers HandlersOf(std::string& aInput,
                                         std::optional<close_cause>& aClosed,
                                         std::function<void()>& aOnConnected)
  {
    stream_connection::handlers handlers;
    handlers.mOnInput = [this, &aInput](std::string& aReceived, time_point) {
      aInput += std::exchange(aReceived, {});
      StopIfDone();
    };
    handlers.mOnClosed = [this, &aClosed](close_cause aCause, time_point) {
      aClosed = aCause;
      StopIfDone();
    };
    handlers.mOnConnected = [&aOnConnected](time_point) {
      if (aOnConnected) {
        aOnConnected();
      }
    };
    return handlers;
  }

  void StopIfDone()
  {
    if (mDone && mDone()) {
      mLoop.Stop();
    }
  }

  void Connect()
  {
    mClient = stream_connection::Connect(
      mLoop,
      mListener->Address(),
      HandlersOf(mClientInput, mClientClosed, mOnClientConnected),
      tls_session::Client(mClientContext, "127.0.0.1"));
  }

  certificate_maker mAuthority{ "callers" };
  std::shared_ptr<const tls_context> mServerContext =
    *tls_context::Server(mAuthority.Server(), "fleet");
  std::shared_ptr<const tls_context> mClientContext =
    *tls_context::Client(mAuthority.Client("fassnetz"));
  event_loop mLoop;
  std::unique_ptr<listener> mListener;
  std::unique_ptr<stream_connection> mServer;
  std::unique_ptr<stream_connection> mClient;
  std::string mServerInput;
  std::string mClientInput;
  std::optional<close_cause> mServerClosed;
  std::optional<close_cause> mClientClosed;
  std::function<void()> mOnServerConnected;
  std::function<void()> mOnClientConnected;
  std::function<bool()> mDone;
};

// Guards against bytes that are lost before the handshake ended, or when more
// is sent than the socket takes at once, and against an end that looks cut.
TEST_F(TlsStreamTest, DeliversAllBytesBeforeItCloses)
{
  const std::string large(4 * 1024 * 1024, 'x');
  mOnServerConnected = [&] {
    EXPECT_EQ(mServer->Tls()->PeerName(), "fassnetz");
    mServer->Send(large);
    mServer->CloseAfterOutput();
  };
  mDone = [&] { return mClientClosed.has_value(); };
  Connect();
  mClient->Send("early");
  mLoop.Run();
  EXPECT_EQ(mServerInput, "early");
  EXPECT_EQ(mClientInput.size(), large.size());
  EXPECT_EQ(mClientClosed, close_cause::ClosedByPeer);
  // The end came as close_notify and not as the end of the socket only.
  EXPECT_EQ(mClient->Tls()->State(), tls_state::Closed);
}

// Guards against a slow reader that takes the memory of an instance.
TEST_F(TlsStreamTest, DisconnectsSlowReader)
{
  mOnClientConnected = [&] { mClient->PauseInput(); };
  mOnServerConnected = [&] {
    for (int i = 0; i < 64; ++i) {
      mServer->Send(std::string(1024 * 1024, 'x'));
    }
  };
  mDone = [&] { return mServerClosed.has_value(); };
  Connect();
  mLoop.Run();
  EXPECT_EQ(mServerClosed, close_cause::OutputOverflow);
}

// Guards against a client that takes a stranger for its server.
TEST_F(TlsStreamTest, ReportsAFailedHandshakeToBothSides)
{
  tls_material stranger = mAuthority.Client("fassnetz");
  stranger.mAuthorities = certificate_maker("callers").Authority();
  mClientContext = *tls_context::Client(stranger);
  mOnClientConnected = [] { ADD_FAILURE() << "connected"; };
  mOnServerConnected = mOnClientConnected;
  mDone = [&] { return mClientClosed && mServerClosed; };
  Connect();
  mLoop.Run();
  EXPECT_EQ(mClientClosed, close_cause::TlsFailure);
  EXPECT_EQ(mServerClosed, close_cause::TlsFailure);
  EXPECT_NE(mServer->Tls()->Failure().find("alert"), std::string::npos)
    << mServer->Tls()->Failure();
}

} // namespace
} // namespace snipewalk
