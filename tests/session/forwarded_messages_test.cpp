// Tests of the messages on connections of forwarded sessions.
#include "snipewalk/session/forwarded_messages.h"

#include <gtest/gtest.h>

namespace snipewalk {
namespace {

TEST(ForwardedMessagesTest, ReturnsWhatWasEncoded)
{
  const std::string one = EncodeForwardedMessage({ 7, "bytes", std::nullopt });
  std::size_t frameBytes = 0;
  const auto message = PeekForwardedMessage(one + "rest", frameBytes);
  ASSERT_TRUE(message.ok() && *message);
  EXPECT_EQ((*message)->mDesiredRevision, 7U);
  EXPECT_EQ((*message)->mBytes, "bytes");
  EXPECT_FALSE((*message)->mState);
  EXPECT_EQ(frameBytes, one.size());
}

TEST(ForwardedMessagesTest, CarriesADesiredState)
{
  std::size_t frameBytes = 0;
  const auto message = PeekForwardedMessage(
    EncodeForwardedMessage({ 9, {}, relayed_desired_state{ 8, "{}" } }),
    frameBytes);
  ASSERT_TRUE(message.ok() && *message && (*message)->mState);
  EXPECT_EQ((*message)->mState->mRevision, 8U);
  EXPECT_EQ((*message)->mState->mValue, "{}");
  EXPECT_FALSE((*message)->RequestsDesiredState());
}

TEST(ForwardedMessagesTest, AsksForAStateWithAnEmptyMessage)
{
  std::size_t frameBytes = 0;
  const auto message = PeekForwardedMessage(
    EncodeForwardedMessage({ 9, {}, std::nullopt }), frameBytes);
  ASSERT_TRUE(message.ok() && *message);
  EXPECT_TRUE((*message)->RequestsDesiredState());
}

TEST(ForwardedMessagesTest, WaitsForTheWholeFrame)
{
  std::string frame = EncodeForwardedMessage({ 7, "bytes", std::nullopt });
  frame.pop_back();
  std::size_t frameBytes = 0;
  const auto message = PeekForwardedMessage(frame, frameBytes);
  ASSERT_TRUE(message.ok());
  EXPECT_FALSE(*message);
}

// Guards against a reply that no receiver accepts because of its length.
TEST(ForwardedMessagesTest, DividesALongReply)
{
  const std::string reply(3 * 1024 * 1024, 'r');
  std::string frames = EncodeForwardedBytes(7, reply);
  std::string received;
  while (!frames.empty()) {
    std::size_t frameBytes = 0;
    const auto message = PeekForwardedMessage(frames, frameBytes);
    ASSERT_TRUE(message.ok() && *message);
    EXPECT_EQ((*message)->mDesiredRevision, 7U);
    received += (*message)->mBytes;
    frames.erase(0, frameBytes);
  }
  EXPECT_EQ(received, reply);
}

} // namespace
} // namespace snipewalk
