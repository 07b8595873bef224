// Tests of the confirmation of writes and of transaction ids.
#include "snipewalk/request/transaction_id.h"
#include "snipewalk/request/write_acknowledgement.h"

#include <gtest/gtest.h>

namespace snipewalk {
namespace {

const time_point kStart{ seconds(100) };

// Guards against one message a write: an answer confirms all writes up to it.
TEST(WriteAcknowledgementTest, ConfirmsAGroupByOneAnswer)
{
  write_acknowledgement acknowledgement;
  acknowledgement.StartTerm(3, 0, { 0, 1, 2 }, true);
  EXPECT_FALSE(acknowledgement.Add(10, 1, kStart));
  EXPECT_FALSE(acknowledgement.Add(12, 3, kStart));
  EXPECT_FALSE(acknowledgement.Add(11, 2, kStart));
  EXPECT_EQ(acknowledgement.NextIndex(1), 10U);
  EXPECT_EQ(acknowledgement.Confirm(1, 11),
            (std::vector<std::uint64_t>{ 1, 2 }));
  EXPECT_EQ(acknowledgement.NextIndex(1), 12U);
  EXPECT_EQ(acknowledgement.Waiting(), 1U);
}

// Guards against a minority that confirms: with five voters two replicas have
// to answer, and a primary outside the voters does not count.
TEST(WriteAcknowledgementTest, NeedsAMajorityOfVoters)
{
  write_acknowledgement acknowledgement;
  acknowledgement.StartTerm(1, 0, { 0, 1, 2, 3, 4 }, true);
  acknowledgement.Add(5, 1, kStart);
  EXPECT_TRUE(acknowledgement.Confirm(1, 9).empty());
  EXPECT_TRUE(acknowledgement.Confirm(1, 9).empty());
  EXPECT_EQ(acknowledgement.Confirm(2, 5).size(), 1U);
  acknowledgement.StartTerm(2, 9, { 0, 1, 2 }, true);
  acknowledgement.Add(5, 1, kStart);
  EXPECT_TRUE(acknowledgement.Confirm(1, 9).empty());
  EXPECT_EQ(acknowledgement.Confirm(2, 9).size(), 1U);
}

// Guards against confirmations that are carried over into another term.
TEST(WriteAcknowledgementTest, ForgetsPositionsOfTheOldTerm)
{
  write_acknowledgement acknowledgement;
  acknowledgement.StartTerm(1, 0, { 0, 1, 2 }, true);
  acknowledgement.Confirm(1, 50);
  acknowledgement.StartTerm(2, 1, { 0, 1, 2 }, true);
  EXPECT_FALSE(acknowledgement.Add(20, 1, kStart));
  EXPECT_FALSE(acknowledgement.Anchored());
}

// Guards against writes that pile up while no replica follows.
TEST(WriteAcknowledgementTest, ReportsTheAgeOfTheOldestUnconfirmedWrite)
{
  write_acknowledgement acknowledgement;
  acknowledgement.StartTerm(1, 0, { 0, 1, 2 }, true);
  acknowledgement.Add(5, 1, kStart);
  acknowledgement.Remove(5, 1);
  EXPECT_EQ(acknowledgement.Lag(kStart + seconds(3)), seconds(3));
  EXPECT_EQ(acknowledgement.NextIndex(1), 5U);
  acknowledgement.Confirm(2, 5);
  EXPECT_EQ(acknowledgement.Lag(kStart + seconds(3)), seconds(0));
}

// Guards against a transaction id that a caller changes or makes up.
TEST(TransactionIdTest, RejectsEachChangedCharacter)
{
  const std::vector<session_key> keys{ { "k1", "secret", wall_time{} } };
  const transaction_identity identity{ "i1", 7, 42, "drums", "workshop" };
  const auto id = *EncodeTransaction(identity, keys, wall_time{ seconds(1) });
  const auto decoded = DecodeTransaction(id, keys);
  ASSERT_TRUE(decoded.ok());
  EXPECT_EQ(decoded->mHolder, "i1");
  EXPECT_EQ(decoded->mNumber, 42U);
  for (std::size_t i = 0; i < id.size(); ++i) {
    std::string forged = id;
    forged[i] = forged[i] == 'A' ? 'B' : 'A';
    EXPECT_FALSE(DecodeTransaction(forged, keys).ok()) << i;
  }
}

} // namespace
} // namespace snipewalk
