// Tests of the transaction id.
#include "snipewalk/request/transaction_id.h"

#include "snipewalk/request/session_token.h"

#include <gtest/gtest.h>

namespace snipewalk {
namespace {

const std::vector<session_key> kKeys = { { "k1", "secret", wall_time() } };

// Guards against a holder that is not found again from the id.
TEST(TransactionIdTest, DecodesWhatItEncoded)
{
  const transaction_identity id{ "munich-1", 9, 77, "register", "fassnetz" };
  const auto text = EncodeTransaction(id, kKeys, wall_time() + seconds(1));
  ASSERT_TRUE(text.ok());
  const auto decoded = DecodeTransaction(*text, kKeys);
  ASSERT_TRUE(decoded.ok());
  EXPECT_EQ(decoded->mHolder, id.mHolder);
  EXPECT_EQ(decoded->mIncarnation, id.mIncarnation);
  EXPECT_EQ(decoded->mNumber, id.mNumber);
  EXPECT_EQ(decoded->mService, id.mService);
  EXPECT_EQ(decoded->mAccount, id.mAccount);
}

// Guards against a caller who changes the id to enter another's transaction.
TEST(TransactionIdTest, RejectsEachChangedCharacter)
{
  const auto text =
    EncodeTransaction({ "munich-1", 9, 77, "register", "fassnetz" },
                      kKeys,
                      wall_time() + seconds(1));
  ASSERT_TRUE(text.ok());
  for (std::size_t i = 0; i < text->size(); ++i) {
    std::string forged = *text;
    forged[i] = forged[i] == 'A' ? 'Q' : 'A';
    EXPECT_FALSE(DecodeTransaction(forged, kKeys).ok()) << i;
  }
}

// Guards against a session token that passes for a transaction id.
TEST(TransactionIdTest, RejectsSessionToken)
{
  const auto token = EncodeSession(
    { "register", "fassnetz", { 1, 2 } }, kKeys, wall_time() + seconds(1));
  ASSERT_TRUE(token.ok());
  EXPECT_FALSE(DecodeTransaction(*token, kKeys).ok());
}

} // namespace
} // namespace snipewalk
