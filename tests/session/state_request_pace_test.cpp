// Tests for the pace of requests for the desired state.
#include "snipewalk/session/state_request_pace.h"

#include <gtest/gtest.h>

namespace snipewalk {
namespace {

constexpr time_point kStart = time_point() + seconds(100);
constexpr std::size_t kLargeState = 1'000'000;

TEST(StateRequestPaceTest, RepeatsARequestForASmallStateSoon)
{
  state_request_pace pace;
  EXPECT_TRUE(pace.TakeRequest(0, kStart));
  EXPECT_FALSE(pace.TakeRequest(0, kStart + milliseconds(149)));
  EXPECT_TRUE(pace.TakeRequest(0, kStart + milliseconds(150)));
}

// Guards against copies of a large state that delay each other.
TEST(StateRequestPaceTest, LeavesALargeStateTimeToArrive)
{
  state_request_pace pace;
  EXPECT_TRUE(pace.TakeRequest(kLargeState, kStart));
  EXPECT_FALSE(pace.TakeRequest(kLargeState, kStart + seconds(2)));
  EXPECT_TRUE(pace.TakeRequest(kLargeState, kStart + milliseconds(2'150)));
}

TEST(StateRequestPaceTest, AllowsTheNextRequestAfterAReply)
{
  state_request_pace pace;
  EXPECT_TRUE(pace.TakeRequest(kLargeState, kStart));
  pace.OnReply();
  EXPECT_TRUE(pace.TakeRequest(kLargeState, kStart + milliseconds(1)));
}

} // namespace
} // namespace snipewalk
