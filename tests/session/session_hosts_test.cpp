// Tests of the choice of a service's hosts.
#include "snipewalk/session/session_hosts.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <map>
#include <set>

namespace snipewalk {
namespace {

constexpr std::size_t kInstances = 60;

std::vector<host_candidate>
Candidates(std::size_t aCount)
{
  std::vector<host_candidate> candidates;
  for (std::size_t i = 0; i < aCount; ++i) {
    const std::string name = "i" + std::to_string(i);
    candidates.push_back({ name, "dc" + std::to_string(i % 3), name + ":1" });
  }
  return candidates;
}

std::set<std::string>
Names(const std::vector<host_candidate>& aHosts)
{
  std::set<std::string> names;
  for (const auto& host : aHosts) {
    names.insert(host.mName);
  }
  return names;
}

TEST(HostCountTest, IsZeroWhileAllInstancesHaveAConnection)
{
  EXPECT_EQ(HostCount(18, 9, 3), 0U);
  EXPECT_EQ(HostCount(18, 18, 3), 0U);
  EXPECT_EQ(HostCount(18, 19, 3), 3U);
}

TEST(HostCountTest, LeavesOneWhenAHostFails)
{
  EXPECT_EQ(HostCount(1, 300, 3), 2U);
}

// Callers use the hosts of their own data centre. Guards against a data centre
// with one host while the others have two.
TEST(HostCountTest, GivesEachDataCentreAsManyHosts)
{
  EXPECT_EQ(HostCount(30, 59, 3), 6U);
  EXPECT_EQ(HostCount(30, 59, 5), 5U);
  EXPECT_EQ(HostCount(30, 59, 4), 8U);
  EXPECT_EQ(HostCount(18, 59, 5), 3U);
}

TEST(HostCountTest, GivesNoHostWithoutAConnection)
{
  EXPECT_EQ(HostCount(3, 59, 2), 2U);
  EXPECT_EQ(HostCount(13, 59, 2), 2U);
}

// Guards against a surplus of hosts in one data centre, which the callers of
// the other data centres would not use.
TEST(ChooseHostsTest, GivesEachDataCentreItsShare)
{
  const auto hosts = ChooseHosts("s", Candidates(kInstances), 6);
  std::map<std::string, int> centres;
  for (const auto& host : hosts) {
    ++centres[host.mDataCentre];
  }
  for (const auto& [name, count] : centres) {
    EXPECT_EQ(count, 2) << name;
  }
}

TEST(ChooseHostsTest, SpreadsOverDataCentres)
{
  for (int service = 0; service < 20; ++service) {
    const auto hosts =
      ChooseHosts("s" + std::to_string(service), Candidates(kInstances), 3);
    std::set<std::string> centres;
    for (const auto& host : hosts) {
      centres.insert(host.mDataCentre);
    }
    EXPECT_EQ(centres.size(), 3U);
  }
}

TEST(ChooseHostsTest, DependsNotOnTheOrderOfTheCandidates)
{
  auto reversed = Candidates(kInstances);
  std::reverse(reversed.begin(), reversed.end());
  EXPECT_EQ(Names(ChooseHosts("s", Candidates(kInstances), 5)),
            Names(ChooseHosts("s", reversed, 5)));
}

// Guards against a choice of hosts in which the failure of one instance moves
// the sessions of all services.
TEST(ChooseHostsTest, ReplacesOnlyTheHostThatWentAway)
{
  const auto all = Candidates(kInstances);
  const auto before = ChooseHosts("s", all, 3);
  auto left = all;
  std::erase(left, before.front());
  const auto after = Names(ChooseHosts("s", left, 3));
  EXPECT_TRUE(after.contains(before[1].mName));
  EXPECT_TRUE(after.contains(before[2].mName));
}

// Guards against a few instances that host most of the services.
TEST(ChooseHostsTest, SpreadsServicesOverInstances)
{
  std::map<std::string, int> hosted;
  for (int service = 0; service < 200; ++service) {
    for (const auto& host : ChooseHosts(
           "s" + std::to_string(service), Candidates(kInstances), 3)) {
      ++hosted[host.mName];
    }
  }
  for (const auto& [name, count] : hosted) {
    EXPECT_LE(count, 30) << name;
  }
}

class SessionHostsTest : public testing::Test
{
protected:
  SessionHostsTest()
    : mHosts("i0", "dc0")
  {
    mHosts.SetInstances(Candidates(kInstances));
    mHosts.SetService("s", 18);
  }

