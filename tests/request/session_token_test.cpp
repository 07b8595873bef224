// Tests of the session token.
#include "snipewalk/request/session_token.h"

#include <gtest/gtest.h>

namespace snipewalk {
namespace {

const wall_time kNow{ seconds(1'800'000'000) };

std::vector<session_key>
Keys()
{
  return { { "k1", "first secret", kNow - seconds(100) },
           { "k2", "second secret", kNow + seconds(100) } };
}

session_state
State()
{
  return { "drums", "workshop-7", { 3, 42 } };
}

// Guards against a position that changes on its way through the caller.
TEST(SessionTokenTest, RoundTripsThePosition)
{
  const auto token = EncodeSession(State(), Keys(), kNow);
  ASSERT_TRUE(token.ok());
  const auto state = DecodeSession(*token, Keys(), "drums", "workshop-7");
  ASSERT_TRUE(state.ok());
  EXPECT_EQ(state->mPosition, (log_position{ 3, 42 }));
}

// Guards against a caller that lowers or raises its own position.
TEST(SessionTokenTest, RejectsEachChangedCharacter)
{
  const std::string token = *EncodeSession(State(), Keys(), kNow);
  for (std::size_t i = 0; i < token.size(); ++i) {
    std::string forged = token;
    forged[i] = forged[i] == 'A' ? 'B' : 'A';
    EXPECT_FALSE(DecodeSession(forged, Keys(), "drums", "workshop-7").ok())
      << i;
  }
}

// Guards against a token replayed into another service or account.
TEST(SessionTokenTest, RejectsForeignServiceAndAccount)
{
  const std::string token = *EncodeSession(State(), Keys(), kNow);
  EXPECT_EQ(
    DecodeSession(token, Keys(), "payroll", "workshop-7").status().code(),
    absl::StatusCode::kPermissionDenied);
  EXPECT_EQ(DecodeSession(token, Keys(), "drums", "workshop-8").status().code(),
            absl::StatusCode::kPermissionDenied);
}

// Guards against signing with a key that other instances may not have yet.
TEST(SessionTokenTest, SignsOnlyWithKeysWhoseTimeHasCome)
{
  const std::string token = *EncodeSession(State(), Keys(), kNow);
  const std::vector<session_key> onlySecond{ Keys()[1] };
  EXPECT_EQ(
    DecodeSession(token, onlySecond, "drums", "workshop-7").status().code(),
    absl::StatusCode::kNotFound);
  EXPECT_EQ(EncodeSession(State(), onlySecond, kNow).status().code(),
            absl::StatusCode::kFailedPrecondition);
}

} // namespace
} // namespace snipewalk
