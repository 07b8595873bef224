// Tests of a caller's connection with TLS on real sockets.
#include "snipewalk/traffic/caller_connection.h"

#include "standins/certificate_maker.h"
#include "standins/tls_caller.h"
#include "traffic/traffic_fixture.h"

#include <Poco/Net/ServerSocket.h>

#include <gtest/gtest.h>

namespace snipewalk {
namespace {

using standins::certificate_maker;
using standins::tls_caller;

// Records what a connection reports.
class recording_owner : public caller_owner
{
public:
  caller_context Context(time_point aNow) override
  {
    return { aNow, mIds, [](const std::string&) { return seconds(1); } };
  }
  void OnCallerRequest(caller_id, caller_request, time_point) override {}
  void OnCallerHandshake(const std::string&,
                         const std::string& aFailure,
                         time_point) override
  {
    mHandshakes.push_back(aFailure);
  }
  void OnCallerClosed(caller_id) override { ++mClosed; }
  bool ClosesCallers() const override { return false; }

  id_source mIds{ 1 };
  std::vector<std::string> mHandshakes;
  int mClosed = 0;
};

// Guards against silent connections that hold a place for a handshake, and
// against slow ones that are cut early.
TEST(CallerConnectionTest, BoundsTheHandshakeInTime)
{
  const certificate_maker authority("callers");
  const auto context = *tls_context::Server(authority.Server(), "fleet");
  Poco::Net::ServerSocket server(Poco::Net::SocketAddress("127.0.0.1", 0));
  const Poco::Net::StreamSocket client(server.address());
  event_loop loop;
  recording_owner owner;
  caller_connection connection(loop,
                               server.acceptConnection(),
                               1,
                               owner,
                               { tls_session::Server(context), "caller" });
  const time_point start = loop.Now();
  EXPECT_FALSE(
    connection.CloseIfOverdue(start + kHandshakeLimit - milliseconds(1)));
  EXPECT_FALSE(connection.CloseIfIdleSince(start + seconds(1)));
  EXPECT_TRUE(connection.CloseIfOverdue(start + kHandshakeLimit));
  EXPECT_EQ(owner.mHandshakes,
            std::vector<std::string>{ "not complete in time" });
  EXPECT_EQ(owner.mClosed, 1);
}

class traffic_with_tls : public traffic_fixture
{
public:
  traffic_with_tls()
    : mTls(OptionsWithTls(), {})
  {
    mStarted = mStarted && mTls.Start().ok();
  }

  std::uint16_t Port() const
  {
    return Poco::Net::SocketAddress(mTls.CallerAddress()).port();
  }

  traffic_options OptionsWithTls() const
  {
    traffic_options options = Options("munich-3", 1, "fleet");
    options.mCallerTls = *tls_context::Server(mAuthority.Server(), "fleet");
    return options;
  }

  certificate_maker mAuthority{ "callers" };
  traffic_group mTls;
};

http_request
Health()
{
  http_request request;
  request.mMethod = "GET";
  request.mTarget = "/v1/health";
  return request;
}

// Guards against a caller in plain HTTP that gets any answer, and against one
// of another authority that gets anything besides an alert.
TEST(CallerTlsTest, SendsNothingButAnAlertToOthers)
{
  traffic_with_tls traffic;
  ASSERT_TRUE(traffic.mStarted);
  Poco::Net::StreamSocket plain(
    Poco::Net::SocketAddress("127.0.0.1", traffic.Port()));
  plain.setReceiveTimeout(Poco::Timespan(10, 0));
  const std::string request = WriteRequest(Health(), "a");
  plain.sendBytes(request.data(), static_cast<int>(request.size()));
  std::string received;
  char chunk[256];
  for (int count = 0; (count = plain.receiveBytes(chunk, sizeof(chunk))) > 0;) {
    received.append(chunk, static_cast<std::size_t>(count));
  }
  EXPECT_EQ(received, "");
  // A caller that sends its request before it hears of the refusal must still
  // read the alert; closing at once would reset the connection.
  const certificate_maker other("callers");
  tls_material material = other.Client("fassnetz");
  material.mAuthorities = traffic.mAuthority.Authority();
  for (int i = 0; i < 20; ++i) {
    const auto caller =
      tls_caller::Connect(traffic.Port(), *tls_context::Client(material));
    const absl::Status status =
      caller.ok() ? (*caller)->Call(Health()).status() : caller.status();
    EXPECT_EQ(status.code(), absl::StatusCode::kUnauthenticated) << status;
  }
}

// Guards against a change of the context that cuts connections or is not used.
TEST(CallerTlsTest, ChangesTheContextForNewConnectionsOnly)
{
  traffic_with_tls traffic;
  ASSERT_TRUE(traffic.mStarted);
  const auto client =
    *tls_context::Client(traffic.mAuthority.Client("fassnetz"));
  const auto open = tls_caller::Connect(traffic.Port(), client);
  ASSERT_TRUE(open.ok()) << open.status();
  const certificate_maker next("next");
  traffic.mTls.SetCallerTls(*tls_context::Server(next.Server(), "fleet"));
  absl::Status late;
  // The thread learns of the change by a task that may still be queued.
  for (int i = 0; i < 1'000 && late.ok(); ++i) {
    late = tls_caller::Connect(traffic.Port(), client).status();
  }
  EXPECT_EQ(late.code(), absl::StatusCode::kUnauthenticated) << late;
  const auto answer = (*open)->Call(Health());
  ASSERT_TRUE(answer.ok()) << answer.status();
  EXPECT_EQ(answer->mStatus, 200);
}

// Guards against a connection that ends after its first requests, and against
// an account that acts as another one.
TEST(CallerTlsTest, ServesManyRequestsOnOneConnection)
{
  traffic_with_tls traffic;
  ASSERT_TRUE(traffic.mStarted);
  const auto client =
    *tls_context::Client(traffic.mAuthority.Client("fassnetz"));
  const auto caller = tls_caller::Connect(traffic.Port(), client);
  ASSERT_TRUE(caller.ok()) << caller.status();
  for (int i = 0; i < 200; ++i) {
    const auto answer = (*caller)->Call(Health());
    ASSERT_TRUE(answer.ok()) << answer.status();
    EXPECT_EQ(answer->mStatus, 200);
  }
  // The certificate's account is the one that a statement acts for.
  http_request foreign = Statement("read", "get drum");
  http_request renamed;
  renamed.mMethod = foreign.mMethod;
  renamed.mTarget = foreign.mTarget;
  renamed.mHeaders.Add("Snipewalk-Account", "tsagaan");
  renamed.mHeaders.Add("Snipewalk-Kind", "read");
  const auto refused = (*caller)->Call(renamed);
  ASSERT_TRUE(refused.ok()) << refused.status();
  EXPECT_EQ(refused->mStatus, 403) << refused->mBody;
}

} // namespace
} // namespace snipewalk
