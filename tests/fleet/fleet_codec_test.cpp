// Tests of the codec of messages between instances.
#include "fleet/fleet_codec.h"

#include <gtest/gtest.h>

#include <random>

namespace snipewalk {
namespace {

membership_message
Probe()
{
  membership_message message;
  message.mSequence = 77;
  message.mSender = "instance-1";
  message.mIncarnation = 1ULL << 40;
  message.mHeads = { 1, 2, 3, 4 };
  message.mUpdates.push_back({ "instance-2",
                               5,
                               "munich",
                               "bavaria",
                               "10.0.0.1:1",
                               "10.0.0.1:2",
                               member_state::Suspect });
  return message;
}

// Guards against fields that are lost or exchanged on the way.
TEST(FleetCodecTest, DatagramKeepsItsFields)
{
  const auto decoded =
    DecodeDatagram(EncodeDatagram(Probe(), "k2"), { "k1", "k2" });
  ASSERT_TRUE(decoded);
  const auto& message = std::get<membership_message>(*decoded);
  EXPECT_EQ(message.mSequence, 77U);
  EXPECT_EQ(message.mHeads, (object_heads{ 1, 2, 3, 4 }));
  ASSERT_EQ(message.mUpdates.size(), 1U);
  EXPECT_EQ(message.mUpdates[0].mControlAddress, "10.0.0.1:2");
  EXPECT_EQ(message.mUpdates[0].mState, member_state::Suspect);
}

// Guards against a datagram that is taken without the fleet key or changed on
// the way.
TEST(FleetCodecTest, RejectsForeignAndChangedDatagrams)
{
  const std::string bytes = EncodeDatagram(Probe(), "key");
  EXPECT_FALSE(DecodeDatagram(bytes, { "other" }));
  EXPECT_FALSE(DecodeDatagram(bytes, {}));
  for (std::size_t i = 0; i < bytes.size(); ++i) {
    std::string changed = bytes;
    changed[i] = static_cast<char>(changed[i] ^ 1);
    EXPECT_FALSE(DecodeDatagram(changed, { "key" })) << i;
  }
}

template<typename Message>
Message
ThroughCodec(const Message& aMessage)
{
  const auto decoded =
    DecodeFleetMessage(EncodeFleetMessage(service_message{ "i", aMessage }));
  const auto& message = std::get<service_message>(decoded.value());
  EXPECT_EQ(message.mSender, "i");
  return std::get<Message>(message.mMessage);
}

// Guards against fields of the messages between holders that are lost or
// exchanged on the way.
TEST(FleetCodecTest, ServiceMessagesKeepTheirFields)
{
  const auto asked =
    ThroughCodec(primary_report_query{ "s", "a", "1.2.3.4:5", 6, 7 });
  EXPECT_EQ(asked.mService + asked.mServer + asked.mAddress, "sa1.2.3.4:5");
  EXPECT_EQ(asked.mTerm, 6U);
  EXPECT_EQ(asked.mQuery, 7U);
  const auto reached = ThroughCodec(
    primary_report{ "s", "a", 6, 7, server_reachability::Unreachable });
  EXPECT_EQ(reached.mReachability, server_reachability::Unreachable);
  const auto counted = ThroughCodec(transactions_query{ "s", "a", 6, 7 });
  EXPECT_EQ(counted.mService + counted.mServer, "sa");
  EXPECT_EQ(counted.mTerm, 6U);
  EXPECT_EQ(counted.mQuery, 7U);
  const auto open =
    ThroughCodec(transactions_report{ "s", "a", 6, 7, 8, 1ULL << 40 });
  EXPECT_EQ(open.mService + open.mServer, "sa");
  EXPECT_EQ(open.mTerm, 6U);
  EXPECT_EQ(open.mQuery, 7U);
  EXPECT_EQ(open.mDocumentVersion, 8U);
  EXPECT_EQ(open.mTransactions, 1ULL << 40);
}

// Guards against ranges that are lost on the way, and against a refusal of
// messages of instances that do not send them.
TEST(FleetCodecTest, RangesOfMembersMayBeLeftOut)
{
  const auto decoded =
    DecodeFleetMessage(EncodeFleetMessage(member_query{ 4, "", 1, { 7, 8 } }));
  const auto& query = std::get<member_query>(*decoded);
  EXPECT_EQ(query.mRanges, 1U);
  EXPECT_EQ(query.mWanted, (std::vector<std::uint64_t>{ 7, 8 }));
  const auto answer = DecodeFleetMessage(
    EncodeFleetMessage(member_reply{ 4, {}, false, { { 1, 2 }, { 3, 4 } } }));
  const auto& briefs = std::get<member_reply>(*answer).mBriefs;
  ASSERT_EQ(briefs.size(), 2U);
  EXPECT_EQ(briefs[1].mNameHash, 3U);
  EXPECT_EQ(briefs[1].mIncarnation, 4U);
  // [3, [4, "n"]] and [4, [4, [], true]].
  const auto old = DecodeFleetMessage("\x92\x03\x92\x04\xa1n");
  ASSERT_TRUE(old);
  EXPECT_EQ(std::get<member_query>(*old).mAfter, "n");
  EXPECT_EQ(std::get<member_query>(*old).mRanges, 0U);
  const auto oldReply = DecodeFleetMessage("\x92\x04\x93\x04\x90\xc3");
  ASSERT_TRUE(oldReply);
  EXPECT_TRUE(std::get<member_reply>(*oldReply).mMore);
}

// Guards against crashes and unbounded memory on malformed frames.
TEST(FleetCodecTest, SurvivesMutatedFrames)
{
  const std::vector<fleet_message> messages{
    change_push{ "services", 1, 2, { { { "services", "a" }, 2, false, "v" } } },
    pull_query{ 1, "terms", 2, 3 },
    pull_reply{
      1, "slots", { { { { "slots", "a" }, 2, true, "" } }, 2, true } },
    member_query{ 4, "n", 5, { 6 } },
    member_reply{ 4, Probe().mUpdates, true, { { 1, 2 } } },
    service_message{ "i", primary_report_query{ "s", "a", "b", 1, 2 } },
    service_message{ "i", primary_report{ "s", "a", 1, 2 } },
    service_message{ "i", transactions_query{ "s", "a", 1, 2 } },
    service_message{ "i", transactions_report{ "s", "a", 1, 2, 3, 4 } },
  };
  std::mt19937_64 random(16);
  std::size_t accepted = 0;
  for (int i = 0; i < 100'000; ++i) {
    std::string bytes =
      EncodeFleetMessage(messages[random() % messages.size()]);
    for (std::uint64_t n = random() % 4; n > 0; --n) {
      bytes[random() % bytes.size()] = static_cast<char>(random());
    }
    if (random() % 8 == 0) {
      bytes.resize(random() % (bytes.size() + 1));
    }
    accepted += DecodeFleetMessage(bytes) ? 1 : 0;
  }
  EXPECT_GT(accepted, 10'000U);
}

} // namespace
} // namespace snipewalk
