// Tests of the choice of connections that are closed for other accounts.
#include "snipewalk/account/connection_eviction.h"

#include <gtest/gtest.h>

#include <array>

namespace snipewalk {
namespace {

constexpr time_point kNow{ seconds(100) };

time_point
Ago(int aMs)
{
  return kNow - milliseconds(aMs);
}

TEST(ConnectionEvictionTest, ClosesTheConnectionIdleForLongest)
{
  const std::array<account_connection, 3> connections{
    { { "a", Ago(50) }, { "b", Ago(900) }, { "c", std::nullopt } }
  };
  EXPECT_EQ(ChooseEviction(connections, "new", kNow, kNow), 1U);
}

// Guards against an opening for each statement while two accounts alternate.
TEST(ConnectionEvictionTest, KeepsAConnectionThatWasUsedJustNow)
{
  const std::array<account_connection, 1> connections{ { { "a", Ago(5) } } };
  EXPECT_EQ(ChooseEviction(connections, "new", Ago(10), kNow), std::nullopt);
}

// Guards against an account without a connection while another one is always
// busy.
TEST(ConnectionEvictionTest, ClosesItForAStatementThatHasWaited)
{
  const std::array<account_connection, 1> connections{ { { "a", kNow } } };
  EXPECT_EQ(ChooseEviction(connections, "new", Ago(30), kNow), 0U);
}

TEST(ConnectionEvictionTest, KeepsConnectionsInUseAndOfTheSameAccount)
{
  const std::array<account_connection, 2> connections{
    { { "a", std::nullopt }, { "new", Ago(900) } }
  };
  EXPECT_EQ(ChooseEviction(connections, "new", Ago(500), kNow), std::nullopt);
}

} // namespace
} // namespace snipewalk
