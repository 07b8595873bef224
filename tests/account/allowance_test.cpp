// Tests of the division of rate limits between instances: throughput without
// failures, and the limit in any window under random failures.
#include "account/allowance_model.h"
#include "snipewalk/account/allowance_owners.h"

#include <gtest/gtest.h>

#include <set>

namespace snipewalk {
namespace {

constexpr std::size_t kInstances = 8;

// Sends operations at a rate to random instances.
void
SendSteadily(allowance_model& aModel, double aPerSecond, int aMs)
{
  for (int ms = 0; ms < aMs; ++ms) {
    if (aModel.Chance(aPerSecond / 1'000)) {
      aModel.Arrive(aModel.AnyInstance());
    }
    aModel.Step();
  }
}

// Guards against operations that are refused below the limit of an account.
TEST(AllowanceTest, PassesTheUsualDemandOfALargeAccount)
{
  allowance_model model(kInstances, { 300, 300 }, 1);
  SendSteadily(model, 200, 30'000);
  EXPECT_LT(model.RefusedCount(), model.RunCount() / 100);
}

// A small account has less than one operation a second at each instance.
TEST(AllowanceTest, PassesTheUsualDemandOfASmallAccount)
{
  allowance_model model(kInstances, { 2.4, 2.4 }, 2);
  SendSteadily(model, 1.5, 120'000);
  EXPECT_LT(model.RefusedCount(), model.RunCount() / 50);
}

// Replays one account that sends seven times its usual load: it gets its limit,
// and not much less.
TEST(AllowanceTest, PassesTheLimitToALoudAccount)
{
  allowance_model model(kInstances, { 100, 100 }, 3);
  SendSteadily(model, 700, 20'000);
  EXPECT_LE(static_cast<double>(model.LargestWindow()),
            model.AllowedInWindow());
  EXPECT_GT(model.RunCount(), 20U * 90U);
}

// Guards against refusals while the owner of an account is replaced.
TEST(AllowanceTest, GoesOnForAWhileWithoutAnOwner)
{
  allowance_model model(kInstances, { 160, 160 }, 4);
  SendSteadily(model, 100, 10'000);
  const std::size_t before = model.RefusedCount();
  model.mLoss = 1;
  SendSteadily(model, 100, 1'000);
  EXPECT_EQ(model.RefusedCount(), before);
}

// Guards against tokens for time in which all of them were in use: instances
// hold what the capacity allows, and use it all shortly before they report.
TEST(AllowanceTest, CreditsNoTimeInWhichAllTokensWereInUse)
{
  for (std::uint64_t seed = 30; seed < 40; ++seed) {
    allowance_model model(1, { 400, 400 }, seed);
    SendSteadily(model, 350, 6'000);
    model.SetCutOff(0, true);
    SendSteadily(model, 1, 1'400);
    for (int i = 0; i < 1'000; ++i) {
      model.Arrive(0);
    }
    model.SetCutOff(0, false);
    SendSteadily(model, 2'000, 6'000);
    EXPECT_LE(static_cast<double>(model.LargestWindow()),
              model.AllowedInWindow())
      << "seed " << seed;
  }
}

TEST(AllowanceTest, KeepsTheLimitWhileMessagesAreLostAndReordered)
{
  for (std::uint64_t seed = 10; seed < 20; ++seed) {
    allowance_model model(kInstances, { 50, 50 }, seed);
    model.mLoss = 0.3;
    model.mMaxDelayMs = 400;
    SendSteadily(model, 200, 20'000);
    EXPECT_LE(static_cast<double>(model.LargestWindow()),
              model.AllowedInWindow())
      << "seed " << seed;
  }
}

// Instances restart, are cut off and suspended, and owners are replaced, while
// the account sends more than its limit in bursts.
TEST(AllowanceTest, KeepsTheLimitUnderRandomFailures)
{
  for (std::uint64_t seed = 100; seed < 140; ++seed) {
    allowance_model model(kInstances, { 40, 40 }, seed);
    model.mLoss = 0.05;
    model.mMaxDelayMs = 60;
    time_point replacedAt = model.mNow;
    for (int ms = 0; ms < 30'000; ++ms) {
      const bool burst = ms / 1'500 % 2 == 0;
      if (model.Chance(burst ? 0.4 : 0.005)) {
        model.Arrive(model.AnyInstance());
      }
      if (model.Chance(0.0005)) {
        model.Restart(model.AnyInstance());
      }
      if (model.Chance(0.001)) {
        model.SetCutOff(model.AnyInstance(), model.Chance(0.5));
      }
      if (model.Chance(0.0005)) {
        model.Suspend(model.AnyInstance());
      }
      if (model.Chance(0.002)) {
        model.Resume(model.AnyInstance());
      }
      // A new owner waits for at least the lease of the former one.
      if (model.mNow >= replacedAt + allowance_owners::kLease &&
          model.Chance(0.0005)) {
        replacedAt = model.mNow;
        model.ReplaceOwner();
      }
      model.Step();
    }
    EXPECT_LE(static_cast<double>(model.LargestWindow()),
              model.AllowedInWindow())
      << "seed " << seed;
  }
}

// All processes that hold tokens restart at once, repeatedly; the owner does
// not.
TEST(AllowanceTest, KeepsTheLimitWhileAllInstancesRestart)
{
  for (std::uint64_t seed = 200; seed < 210; ++seed) {
    allowance_model model(kInstances, { 30, 30 }, seed);
    for (int round = 0; round < 6; ++round) {
      SendSteadily(model, 200, 2'000);
      for (std::size_t i = 0; i < kInstances; ++i) {
        model.Restart(i);
      }
    }
    EXPECT_LE(static_cast<double>(model.LargestWindow()),
              model.AllowedInWindow())
      << "seed " << seed;
  }
}

// A lower limit binds one window after all instances know it.
TEST(AllowanceTest, KeepsALoweredLimitAfterOneWindow)
{
  allowance_model model(kInstances, { 300, 300 }, 5);
  SendSteadily(model, 400, 10'000);
  model.SetLimit({ 30, 30 });
  SendSteadily(model, 400, 5'000);
  const std::size_t before = model.RunCount();
  SendSteadily(model, 400, 5'000);
  EXPECT_LE(static_cast<double>(model.RunCount() - before),
            model.AllowedInWindow());
}

TEST(AllowanceTest, GrantsARaisedLimitSoon)
{
  allowance_model model(kInstances, { 10, 10 }, 6);
  SendSteadily(model, 100, 5'000);
  model.SetLimit({ 200, 200 });
  SendSteadily(model, 100, 2'000);
  const std::size_t before = model.RefusedCount();
  SendSteadily(model, 100, 5'000);
  EXPECT_LT(model.RefusedCount() - before, 10U);
}

class AllowanceOwnersTest : public testing::Test
{
protected:
  static constexpr int kAccounts = 40;

  AllowanceOwnersTest()
  {
    std::vector<client_account> accounts;
    for (int i = 0; i < kAccounts; ++i) {
      const std::string name = "a" + std::to_string(i);
      accounts.push_back({ name, { "k" + name }, 0, rate_limit{ 1, 1 } });
    }
    findings found;
    mAccounts = account_directory::Build(std::move(accounts), found);
  }

  account_directory mAccounts;
  time_point mNow{ seconds(100) };
};

// Guards against two instances that issue tokens of one account.
TEST_F(AllowanceOwnersTest, AgreesOnTheOwnersWhateverTheOrderOfChanges)
{
  allowance_owners one("i1");
  allowance_owners two("i2");
  one.SetAccounts(mAccounts);
  one.SetInstances({ "i1", "i2", "i3" }, mNow);
  two.SetInstances({ "i2", "i9" }, mNow);
  two.SetInstances({ "i1", "i2", "i3", "i9" }, mNow);
  two.SetAccounts(mAccounts);
  two.SetInstances({ "i1", "i2", "i3" }, mNow);
  for (const auto& [name, account] : mAccounts.All()) {
    EXPECT_EQ(one.OwnerOf(name), two.OwnerOf(name));
    EXPECT_FALSE(one.OwnedSince(name) && two.OwnedSince(name));
  }
}

TEST_F(AllowanceOwnersTest, MovesFewAccountsWhenAnInstanceLeaves)
{
  allowance_owners owners("i1");
  owners.SetAccounts(mAccounts);
  owners.SetInstances({ "i1", "i2", "i3", "i4" }, mNow);
  std::map<std::string, std::string> before;
  for (const auto& [name, account] : mAccounts.All()) {
    before[name] = owners.OwnerOf(name);
  }
  owners.SetInstances({ "i1", "i2", "i3" }, mNow + seconds(5));
  for (const auto& [name, account] : mAccounts.All()) {
    if (before[name] != "i4") {
      EXPECT_EQ(owners.OwnerOf(name), before[name]);
    }
    EXPECT_NE(owners.OwnerOf(name), "i4");
  }
}

// Guards against a new owner that issues while the former one still does.
TEST_F(AllowanceOwnersTest, DatesOwnershipFromTheLatestChange)
{
  allowance_owners owners("i1");
  owners.SetAccounts(mAccounts);
  owners.SetInstances({ "i1" }, mNow);
  owners.SetInstances({ "i1", "i2" }, mNow + seconds(1));
  owners.SetInstances({ "i1" }, mNow + seconds(2));
  std::set<time_point> since;
  for (const auto& [name, account] : mAccounts.All()) {
    since.insert(*owners.OwnedSince(name));
  }
  EXPECT_EQ(since, (std::set<time_point>{ mNow, mNow + seconds(2) }));
  owners.Restart(mNow + seconds(3));
  EXPECT_EQ(*owners.OwnedSince("a0"), mNow + seconds(3));
}

} // namespace
} // namespace snipewalk
