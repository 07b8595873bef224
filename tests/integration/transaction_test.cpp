// Transactions that move over instances, with real processes.
#include "standins/system_fleet.h"

#include <string>

#include <gtest/gtest.h>

namespace snipewalk::standins {
namespace {

// A transaction as its caller drives it.
class caller_transaction
{
public:
  caller_transaction(const system_fleet& aFleet, int aInstance)
    : mFleet(aFleet)
  {
    caller_statement statement;
    statement.mKind = "begin";
    const auto begun = mFleet.Send(aInstance, statement);
    EXPECT_TRUE(begun.Done()) << begun.mStatus << begun.mBody;
    mId = begun.mTransaction;
    EXPECT_FALSE(mId.empty());
  }

  caller_answer Send(int aInstance,
                     const std::string& aKind,
                     const std::string& aBody = {},
                     const std::string& aKey = {}) const
  {
    caller_statement statement;
    statement.mKind = aKind;
    statement.mBody = aBody;
    statement.mKey = aKey;
    statement.mTransaction = mId;
    return mFleet.Send(aInstance, statement);
  }

private:
  const system_fleet& mFleet;
  std::string mId;
};

// Value that a new session reads after a write of its own.
std::string
NewestValue(const system_fleet& aFleet, int aInstance, const std::string& aKey)
{
  const auto written = aFleet.Write(aInstance, "set position yes");
  EXPECT_TRUE(written.Done()) << written.mStatus << written.mBody;
  const auto read = aFleet.Read(aInstance, "get " + aKey, written.mSession);
  EXPECT_TRUE(read.Done()) << read.mStatus << read.mBody;
  return read.mBody;
}

// Guards against a transaction that is known only to the instance it began at.
TEST(TransactionTest, RunsStatementsThroughDifferentInstances)
{
  const auto fleet = system_fleet::Start({});
  ASSERT_TRUE(fleet.ok()) << fleet.status();
  for (int i = 0; i < 6; ++i) {
    const std::string value = std::to_string(i);
    const caller_transaction moving(**fleet, i % 3);
    EXPECT_TRUE(
      moving.Send((i + 1) % 3, "write", "set wage/1 " + value).Done());
    EXPECT_TRUE(
      moving.Send((i + 2) % 3, "write", "set wage/2 " + value).Done());
    EXPECT_EQ(moving.Send(i % 3, "read", "get wage/1").mBody, value);
    const auto committed = moving.Send((i + 1) % 3, "commit");
    EXPECT_TRUE(committed.Done()) << committed.mStatus << committed.mBody;
    const auto read = (*fleet)->Read(i % 3, "get wage/2", committed.mSession);
    EXPECT_EQ(read.mBody, value) << read.mStatus;
  }
}

// Guards against half a transaction that stays after its instance died, and
// against a statement of it that runs outside.
TEST(TransactionTest, IsLostWithoutEffectWhenItsInstanceIsKilled)
{
  const auto fleet = system_fleet::Start({});
  ASSERT_TRUE(fleet.ok()) << fleet.status();
  // Each instance holds a slot and pins the transactions that begin at it.
  constexpr int kHolder = 0;
  constexpr int kOther = 1;
  // Until an instance may use its share it forwards the begin to another one.
  ASSERT_TRUE(WaitFor([&] {
    const Json::Value services = (*fleet)->Admin(kHolder, "/v1/services");
    return services["services"][0]["connection_share"].asInt() > 0;
  }));
  const caller_transaction lost(**fleet, kHolder);
  EXPECT_TRUE(lost.Send(kOther, "write", "set wage/3 100").Done());
  (*fleet)->Processes().At(system_fleet::InstanceName(kHolder)).Kill();
  caller_answer answer;
  EXPECT_TRUE(WaitFor([&] {
    answer = lost.Send(kOther, "write", "set wage/4 100");
    EXPECT_FALSE(answer.Done());
    return answer.mReason == "transaction_lost";
  }))
    << answer.mStatus << answer.mBody;
  const auto committed = lost.Send(kOther, "commit");
  EXPECT_EQ(committed.mReason, "transaction_lost") << committed.mBody;
  caller_answer served;
  EXPECT_TRUE(WaitFor([&] {
    served = (*fleet)->Write(kOther, "set position yes");
    return served.Done();
  }))
    << served.mStatus << served.mBody;
  for (const std::string key : { "wage/3", "wage/4" }) {
    const auto read = (*fleet)->Read(kOther, "get " + key, served.mSession);
    EXPECT_TRUE(read.Done()) << read.mStatus << read.mBody;
    EXPECT_EQ(read.mBody, "") << key;
  }
}

// Guards against statements of two transactions on one connection.
TEST(TransactionTest, NeverMixesInterleavedTransactions)
{
  system_options options;
  options.mConnectionsPerServer = 18;
  const auto fleet = system_fleet::Start(options);
  ASSERT_TRUE(fleet.ok()) << fleet.status();
  for (int i = 0; i < 6; ++i) {
    const std::string kept = "kept/" + std::to_string(i);
    const std::string dropped = "dropped/" + std::to_string(i);
    const caller_transaction first(**fleet, i % 3);
    const caller_transaction second(**fleet, i % 3);
    EXPECT_TRUE(first.Send((i + 1) % 3, "write", "set " + kept + " 1").Done());
    EXPECT_TRUE(
      second.Send((i + 2) % 3, "write", "set " + dropped + " 2").Done());
    const auto foreign = first.Send(i % 3, "read", "get " + dropped);
    EXPECT_TRUE(foreign.Done()) << foreign.mStatus << foreign.mBody;
    EXPECT_EQ(foreign.mBody, "");
    EXPECT_EQ(second.Send(i % 3, "read", "get " + dropped).mBody, "2");
    EXPECT_TRUE(second.Send((i + 1) % 3, "rollback").Done());
    EXPECT_TRUE(first.Send((i + 2) % 3, "commit").Done());
    EXPECT_EQ(NewestValue(**fleet, i % 3, kept), "1");
    EXPECT_EQ(NewestValue(**fleet, i % 3, dropped), "");
  }
}

// Guards against a commit whose caller cannot find out whether it took effect.
TEST(TransactionTest, FindsTheOutcomeOfACommitWhoseAnswerIsLost)
{
  const auto fleet = system_fleet::Start({});
  ASSERT_TRUE(fleet.ok()) << fleet.status();
  const auto& servers = (*fleet)->Group(0).Servers();
  for (int i = 0; i < 3; ++i) {
    const std::string key = "payslip-" + std::to_string(i);
    const caller_transaction unsure(**fleet, i);
    EXPECT_TRUE(unsure.Send(i, "write", "add payslips 1").Done());
    for (std::size_t server = 0; server < servers.size(); ++server) {
      if (servers[server].mName == (*fleet)->Primary(0)) {
        const auto set =
          (*fleet)->Group(0).SetFaults(server, "{\"lose_answers\":1}");
        ASSERT_TRUE(set.ok() && set->mStatus == 200);
      }
    }
    const auto committed = unsure.Send((i + 1) % 3, "commit", {}, key);
    EXPECT_NE(committed.mOutcome, "not_run") << committed.mBody;
    EXPECT_TRUE(WaitFor(
      [&] { return (*fleet)->Outcome((i + 2) % 3, key).mOutcome == "done"; }));
    EXPECT_EQ(NewestValue(**fleet, i, "payslips"), std::to_string(i + 1));
  }
}

} // namespace
} // namespace snipewalk::standins
