// Property test for the view of one kind: late, lost and reordered replies,
// watches that miss a change, versions learned from other instances, and
// restarts.
#include "snipewalk/session/kind_watcher.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <map>
#include <random>
#include <utility>
#include <vector>

namespace snipewalk {
namespace {

constexpr int kSteps = 120'000;
constexpr const char* kName = "main";

// Store with a single object that the operator changes. A call is executed some
// time after it was made, and its reply arrives later or is lost.
class delaying_store : public store_client
{
public:
  store_call_id Submit(store_request aRequest,
                       store_priority,
                       reply_handler aOnReply) override
  {
    mCalls.push_back({ std::get<store_watch>(aRequest), std::move(aOnReply) });
    return ++mLastCall;
  }
  // Replies that are on their way arrive all the same.
  void Cancel(store_call_id) override {}

  void Write()
  {
    ++mRevision;
    mHistory[mRevision] = mRevision;
  }

  // Advances the revision by a change of another kind.
  void WriteOtherKind() { ++mRevision; }

  // Returns the newest version of the object at a revision; zero if there is
  // none.
  std::uint64_t VersionAt(std::uint64_t aRevision) const
  {
    const auto after = mHistory.upper_bound(aRevision);
    return after == mHistory.begin() ? 0 : std::prev(after)->second;
  }

  stored_object Object(std::uint64_t aVersion) const
  {
    return { { "k", kName }, aVersion, false, std::to_string(aVersion) };
  }

  // Executes the call at `aIndex`. A watch without a change keeps waiting.
  void Execute(std::size_t aIndex, bool aMissesChange)
  {
    call& chosen = mCalls.at(aIndex);
    store_reply reply;
    reply.mStatus = store_status::Ok;
    reply.mRevision = mRevision;
    const std::uint64_t version = VersionAt(mRevision);
    const bool list = chosen.mRequest.mFrom == 0;
    const bool changed = version > chosen.mRequest.mFrom;
    if (!list && !changed) {
      return;
    }
    // A watch that missed the change continues from a revision after it.
    if (list || !aMissesChange) {
      reply.mObjects.push_back(Object(version));
    }
    mAnswers.emplace_back(std::move(reply), std::move(chosen.mOnReply));
    mCalls.erase(mCalls.begin() + static_cast<std::ptrdiff_t>(aIndex));
  }

  // Delivers a reply. If `aLost` is set, the call ends with a failure instead:
  // a store client replies to each call exactly once.
  void Deliver(std::size_t aIndex, bool aLost, time_point aNow)
  {
    const auto answer = std::move(mAnswers.at(aIndex));
    mAnswers.erase(mAnswers.begin() + static_cast<std::ptrdiff_t>(aIndex));
    store_reply failure;
    failure.mStatus = store_status::Unknown;
    answer.second(aLost ? failure : answer.first, aNow);
  }

  struct call
  {
    store_watch mRequest;
    reply_handler mOnReply;
  };

