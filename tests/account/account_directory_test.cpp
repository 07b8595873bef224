// Tests of the directory of client accounts.
#include "snipewalk/account/account_directory.h"

#include <gtest/gtest.h>

#include <string>
#include <utility>
#include <vector>

namespace snipewalk {
namespace {

class AccountDirectoryTest : public testing::Test
{
protected:
  static client_account Account(const std::string& aName,
                                std::vector<std::string> aKeys)
  {
    return { aName, std::move(aKeys), 1, rate_limit{ 10, 10 } };
  }

  // Builds a directory of the account and of a valid one, "other".
  account_directory BuildWith(client_account aAccount)
  {
    return account_directory::Build(
      { std::move(aAccount), Account("other", { "k-other" }) }, mFindings);
  }

  // Expects one finding of this name, and that the other entry is in force.
  void ExpectOnlyFinding(const account_directory& aDirectory,
                         const std::string& aName) const
  {
    ASSERT_EQ(mFindings.All().size(), 1U) << mFindings.ToString();
    EXPECT_EQ(mFindings.All().front().mName, aName);
    EXPECT_NE(aDirectory.FindByKey("k-other"), nullptr);
  }

  findings mFindings;
};

// Guards against a lookup by prefix.
TEST_F(AccountDirectoryTest, TellsAccountsOfLikeNamesApart)
{
  const auto directory = account_directory::Build(
    { Account("mi", { "k1" }), Account("mi1", { "k" }) }, mFindings);
  EXPECT_TRUE(mFindings.empty());
  EXPECT_EQ(directory.FindByKey("k1")->mName, "mi");
  EXPECT_EQ(directory.FindByKey("k")->mName, "mi1");
  EXPECT_EQ(directory.FindByKey("k11"), nullptr);
  EXPECT_EQ(directory.FindByKey(""), nullptr);
}

TEST_F(AccountDirectoryTest, ReportsAnAccountWithoutAKey)
{
  ExpectOnlyFinding(BuildWith(Account("a", {})), "account_without_key");
}

// Guards against callers that act for another account, and against keys in
// logs.
TEST_F(AccountDirectoryTest, LetsASharedKeyIdentifyNobody)
{
  const auto directory = BuildWith(Account("a", { "k-secret", "k-other" }));
  ASSERT_EQ(mFindings.All().size(), 1U);
  EXPECT_EQ(mFindings.All().front().mName, "shared_key");
  EXPECT_EQ(mFindings.ToString().find("k-other"), std::string::npos);
  EXPECT_EQ(directory.FindByKey("k-other"), nullptr);
  EXPECT_EQ(directory.FindByKey("k-secret")->mName, "a");
}

TEST_F(AccountDirectoryTest, ReportsANegativeRate)
{
  client_account account = Account("a", { "k" });
  account.mLimit->mPerSecond = -1;
  ExpectOnlyFinding(BuildWith(std::move(account)), "bad_rate");
}

TEST_F(AccountDirectoryTest, ReportsAnUnknownPriority)
{
  client_account account = Account("a", { "k" });
  account.mPriority = account_directory::kMaxPriority + 1;
  ExpectOnlyFinding(BuildWith(std::move(account)), "unknown_priority");
}

TEST_F(AccountDirectoryTest, ReportsAKeyOfOneMegabyte)
{
  const std::string key(1024 * 1024, 'k');
  ExpectOnlyFinding(BuildWith(Account("a", { key })), "bad_key");
  EXPECT_LT(mFindings.ToString().size(), 1'000U);
}

// Guards against an entry that hides the one before it.
TEST_F(AccountDirectoryTest, KeepsTheFirstOfTwoAccountsOfOneName)
{
  const auto directory = account_directory::Build(
    { Account("a", { "k1" }), Account("a", { "k2" }) }, mFindings);
  EXPECT_TRUE(mFindings.Has("duplicate_account"));
  EXPECT_NE(directory.FindByKey("k1"), nullptr);
  EXPECT_EQ(directory.FindByKey("k2"), nullptr);
}

TEST_F(AccountDirectoryTest, KeepsTheFirstOfTenThousandAccounts)
{
  std::vector<client_account> accounts;
  for (int i = 0; i < 10'000; ++i) {
    const std::string number = std::to_string(i);
    accounts.push_back(Account("a" + number, { "k" + number }));
  }
  const auto directory =
    account_directory::Build(std::move(accounts), mFindings);
  EXPECT_EQ(directory.All().size(), account_directory::kMaxAccounts);
  EXPECT_EQ(mFindings.All().size(), 10'000 - account_directory::kMaxAccounts);
  EXPECT_NE(directory.FindByKey("k0"), nullptr);
}

TEST_F(AccountDirectoryTest, DividesTheRatesOfAllAccounts)
{
  const auto directory = BuildWith({ "a", { "k" }, 0, rate_limit{ 30, 30 } });
  EXPECT_DOUBLE_EQ(directory.RateShare(*directory.Find("a")), 0.75);
}

} // namespace
} // namespace snipewalk
