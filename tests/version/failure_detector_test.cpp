// Tests of the failure detector, several instances stepped together.
#include "snipewalk/version/failover.h"
#include "snipewalk/version/failure_detector.h"

#include <gtest/gtest.h>

#include <map>
#include <random>
#include <set>

namespace snipewalk {
namespace {

constexpr milliseconds kTick{ 20 };

// Instances that probe servers a (primary), b and c, and talk to each other.
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
        Later(kTick, [=, this] { Deliver(aIndex, aEvent); });
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

  void Later(milliseconds aAfter, std::function<void()> aWork)
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
    const bool silentOld =
      mSilentConnections.count(aProbe.mServer) > 0 && !aProbe.mNewConnection;
    const milliseconds delay =
      mSlow.count(aProbe.mServer) > 0 ? mSlow[aProbe.mServer] : milliseconds(3);
    if (mRefused.count(aProbe.mServer) > 0) {
      Later(milliseconds(3), done(probe_result::Refused));
    } else if (mSilent.count(aProbe.mServer) > 0 || silentOld ||
               mCut.count({ aIndex, aProbe.mServer }) > 0 ||
               delay > aProbe.mTimeout) {
      Later(aProbe.mTimeout, done(probe_result::Lost));
    } else {
      Later(delay, done(probe_result::Answered));
    }
  }

