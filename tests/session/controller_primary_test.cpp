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

} // namespace
} // namespace snipewalk
