// Draining of leaving backend servers with real processes under load.
#include "standins/system_fleet.h"

#include <gtest/gtest.h>

#include <thread>

namespace snipewalk::standins {
namespace {

const std::vector<std::string> kLoad = { "--rate=200",
                                         "--sessions=20",
                                         "--seconds=9",
                                         "--settle_seconds=5" };

std::string
AnyReplica(const system_fleet& aFleet)
{
  const std::string primary = aFleet.Primary(0);
  for (const auto& server : aFleet.Group(0).Servers()) {
    if (server.mName != primary) {
      return server.mName;
    }
  }
  return {};
}

// Whether the server executed nothing for a second.
bool
IsIdle(const system_fleet& aFleet, const std::string& aServer)
{
  const std::uint64_t before = aFleet.Statements(aServer);
  std::this_thread::sleep_for(seconds(1));
  return aFleet.Statements(aServer) == before;
}

bool
IsReportedEmpty(const system_fleet& aFleet, const std::string& aServer)
{
  const Json::Value status = aFleet.StoreObject("status", "service1");
  if (!status.isObject()) {
    return false;
  }
  for (const auto& server : status["servers"]) {
    if (server["server"].asString() == aServer) {
      return !server["is_primary"].asBool() && !server["is_voter"].asBool() &&
             server["connections"].asUInt64() == 0;
    }
  }
  return false;
}

void
ExpectAllDone(const std::vector<history_record>& aHistory)
{
  EXPECT_GT(aHistory.size(), 500U);
  for (const auto& record : aHistory) {
    EXPECT_EQ(record.mOutcome, statement_outcome::Done)
      << NameOf(kHistoryKindNames, record.mKind) << " " << record.mReason;
  }
}

// Guards against a leaving replica that still gets reads while the load goes
// on, and against a drain that never ends.
TEST(DrainTest, LeavingReplicaGetsNoNewStatements)
{
  const auto started = system_fleet::Start({});
  ASSERT_TRUE(started.ok()) << started.status();
  system_fleet& fleet = **started;
  const std::string leaving = AnyReplica(fleet);
  ASSERT_TRUE(fleet.StartLoad(kLoad).ok());
  ASSERT_TRUE(WaitFor([&] { return fleet.Statements(leaving) > 50; }));
  ASSERT_TRUE(fleet.PutDocument(0, { leaving }).ok());
  EXPECT_TRUE(WaitFor([&] { return IsIdle(fleet, leaving); }));
  const std::uint64_t others = fleet.Statements(fleet.Primary(0));
  EXPECT_TRUE(IsIdle(fleet, leaving));
  EXPECT_GT(fleet.Statements(fleet.Primary(0)), others);
  EXPECT_TRUE(
    WaitFor([&] { return IsReportedEmpty(fleet, leaving); }, seconds(20)));
  ExpectAllDone(fleet.FinishLoad(seconds(30)));
}

// Guards against requests that fail while a leaving primary hands over.
TEST(DrainTest, LeavingPrimaryHandsOverUnderLoad)
{
  const auto started = system_fleet::Start({});
  ASSERT_TRUE(started.ok()) << started.status();
  system_fleet& fleet = **started;
  const std::string leaving = fleet.Primary(0);
  ASSERT_TRUE(fleet.StartLoad(kLoad).ok());
  ASSERT_TRUE(WaitFor([&] { return fleet.Statements(leaving) > 50; }));
  ASSERT_TRUE(fleet.PutDocument(0, { leaving }).ok());
  EXPECT_TRUE(WaitFor([&] {
    const std::string primary = fleet.Primary(0);
    return !primary.empty() && primary != leaving;
  }));
  EXPECT_TRUE(WaitFor([&] { return IsIdle(fleet, leaving); }));
  EXPECT_TRUE(
    WaitFor([&] { return IsReportedEmpty(fleet, leaving); }, seconds(20)));
  ExpectAllDone(fleet.FinishLoad(seconds(30)));
}

// Guards against a drain that aborts a transaction on the leaving server.
TEST(DrainTest, OpenTransactionOnTheLeavingPrimaryFinishes)
{
  const auto started = system_fleet::Start({});
  ASSERT_TRUE(started.ok()) << started.status();
  system_fleet& fleet = **started;
  const std::string leaving = fleet.Primary(0);
  caller_statement statement;
  statement.mKind = "begin";
  const auto begun = fleet.Send(0, statement);
  ASSERT_TRUE(begun.Done()) << begun.mStatus << begun.mBody;
  statement.mTransaction = begun.mTransaction;
  statement.mKind = "write";
  statement.mBody = "set drum/9 cleaned";
  ASSERT_TRUE(fleet.Send(0, statement).Done());
  ASSERT_TRUE(fleet.PutDocument(0, { leaving }).ok());
  std::this_thread::sleep_for(seconds(3));
  statement.mBody = "set drum/10 cleaned";
  const auto written = fleet.Send(1, statement);
  EXPECT_TRUE(written.Done()) << written.mStatus << written.mBody;
  statement.mKind = "commit";
  statement.mBody.clear();
  const auto committed = fleet.Send(2, statement);
  EXPECT_TRUE(committed.Done()) << committed.mStatus << committed.mBody;
  EXPECT_EQ(fleet.Read(0, "get drum/9", committed.mSession).mBody, "cleaned");
  EXPECT_TRUE(WaitFor([&] {
    const std::string primary = fleet.Primary(0);
    return !primary.empty() && primary != leaving;
  }));
}

// The instance that has the one open transaction by the store's drain status;
// nothing when the status names none as an obstacle.
std::optional<int>
HolderOfTransaction(const system_fleet& aFleet)
{
  const Json::Value status = aFleet.StoreObject("status", "service1");
  const Json::Value& obstacles = status["servers"][0]["obstacles"];
  const std::string text =
    obstacles.isArray() && !obstacles.empty() ? obstacles[0].asString() : "";
  for (int i = 0; i < aFleet.Instances(); ++i) {
    if (text.find(system_fleet::InstanceName(i) + " has 1") !=
        std::string::npos) {
      return i;
    }
  }
  return std::nullopt;
}

// Guards against writes that stop while a planned change waits for a
// transaction, against new transactions that are not refused as not run, and
// against a wait that operators do not see.
TEST(DrainTest, ServesWritesAndHoldsNewTransactionsDuringTheWait)
{
  const auto started = system_fleet::Start({});
  ASSERT_TRUE(started.ok()) << started.status();
  system_fleet& fleet = **started;
  const std::string leaving = fleet.Primary(0);
  caller_statement statement;
  statement.mKind = "begin";
  const auto open = fleet.Send(0, statement);
  ASSERT_TRUE(open.Done()) << open.mStatus << open.mBody;
  ASSERT_TRUE(fleet.PutDocument(0, { leaving }).ok());
  EXPECT_TRUE(WaitFor([&] { return HolderOfTransaction(fleet).has_value(); },
                      seconds(15)));
  const auto written = fleet.Write(1, "set drum/9 cleaned");
  EXPECT_TRUE(written.Done()) << written.mStatus << written.mBody;
  EXPECT_EQ(written.mServer, leaving);
  statement.mTimeoutMs = 500;
  const auto refused = fleet.Send(2, statement);
  EXPECT_EQ(refused.mOutcome, "not_run") << refused.mBody;
  EXPECT_FALSE(refused.mRetryAfter.empty());
  caller_statement end;
  end.mKind = "rollback";
  end.mTransaction = open.mTransaction;
  EXPECT_TRUE(fleet.Send(1, end).Done());
  statement.mTimeoutMs = 5'000;
  const auto begun = fleet.Send(2, statement);
  EXPECT_TRUE(begun.Done()) << begun.mStatus << begun.mBody;
  EXPECT_NE(begun.mServer, leaving);
}

// Guards against a drain that waits for the transactions of an instance that is
// gone until the wait is over.
TEST(DrainTest, ChangesThePrimaryOnceAHolderOfTransactionsIsGone)
{
  const auto started = system_fleet::Start({});
  ASSERT_TRUE(started.ok()) << started.status();
  system_fleet& fleet = **started;
  const std::string leaving = fleet.Primary(0);
  caller_statement statement;
  statement.mKind = "begin";
  ASSERT_TRUE(fleet.Send(0, statement).Done());
  ASSERT_TRUE(fleet.PutDocument(0, { leaving }).ok());
  std::optional<int> holder;
  ASSERT_TRUE(
    WaitFor([&] { return (holder = HolderOfTransaction(fleet)).has_value(); },
            seconds(15)));
  EXPECT_EQ(fleet.Primary(0), leaving);
  fleet.Processes().At(system_fleet::InstanceName(*holder)).Kill();
  EXPECT_TRUE(WaitFor(
    [&] {
      const std::string primary = fleet.Primary(0);
      return !primary.empty() && primary != leaving;
    },
    seconds(20)));
}

// Guards against a change of voters that rolls back a transaction on a primary
// that stays.
TEST(DrainTest, OpenTransactionFinishesWhileAReplicaLeaves)
{
  const auto started = system_fleet::Start({});
  ASSERT_TRUE(started.ok()) << started.status();
  system_fleet& fleet = **started;
  const std::string primary = fleet.Primary(0);
  const std::uint64_t term = fleet.Term(0);
  caller_statement statement;
  statement.mKind = "begin";
  const auto begun = fleet.Send(0, statement);
  ASSERT_TRUE(begun.Done()) << begun.mStatus << begun.mBody;
  statement.mTransaction = begun.mTransaction;
  ASSERT_TRUE(fleet.PutDocument(0, { AnyReplica(fleet) }).ok());
  std::this_thread::sleep_for(seconds(3));
  statement.mKind = "write";
  statement.mBody = "set drum/9 cleaned";
  const auto written = fleet.Send(1, statement);
  EXPECT_TRUE(written.Done()) << written.mStatus << written.mBody;
  statement.mKind = "commit";
  statement.mBody.clear();
  const auto committed = fleet.Send(2, statement);
  EXPECT_TRUE(committed.Done()) << committed.mStatus << committed.mBody;
  EXPECT_TRUE(
    WaitFor([&] { return fleet.Term(0) > term && fleet.Primary(0) == primary; },
            seconds(20)));
}

} // namespace
} // namespace snipewalk::standins
