// Tests of the session keys.
#include "snipewalk/version/session_keys.h"

#include <gtest/gtest.h>

namespace snipewalk {
namespace {

const wall_time kNow{ seconds(1'800'000'000) };

// Guards against a fleet without a key that may sign.
TEST(SessionKeysTest, FirstKeySignsAtOnce)
{
  const auto keys = RotateSessionKeys({}, kNow, "secret");
  ASSERT_TRUE(keys);
  EXPECT_EQ(keys->front().mSignAfter, kNow);
  EXPECT_FALSE(RotateSessionKeys(*keys, kNow + seconds(1), "other"));
}

// Guards against tokens that other instances cannot verify, because they have
// not received the key yet.
TEST(SessionKeysTest, LaterKeySignsAfterItHasSpread)
{
  const auto first = RotateSessionKeys({}, kNow, "secret");
  const wall_time later = kNow + std::chrono::hours(25);
  const auto second = RotateSessionKeys(*first, later, "other");
  ASSERT_TRUE(second);
  ASSERT_EQ(second->size(), 2u);
  EXPECT_GT(second->back().mSignAfter, later + seconds(8));
}

// Guards against a keys object that grows with each replacement.
TEST(SessionKeysTest, KeepsAtMostFourKeys)
{
  std::vector<session_key> keys;
  wall_time now = kNow;
  for (int i = 0; i < 10; ++i) {
    keys = *RotateSessionKeys(keys, now, "secret");
    now += std::chrono::hours(48);
  }
  EXPECT_EQ(keys.size(), 4u);
  const auto decoded = DecodeSessionKeys(EncodeSessionKeys(keys));
  ASSERT_TRUE(decoded.ok());
  EXPECT_EQ(decoded->back().mId, keys.back().mId);
}

// Guards against secrets whose bytes are not valid in JSON text, and against
// too many or no keys.
TEST(SessionKeysTest, KeepsBinarySecretsAndLimitsTheirNumber)
{
  std::vector<session_key> keys{ { "k1",
                                   std::string("\0\xff\"x", 4),
                                   wall_time(
                                     milliseconds(1'800'000'000'123)) } };
  const auto decoded = DecodeSessionKeys(EncodeSessionKeys(keys));
  ASSERT_TRUE(decoded.ok()) << decoded.status();
  EXPECT_EQ(decoded->at(0).mSecret, keys[0].mSecret);
  EXPECT_EQ(decoded->at(0).mSignAfter, keys[0].mSignAfter);
  for (int i = 2; i <= 5; ++i) {
    keys.push_back({ "k" + std::to_string(i), "s", {} });
  }
  EXPECT_FALSE(DecodeSessionKeys(EncodeSessionKeys(keys)).ok());
  EXPECT_FALSE(DecodeSessionKeys("{\"keys\":[]}").ok());
}

} // namespace
} // namespace snipewalk
