// The session front end as real processes in front of a stand-in of the
// platform.
#include "standins/platform_standin.h"
#include "standins/process_fleet.h"
#include "standins/session_caller.h"
#include "standins/session_fleet.h"

#include <absl/strings/match.h>
#include <absl/strings/str_cat.h>
#include <gtest/gtest.h>

#include <csignal>
#include <fstream>

namespace snipewalk::standins {
namespace {

using caller = session_caller;

class SessionFrontTest : public testing::Test
{
protected:
  SessionFrontTest()
    : mPlatform(3)
    , mFleet(SNIPEWALK_BINARY_DIR, testing::TempDir())
  {
  }

  // Returns once the instance is ready.
  session_fleet::ports Start(const std::string& aName)
  {
    const std::string platform = mPlatform.StoreAddress();
    const auto started = mFleet.Configure(aName, platform, platform);
    EXPECT_TRUE(mFleet.Start(aName).ok());
    EXPECT_TRUE(WaitFor([&] { return mFleet.IsReady(aName); }));
    return started;
  }

  platform_standin mPlatform;
  session_fleet mFleet;
};

TEST_F(SessionFrontTest, ServesReadsWritesAndTransactions)
{
  const auto one = Start("i1");
  caller session(one.mCallers);
  EXPECT_EQ(session.Call("STARTUP own app").mText, "READY I -\r\n");
  EXPECT_TRUE(
    absl::StrContains(session.Query("WRITE k v1").mText, "COMPLETE s1."));
  EXPECT_TRUE(
    absl::StrContains(session.Query("READ k").mText, "DATAROW v1\r\n"));
  EXPECT_TRUE(absl::StrContains(session.Query("BEGIN").mText, "READY T"));
  EXPECT_TRUE(absl::StrContains(session.Query("WRITE k v2").mText, "READY T"));
  EXPECT_TRUE(absl::StrContains(session.Query("ROLLBACK").mText, "READY I"));
  EXPECT_TRUE(
    absl::StrContains(session.Query("READ k").mText, "DATAROW v1\r\n"));
  session.Query("BEGIN");
  session.Query("WRITE k v3");
  EXPECT_TRUE(absl::StrContains(session.Query("COMMIT").mText, "COMPLETE s1."));
  EXPECT_EQ(mPlatform.Items().at("k"), "v3");
}

TEST_F(SessionFrontTest, RefusesUnknownDatabasesAndMalformedInput)
{
  const auto one = Start("i1");
  caller unknown(one.mCallers);
  EXPECT_TRUE(absl::StartsWith(unknown.Call("STARTUP absent app").mText,
                               "ERROR NODATABASE"));
  caller malformed(one.mCallers);
  EXPECT_TRUE(
    absl::StartsWith(malformed.Call("HELLO").mText, "ERROR MALFORMED"));
}

// The primary dies: another server is promoted once, with every acknowledged
// write, and callers go on.
TEST_F(SessionFrontTest, ReplacesACrashedPrimary)
{
  const auto one = Start("i1");
  const auto two = Start("i2");
  caller session(one.mCallers);
  session.Call("STARTUP main app");
  std::map<std::string, std::string> acknowledged;
  for (int i = 0; i < 20; ++i) {
    const std::string key = absl::StrCat("k", i);
    if (absl::StrContains(session.Query("WRITE " + key + " v").mText,
                          "COMPLETE s")) {
      acknowledged[key] = "v";
    }
  }
  EXPECT_EQ(acknowledged.size(), 20U);
  mPlatform.Crash("s1");
  caller other(two.mCallers);
  other.Call("STARTUP main app");
  EXPECT_TRUE(WaitFor([&] {
    return absl::StrContains(other.Query("WRITE after v").mText, "COMPLETE s");
  }));
  EXPECT_EQ(mPlatform.Promotions(), 1);
  EXPECT_NE(mPlatform.Primary(), "s1");
  const auto items = mPlatform.Items();
  for (const auto& [key, value] : acknowledged) {
    EXPECT_EQ(items.count(key), 1U) << key;
  }
  EXPECT_TRUE(
    absl::StrContains(session.Query("READ after").mText, "DATAROW v\r\n"));
}

// A primary that is to leave hands over while it still runs.
TEST_F(SessionFrontTest, ReplacesALeavingPrimary)
{
  const auto one = Start("i1");
  caller session(one.mCallers);
  session.Call("STARTUP main app");
  session.Query("WRITE k v");
  mPlatform.Drain("s1");
  EXPECT_TRUE(WaitFor([&] {
    return mPlatform.Promotions() == 1 && mPlatform.Primary() != "s1";
  }));
  EXPECT_TRUE(WaitFor([&] {
    return absl::StrContains(session.Query("WRITE k v2").mText, "COMPLETE s");
  }));
  EXPECT_TRUE(
    absl::StrContains(session.Query("READ k").mText, "DATAROW v2\r\n"));
}

// The store is away for longer than confirmations live.
TEST_F(SessionFrontTest, ServesWhileTheStoreIsAway)
{
  const auto one = Start("i1");
  caller session(one.mCallers);
  session.Call("STARTUP main app");
  session.Query("WRITE k v");
  mPlatform.SetStoreDown(true);
  const auto until = std::chrono::steady_clock::now() + seconds(4);
  int served = 0;
  int asked = 0;
  while (std::chrono::steady_clock::now() < until) {
    ++asked;
    served +=
      absl::StrContains(session.Query("READ k").mText, "DATAROW v\r\n") ? 1 : 0;
  }
  EXPECT_EQ(served, asked);
}

// Open transactions get half of the grace; the process ends within all of it.
TEST_F(SessionFrontTest, EndsWithinItsGrace)
{
  const auto one = Start("i1");
  caller session(one.mCallers);
  session.Call("STARTUP main app");
  session.Query("BEGIN");
  session.Query("WRITE k v");
  mFleet.At("i1").Signal(SIGTERM);
  EXPECT_TRUE(WaitFor([&] {
    const auto probe = HttpCall(one.mReady, "GET", "/v1/readyz");
    return !probe.ok() || probe->mStatus == 503;
  }));
  EXPECT_TRUE(absl::StrContains(session.Query("COMMIT").mText, "COMPLETE s1."));
  EXPECT_EQ(mFleet.At("i1").Wait(milliseconds(4'500)), 0);
}

TEST_F(SessionFrontTest, ServesMetrics)
{
  const auto one = Start("i1");
  caller session(one.mCallers);
  session.Call("STARTUP main app");
  session.Query("WRITE k v");
  const auto page = HttpCall(one.mMetrics, "GET", "/metrics");
  ASSERT_TRUE(page.ok());
  EXPECT_TRUE(absl::StrContains(page->mBody, "snipewalk_sessions 1\n"));
  EXPECT_TRUE(
    absl::StrContains(page->mBody, "snipewalk_statements_done_total 1\n"));
}

TEST(SessionSettingsTest, ReportsAllMistakesTogether)
{
  const std::string path = testing::TempDir() + "/session_front_bad.json";
  std::ofstream(path) << R"({ "instance": "i1", "caller_address": "nowhere",
    "log_level": "loud", "surplus": 1 })";
  auto process = child_process::Start(
    absl::StrCat(SNIPEWALK_BINARY_DIR, "/snipewalk-sessions"),
    { "--settings=" + path, "--check" });
  ASSERT_TRUE(process.ok());
  EXPECT_EQ(process->Wait(seconds(10)), 2);
}

} // namespace
} // namespace snipewalk::standins