  session_hosts mHosts;
  time_point mNow{ seconds(100) };
};

TEST_F(SessionHostsTest, ServesUnknownServicesHere)
{
  EXPECT_FALSE(mHosts.HostFor("absent", mNow));
}

TEST_F(SessionHostsTest, ServesHereWhileConnectionsSuffice)
{
  mHosts.SetInstances(Candidates(9));
  EXPECT_FALSE(mHosts.HostFor("s", mNow));
  EXPECT_EQ(mHosts.HostingOf("s").mHostCount, 0U);
}

TEST_F(SessionHostsTest, PrefersTheOwnDataCentre)
{
  for (int i = 1; i < 20; ++i) {
    const std::string service = "t" + std::to_string(i);
    mHosts.SetService(service, 18);
    const auto host = mHosts.HostFor(service, mNow);
    EXPECT_EQ(host.has_value(), !mHosts.HostingOf(service).mIsHost);
    if (host) {
      EXPECT_EQ(host->mDataCentre, "dc0");
    }
  }
}

// Guards against new sessions that each wait for the time limit of the same
// unresponsive host.
TEST_F(SessionHostsTest, AvoidsAHostThatFailed)
{
  const auto first = mHosts.HostFor("s", mNow);
  ASSERT_TRUE(first);
  mHosts.OnHostFailed(first->mName, mNow);
  const auto second = mHosts.HostFor("s", mNow);
  ASSERT_TRUE(second);
  EXPECT_NE(second->mName, first->mName);
  EXPECT_EQ(mHosts.HostFor("s", mNow + session_hosts::kFailedHostRetryDelay),
            first);
}

// A connection belongs to one account, so each host that serves an account
// needs connections of its own for it.
TEST_F(SessionHostsTest, ServesASmallAccountAtOneHost)
{
  std::set<std::string> hosts;
  for (std::size_t i = 0; i < kInstances; ++i) {
    session_hosts here("i" + std::to_string(i), "dc" + std::to_string(i % 3));
    here.SetInstances(Candidates(kInstances));
    here.SetService("s", 18);
    const auto host = here.HostForAccount("s", "ann", 0.01, mNow);
    hosts.insert(host ? host->mName : "i" + std::to_string(i));
  }
  EXPECT_EQ(hosts.size(), 1U);
}

// Guards against one host that gets the whole load of the largest account.
TEST_F(SessionHostsTest, ServesALargeAccountInEachDataCentre)
{
  std::set<std::string> dataCentres;
  for (std::size_t i = 0; i < kInstances; ++i) {
    const std::string dataCentre = "dc" + std::to_string(i % 3);
    session_hosts here("i" + std::to_string(i), dataCentre);
    here.SetInstances(Candidates(kInstances));
    here.SetService("s", 18);
    if (const auto host = here.HostForAccount("s", "ann", 0.17, mNow)) {
      EXPECT_EQ(host->mDataCentre, dataCentre);
      dataCentres.insert(host->mDataCentre);
    }
  }
  EXPECT_EQ(dataCentres.size(), 3U);
}

TEST_F(SessionHostsTest, DividesTheAccountsBetweenTheHosts)
{
  std::set<std::string> hosts;
  for (int i = 0; i < 50; ++i) {
    const auto host =
      mHosts.HostForAccount("s", "a" + std::to_string(i), 0.01, mNow);
    hosts.insert(host ? host->mName : "i0");
  }
  EXPECT_EQ(hosts.size(), 3U);
}

TEST_F(SessionHostsTest, ServesAnAccountElsewhereWhenItsHostFailed)
{
  const auto first = mHosts.HostForAccount("s", "ann", 0.01, mNow);
  ASSERT_TRUE(first);
  mHosts.OnHostFailed(first->mName, mNow);
  const auto second = mHosts.HostForAccount("s", "ann", 0.01, mNow);
  EXPECT_NE(second, first);
}

TEST_F(SessionHostsTest, ServesHereWhenNoHostIsLeft)
{
  while (const auto host = mHosts.HostFor("s", mNow)) {
    mHosts.OnHostFailed(host->mName, mNow);
  }
  EXPECT_EQ(mHosts.HostingOf("s").mHostCount, 3U);
}

} // namespace
} // namespace snipewalk
