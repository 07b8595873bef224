// Tests of the path of a statement over sockets: caller, entry, holder, server.
#include "process/traffic_fixture.h"

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

} // namespace
} // namespace snipewalk
