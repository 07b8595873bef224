// Tests of the handshake of the control port between versions.
#include "snipewalk/control/control_port.h"

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

} // namespace
} // namespace snipewalk
