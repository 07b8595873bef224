// Tests of the event loop.
#include "snipewalk/connection/event_loop.h"
#include "snipewalk/connection/stream_connection.h"

#include <Poco/Net/ServerSocket.h>
#include <Poco/Net/SocketAddress.h>

#include <gtest/gtest.h>

#include <thread>

namespace snipewalk {
namespace {

// Guards against a posted task that waits until the loop's poll times out.
TEST(EventLoopTest, RunsTasksPostedByAnotherThread)
{
  event_loop loop;
  int ran = 0;
  std::thread poster([&] {
    loop.Post([&] { ++ran; });
    loop.Post([&] { loop.Stop(); });
  });
  loop.Run();
  poster.join();
  EXPECT_EQ(ran, 1);
}

// Guards against timers that run out of order or after their cancellation.
TEST(EventLoopTest, RunsTimersInOrderAndNotWhenCancelled)
{
  event_loop loop;
  std::string order;
  const time_point now = loop.Now();
  loop.RunAt(now + milliseconds(4), [&](time_point) {
    order += "b";
    loop.Stop();
  });
  loop.RunAt(now + milliseconds(1), [&](time_point) { order += "a"; });
  const auto cancelled =
    loop.RunAt(now + milliseconds(2), [&](time_point) { order += "x"; });
  loop.Cancel(cancelled);
  loop.Run();
  EXPECT_EQ(order, "ab");
}

// Guards against handlers that decide by a time from before the process stood
// still.
TEST(EventLoopTest, GivesEachHandlerTheTimeOfItsCall)
{
  constexpr milliseconds kPause{ 30 };
  event_loop loop;
  std::vector<time_point> called;
  const auto handler = [&](time_point aNow) {
    called.push_back(aNow);
    std::this_thread::sleep_for(kPause);
  };
  loop.RunAt(loop.Now(), handler);
  loop.RunAt(loop.Now(), handler);
  Poco::Net::ServerSocket server(Poco::Net::SocketAddress("127.0.0.1", 0));
  std::vector<std::unique_ptr<stream_connection>> accepted;
  std::vector<Poco::Net::StreamSocket> clients(2);
  for (auto& client : clients) {
    client.connect(server.address());
    accepted.push_back(stream_connection::Adopt(
      loop,
      server.acceptConnection(),
      { {}, [&](std::string&, time_point aNow) { handler(aNow); }, {} }));
    client.sendBytes("x", 1);
  }
  loop.RunOnce();
  ASSERT_EQ(called.size(), 4U);
  for (std::size_t i = 1; i < called.size(); ++i) {
    EXPECT_GE(called[i], called[i - 1] + kPause) << "handler " << i;
  }
}

// Guards against bytes lost or reordered between partial reads.
TEST(StreamConnectionTest, CarriesBytesBothWays)
{
  event_loop loop;
  Poco::Net::ServerSocket server(Poco::Net::SocketAddress("127.0.0.1", 0));
  const std::string sent(300'000, 'q');
  std::string received;
  std::unique_ptr<stream_connection> accepted;
  auto client =
    stream_connection::Connect(loop,
                               server.address().toString(),
                               { {},
                                 [&](std::string& aInput, time_point) {
                                   received += aInput;
                                   aInput.clear();
                                   if (received.size() == sent.size()) {
                                     loop.Stop();
                                   }
                                 },
                                 {} });
  client->Send(sent);
  accepted = stream_connection::Adopt(loop,
                                      server.acceptConnection(),
                                      { {},
                                        [&](std::string& aInput, time_point) {
                                          accepted->Send(aInput);
                                          aInput.clear();
                                        },
                                        {} });
  loop.Run();
  EXPECT_EQ(received, sent);
}

// Guards against a connection that is cut, and its output lost, when the socket
// does not take all of it at once.
TEST(StreamConnectionTest, KeepsOutputThatTheSocketDoesNotTake)
{
  event_loop loop;
  Poco::Net::ServerSocket server(Poco::Net::SocketAddress("127.0.0.1", 0));
  // Above the buffers of both sockets, below the limit of the output.
  const std::string sent(7 * 1024 * 1024, 'x');
  std::size_t received = 0;
  std::optional<close_cause> cause;
  const auto onClosed = [&](close_cause aCause, time_point) {
    cause = aCause;
    loop.Stop();
  };
  auto client =
    stream_connection::Connect(loop,
                               server.address().toString(),
                               { {},
                                 [&](std::string& aInput, time_point) {
                                   received += aInput.size();
                                   aInput.clear();
                                   if (received == sent.size()) {
                                     loop.Stop();
                                   }
                                 },
                                 onClosed });
  auto accepted = stream_connection::Adopt(
    loop, server.acceptConnection(), { {}, {}, onClosed });
  accepted->Send(sent);
  EXPECT_GT(accepted->PendingOutput(), 0U);
  loop.Run();
  EXPECT_EQ(received, sent.size());
  EXPECT_FALSE(cause.has_value());
}

// Guards against a reader that takes the memory of an instance.
TEST(StreamConnectionTest, DisconnectsSlowReader)
{
  event_loop loop;
  Poco::Net::ServerSocket server(Poco::Net::SocketAddress("127.0.0.1", 0));
  const Poco::Net::StreamSocket reader(server.address());
  std::optional<close_cause> cause;
  auto accepted =
    stream_connection::Adopt(loop,
                             server.acceptConnection(),
                             { {}, {}, [&](close_cause aCause, time_point) {
                                cause = aCause;
                                loop.Stop();
                              } });
  for (int i = 0; i < 64; ++i) {
    accepted->Send(std::string(1024 * 1024, 'x'));
  }
  loop.Run();
  EXPECT_EQ(cause, close_cause::OutputOverflow);
}

// Guards against a refused connection that is never reported.
TEST(StreamConnectionTest, ReportsRefusedConnection)
{
  event_loop loop;
  Poco::Net::ServerSocket server(Poco::Net::SocketAddress("127.0.0.1", 0));
  const std::string address = server.address().toString();
  server.close();
  std::optional<close_cause> cause;
  auto client = stream_connection::Connect(
    loop, address, { {}, {}, [&](close_cause aCause, time_point) {
                      cause = aCause;
                      loop.Stop();
                    } });
  loop.Run();
  EXPECT_EQ(cause, close_cause::Refused);
}

} // namespace
} // namespace snipewalk