  std::uint64_t mRevision = 1;
  // Versions by the revision that created them; both numbers are the same.
  std::map<std::uint64_t, std::uint64_t> mHistory;
  std::vector<call> mCalls;
  store_call_id mLastCall = 0;
  std::vector<std::pair<store_reply, reply_handler>> mAnswers;
};

class KindWatcherPropertyTest : public testing::Test
{
protected:
  KindWatcherPropertyTest()
    : mWatcher(mLoop,
               mStore,
               "k",
               milliseconds(10'000),
               [this](const kind_watcher::update& aUpdate, time_point) {
                 Check(aUpdate);
               })
  {
    mStore.Write();
    mWatcher.Start();
  }

  std::uint64_t CurrentVersion() const
  {
    const auto found = mWatcher.Objects().find(kName);
    return found == mWatcher.Objects().end() ? 0 : found->second.mVersion;
  }

  void Check(const kind_watcher::update& aUpdate)
  {
    ASSERT_GE(CurrentVersion(), mLastVersion) << "step " << mStep;
    mLastVersion = CurrentVersion();
    ASSERT_GE(CurrentVersion(), mStore.VersionAt(aUpdate.mCompleteTo))
      << "step " << mStep << ", complete to " << aUpdate.mCompleteTo;
  }

  bool Chance(int aPercent)
  {
    return static_cast<int>(mRandom() % 100) < aPercent;
  }

  std::size_t PickIndex(std::size_t aSize) { return mRandom() % aSize; }

  // A moment so far in the past that the watcher's delay before a retry, which
  // it counts from the time of the failed reply, has already passed.
  time_point TimeOfReply() const
  {
    constexpr milliseconds kLongerThanRetryDelay{ 10'000 };
    return mLoop.Now() - kLongerThanRetryDelay;
  }

  // Starts the retries that are due.
  void RunRetries()
  {
    // Keeps the loop from waiting where no retry is due.
    mLoop.Post([] {});
    mLoop.RunOnce();
  }

  // Draws are separate statements: the order of the arguments of a call is
  // the compiler's.
  void ExecuteAny()
  {
    const std::size_t index = PickIndex(mStore.mCalls.size());
    const bool missesChange = Chance(10);
    mStore.Execute(index, missesChange);
  }

  void DeliverAny()
  {
    const std::size_t index = PickIndex(mStore.mAnswers.size());
    const bool lost = Chance(10);
    mStore.Deliver(index, lost, TimeOfReply());
  }

  // Executes all calls and delivers all replies, until only a watch without a
  // change is left.
  void DeliverAll()
  {
    bool progress = true;
    while (progress && !HasFatalFailure()) {
      RunRetries();
      for (std::size_t index = mStore.mCalls.size(); index > 0; --index) {
        mStore.Execute(index - 1, false);
      }
      progress = !mStore.mAnswers.empty();
      while (!mStore.mAnswers.empty()) {
        mStore.Deliver(0, false, TimeOfReply());
      }
    }
  }

  void Step()
  {
    switch (mRandom() % 9) {
      case 0:
        Chance(50) ? mStore.Write() : mStore.WriteOtherKind();
        return;
      case 1:
        if (mWatcher.IsListed() && mStore.mCalls.size() < 8) {
          mWatcher.Refresh();
        }
        return;
      case 2:
        // Learns an arbitrary version from another instance.
        mWatcher.ApplyNewer(
          mStore.Object(mStore.VersionAt(1 + mRandom() % mStore.mRevision)));
        return;
      case 3:
        if (Chance(20)) {
          mWatcher.Restart();
        }
        return;
      case 4:
      case 5:
        if (!mStore.mCalls.empty()) {
          ExecuteAny();
        }
        return;
      case 6:
        RunRetries();
        return;
      default:
        if (!mStore.mAnswers.empty()) {
          DeliverAny();
        }
        return;
    }
  }

  std::mt19937_64 mRandom{ 20'261'204 };
  event_loop mLoop;
  delaying_store mStore;
  int mStep = 0;
  std::uint64_t mLastVersion = 0;
  kind_watcher mWatcher;
};

// A desired state or recorded primary must never be replaced by an older one,
// and the view must not claim to be complete up to a revision that it has not
// reached.
TEST_F(KindWatcherPropertyTest, NeverGoesBackAndIsCompleteWhereItSaysSo)
{
  for (; mStep < kSteps && !HasFatalFailure(); ++mStep) {
    Step();
    ASSERT_GE(CurrentVersion(), mLastVersion) << "step " << mStep;
    mLastVersion = CurrentVersion();
  }
  // Once replies arrive again, a single list returns the newest version.
  mWatcher.Restart();
  DeliverAll();
  EXPECT_EQ(CurrentVersion(), mStore.VersionAt(mStore.mRevision));
}

} // namespace
} // namespace snipewalk
