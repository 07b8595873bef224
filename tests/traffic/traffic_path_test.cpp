// Tests of the path of a statement over sockets: caller, entry, holder, server.
#include "traffic/traffic_fixture.h"

#include <gtest/gtest.h>

namespace snipewalk {
namespace {

// Guards against a session that does not see its own write.
TEST(TrafficPathTest, ServesWriteAndReadAtTheHolder)
{
  traffic_fixture fixture;
  ASSERT_TRUE(fixture.mStarted);
  http_client caller(fixture.mHolder.CallerAddress());
  const auto write = caller.Call(Statement("write", "set drum 7"));
  ASSERT_EQ(write.mStatus, 200) << write.mBody;
  EXPECT_EQ(write.mHeaders.Get("Snipewalk-Outcome"), "done");
  EXPECT_FALSE(write.mHeaders.Get("Idempotency-Key").empty());
  const std::string session(write.mHeaders.Get("Snipewalk-Session"));
  ASSERT_FALSE(session.empty());
  const auto read = caller.Call(
    Statement("read", "get drum", { { "Snipewalk-Session", session } }));
  ASSERT_EQ(read.mStatus, 200) << read.mBody;
  EXPECT_NE(read.mBody.find('7'), std::string::npos) << read.mBody;
}

// Guards against an entry instance that cannot serve what it does not hold, and
// against a session that is lost when it moves between instances.
TEST(TrafficPathTest, ForwardsToTheHolder)
{
  traffic_fixture fixture;
  http_client caller(fixture.mEntry.CallerAddress());
  const auto write = caller.Call(
    Statement("write", "set drum 8", { { "Snipewalk-Request-Id", "mine" } }));
  ASSERT_EQ(write.mStatus, 200) << write.mBody;
  EXPECT_EQ(write.mHeaders.Get("Snipewalk-Request-Id"), "mine");
  http_client other(fixture.mHolder.CallerAddress());
  const auto read = other.Call(
    Statement("read",
              "get drum",
              { { "Snipewalk-Session",
                  std::string(write.mHeaders.Get("Snipewalk-Session")) } }));
  ASSERT_EQ(read.mStatus, 200) << read.mBody;
  EXPECT_NE(read.mBody.find('8'), std::string::npos) << read.mBody;
}

// Guards against pipelined requests whose responses are reordered or mixed.
TEST(TrafficPathTest, AnswersPipelinedRequestsInOrder)
{
  traffic_fixture fixture;
  http_client caller(fixture.mEntry.CallerAddress());
  std::string bytes;
  for (int i = 0; i < 200; ++i) {
    const std::string id = absl::StrCat("p", i);
    bytes += WriteRequest(
      Statement("write",
                absl::StrCat("set k", i, " v", i),
                { { "Snipewalk-Request-Id", id }, { "Idempotency-Key", id } }),
      "test");
  }
  caller.Send(bytes);
  for (int i = 0; i < 200; ++i) {
    const auto response = caller.Receive();
    ASSERT_TRUE(response.has_value()) << i;
    EXPECT_EQ(response->mStatus, 200) << response->mBody;
    EXPECT_EQ(response->mHeaders.Get("Snipewalk-Request-Id"),
              absl::StrCat("p", i));
    EXPECT_EQ(response->mHeaders.Get("Idempotency-Key"), absl::StrCat("p", i));
  }
}

// Guards against a caller's transaction that other instances cannot continue.
TEST(TrafficPathTest, ContinuesTransactionThroughAnotherInstance)
{
  traffic_fixture fixture;
  http_client first(fixture.mHolder.CallerAddress());
  http_client second(fixture.mEntry.CallerAddress());
  const auto begin = first.Call(Statement("begin", ""));
  ASSERT_EQ(begin.mStatus, 200) << begin.mBody;
  const std::string id(begin.mHeaders.Get("Snipewalk-Transaction"));
  ASSERT_FALSE(id.empty());
  const header_list inside = { { "Snipewalk-Transaction", id } };
  const auto write = second.Call(Statement("write", "set drum 9", inside));
  EXPECT_EQ(write.mStatus, 200) << write.mBody;
  const auto commit = second.Call(Statement("commit", "", inside));
  EXPECT_EQ(commit.mStatus, 200) << commit.mBody;
}

// Guards against an outcome that a caller cannot look up after a lost response.
TEST(TrafficPathTest, ReportsOutcomeByKey)
{
  traffic_fixture fixture;
  http_client caller(fixture.mEntry.CallerAddress());
  const auto write = caller.Call(
    Statement("write", "set drum 1", { { "Idempotency-Key", "cert/1" } }));
  ASSERT_EQ(write.mStatus, 200) << write.mBody;
  http_request query;
  query.mMethod = "GET";
  query.mTarget = "/v1/services/register/outcomes/cert%2F1";
  query.mHeaders.Add("Snipewalk-Account", "fassnetz");
  const auto outcome = caller.Call(query);
  EXPECT_EQ(outcome.mStatus, 200) << outcome.mBody;
  EXPECT_EQ(outcome.mHeaders.Get("Snipewalk-Outcome"), "done");
}

// Guards against malformed requests that stall the connection, and against a
// wrong answer for unknown services and paths.
TEST(TrafficPathTest, RefusesWithTheRightStatus)
{
  traffic_fixture fixture;
  http_client caller(fixture.mEntry.CallerAddress());
  EXPECT_EQ(caller.Call(Statement("drop", "")).mStatus, 400);
  auto unknown = Statement("read", "get a");
  unknown.mTarget = "/v1/services/none/statements";
  EXPECT_EQ(caller.Call(unknown).mStatus, 404);
  http_request health;
  health.mMethod = "GET";
  health.mTarget = "/v1/health";
  EXPECT_EQ(caller.Call(health).mStatus, 200);
  caller.Send("GET / HTTP/1.1\r\nContent-Length: 99999999999\r\n\r\n");
  const auto large = caller.Receive();
  ASSERT_TRUE(large.has_value());
  EXPECT_EQ(large->mStatus, 413);
  EXPECT_FALSE(caller.Receive().has_value()) << "the connection ends";
}

// Guards against statements that pass between instances without the fleet key.
TEST(TrafficPathTest, RefusesToForwardWithAnotherFleetKey)
{
  traffic_fixture fixture(1, "other key");
  http_client caller(fixture.mEntry.CallerAddress());
  const auto write = caller.Call(Statement("write", "set drum 7"));
  EXPECT_EQ(write.mStatus, 503) << write.mBody;
  EXPECT_EQ(write.mHeaders.Get("Snipewalk-Outcome"), "not_run");
}

// Guards against requests that are cut while the holder of the slot changes.
TEST(TrafficPathTest, FollowsTheSlotToAnotherInstance)
{
  traffic_fixture fixture;
  http_client caller(fixture.mEntry.CallerAddress());
  for (int i = 0; i < 20; ++i) {
    fixture.PublishHolder(i % 2 == 0 ? "munich-2" : "munich-1");
    for (int j = 0; j < 5; ++j) {
      const auto write = caller.Call(Statement("write", "set drum 7"));
      ASSERT_EQ(write.mStatus, 200) << write.mBody;
    }
  }
}

// Guards against a response that keeps callers on a stopping instance, and
// against requests that are cut by the shutdown.
TEST(TrafficPathTest, TellsCallersToReconnectDuringShutdown)
{
  traffic_fixture fixture;
  http_client caller(fixture.mEntry.CallerAddress());
  ASSERT_EQ(caller.Call(Statement("read", "get a")).mStatus, 200);
  fixture.mEntry.AnnounceShutdown();
  http_request health;
  health.mMethod = "GET";
  health.mTarget = "/v1/health";
  // The threads learn of the shutdown by a task that may still be queued.
  int status = caller.Call(health).mStatus;
  for (int i = 0; i < 1'000 && status == 200; ++i) {
    status = caller.Call(health).mStatus;
  }
  EXPECT_EQ(status, 503);
  fixture.mEntry.CloseCallers();
  auto last = caller.Call(Statement("read", "get a"));
  while (last.mKeepAlive && last.mStatus == 200) {
    last = caller.Call(Statement("read", "get a"));
  }
  EXPECT_EQ(last.mStatus, 200) << last.mBody;
  EXPECT_FALSE(last.mKeepAlive);
  EXPECT_FALSE(caller.Receive().has_value());
  // The threads close their listeners one after another.
  bool refused = false;
  for (int i = 0; i < 1'000 && !refused; ++i) {
    try {
      http_client late(fixture.mEntry.CallerAddress());
      std::this_thread::sleep_for(milliseconds(2));
    } catch (const Poco::Exception&) {
      refused = true;
    }
  }
  EXPECT_TRUE(refused);
}

} // namespace
} // namespace snipewalk
