// The session front end as real processes in front of a stand-in of the
// platform.
#include "integration/session_front_fixture.h"
#include "standins/platform_standin.h"
#include "standins/process_fleet.h"
#include "standins/session_caller.h"
#include "standins/session_fleet.h"

#include <absl/strings/match.h>
#include <absl/strings/str_cat.h>
#include <absl/strings/str_replace.h>
#include <gtest/gtest.h>

#include <csignal>
#include <fstream>
#include <thread>

namespace snipewalk::standins {
namespace {

using caller = session_caller;

// Ample for a process to take a signal and to read its settings.
constexpr milliseconds kReloadTime{ 500 };

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

// Guards against statements that run with the session values of another client
// because a server failed the command that sets them.
TEST_F(SessionFrontTest, RunsNoStatementWithTheValuesOfAnotherSession)
{
  constexpr int kFailedPercent = 40;
  constexpr int kRounds = 60;
  const auto one = Start("i1");
  std::vector<caller> sessions;
  for (const std::string tenant : { "t0", "t1", "t2" }) {
    sessions.emplace_back(one.mCallers);
    sessions.back().Start("main");
    EXPECT_TRUE(sessions.back().Query("SET tenant " + tenant).mCompleted);
  }
  mPlatform.Change([](line_server_group& aServers, platform_store&) {
    for (const auto& id : aServers.Running()) {
      aServers.SetFailedRequests(id, kFailedPercent);
    }
  });
  int completed = 0;
  for (int round = 0; round < kRounds; ++round) {
    for (std::size_t i = 0; i < sessions.size(); ++i) {
      const auto answer = sessions[i].Query("READ session.tenant");
      completed += answer.mCompleted ? 1 : 0;
      if (answer.mCompleted) {
        EXPECT_EQ(answer.mRow, absl::StrCat("t", i));
      }
    }
  }
  EXPECT_GE(completed, kRounds);
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

// Guards against a shutdown that outlasts a grace that was shortened while the
// process ran: an open transaction would be given half of the former 4 s.
TEST_F(SessionFrontTest, AdoptsAShorterGraceOnHangUp)
{
  const auto one = Start("i1");
  const std::string settings = mFleet.Settings("i1");
  mFleet.WriteSettings(
    "i1",
    absl::StrReplaceAll(settings,
                        { { "\"shutdown_grace_seconds\": 4",
                            "\"shutdown_grace_seconds\": 1" } }));
  mFleet.At("i1").Signal(SIGHUP);
  std::this_thread::sleep_for(kReloadTime);
  caller session(one.mCallers);
  session.Call("STARTUP main app");
  session.Query("BEGIN");
  session.Query("WRITE k v");
  mFleet.At("i1").Signal(SIGTERM);
  EXPECT_EQ(mFleet.At("i1").Wait(milliseconds(1'500)), 0);
}

// Guards against a process that stops, or forgets its settings, when the file
// is not valid.
TEST_F(SessionFrontTest, KeepsItsSettingsWhenTheFileIsNotValid)
{
  const auto one = Start("i1");
  mFleet.WriteSettings("i1", "{ \"instance\": 7 }");
  mFleet.At("i1").Signal(SIGHUP);
  std::this_thread::sleep_for(kReloadTime);
  EXPECT_TRUE(mFleet.IsReady("i1"));
  caller session(one.mCallers);
  session.Call("STARTUP main app");
  EXPECT_TRUE(absl::StrContains(session.Query("WRITE k v").mText, "COMPLETE"));
  mFleet.At("i1").Signal(SIGTERM);
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

TEST_F(SessionForwardingTest, ServesForwardedSessions)
{
  caller session = OpenForwarded("own");
  EXPECT_TRUE(session.Query("WRITE k v1").mCompleted);
  EXPECT_EQ(session.Query("READ k").mRow, "v1");
  session.Query("BEGIN");
  session.Query("WRITE k v2");
  EXPECT_TRUE(session.Query("COMMIT").mCompleted);
  EXPECT_EQ(mPlatform.Items().at("k"), "v2");
}

// Guards against a reply that no frame between instances can hold: the host's
// connection was closed and the statement could never be answered.
TEST_F(SessionForwardingTest, ReturnsALongReplyToAForwardedSession)
{
  constexpr std::size_t kRows = 40;
  caller session = OpenForwarded("main");
  const auto answer = session.Query(absl::StrCat("READ rows.", kRows));
  EXPECT_TRUE(answer.mCompleted);
  EXPECT_GT(answer.mText.size(), kRows * line_server_group::kLongRowBytes);
  EXPECT_TRUE(session.Query("WRITE k v1").mCompleted);
}

// Guards against a promise that nothing is kept, given for a commit that was
// sent on: the next request had come before its answer.
TEST_F(SessionForwardingTest, PromisesNothingForACommitWithARequestBehindIt)
{
  caller session = OpenForwarded("main");
  EXPECT_TRUE(session.Query("BEGIN").mCompleted);
  EXPECT_TRUE(session.Query("WRITE k v1").mCompleted);
  EXPECT_EQ(session.Call("QUERY c1 COMMIT\r\nQUERY c2 READ k").mError,
            "MALFORMED");
}

// The longest messages that the protocol allows, in both directions.
TEST_F(SessionForwardingTest, ForwardsTheLongestMessage)
{
  constexpr std::size_t kMaxMessageBytes = 1024 * 1024;
  caller session = OpenForwarded("main");
  const std::string start =
    absl::StrCat("QUERY ", session.NextId(), " WRITE k ");
  const std::string data(kMaxMessageBytes - start.size(), 'd');
  EXPECT_TRUE(session.Query("WRITE k " + data).mCompleted);
  EXPECT_EQ(session.Query("READ k").mRow, data);
}

// The hosts are killed: the caller is told that the transaction is not kept,
// and new sessions are served by the instance itself.
TEST_F(SessionForwardingTest, OutlivesItsHosts)
{
  caller session = OpenForwarded("main");
  session.Query("BEGIN");
  EXPECT_TRUE(session.Query("WRITE k v1").mCompleted);
  SignalHosts(SIGKILL);
  EXPECT_FALSE(session.Query("WRITE k v2").mCompleted);
  EXPECT_TRUE(WaitFor([&] {
    caller next(mPorts[mForwarding].mCallers);
    return next.Start("main").mError.empty() &&
           next.Query("WRITE k v3").mCompleted;
  }));
  EXPECT_EQ(mPlatform.Items().at("k"), "v3");
}

// A host that stands still is noticed long before a caller's time limit.
TEST_F(SessionForwardingTest, NoticesASilentHost)
{
  caller session = OpenForwarded("main");
  EXPECT_TRUE(session.Query("WRITE k v1").mCompleted);
  SignalHosts(SIGSTOP);
  const auto asked = std::chrono::steady_clock::now();
  EXPECT_EQ(session.Query("READ k").mError, "TIMEOUT");
  EXPECT_LT(std::chrono::steady_clock::now() - asked, seconds(2));
}

// Planned work: a transaction at a host that stops still ends.
TEST_F(SessionForwardingTest, FinishesTransactionsWhileItsHostsStop)
{
  caller session = OpenForwarded("main");
  session.Query("BEGIN");
  session.Query("WRITE k v1");
  SignalHosts(SIGTERM);
  EXPECT_TRUE(session.Query("COMMIT").mCompleted);
  EXPECT_EQ(mPlatform.Items().at("k"), "v1");
}

// Likewise when the forwarding instance stops; it ends within its grace.
TEST_F(SessionForwardingTest, FinishesForwardedTransactionsWhenItStops)
{
  caller session = OpenForwarded("main");
  session.Query("BEGIN");
  session.Query("WRITE k v1");
  mFleet.At(mForwarding).Signal(SIGTERM);
  EXPECT_TRUE(session.Query("COMMIT").mCompleted);
  EXPECT_EQ(mFleet.At(mForwarding).Wait(milliseconds(4'500)), 0);
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
