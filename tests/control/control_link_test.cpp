// Tests of the control port: the handshake between versions, and datagrams.
#include "snipewalk/control/control_port.h"

#include "snipewalk/version/term_record.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <optional>

namespace snipewalk {
namespace {

constexpr milliseconds kPatience{ 2'000 };

// What arrives at an instance with `aTo` when one with `aFrom` sends a member;
// nothing when the connection is refused.
std::optional<member_info>
SendMember(const version_range& aFrom, const version_range& aTo)
{
  event_loop loop;
  std::optional<member_info> received;
  const auto options = [](const version_range& aVersions) {
    control_port_options made;
    made.mName = "i";
    made.mAddress = "127.0.0.1:0";
    made.mKeys = { "key" };
    made.mVersions = aVersions;
    return made;
  };
  control_port from(loop, options(aFrom), {});
  control_port to(loop,
                  options(aTo),
                  { {},
                    [&](link_id,
                        const std::string&,
                        const fleet_message& aMessage,
                        time_point) {
                      received =
                        std::get<member_reply>(aMessage).mMembers.at(0);
                      loop.Stop();
                    } });
  EXPECT_TRUE(from.Open().ok() && to.Open().ok());
  member_reply message;
  message.mMembers.resize(1);
  message.mMembers[0].mName = "m";
  message.mMembers[0].mVersions = { 1, 2 };
  from.Send(to.Address(), message);
  loop.RunAt(loop.Now() + kPatience, [&](time_point) { loop.Stop(); });
  std::function<void(time_point)> check = [&](time_point aNow) {
    if (from.Counters().mConnectionsRejected > 0 ||
        to.Counters().mConnectionsRejected > 0) {
      loop.Stop();
    } else {
      loop.RunAt(aNow + milliseconds(5), check);
    }
  };
  check(loop.Now());
  loop.Run();
  return received;
}

// Guards against a mixed fleet whose control connections fail, and against
// fields that the other end does not know.
TEST(ControlLinkTest, EncodesForTheHighestCommonVersion)
{
  for (int from = 1; from <= 2; ++from) {
    for (int to = 1; to <= 2; ++to) {
      const auto member = SendMember({ 1, from }, { 1, to });
      ASSERT_TRUE(member) << from << to;
      EXPECT_EQ(member->mName, "m");
      EXPECT_EQ(member->mVersions.mHighest, std::min(from, to));
    }
  }
}

// Guards against an instance that takes messages of a version it does not know.
TEST(ControlLinkTest, RefusesWithoutACommonVersion)
{
  EXPECT_FALSE(SendMember({ 1, 2 }, { 3, 4 }));
  EXPECT_FALSE(SendMember({ 3, 4 }, { 1, 2 }));
}

// A query to take a slot over of a service with as many slots and as long names
// as documents allow.
slot_message
LongestQuery()
{
  constexpr std::size_t kSlots = 64;
  constexpr std::size_t kNameBytes = 64;
  constexpr std::uint64_t kIncarnation = 1ULL << 56;
  slot_record record;
  for (std::size_t i = 0; i < kSlots; ++i) {
    slot_record::holder holder;
    holder.mInstance = std::string(kNameBytes, 'i');
    holder.mIncarnation = kIncarnation;
    record.mHolders.push_back(holder);
  }
  slot_message query;
  query.mKind = slot_message_kind::TakeOverQuery;
  query.mService = std::string(kNameBytes, 's');
  query.mSender = std::string(kNameBytes, 'i');
  query.mHolder = std::string(kNameBytes, 'i');
  query.mSenderLife = kIncarnation;
  query.mHolderLife = kIncarnation;
  query.mRecord = EncodeSlotRecord(record);
  return query;
}

// Guards against a query that its receiver cuts and rejects, so that the slot
// of an ended instance is not taken over.
TEST(ControlPortTest, ReceivesATakeOverOfAllSlots)
{
  event_loop loop;
  control_port_options options;
  options.mName = "i";
  options.mAddress = "127.0.0.1:0";
  options.mKeys = { "key" };
  std::optional<slot_message> received;
  control_port from(loop, options, {});
  control_port to(loop,
                  options,
                  { [&](const std::string&, datagram_body aBody, time_point) {
                     received = std::get<slot_message>(std::move(aBody));
                     loop.Stop();
                   },
                    {} });
  ASSERT_TRUE(from.Open().ok() && to.Open().ok());
  const slot_message query = LongestQuery();
  from.SendDatagram(to.Address(), query, kBuildVersions.mHighest);
  loop.RunAt(loop.Now() + kPatience, [&](time_point) { loop.Stop(); });
  loop.Run();
  EXPECT_EQ(to.Counters().mDatagramsRejected, 0U);
  ASSERT_TRUE(received);
  EXPECT_EQ(received->mRecord, query.mRecord);
  EXPECT_LE(from.Counters().mBytesSent, kLongestDatagramBytes);
}

} // namespace
} // namespace snipewalk
