// Tests of the membership.
#include "snipewalk/fleet/membership.h"

#include "fleet/fleet_model.h"

#include <gtest/gtest.h>

namespace snipewalk {
namespace {

std::size_t
CountState(fleet_model& aFleet, std::size_t aViewer, member_state aState)
{
  std::size_t count = 0;
  for (const auto& member : aFleet.At(aViewer).mMembership->Members()) {
    count += member.mInfo.mState == aState ? 1 : 0;
  }
  return count;
}

std::uint64_t
TotalDeaths(fleet_model& aFleet)
{
  std::uint64_t deaths = 0;
  for (std::size_t i = 0; i < aFleet.Size(); ++i) {
    deaths += aFleet.At(i).mDeaths;
  }
  return deaths;
}

// Guards against instances that start by the seeds and stay unknown to some.
TEST(MembershipTest, AllInstancesLearnOfEachOtherThroughSeeds)
{
  fleet_model fleet(3);
  for (std::size_t i = 0; i < 40; ++i) {
    fleet.Start(i);
    fleet.Run(milliseconds(200));
  }
  fleet.Run(seconds(40));
  for (std::size_t i = 0; i < 40; ++i) {
    EXPECT_EQ(fleet.At(i).mMembership->LiveCount(), 40U) << i;
  }
}

// Guards against crashed instances that stay in the tables, and against a leave
// message that is taken for a crash.
TEST(MembershipTest, CrashBecomesDeathAndLeaveBecomesDeparture)
{
  fleet_model fleet(4);
  fleet.StartJoined(20);
  fleet.Run(seconds(5));
  fleet.At(7).mStopped = true;
  fleet.Give(9, leave_requested{});
  fleet.Run(seconds(2));
  fleet.At(9).mStopped = true;
  fleet.Run(seconds(40));
  for (std::size_t i = 0; i < 20; ++i) {
    if (i == 7 || i == 9) {
      continue;
    }
    const auto& table = *fleet.At(i).mMembership;
    EXPECT_EQ(table.Find("instance-7")->mInfo.mState, member_state::Dead);
    EXPECT_EQ(table.Find("instance-9")->mInfo.mState, member_state::Left);
  }
}

// Guards against deaths of healthy members because of lost datagrams: direct
// probes, indirect probes and refutations must make up for them.
TEST(MembershipTest, LossyNetworkKillsNobody)
{
  fleet_model fleet(5);
  fleet.mLoss = 0.1;
  fleet.StartJoined(30);
  fleet.Run(seconds(300));
  EXPECT_EQ(TotalDeaths(fleet), 0U);
}

// Guards against a member that was paused and then declares the others dead,
// and against others that do not take it back.
TEST(MembershipTest, PausedMemberDeclaresNobodyDead)
{
  fleet_model fleet(6);
  fleet.StartJoined(12);
  fleet.Run(seconds(5));
  fleet.At(3).mStopped = true;
  fleet.Run(seconds(30));
  EXPECT_EQ(CountState(fleet, 0, member_state::Dead), 1U);
  fleet.At(3).mStopped = false;
  fleet.Run(seconds(60));
  EXPECT_EQ(fleet.At(3).mDeaths, 0U);
  for (std::size_t i = 0; i < 12; ++i) {
    EXPECT_EQ(fleet.At(i).mMembership->LiveCount(), 12U) << i;
  }
}

// Guards against halves of a fleet that hold each other dead for ever after a
// partition.
TEST(MembershipTest, PartitionHeals)
{
  fleet_model fleet(7);
  fleet.StartJoined(20);
  fleet.Run(seconds(5));
  for (std::size_t i = 0; i < 10; ++i) {
    fleet.At(i).mGroup = 1;
  }
  fleet.Run(seconds(120));
  EXPECT_EQ(fleet.At(0).mMembership->LiveCount(), 10U);
  for (std::size_t i = 0; i < 10; ++i) {
    fleet.At(i).mGroup = 0;
  }
  fleet.Run(seconds(180));
  for (std::size_t i = 0; i < 20; ++i) {
    EXPECT_EQ(fleet.At(i).mMembership->LiveCount(), 20U) << i;
  }
}

// Guards against a suspicion that a live member does not refute with a higher
// incarnation.
TEST(MembershipTest, SuspectedMemberRefutes)
{
  fleet_model fleet(8);
  fleet.StartJoined(3);
  const std::uint64_t before = fleet.At(1).mMembership->Self().mIncarnation;
  membership_message rumour;
  rumour.mKind = membership_kind::Update;
  rumour.mSender = "instance-0";
  rumour.mUpdates.push_back(fleet.At(1).mMembership->Self());
  rumour.mUpdates.back().mState = member_state::Suspect;
  fleet.Give(1, membership_received{ fleet_model::Address(0), rumour });
  EXPECT_EQ(fleet.At(1).mMembership->Self().mIncarnation, before + 1);
  EXPECT_EQ(LifeOf(before + 1), LifeOf(before));
}

// Guards against two instances with one name that both go on: the one with the
// higher incarnation stays.
TEST(MembershipTest, OlderInstanceOfANameIsTold)
{
  fleet_model fleet(9);
  fleet.StartJoined(3);
  member_info other = fleet.At(1).mMembership->Self();
  other.mControlAddress = "10.9.9.9:1";
  other.mIncarnation += std::uint64_t{ 1 } << kRefutationBits;
  membership_message message;
  message.mKind = membership_kind::Update;
  message.mSender = "instance-0";
  message.mUpdates = { other };
  fleet.Give(1, membership_received{ fleet_model::Address(0), message });
  EXPECT_TRUE(fleet.At(1).mDuplicate);
  other.mIncarnation = 1;
  message.mUpdates = { other };
  fleet.At(1).mDuplicate = false;
  fleet.Give(1, membership_received{ fleet_model::Address(0), message });
  EXPECT_FALSE(fleet.At(1).mDuplicate);
}

// Guards against datagrams above the limit and traffic that grows with the
// fleet.
TEST(MembershipTest, BytesPerInstanceStayConstant)
{
  double rates[2] = {};
  const std::size_t sizes[2] = { 8, 64 };
  for (int i = 0; i < 2; ++i) {
    fleet_model fleet(10);
    fleet.mCountBytes = true;
    fleet.StartJoined(sizes[i]);
    fleet.Run(seconds(60));
    const std::uint64_t before = fleet.At(5).mBytesSent;
    fleet.Run(seconds(60));
    rates[i] = static_cast<double>(fleet.At(5).mBytesSent - before) / 60;
    EXPECT_LE(fleet.mLargestDatagram, kDatagramBytes);
  }
  EXPECT_LT(rates[1], rates[0] * 1.3);
}

// Guards against a datagram that outgrows its limit when names and addresses
// are long.
TEST(MembershipTest, LongNamesFitTheDatagram)
{
  membership_options options;
  options.mSelf = { std::string(60, 's'), 1,
                    std::string(60, 'd'), std::string(60, 'r'),
                    "10.0.0.1:1",         "10.0.0.1:2",
                    member_state::Alive };
  membership subject(options, time_point{});
  std::vector<membership_action> actions;
  members_received table;
  for (int i = 0; i < 100; ++i) {
    member_info member = options.mSelf;
    member.mName = std::string(60, 'n') + std::to_string(i);
    member.mControlAddress = "10.0.0.2:" + std::to_string(i + 1);
    table.mMembers.push_back(member);
  }
  subject.Handle(table, time_point{}, actions);
  for (int i = 0; i < 50; ++i) {
    subject.Handle(membership_timer{}, subject.NextTimer(), actions);
  }
  std::size_t checked = 0;
  for (const auto& action : actions) {
    if (const auto* send = std::get_if<send_membership>(&action)) {
      EXPECT_LE(EncodeDatagram(send->mMessage, "key").size(), kDatagramBytes);
      ++checked;
    }
  }
  EXPECT_GT(checked, 10U);
}

} // namespace
} // namespace snipewalk
