// Tests of which server instances take for the primary of a service.
#include "session/controller_fixture.h"

namespace snipewalk {
namespace {

const primary_record kPromoting{ "s", "r", 2, 1, primary_phase::Promoting, 1 };

server_status
Status(server_role aRole, std::uint64_t aTerm)
{
  return { aRole, aTerm, { aTerm, 7 }, {} };
}

// Guards against stale reads: a server that led before and is chosen again may
// still have the entry of that time, and is a replica that lags until it leads.
TEST_F(SessionControllerTest, TakesNoEntryForAProofThatACandidateLeads)
{
  mStore.Write("servers", "r", "primary");
  mStore.Write(
    kFleetKind, PrimaryRecordName("s"), EncodeFleetRecord(kPromoting));
  mNetwork.mStatuses = { { "r", Status(server_role::Replica, 1) } };
  Run(1'000);
  ASSERT_EQ(Confirmed(), 3);
  instance& reader = *mInstances[0];
  reader.SendRead("k");
  reader.AcceptConnections();
  Run(500);
  EXPECT_EQ(reader.ServerOfRead("k"), "");
  mNetwork.mStatuses = { { "r", Status(server_role::Primary, 2) } };
  Run(5'000);
  reader.AcceptConnections();
  EXPECT_EQ(reader.ServerOfRead("k"), "r");
}

// Guards against stale reads: a recorded primary that has started again under
// its id holds nothing of what callers were told.
TEST_F(SessionControllerTest, TakesNoRecordForAProofAfterThePrimaryStartedAgain)
{
  const primary_record stable{ "s", "r", 2, 2, primary_phase::Stable, 1 };
  mStore.Write("servers", "r", "primary");
  mStore.Write(kFleetKind, PrimaryRecordName("s"), EncodeFleetRecord(stable));
  Run(1'000);
  ASSERT_EQ(Confirmed(), 3);
  instance& reader = *mInstances[0];
  reader.SendRead("before");
  reader.AcceptConnections();
  ASSERT_EQ(reader.ServerOfRead("before"), "r");
  mStore.Write("servers", "r", "restarted");
  Run(100);
  reader.SendRead("after");
  reader.AcceptConnections();
  EXPECT_EQ(reader.ServerOfRead("after"), "");
}

// Guards against lost commits: a candidate that starts again under its id has
// lost its log, and an instance that resumes the change must not order it.
TEST_F(SessionControllerTest, OrdersNoCandidateThatHasStartedAgain)
{
  mStore.Write("servers", "r", "replica");
  mNetwork.mStatuses = { { "p", Status(server_role::Replica, 1) } };
  Run(300);
  const candidate_record chosen{ "s", "r", kPromoting.mTerm, 1 };
  mStore.Write(kFleetKind, FleetRecordName(chosen), EncodeFleetRecord(chosen));
  mStore.Write(
    kFleetKind, PrimaryRecordName("s"), EncodeFleetRecord(kPromoting));
  // The instances can read the records after this entry.
  mStore.Write("servers", "r", "restarted");
  mNetwork.mStatuses["r"] = { server_role::Replica, 0, {}, {} };
  Run(4'000);
  EXPECT_FALSE(std::ranges::count(mNetwork.mPromoted, "r"));
  // The change begins again.
  const auto record = DecodeFleetRecord(
    PrimaryRecordName("s"), mStore.Value(kFleetKind, PrimaryRecordName("s")));
  EXPECT_GT(std::get<primary_record>(record.value()).mTerm, kPromoting.mTerm);
}

// Guards against lost commits: an instance that resumes a change has to know
// which process was chosen.
TEST_F(SessionControllerTest, RecordsWhichProcessItPromotes)
{
  mStore.Write("servers", "r", "replica");
  mNetwork.mStatuses = { { "p", Status(server_role::Replica, 1) },
                         { "r", Status(server_role::Replica, 1) } };
  Run(2'600);
  mStore.Write("servers", "p", "draining");
  Run(1'500);
  ASSERT_FALSE(mNetwork.mPromoted.empty());
  EXPECT_EQ(mNetwork.mPromoted.front(), "r");
  const std::string name = FleetRecordName(candidate_record{ "s" });
  const auto chosen =
    DecodeFleetRecord(name, mStore.Value(kFleetKind, name)).value();
  const auto record =
    DecodeFleetRecord(PrimaryRecordName("s"),
                      mStore.Value(kFleetKind, PrimaryRecordName("s")))
      .value();
  const std::uint64_t term = std::get<primary_record>(record).mTerm;
  EXPECT_EQ(std::get<candidate_record>(chosen),
            (candidate_record{ "s", "r", term, 1 }));
}

// The candidate reports its role as soon as it leads; the callers wait for it.
TEST_F(SessionControllerTest, AsksACandidateAtOnceWhenItsEntryChanges)
{
  mStore.Write("servers", "r", "replica");
  mStore.Write(
    kFleetKind, PrimaryRecordName("s"), EncodeFleetRecord(kPromoting));
  for (const auto& each : mInstances) {
    each->mHoldsReplies = true;
  }
  const auto commands = [this] {
    int sum = 0;
    for (const auto& each : mInstances) {
      sum += each->mCommands;
    }
    return sum;
  };
  // The holder goes on with the recorded change and asks the candidate once;
  // the next time would be 200 ms later.
  for (int i = 0; i < 500 && commands() == 0; ++i) {
    Run(10);
  }
  const int before = commands();
  ASSERT_GE(before, 1);
  mStore.Write("servers", "r", "primary");
  Run(20);
  EXPECT_GT(commands(), before);
}

// Guards against stale reads: after a partition, a replaced primary still calls
// itself the primary for a moment, as its successor does. An instance that has
// not read the record of the change yet cannot tell which of them it is.
TEST_F(SessionControllerTest, TakesNeitherOfTwoServersThatCallThemselvesPrimary)
{
  Run(1'000);
  instance& reader = *mInstances[0];
  mStore.Write("servers", "r", "primary");
  Run(100);
  reader.SendRead("k");
  reader.AcceptConnections();
  Run(20);
  EXPECT_EQ(reader.ServerOfRead("k"), "");
  mStore.Write("servers", "r", "replica");
  // The watch of the servers waits for further ones after a new server.
  Run(800);
  reader.AcceptConnections();
  EXPECT_EQ(reader.ServerOfRead("k"), "p");
}

} // namespace
} // namespace snipewalk
