// Tests of the versions of the messages between instances: recorded bytes, and
// what a member learns of others.
#include "fleet/fleet_codec.h"
#include "snipewalk/fleet/membership.h"

#include <absl/strings/escaping.h>

#include <gtest/gtest.h>
#include <msgpack.hpp>

#include <array>

namespace snipewalk {
namespace {

const time_point kNow{ seconds(1'000) };
constexpr version_range kNew{ 1, 2 };

// Recorded from the build before versions were stated.
constexpr std::string_view kMembership1 =
  "82cce90ee47c78930d74fa3df017ecb2601b7d64700af97df7440b894cb86793920099014d"
  "a26931cf0000010000000000a094010203cd0190cf1122334455667788cd012c9197a26932"
  "0500a66d756e696368a762617661726961aa31302e302e302e313a31aa31302e302e302e31"
  "3a32";
constexpr std::string_view kSlot1 =
  "9ed6ec03c3417199bf78f8531fad40bf0286d6d9b10c5a522464f36d7f793c4f92019b01a8"
  "7265676973746572a2693107a2693208090a0bc3a27b7d";
constexpr std::string_view kMemberReply1 =
  "920493049197a269320500a66d756e696368a762617661726961aa31302e302e302e313a31"
  "aa31302e302e302e313a32c3";
// Of all other kinds; both versions encode them alike.
constexpr std::array<std::string_view, 5> kOthers{
  "920094a8736572766963657301029195a87365727669636573a16102c2a176",
  "92019401a57465726d730203",
  "92029801a5736c6f74739195a5736c6f7473a16102c3a002c3000000",
  "92039204a16e",
  "920599a16903a173a161a001020304"
};
constexpr std::string_view kHello =
  "94a26931aa31302e302e302e313a32d9206e6e6e6e6e6e6e6e6e6e6e6e6e6e6e6e6e6e6e6e"
  "6e6e6e6e6e6e6e6e6e6e6e6ed9206363636363636363636363636363636363636363636363"
  "636363636363636363";
// Recorded from the first build of version 2.
constexpr std::string_view kMembership2 =
  "72dd4d096116d289d97c0ec20c19d5076a390415e17f0b7858d1749eb3f3f83093009a014d"
  "a26931cf0000010000000000a094010203cd0190cf1122334455667788cd012c9198a26932"
  "0500a66d756e696368a762617661726961aa31302e302e302e313a31aa31302e302e302e31"
  "3a3292010292010202";
constexpr std::string_view kSlot2 =
  "150bac34cf755b4c6b246f488dd6b1b5f31884c593187e57241c32a06533b0f093019b01a8"
  "7265676973746572a2693107a2693208090a0bc3a27b7d02";
constexpr std::string_view kMemberReply2 =
  "920493049198a269320500a66d756e696368a762617661726961aa31302e302e302e313a31"
  "aa31302e302e302e313a32920102c3";

std::string
Bytes(std::string_view aHex)
{
  return absl::HexStringToBytes({ aHex.data(), aHex.size() });
}

membership_message
Ack()
{
  membership_message message;
  message.mKind = membership_kind::Ack;
  message.mSequence = 77;
  message.mSender = "i1";
  message.mIncarnation = 1ULL << 40;
  message.mHeads = { 1, 2, 3, 400 };
  message.mMemberDigest = 0x1122334455667788ULL;
  message.mWatchAgeMs = 300;
  message.mUpdates.push_back({ "i2",
                               5,
                               "munich",
                               "bavaria",
                               "10.0.0.1:1",
                               "10.0.0.1:2",
                               member_state::Alive });
  return message;
}

membership_message
Decoded(std::string_view aHex)
{
  const auto body = DecodeDatagram(Bytes(aHex), { "key" });
  return std::get<membership_message>(body.value());
}

// Guards against a build that no longer understands, or no longer sends, the
// datagrams of a version that it supports.
TEST(FleetVersionsTest, RecordedDatagramsStayValid)
{
  membership_message message = Ack();
  EXPECT_EQ(EncodeDatagram(message, "key", 1), Bytes(kMembership1));
  EXPECT_EQ(Decoded(kMembership1).mVersions, std::nullopt);
  EXPECT_EQ(Decoded(kMembership1).mUpdates.at(0).mVersions, (version_range()));
  message.mVersions = message.mUpdates[0].mVersions = kNew;
  EXPECT_EQ(EncodeDatagram(message, "key", 2), Bytes(kMembership2));
  EXPECT_EQ(Decoded(kMembership2).mVersions, kNew);
  EXPECT_EQ(Decoded(kMembership2).mUpdates.at(0).mVersions, kNew);
  EXPECT_EQ(Decoded(kMembership2).mWatchAgeMs, 300U);
  for (const auto slot : { kSlot1, kSlot2 }) {
    const auto body = DecodeDatagram(Bytes(slot), { "key" });
    ASSERT_TRUE(body);
    EXPECT_EQ(EncodeDatagram(*body, "key", slot == kSlot1 ? 1 : 2),
              Bytes(slot));
  }
}

// Guards against the same for frames of the control port.
TEST(FleetVersionsTest, RecordedFramesStayValid)
{
  for (const auto frame : kOthers) {
    const auto message = DecodeFleetMessage(Bytes(frame));
    ASSERT_TRUE(message) << frame;
    EXPECT_EQ(EncodeFleetMessage(*message, 1), Bytes(frame));
    EXPECT_EQ(EncodeFleetMessage(*message, 2), Bytes(frame));
  }
  const auto old = DecodeFleetMessage(Bytes(kMemberReply1));
  ASSERT_TRUE(old);
  EXPECT_EQ(EncodeFleetMessage(*old, 1), Bytes(kMemberReply1));
  const auto reply = DecodeFleetMessage(Bytes(kMemberReply2));
  ASSERT_TRUE(reply);
  EXPECT_EQ(std::get<member_reply>(*reply).mMembers.at(0).mVersions, kNew);
  EXPECT_EQ(EncodeFleetMessage(*reply, 2), Bytes(kMemberReply2));
  EXPECT_EQ(EncodeFleetMessage(*reply, 1), Bytes(kMemberReply1));
  const auto hello = DecodeHello(Bytes(kHello));
  ASSERT_TRUE(hello);
  EXPECT_EQ(EncodeHello(*hello), Bytes(kHello));
}

// Guards against a datagram of a version beyond the limit that is applied.
TEST(FleetVersionsTest, RefusesDatagramsOutsideTheRange)
{
  EXPECT_FALSE(DecodeDatagram(Bytes(kMembership2), { "key" }, { 1, 1 }));
  EXPECT_TRUE(DecodeDatagram(Bytes(kMembership1), { "key" }, { 1, 1 }));
  EXPECT_FALSE(DecodeDatagram(Bytes(kMembership1), { "key" }, { 2, 3 }));
}

// Guards against later versions that cannot add fields, unbounded ones, and
// messages that lack fields but are taken.
TEST(FleetVersionsTest, IgnoresSomeExtraFieldsAndNeedsTheKnownOnes)
{
  const auto query = [](std::uint32_t aFields) {
    msgpack::sbuffer buffer;
    msgpack::packer<msgpack::sbuffer> packer(buffer);
    packer.pack_array(2);
    packer.pack(1);
    packer.pack_array(aFields);
    for (std::uint32_t i = 0; i < aFields; ++i) {
      i == 1 ? packer.pack(std::string("n")) : packer.pack(4);
    }
    return DecodeFleetMessage({ buffer.data(), buffer.size() });
  };
  for (const std::uint32_t fields : { 4U, 5U, 20U }) {
    const auto message = query(fields);
    ASSERT_TRUE(message) << fields;
    EXPECT_EQ(std::get<pull_query>(*message).mKind, "n");
  }
  for (const std::uint32_t fields : { 0U, 1U, 3U, 21U }) {
    EXPECT_FALSE(query(fields)) << fields;
  }
}

membership
Member(const version_range& aVersions)
{
  membership_options options;
  options.mSelf = { "i1",         1 << kRefutationBits, "", "", "",
                    "10.0.0.1:1", member_state::Alive };
  options.mSelf.mVersions = aVersions;
  return { options, kNow };
}

// Guards against a hello that lacks fields but is taken.
TEST(FleetVersionsTest, HelloNeedsAllFields)
{
  for (std::uint32_t fields = 0; fields <= 5; ++fields) {
    msgpack::sbuffer buffer;
    msgpack::packer<msgpack::sbuffer> packer(buffer);
    packer.pack_array(fields);
    for (std::uint32_t i = 0; i < fields; ++i) {
      packer.pack(std::string(1, static_cast<char>('a' + i)));
    }
    const auto hello = DecodeHello({ buffer.data(), buffer.size() });
    EXPECT_EQ(hello.has_value(), fields >= 4) << fields;
    EXPECT_EQ(hello ? hello->mCode : "d", "d") << fields;
  }
}

// A probe from the instance, as the codec of `aVersion` delivers it.
membership_event
Probe(const version_range& aVersions, int aVersion)
{
  membership_message message;
  message.mSender = "i2";
  message.mIncarnation = 5 << kRefutationBits;
  message.mVersions = aVersions;
  message.mUpdates.push_back({ "i2",
                               message.mIncarnation,
                               "",
                               "",
                               "",
                               "10.0.0.2:1",
                               member_state::Alive });
  const auto body =
    DecodeDatagram(EncodeDatagram(message, "key", aVersion), { "key" });
  return membership_received{ "10.0.0.2:1",
                              std::get<membership_message>(body.value()) };
}

int
VersionOfAnswer(const std::vector<membership_action>& aActions)
{
  for (const auto& action : aActions) {
    if (const auto* send = std::get_if<send_membership>(&action)) {
      return send->mVersion;
    }
  }
  return 0;
}

// Guards against datagrams that an old instance cannot read, and against new
// instances that stay at the old version because neither announces its range.
TEST(FleetVersionsTest, AnswersInTheHighestCommonVersion)
{
  struct
  {
    version_range mOwn;
    version_range mPeer;
    int mExpected;
  } const cases[] = { { { 1, 1 }, { 1, 1 }, 1 },
                      { { 1, 2 }, { 1, 1 }, 1 },
                      { { 1, 1 }, { 1, 2 }, 1 },
                      { { 1, 2 }, { 1, 2 }, 2 } };
  for (const auto& each : cases) {
    membership member = Member(each.mOwn);
    std::vector<membership_action> actions;
    member.Handle(Probe(each.mPeer, 1), kNow, actions);
    EXPECT_EQ(VersionOfAnswer(actions), each.mExpected);
    EXPECT_EQ(member.FleetVersion(), each.mExpected);
    EXPECT_EQ(member.FleetSupports(2), each.mExpected == 2);
  }
}

// Guards against a fleet that falls back because an update passed through an
// old instance, and against one that stays new when an old build returns.
TEST(FleetVersionsTest, VersionsLastForALife)
{
  membership member = Member(kNew);
  std::vector<membership_action> actions;
  member.Handle(Probe(kNew, 2), kNow, actions);
  member_info relayed{ "i2",         (5 << kRefutationBits) + 1, "", "", "",
                       "10.0.0.2:1", member_state::Alive };
  member.Handle(members_received{ { relayed } }, kNow, actions);
  EXPECT_EQ(member.FleetVersion(), 2);
  relayed.mIncarnation = 6 << kRefutationBits;
  member.Handle(members_received{ { relayed } }, kNow, actions);
  EXPECT_EQ(member.FleetVersion(), 1);
  EXPECT_EQ(member.VersionAt("10.0.0.2:1"), 1);
}

} // namespace
} // namespace snipewalk
