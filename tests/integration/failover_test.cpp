// Changes of primary with real processes under network, process and store
// failures.
#include "integration/concurrent_writers.h"

#include <algorithm>
#include <atomic>
#include <thread>
#include <vector>

#include <gtest/gtest.h>

namespace snipewalk::standins {
namespace {

constexpr milliseconds kObservation{ 4'000 };
constexpr milliseconds kPauseOfInstance{ 2'000 };
constexpr milliseconds kWarmUp{ 300 };
// Longer than any delay before a refused connection is tried again.
constexpr milliseconds kAtReserve{ 13'000 };
// Holders count silenced connections for 30 s.
constexpr milliseconds kRecovery{ 60'000 };

system_options
WithFaultLinks()
{
  system_options options;
  options.mFaultLinks = true;
  return options;
}

std::size_t
IndexOf(const system_fleet& aFleet, const std::string& aServer)
{
  const auto& servers = aFleet.Group(0).Servers();
  return static_cast<std::size_t>(
    std::find_if(servers.begin(),
                 servers.end(),
                 [&](const auto& aEntry) { return aEntry.mName == aServer; }) -
    servers.begin());
}

// Writes through all instances in turn until one is acknowledged.
testing::AssertionResult
WritesResume(const system_fleet& aFleet)
{
  caller_answer last;
  int instance = 0;
  const bool resumed = WaitFor([&] {
    last = aFleet.Write(instance++ % aFleet.Instances(), "set resumed yes");
    return last.Done();
  });
  return resumed
           ? testing::AssertionSuccess()
           : testing::AssertionFailure() << last.mStatus << " " << last.mBody;
}

// How many holders serve for an instance that lost its route to the primary;
// -1 when its admin page does not tell.
int
HoldersReaching(const system_fleet& aFleet, int aInstance)
{
  const Json::Value page = aFleet.Admin(aInstance, "/v1/services/service1");
  const bool known = page.isObject() && page.isMember("primary_reached_by");
  return known ? static_cast<int>(page["primary_reached_by"].size()) : -1;
}

// Expects that callers of all instances are served and the term stays.
void
ExpectServedInTerm(const system_fleet& aFleet, std::uint64_t aTerm)
{
  const auto end = std::chrono::steady_clock::now() + kObservation;
  int number = 0;
  while (std::chrono::steady_clock::now() < end) {
    const int instance = number++ % aFleet.Instances();
    const auto written = aFleet.Write(instance, "set drum/1 cleaned");
    EXPECT_TRUE(written.Done())
      << instance << ": " << written.mStatus << written.mBody;
    std::this_thread::sleep_for(milliseconds(20));
  }
  EXPECT_EQ(aFleet.Term(0), aTerm);
}

// One thread per instance; each adds 1 to a counter with keys of its own and
// expects that each write is done.
class counting_writers
{
public:
  explicit counting_writers(const system_fleet& aFleet)
  {
    for (int i = 0; i < aFleet.Instances(); ++i) {
      mThreads.emplace_back([this, &aFleet, i] {
        for (int number = 0; !mStopped; ++number) {
          const auto written = aFleet.Write(i,
                                            "add counter 1",
                                            "count-" + std::to_string(i) + "-" +
                                              std::to_string(number));
          EXPECT_TRUE(written.Done())
            << i << ": " << written.mStatus << written.mBody;
          ++mWritten;
          std::this_thread::sleep_for(milliseconds(5));
        }
      });
    }
  }

  ~counting_writers() { Stop(); }

  // Returns how many writes were sent.
  int Stop()
  {
    mStopped = true;
    for (auto& thread : mThreads) {
      thread.join();
    }
    mThreads.clear();
    return mWritten;
  }

private:
  std::atomic<bool> mStopped{ false };
  std::atomic<int> mWritten{ 0 };
  std::vector<std::thread> mThreads;
};

// Guards against a service that stays without writes when the primary is
// silent but its host still accepts connections.
TEST(FailoverTest, WritesResumeAfterASilentCutOfThePrimary)
{
  const auto fleet = system_fleet::Start(WithFaultLinks());
  ASSERT_TRUE(fleet.ok()) << fleet.status();
  const std::string old = (*fleet)->Primary(0);
  concurrent_writers writers(**fleet);
  std::this_thread::sleep_for(kWarmUp);
  for (int i = 0; i < 3; ++i) {
    ASSERT_TRUE((*fleet)
                  ->SetFaults(system_fleet::InstanceName(i) + "/" + old,
                              "\"cut\":\"both\"")
                  .ok());
  }
  EXPECT_TRUE(WaitFor([&] { return (*fleet)->Primary(0) != old; }));
  EXPECT_TRUE(WritesResume(**fleet));
  writers.Stop();
  writers.ExpectTruthful();
}

// Guards against a change of primary for the broken link of one instance.
TEST(FailoverTest, OneInstanceCutOffChangesNoPrimary)
{
  const auto fleet = system_fleet::Start(WithFaultLinks());
  ASSERT_TRUE(fleet.ok()) << fleet.status();
  const std::uint64_t term = (*fleet)->Term(0);
  ASSERT_TRUE(
    (*fleet)
      ->SetFaults("instance1/" + (*fleet)->Primary(0), "\"cut\":\"both\"")
      .ok());
  ExpectServedInTerm(**fleet, term);
}

// Guards against a change of primary for a link that fails in one direction,
// and against a second effect when a write ran but its answer was lost.
TEST(FailoverTest, OneWayCutOfOneInstanceRunsEachWriteOnce)
{
  for (const std::string cut : { "to_target", "to_client" }) {
    SCOPED_TRACE(cut);
    const auto fleet = system_fleet::Start(WithFaultLinks());
    ASSERT_TRUE(fleet.ok()) << fleet.status();
    ASSERT_TRUE(WaitFor([&] { return (*fleet)->SlotsInUse(0) == 3; }));
    const std::uint64_t term = (*fleet)->Term(0);
    const std::string link = "instance1/" + (*fleet)->Primary(0);
    counting_writers writers(**fleet);
    std::this_thread::sleep_for(kWarmUp);
    ASSERT_TRUE((*fleet)->SetFaults(link, "\"cut\":\"" + cut + "\"").ok());
    std::this_thread::sleep_for(kObservation);
    // The cut lasts until the writers have ended: its end settles what waits.
    const int written = writers.Stop();
    EXPECT_GT(written, 100);
    EXPECT_EQ((*fleet)->Term(0), term);
    EXPECT_TRUE(WaitFor([&] { return HoldersReaching(**fleet, 0) == 2; }));
    ASSERT_TRUE((*fleet)->SetFaults(link, "\"cut\":\"none\"").ok());
    EXPECT_TRUE(WaitFor([&] { return HoldersReaching(**fleet, 0) == 0; }));
    EXPECT_EQ((*fleet)->Write(0, "add counter 0").mBody,
              std::to_string(written));
    EXPECT_EQ((*fleet)->Term(0), term);
  }
}

// Guards against a change of primary by an instance that takes its own pause
// for silence of the servers.
TEST(FailoverTest, APausedInstanceChangesNoPrimary)
{
  const auto fleet = system_fleet::Start({});
  ASSERT_TRUE(fleet.ok()) << fleet.status();
  const std::uint64_t term = (*fleet)->Term(0);
  child_process& paused =
    (*fleet)->Processes().At(system_fleet::InstanceName(1));
  paused.Pause();
  std::this_thread::sleep_for(kPauseOfInstance);
  paused.Resume();
  ExpectServedInTerm(**fleet, term);
}

// Guards against an acknowledged write that is lost, or a refused one that
// runs, when an instance sleeps through the change of primary.
TEST(FailoverTest, KeepsAcknowledgedWritesOfAPausedInstance)
{
  const auto fleet = system_fleet::Start({});
  ASSERT_TRUE(fleet.ok()) << fleet.status();
  const std::string old = (*fleet)->Primary(0);
  // An acknowledgement before a replica has the write would lose it.
  for (std::size_t i = 0; i < 3; ++i) {
    const auto set = (*fleet)->Group(0).SetFaults(i, "{\"receive_lag_ms\":30}");
    ASSERT_TRUE(set.ok() && set->mStatus == 200);
  }
  concurrent_writers writers(**fleet);
  std::this_thread::sleep_for(kWarmUp);
  child_process& paused =
    (*fleet)->Processes().At(system_fleet::InstanceName(1));
  paused.Pause();
  (*fleet)->Server(old).Kill();
  EXPECT_TRUE(WaitFor([&] { return (*fleet)->Primary(0) != old; }));
  paused.Resume();
  EXPECT_TRUE(WritesResume(**fleet));
  writers.Stop();
  EXPECT_GT(writers.Acknowledged(), 0);
  writers.ExpectTruthful();
}

// Guards against a replaced primary that wakes up and still acknowledges.
TEST(FailoverTest, AResumedOldPrimaryAcknowledgesNothingAndFollows)
{
  const auto fleet = system_fleet::Start({});
  ASSERT_TRUE(fleet.ok()) << fleet.status();
  const std::string old = (*fleet)->Primary(0);
  concurrent_writers writers(**fleet);
  std::this_thread::sleep_for(kWarmUp);
  (*fleet)->Server(old).Pause();
  EXPECT_TRUE(WaitFor([&] { return (*fleet)->Primary(0) != old; }));
  EXPECT_TRUE(WritesResume(**fleet));
  (*fleet)->Server(old).Resume();
  for (int i = 0; i < 30; ++i) {
    const auto written = (*fleet)->Write(i % 3, "set drum/2 cleaned");
    EXPECT_TRUE(written.Done()) << written.mStatus << written.mBody;
    EXPECT_NE(written.mServer, old);
  }
  writers.Stop();
  EXPECT_TRUE(WaitFor([&] {
    const Json::Value stats = (*fleet)->Group(0).Stats(IndexOf(**fleet, old));
    return stats["role"] == "replica" &&
           stats["term"].asUInt64() == (*fleet)->Term(0);
  }));
  writers.ExpectTruthful();
}

// Guards against a promotion that stops, or two of them, when the store makes
// a change but its answer is lost.
TEST(FailoverTest, PromotesWhileTheStoreLosesAnswers)
{
  const auto fleet = system_fleet::Start({});
  ASSERT_TRUE(fleet.ok()) << fleet.status();
  const std::string old = (*fleet)->Primary(0);
  concurrent_writers writers(**fleet);
  std::this_thread::sleep_for(kWarmUp);
  ASSERT_TRUE((*fleet)->SetStoreFaults("{\"lose_answers\":6}").ok());
  (*fleet)->Server(old).Kill();
  EXPECT_TRUE(WritesResume(**fleet));
  writers.Stop();
  EXPECT_NE((*fleet)->Primary(0), old);
  writers.ExpectTruthful();
}

// Guards against a promotion that the store does not know of, and against a
// service that does not recover with the store.
TEST(FailoverTest, PromotesOnlyAfterTheStoreIsBack)
{
  const auto fleet = system_fleet::Start({});
  ASSERT_TRUE(fleet.ok()) << fleet.status();
  const auto written = (*fleet)->Write(0, "set drum/3 cleaned");
  ASSERT_TRUE(written.Done());
  const std::string old = (*fleet)->Primary(0);
  const std::uint64_t term = (*fleet)->Term(0);
  ASSERT_TRUE((*fleet)->SetStoreFaults("{\"outage\":\"refuse\"}").ok());
  (*fleet)->Server(old).Kill();
  const auto end = std::chrono::steady_clock::now() + kObservation;
  while (std::chrono::steady_clock::now() < end) {
    for (std::size_t i = 0; i < 3; ++i) {
      if (i != IndexOf(**fleet, old)) {
        const Json::Value stats = (*fleet)->Group(0).Stats(i);
        EXPECT_EQ(stats["term"].asUInt64(), term);
        EXPECT_NE(stats["role"].asString(), "primary");
      }
    }
    const auto read = (*fleet)->Read(1, "get drum/3", written.mSession);
    EXPECT_EQ(read.mBody, "cleaned") << read.mStatus << read.mReason;
    std::this_thread::sleep_for(milliseconds(50));
  }
  ASSERT_TRUE((*fleet)->SetStoreFaults("{\"outage\":\"none\"}").ok());
  EXPECT_TRUE(WritesResume(**fleet));
  EXPECT_GT((*fleet)->Term(0), term);
}

// Guards against a promotion that never ends because its candidate dies.
TEST(FailoverTest, SurvivesASecondFailureDuringThePromotion)
{
  system_options options;
  options.mServersPerService = 5;
  const auto fleet = system_fleet::Start(options);
  ASSERT_TRUE(fleet.ok()) << fleet.status();
  const std::string first = (*fleet)->Primary(0);
  concurrent_writers writers(**fleet);
  std::this_thread::sleep_for(kWarmUp);
  (*fleet)->Server(first).Kill();
  std::string second;
  EXPECT_TRUE(WaitFor([&] {
    second = (*fleet)->Primary(0);
    return !second.empty() && second != first;
  }));
  ASSERT_FALSE(second.empty());
  (*fleet)->Server(second).Kill();
  EXPECT_TRUE(WritesResume(**fleet));
  writers.Stop();
  EXPECT_NE((*fleet)->Primary(0), first);
  EXPECT_NE((*fleet)->Primary(0), second);
  writers.ExpectTruthful();
}

// Guards against requests that wait for ever on connections that went silent,
// against wrong answers to them, and against a service that stops or changes
// its primary while the servers still count the silent connections.
TEST(FailoverTest, SettlesRequestsOnSilencedConnections)
{
  const auto fleet = system_fleet::Start(WithFaultLinks());
  ASSERT_TRUE(fleet.ok()) << fleet.status();
  const std::uint64_t term = (*fleet)->Term(0);
  concurrent_writers writers(**fleet);
  std::this_thread::sleep_for(kWarmUp);
  ASSERT_TRUE((*fleet)->SilenceConnections("*").ok());
  const int before = writers.Acknowledged();
  EXPECT_TRUE(WaitFor([&] { return writers.Acknowledged() > before + 10; }));
  for (int i = 0; i < 3; ++i) {
    EXPECT_TRUE(
      WaitFor([&] { return (*fleet)->Write(i, "set drum/4 yes").Done(); }));
    EXPECT_TRUE(
      WaitFor([&] { return (*fleet)->Read(i, "get drum/4").Done(); }));
  }
  writers.Stop();
  writers.ExpectTruthful();
  // The servers are alive: they only refuse connections beyond their limit.
  EXPECT_EQ((*fleet)->Term(0), term);
}

// Connections that callers have open to a server, as it counts them.
int
ConnectionsOf(const system_fleet& aFleet, const std::string& aServer)
{
  return aFleet.ServerStats(aServer)["connections"]["now"].asInt();
}

// Waits until all connections outside the reserve are open.
testing::AssertionResult
ReachesWholeShares(const system_fleet& aFleet,
                   int aLimit,
                   milliseconds aTimeout)
{
  const int inUse = aLimit - aLimit / 10;
  for (const auto& server : aFleet.Group(0).Servers()) {
    if (!WaitFor([&] { return ConnectionsOf(aFleet, server.mName) == inUse; },
                 aTimeout)) {
      return testing::AssertionFailure()
             << server.mName << " has " << ConnectionsOf(aFleet, server.mName);
    }
  }
  return testing::AssertionSuccess();
}

void
ExpectServedByEach(const system_fleet& aFleet)
{
  for (int i = 0; i < aFleet.Instances(); ++i) {
    caller_answer last;
    EXPECT_TRUE(WaitFor([&] {
      last = aFleet.Write(i, "set drum/5 yes");
      return last.Done();
    }))
      << i << ": " << last.mStatus << " " << last.mBody;
    EXPECT_TRUE(WaitFor([&] {
      last = aFleet.Read(i, "get drum/5");
      return last.Done();
    }))
      << i << ": " << last.mStatus << " " << last.mBody;
  }
}

// Guards against a service that stops, at some instance or at all, while the
// servers never drop the silent connections of whole shares.
TEST(FailoverTest, ServesFromTheReserveWhileSilencedConnectionsCount)
{
  const system_options options = WithFaultLinks();
  const auto fleet = system_fleet::Start(options);
  ASSERT_TRUE(fleet.ok()) << fleet.status();
  const std::uint64_t term = (*fleet)->Term(0);
  ASSERT_TRUE(ReachesWholeShares(
    **fleet, options.mConnectionsPerServer, milliseconds(20'000)));
  concurrent_writers writers(**fleet);
  std::this_thread::sleep_for(kWarmUp);
  ASSERT_TRUE((*fleet)->SilenceConnections("*").ok());
  const int before = writers.Acknowledged();
  EXPECT_TRUE(WaitFor([&] { return writers.Acknowledged() > before + 10; }));
  ExpectServedByEach(**fleet);
  std::this_thread::sleep_for(kAtReserve);
  ExpectServedByEach(**fleet);
  // The fault was what the test is about: the old connections still count.
  for (const auto& server : (*fleet)->Group(0).Servers()) {
    EXPECT_GT(ConnectionsOf(**fleet, server.mName),
              options.mConnectionsPerServer * 9 / 10 - 1);
  }
  writers.Stop();
  writers.ExpectTruthful();
  EXPECT_EQ((*fleet)->Term(0), term);
}

// Guards against a holder that stays at its reserve although the servers have
// dropped the connections that went silent, and against a change of primary
// because of a server that closes new connections at its limit.
TEST(FailoverTest, RecoversItsSharesOnceServersDropSilencedConnections)
{
  system_options options = WithFaultLinks();
  options.mBackendArguments = { "--keep_alive_ms=5000" };
  const auto fleet = system_fleet::Start(options);
  ASSERT_TRUE(fleet.ok()) << fleet.status();
  const std::uint64_t term = (*fleet)->Term(0);
  ASSERT_TRUE(ReachesWholeShares(
    **fleet, options.mConnectionsPerServer, milliseconds(20'000)));
  concurrent_writers writers(**fleet);
  std::this_thread::sleep_for(kWarmUp);
  ASSERT_TRUE((*fleet)->SilenceConnections("*").ok());
  EXPECT_TRUE(WritesResume(**fleet));
  for (const auto& server : (*fleet)->Group(0).Servers()) {
    EXPECT_TRUE(WaitFor([&] {
      return ConnectionsOf(**fleet, server.mName) <
             options.mConnectionsPerServer / 2;
    }));
  }
  EXPECT_TRUE(
    ReachesWholeShares(**fleet, options.mConnectionsPerServer, kRecovery));
  EXPECT_TRUE(WritesResume(**fleet));
  writers.Stop();
  writers.ExpectTruthful();
  EXPECT_EQ((*fleet)->Term(0), term);
}

} // namespace
} // namespace snipewalk::standins
