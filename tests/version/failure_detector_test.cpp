// Tests of the failure detector with several instances in simulated time.
#include "snipewalk/version/failover.h"
#include "snipewalk/version/failure_detector.h"

#include <gtest/gtest.h>

#include <map>
#include <random>
#include <set>

namespace snipewalk {
namespace {

constexpr milliseconds kTick{ 20 };

// Model of several instances that probe the servers a (the primary), b and c
// and send messages to each other. The first `aHolders` instances hold a slot.
class detector_model
{
public:
  detector_model(std::size_t aInstances,
                 std::size_t aHolders,
                 const detector_options& aOptions = { "ledger" })
    : mHolders(aHolders)
  {
    for (std::size_t i = 0; i < aInstances; ++i) {
      mDetectors.emplace_back(aOptions);
      mPaused.push_back(false);
    }
    for (std::size_t i = 0; i < aInstances; ++i) {
      Deliver(i, ConfigOf(i));
    }
  }

  static std::string NameOf(std::size_t aIndex)
  {
    return "i" + std::to_string(aIndex);
  }

  detector_configured ConfigOf(std::size_t aIndex) const
  {
    detector_configured config;
    config.mServers = { "a", "b", "c" };
    config.mPrimary = "a";
    config.mPrimaryAddress = "a:1";
    config.mTerm = 4;
    config.mIsHolder = aIndex < mHolders;
    for (std::size_t i = 0; i < mDetectors.size(); ++i) {
      if (i != aIndex) {
        (i < mHolders ? config.mOtherHolders : config.mOtherInstances)
          .push_back(NameOf(i));
      }
    }
    return config;
  }

  void Run(milliseconds aTime)
  {
    const time_point end = mNow + aTime;
    while (mNow < end) {
      mNow += milliseconds(1);
      while (!mQueue.empty() && mQueue.begin()->first <= mNow) {
        auto entry = mQueue.extract(mQueue.begin());
        entry.mapped()();
      }
      if (ToMilliseconds(mNow.time_since_epoch()) % kTick.count() == 0) {
        for (std::size_t i = 0; i < mDetectors.size(); ++i) {
          Deliver(i, detector_time_passed{});
        }
      }
    }
  }

  void Deliver(std::size_t aIndex, const detector_event& aEvent)
  {
    if (mPaused[aIndex]) {
      if (!std::holds_alternative<detector_time_passed>(aEvent)) {
        Schedule(kTick, [=, this] { Deliver(aIndex, aEvent); });
      }
      return;
    }
    failure_detector::actions actions;
    mDetectors[aIndex].Handle(aEvent, mNow, actions);
    for (const auto& action : actions) {
      if (const auto* probe = std::get_if<send_probe>(&action)) {
        Probe(aIndex, *probe);
      } else if (const auto* message =
                   std::get_if<send_peer_message>(&action)) {
        Send(aIndex, *message);
      } else if (const auto* verdict = std::get_if<verdict_changed>(&action)) {
        mVerdicts += verdict->mFailed ? 1 : 0;
        if (verdict->mFailed) {
          mLastVerdict = mNow;
        }
      }
    }
  }

  void Schedule(milliseconds aAfter, std::function<void()> aWork)
  {
    mQueue.emplace(mNow + aAfter, std::move(aWork));
  }

  void Probe(std::size_t aIndex, const send_probe& aProbe)
  {
    ++mProbes;
    const std::uint64_t connection =
      aProbe.mNewConnection ? ++mConnection : mConnections[aIndex];
    mConnections[aIndex] = connection;
    const auto done = [=, this](probe_result aResult) {
      return [=, this] {
        Deliver(aIndex, probe_done{ aProbe.mProbe, aResult, connection });
      };
    };
    const bool oldConnectionSilent =
      mSilentConnections.count(aProbe.mServer) > 0 && !aProbe.mNewConnection;
    const milliseconds delay = mAnswerDelays.count(aProbe.mServer) > 0
                                 ? mAnswerDelays[aProbe.mServer]
                                 : milliseconds(3);
    if (mAtConnectionLimit.count(aProbe.mServer) > 0) {
      Schedule(milliseconds(3), done(probe_result::Full));
    } else if (mRefused.count(aProbe.mServer) > 0) {
      Schedule(milliseconds(3), done(probe_result::Refused));
    } else if (mSilent.count(aProbe.mServer) > 0 || oldConnectionSilent ||
               mUnreachable.count({ aIndex, aProbe.mServer }) > 0 ||
               delay > aProbe.mTimeout) {
      Schedule(aProbe.mTimeout, done(probe_result::Lost));
    } else {
      Schedule(delay, done(probe_result::Answered));
    }
  }