  void Send(std::size_t aIndex, const send_peer_message& aMessage)
  {
    ++mMessages;
    const std::size_t to =
      static_cast<std::size_t>(std::stoul(aMessage.mInstance.substr(1)));
    if (mCutPeers.count(aIndex) == 0 && mCutPeers.count(to) == 0) {
      Later(milliseconds(3), [=, this] {
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
  std::set<std::string> mSilent;
  // Established connections to these are silent, new ones work.
  std::set<std::string> mSilentConnections;
  std::map<std::string, milliseconds> mSlow;
  std::set<std::pair<std::size_t, std::string>> mCut;
  std::set<std::size_t> mCutPeers;
  int mVerdicts = 0;
  time_point mLastVerdict;
  int mProbes = 0;
  int mMessages = 0;
};

// Guards against a killed primary that is noticed too late for the median gap
// of one second.
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

// Guards against probes of many idle services that exceed the budget of the
// control traffic.
TEST(FailureDetectorTest, ProbesIdleServersAtTheGivenSpacing)
{
  detector_model model(1, 1);
  model.mDetectors[0].SetProbeSpacing(milliseconds(300));
  model.Run(seconds(1));
  const int before = model.mProbes;
  model.Run(seconds(30));
  // Three servers, 100 times each.
  EXPECT_LE(model.mProbes - before, 300);
  EXPECT_GT(model.mProbes - before, 250);
}

// Guards against a spacing of probes that delays the verdict on a silent
// primary beyond the gap of three seconds.
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

// Guards against a silence limit of the settings that has no effect.
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

// Guards against a silent network cut that is noticed too late for a gap of
// three seconds.
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

// Guards against a promotion by an instance that alone lost a healthy primary.
TEST(FailureDetectorTest, ReachesNoVerdictWhenOnlyOneInstanceIsCutOff)
{
  detector_model model(3, 3);
  model.Run(seconds(1));
  model.mCut.insert({ 1, "a" });
  model.Run(seconds(30));
  EXPECT_EQ(model.mVerdicts, 0);
  EXPECT_EQ(model.mDetectors[1].Suspected(), std::vector<std::string>{ "a" });
  EXPECT_TRUE(model.mDetectors[0].Suspected().empty());
}

// Guards against requests that wait at the instance that is cut off although
// others could serve them, and against a detour after the route is back.
TEST(FailureDetectorTest, NamesTheHoldersThatReachThePrimary)
{
  detector_model model(4, 3);
  model.Run(seconds(1));
  model.mCut.insert({ 1, "a" });
  model.Run(seconds(2));
  const std::set<std::string> others{ "i0", "i2" };
  for (int i = 0; i < 100; ++i) {
    EXPECT_EQ(model.mDetectors[1].PrimaryReachedBy(), others);
    EXPECT_TRUE(model.mDetectors[0].PrimaryReachedBy().empty());
    model.Run(milliseconds(100));
  }
  model.mCut.clear();
  model.Run(seconds(2));
  EXPECT_TRUE(model.mDetectors[1].PrimaryReachedBy().empty());
}

// Guards against requests that holders pass to each other while the primary is
// silent for all of them, also when one was cut off before.
TEST(FailureDetectorTest, NamesNoHolderWhenThePrimaryFailed)
{
  for (const bool cutBefore : { false, true }) {
    detector_model model(3, 3);
    model.Run(seconds(1));
    if (cutBefore) {
      model.mCut.insert({ 1, "a" });
      model.Run(seconds(5));
    }
    model.mSilent.insert("a");
    // A round that began before the failure ends first.
    model.Run(cutBefore ? milliseconds(1'000) : milliseconds(0));
    for (int i = 0; i < 300; ++i) {
      for (const auto& detector : model.mDetectors) {
        EXPECT_TRUE(detector.PrimaryReachedBy().empty()) << cutBefore;
      }
      model.Run(milliseconds(20));
    }
  }
}

// Guards against an instance that is cut off from everything and takes itself
// for the only one.
TEST(FailureDetectorTest, ReachesNoVerdictWithoutAnyWitness)
{
  detector_model model(3, 3);
  model.Run(seconds(1));
  model.mCut.insert({ 1, "a" });
  model.mCutPeers.insert(1);
  model.Run(seconds(10));
  EXPECT_EQ(model.mVerdicts, 0);
}

// Guards against a fleet of one instance that never replaces its primary.
TEST(FailureDetectorTest, ReachesVerdictAloneInAFleetOfOne)
{
  detector_model model(1, 1);
  model.Run(seconds(1));
  model.mRefused.insert("a");
  model.Run(seconds(1));
  EXPECT_GT(model.mVerdicts, 0);
}

// Guards against a single holder that has other instances but never asks them.
TEST(FailureDetectorTest, AsksInstancesWithoutSlotWhenNoOtherHolderLives)
{
  detector_model model(3, 1);
  model.Run(seconds(1));
  model.mRefused.insert("a");
  model.Run(seconds(1));
  EXPECT_GT(model.mVerdicts, 0);
}

// Guards against a paused control thread that acts on what it missed.
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

// Guards against a change of primary because established connections became
// silent while new ones work.
TEST(FailureDetectorTest, TriesNewConnectionBeforeSuspicion)
{
  detector_model model(3, 3);
  model.Run(seconds(1));
  model.mSilentConnections.insert("a");
  model.Run(seconds(20));
  EXPECT_EQ(model.mVerdicts, 0);
  EXPECT_TRUE(model.mDetectors[0].Suspected().empty());
}

// Guards against a change of primary because the primary answers slowly.
TEST(FailureDetectorTest, ToleratesSlowAnswers)
{
  detector_model model(3, 3);
  model.Run(seconds(1));
  model.mSlow["a"] = milliseconds(500);
  model.Run(seconds(60));
  EXPECT_EQ(model.mVerdicts, 0);
}

// Guards against probes that load servers although traffic is answered.
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
  // One status a second for each of the three servers.
  EXPECT_LE(model.mProbes - before, 33);
}

// Guards against an old verdict that outlives the primary's return.
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

// Guards against any mix of faults at one instance that makes it the only
// witness of a failure: without a second one there is no verdict.
TEST(FailureDetectorPropertyTest, NeedsTwoInstancesForAVerdict)
{
  detector_model model(3, 3);
  std::mt19937_64 random(7);
  for (int step = 0; step < 100'000; ++step) {
    const auto kind = random() % 12;
    if (kind == 0) {
      model.mCut.insert({ 1, "a" });
    } else if (kind == 1) {
      model.mCut.clear();
    } else if (kind == 2) {
      model.mPaused[random() % 3] = random() % 3 == 0;
    } else if (kind == 3) {
      model.Deliver(1, report_evidence{ "a", server_evidence::Refused, 0 });
    } else if (kind == 4) {
      model.Deliver(random() % 3,
                    report_evidence{ "a", server_evidence::Silent, 0 });
    } else if (kind == 5) {
      model.mCutPeers = { random() % 3 };
    } else if (kind == 6) {
      model.mCutPeers.clear();
    } else if (kind == 7) {
      model.mSlow["a"] = milliseconds(3 + random() % 200);
    }
    model.Run(milliseconds(1 + random() % 30));
  }
  EXPECT_EQ(model.mVerdicts, 0);
  EXPECT_GT(model.mMessages, 1'000);
}

} // namespace
} // namespace snipewalk