  void Send(std::size_t aIndex, const send_peer_message& aMessage)
  {
    ++mMessages;
    const std::size_t to =
      static_cast<std::size_t>(std::stoul(aMessage.mInstance.substr(1)));
    if (mUnreachablePeers.count(aIndex) == 0 &&
        mUnreachablePeers.count(to) == 0) {
      Schedule(milliseconds(3), [=, this] {
        Deliver(to, peer_message_received{ NameOf(aIndex), aMessage.mMessage });
      });
    }
  }

  time_point mNow = time_point(seconds(500));
  std::size_t mHolders;
  std::vector<failure_detector> mDetectors;
  std::vector<bool> mPaused;
  std::multimap<time_point, std::function<void()>> mQueue;
  std::map<std::size_t, std::uint64_t> mConnections;
  std::uint64_t mConnection = 100;
  std::set<std::string> mRefused;
  // Servers that close new connections because of their connection limit.
  std::set<std::string> mAtConnectionLimit;
  std::set<std::string> mSilent;
  // Servers that answer over new connections only.
  std::set<std::string> mSilentConnections;
  std::map<std::string, milliseconds> mAnswerDelays;
  // Pairs (instance, server) that cannot reach each other.
  std::set<std::pair<std::size_t, std::string>> mUnreachable;
  // Instances that cannot exchange messages with other instances.
  std::set<std::size_t> mUnreachablePeers;
  int mVerdicts = 0;
  time_point mLastVerdict;
  int mProbes = 0;
  int mMessages = 0;
};

// Guards against a late verdict on a killed primary, whose connections are
// refused. The median time without a primary should be at most one second.
TEST(FailureDetectorTest, ReachesVerdictOnRefusedPrimaryWithinHalfASecond)
{
  detector_model model(3, 3);
  model.Run(seconds(3));
  model.mRefused.insert("a");
  const time_point killed = model.mNow;
  model.Run(seconds(1));
  EXPECT_GT(model.mVerdicts, 0);
  EXPECT_LE(model.mLastVerdict - killed, milliseconds(500));
}

// Guards against probes at the probe interval despite a longer spacing. With
// many idle services, they would exceed the budget for control traffic.
TEST(FailureDetectorTest, ProbesIdleServersAtTheGivenSpacing)
{
  detector_model model(1, 1);
  model.mDetectors[0].SetProbeSpacing(milliseconds(300));
  model.Run(seconds(1));
  const int before = model.mProbes;
  model.Run(seconds(30));
  // Each of the three servers is probed at most 100 times.
  EXPECT_LE(model.mProbes - before, 300);
  EXPECT_GT(model.mProbes - before, 250);
}

// Guards against a probe spacing that delays the verdict on a silent primary so
// much that the service is without a primary for more than three seconds.
TEST(FailureDetectorTest, ReachesVerdictDespiteTheSpacingOfProbes)
{
  detector_model model(3, 3);
  for (auto& detector : model.mDetectors) {
    detector.SetProbeSpacing(milliseconds(300));
  }
  model.Run(seconds(3));
  model.mSilent.insert("a");
  const time_point cut = model.mNow;
  model.Run(milliseconds(2'500));
  EXPECT_GT(model.mVerdicts, 0);
  EXPECT_LE(model.mLastVerdict - cut, milliseconds(2'500));
}

// Guards against a silence limit in the options that has no effect: a silent
// server may be suspected only after that time.
TEST(FailureDetectorTest, SuspectsAfterTheSilenceLimitOnly)
{
  detector_model model(
    3, 3, { "ledger", milliseconds(100), milliseconds(4'000) });
  model.Run(seconds(3));
  model.mSilent.insert("a");
  model.Run(milliseconds(3'900));
  EXPECT_TRUE(model.mDetectors[0].Suspected().empty());
  model.Run(seconds(3));
  EXPECT_EQ(model.mDetectors[0].Suspected(), std::vector<std::string>{ "a" });
}

// Guards against a late verdict on a primary that stops answering, as after a
// network failure. The service should be without a primary for at most three
// seconds.
TEST(FailureDetectorTest, ReachesVerdictOnSilentPrimaryWithinTwoSeconds)
{
  detector_model model(3, 3);
  model.Run(seconds(3));
  model.mSilent.insert("a");
  const time_point cut = model.mNow;
  model.Run(seconds(2));
  EXPECT_GT(model.mVerdicts, 0);
  EXPECT_LE(model.mLastVerdict - cut, seconds(2));
}

// Guards against a false verdict on a healthy primary when only one instance
// cannot reach it.
TEST(FailureDetectorTest, ReachesNoVerdictWhenOnlyOneInstanceIsCutOff)
{
  detector_model model(3, 3);
  model.Run(seconds(1));
  model.mUnreachable.insert({ 1, "a" });
  model.Run(seconds(30));
  EXPECT_EQ(model.mVerdicts, 0);
  EXPECT_EQ(model.mDetectors[1].Suspected(), std::vector<std::string>{ "a" });
  EXPECT_TRUE(model.mDetectors[0].Suspected().empty());
}

// Guards against requests that wait at an instance that cannot reach the
// primary although other holders can serve them, and against requests that are
// still forwarded after the route is restored.
TEST(FailureDetectorTest, NamesTheHoldersThatReachThePrimary)
{
  detector_model model(4, 3);
  model.Run(seconds(1));
  model.mUnreachable.insert({ 1, "a" });
  model.Run(seconds(2));
  const std::set<std::string> others{ "i0", "i2" };
  for (int i = 0; i < 100; ++i) {
    EXPECT_EQ(model.mDetectors[1].PrimaryReachedBy(), others);
    EXPECT_TRUE(model.mDetectors[0].PrimaryReachedBy().empty());
    model.Run(milliseconds(100));
  }
  model.mUnreachable.clear();
  model.Run(seconds(2));
  EXPECT_TRUE(model.mDetectors[1].PrimaryReachedBy().empty());
}

// Guards against holders that forward requests to each other while none of them
// reaches the primary, also if one of them lost its route before the primary
// failed.
TEST(FailureDetectorTest, NamesNoHolderWhenThePrimaryFailed)
{
  for (const bool cutBefore : { false, true }) {
    detector_model model(3, 3);
    model.Run(seconds(1));
    if (cutBefore) {
      model.mUnreachable.insert({ 1, "a" });
      model.Run(seconds(5));
    }
    model.mSilent.insert("a");
    // Lets a query round that began before the failure end.
    model.Run(cutBefore ? milliseconds(1'000) : milliseconds(0));
    for (int i = 0; i < 300; ++i) {
      for (const auto& detector : model.mDetectors) {
        EXPECT_TRUE(detector.PrimaryReachedBy().empty()) << cutBefore;
      }
      model.Run(milliseconds(20));
    }
  }
}

// Guards against three faults with servers that close new connections because
// of their connection limit: a verdict on such a primary, too many probes, and
// no verdict when the primary refuses connections later.
TEST(FailureDetectorTest, ReachesNoVerdictOnAPrimaryAtItsConnectionLimit)
{
  detector_model model(3, 3);
  model.Run(seconds(3));
  for (const char* server : { "a", "b", "c" }) {
    model.mAtConnectionLimit.insert(server);
  }
  const int before = model.mProbes;
  model.Run(seconds(10));
  EXPECT_EQ(model.mVerdicts, 0);
  EXPECT_TRUE(model.mDetectors[0].Suspected().empty());
  // There are nine pairs of instance and server. Without longer intervals, each
  // would have 100 probes.
  EXPECT_LT(model.mProbes - before, 9 * 15);
  model.mAtConnectionLimit.clear();
  model.mRefused.insert("a");
  model.Run(seconds(3));
  EXPECT_GT(model.mVerdicts, 0);
}

// Guards against a verdict by an instance that reaches neither the primary nor
// any other instance.
TEST(FailureDetectorTest, ReachesNoVerdictWithoutAnyWitness)
{
  detector_model model(3, 3);
  model.Run(seconds(1));
  model.mUnreachable.insert({ 1, "a" });
  model.mUnreachablePeers.insert(1);
  model.Run(seconds(10));
  EXPECT_EQ(model.mVerdicts, 0);
}

// Guards against a failed primary that is never replaced because there is no
// other instance that could confirm the failure.
TEST(FailureDetectorTest, ReachesVerdictAloneInAFleetOfOne)
{
  detector_model model(1, 1);
  model.Run(seconds(1));
  model.mRefused.insert("a");
  model.Run(seconds(1));
  EXPECT_GT(model.mVerdicts, 0);
}

// Guards against a failed primary that is never replaced because the only slot
// holder does not ask the instances without a slot.
TEST(FailureDetectorTest, AsksInstancesWithoutSlotWhenNoOtherHolderLives)
{
  detector_model model(3, 1);
  model.Run(seconds(1));
  model.mRefused.insert("a");
  model.Run(seconds(1));
  EXPECT_GT(model.mVerdicts, 0);
}

// Guards against a verdict that is based on evidence from before a pause of the
// control thread.
TEST(FailureDetectorTest, DropsEvidenceAfterAPauseOfItsOwnLoop)
{
  detector_model model(3, 3);
  model.Run(seconds(1));
  model.mSilent.insert("a");
  model.Run(milliseconds(300));
  model.mPaused = { true, true, true };
  model.Run(seconds(2));
  model.mSilent.clear();
  model.mPaused = { false, false, false };
  model.Run(seconds(5));
  EXPECT_EQ(model.mVerdicts, 0);
}

// Guards against a verdict on a primary that does not answer over established
// connections but does over new ones.
TEST(FailureDetectorTest, TriesNewConnectionBeforeSuspicion)
{
  detector_model model(3, 3);
  model.Run(seconds(1));
  model.mSilentConnections.insert("a");
  model.Run(seconds(20));
  EXPECT_EQ(model.mVerdicts, 0);
  EXPECT_TRUE(model.mDetectors[0].Suspected().empty());
}

// Guards against a verdict on a primary that only answers slowly.
TEST(FailureDetectorTest, ToleratesSlowAnswers)
{
  detector_model model(3, 3);
  model.Run(seconds(1));
  model.mAnswerDelays["a"] = milliseconds(500);
  model.Run(seconds(60));
  EXPECT_EQ(model.mVerdicts, 0);
}

// Guards against unnecessary probes of servers that answer other traffic.
TEST(FailureDetectorTest, ProbesRarelyWhileTrafficIsAnswered)
{
  detector_model model(1, 1);
  model.Run(seconds(1));
  const int before = model.mProbes;
  for (int i = 0; i < 200; ++i) {
    for (const std::string server : { "a", "b", "c" }) {
      model.Deliver(0, report_evidence{ server, server_evidence::Answered, 4 });
    }
    model.Run(milliseconds(50));
  }
  // Each of the three servers is probed once per second for its status.
  EXPECT_LE(model.mProbes - before, 33);
}

// Guards against a verdict that stays in force after the primary answers again.
TEST(FailureDetectorTest, WithdrawsVerdictOnAnswer)
{
  detector_model model(3, 3);
  model.Run(seconds(1));
  model.mRefused.insert("a");
  model.Run(seconds(1));
  ASSERT_TRUE(model.mDetectors[0].HasVerdict());
  model.mRefused.clear();
  model.Run(seconds(1));
  EXPECT_FALSE(model.mDetectors[0].HasVerdict());
}

// Guards against a verdict by a single instance: under random faults, only one
// instance loses its route to the primary, so there must be no verdict.
TEST(FailureDetectorPropertyTest, NeedsTwoInstancesForAVerdict)
{
  detector_model model(3, 3);
  std::mt19937_64 random(7);
  for (int step = 0; step < 100'000; ++step) {
    const auto kind = random() % 12;
    if (kind == 0) {
      model.mUnreachable.insert({ 1, "a" });
    } else if (kind == 1) {
      model.mUnreachable.clear();
    } else if (kind == 2) {
      model.mPaused[random() % 3] = random() % 3 == 0;
    } else if (kind == 3) {
      model.Deliver(1, report_evidence{ "a", server_evidence::Refused, 0 });
    } else if (kind == 4) {
      model.Deliver(random() % 3,
                    report_evidence{ "a", server_evidence::Silent, 0 });
    } else if (kind == 5) {
      model.mUnreachablePeers = { random() % 3 };
    } else if (kind == 6) {
      model.mUnreachablePeers.clear();
    } else if (kind == 7) {
      model.mAnswerDelays["a"] = milliseconds(3 + random() % 200);
    }
    model.Run(milliseconds(1 + random() % 30));
  }
  EXPECT_EQ(model.mVerdicts, 0);
  EXPECT_GT(model.mMessages, 1'000);
}

} // namespace
} // namespace snipewalk
