// Tests for the view of one kind of store objects, against a scripted store.
#include "snipewalk/session/kind_watcher.h"

#include "snipewalk/messages/store_revision.h"

#include <gtest/gtest.h>

#include <deque>

namespace snipewalk {
namespace {

// Store that holds calls until the test answers them.
class scripted_store : public store_client
{
public:
  store_call_id Submit(store_request aRequest,
                       store_priority,
                       reply_handler aOnReply) override
  {
    mCalls.emplace_back(std::get<store_watch>(aRequest), std::move(aOnReply));
    return ++mLastCall;
  }

  // Replies that are on their way arrive all the same.
  void Cancel(store_call_id aCall) override { mCancelled.push_back(aCall); }

  bool IsReplyArriving(store_call_id aCall, time_point) const override
  {
    return aCall == mArriving;
  }

  // Answers the oldest call.
  void Answer(const store_reply& aReply, time_point aNow)
  {
    ASSERT_FALSE(mCalls.empty());
    const auto handler = mCalls.front().second;
    mCalls.pop_front();
    handler(aReply, aNow);
  }

  std::deque<std::pair<store_watch, reply_handler>> mCalls;
  // Id of the last call.
  store_call_id mLastCall = 0;
  // Call whose reply has arrived in part; zero for none.
  store_call_id mArriving = 0;
  std::vector<store_call_id> mCancelled;
};

store_reply
Reply(std::uint64_t aRevision,
      const std::vector<std::pair<std::string, std::uint64_t>>& aObjects,
      bool aMore = false)
{
  store_reply reply;
  reply.mStatus = store_status::Ok;
  reply.mRevision = aRevision;
  reply.mMore = aMore;
  for (const auto& [name, version] : aObjects) {
    reply.mObjects.push_back({ { "k", name }, version, false, "{}" });
  }
  return reply;
}

class KindWatcherTest : public testing::Test
{
protected:
  KindWatcherTest()
    : mWatcher(mLoop,
               mStore,
               "k",
               milliseconds(10'000),
               [this](const kind_watcher::update& aUpdate, time_point) {
                 ++mUpdates;
                 mChanged = aUpdate.mChanged;
                 mCompleteTo = aUpdate.mCompleteTo;
               })
  {
    mWatcher.Start();
  }

  event_loop mLoop;
  scripted_store mStore;
  int mUpdates = 0;
  std::vector<std::string> mChanged;
  std::uint64_t mCompleteTo = 0;
  kind_watcher mWatcher;
};

TEST_F(KindWatcherTest, ListsAllPagesBeforeItWatches)
{
  mStore.Answer(Reply(10, { { "a", 3 } }, true), mLoop.Now());
  EXPECT_FALSE(mWatcher.IsListed());
  EXPECT_EQ(mStore.mCalls.front().first.mAfter, "a");
  mStore.Answer(Reply(11, { { "b", 4 } }), mLoop.Now());
  EXPECT_TRUE(mWatcher.IsListed());
  EXPECT_EQ(mWatcher.Objects().size(), 2U);
  EXPECT_EQ(mStore.mCalls.front().first.mFrom, 10U);
}

TEST_F(KindWatcherTest, ListsAgainWhenTheHistoryIsGone)
{
  mStore.Answer(Reply(10, { { "a", 3 }, { "b", 4 } }), mLoop.Now());
  store_reply gone;
  gone.mStatus = store_status::HistoryGone;
  mStore.Answer(gone, mLoop.Now());
  mLoop.RunAt(mLoop.Now(), [this](time_point) { mLoop.Stop(); });
  mLoop.Run();
  ASSERT_EQ(mStore.mCalls.size(), 1U);
  EXPECT_EQ(mStore.mCalls.front().first.mFrom, 0U);
  mStore.Answer(Reply(20, { { "a", 3 } }), mLoop.Now());
  EXPECT_EQ(mWatcher.Objects().size(), 1U);
}

// The store may drop the history of a change that a waiting watch has missed;
// only a list shows it.
TEST_F(KindWatcherTest, ListsWhenItIsRestarted)
{
  mStore.Answer(Reply(10, { { "a", 3 } }), mLoop.Now());
  mWatcher.Restart();
  ASSERT_EQ(mStore.mCalls.size(), 2U);
  EXPECT_EQ(mStore.mCalls.back().first.mFrom, 0U);
  // The reply to the abandoned watch is ignored.
  const int updates = mUpdates;
  mStore.Answer(Reply(10, {}), mLoop.Now());
  EXPECT_EQ(mUpdates, updates);
  mStore.Answer(Reply(12, { { "a", 12 } }), mLoop.Now());
  EXPECT_EQ(mWatcher.NewestVersion(), 12U);
  ASSERT_EQ(mStore.mCalls.size(), 1U);
  EXPECT_EQ(mStore.mCalls.front().first.mFrom, 12U);
}

// Whoever has seen a version cannot tell whether its object still exists.
TEST_F(KindWatcherTest, HasSeenTheVersionsThatAListWouldContain)
{
  mStore.Answer(Reply(10, { { "a", 3 } }), mLoop.Now());
  EXPECT_TRUE(mWatcher.HasSeen(10));
  EXPECT_FALSE(mWatcher.HasSeen(11));
  // A watch may have missed changes, but for those that it delivers.
  mStore.Answer(Reply(20, { { "b", 15 } }), mLoop.Now());
  EXPECT_TRUE(mWatcher.HasSeen(15));
  EXPECT_FALSE(mWatcher.HasSeen(16));
  mWatcher.Refresh();
  mStore.mCalls.pop_front();
  mStore.Answer(Reply(30, { { "a", 3 } }), mLoop.Now());
  EXPECT_TRUE(mWatcher.HasSeen(30));
}

// Guards against calls that compete with the large reply that they wait for.
TEST_F(KindWatcherTest, KnowsWhetherAReplyIsArriving)
{
  mStore.mArriving = mStore.mLastCall;
  EXPECT_TRUE(mWatcher.IsReplyArriving(mLoop.Now()));
  mStore.Answer(Reply(10, { { "a", 3 } }), mLoop.Now());
  mStore.mArriving = 0;
  EXPECT_FALSE(mWatcher.IsReplyArriving(mLoop.Now()));
  mStore.mArriving = mStore.mLastCall;
  EXPECT_TRUE(mWatcher.IsReplyArriving(mLoop.Now()));
  EXPECT_FALSE(mWatcher.HasTimeForRefresh(mLoop.Now() + seconds(10)));
}

// Guards against lists that fill a slow link one after the other.
TEST_F(KindWatcherTest, LeavesTimeBetweenLongLists)
{
  const time_point listed = mLoop.Now() + milliseconds(600);
  mStore.Answer(Reply(10, { { "a", 3 } }), listed);
  EXPECT_FALSE(mWatcher.HasTimeForRefresh(listed + milliseconds(1'700)));
  EXPECT_TRUE(mWatcher.HasTimeForRefresh(listed + milliseconds(1'900)));
  mWatcher.Refresh();
  EXPECT_FALSE(mWatcher.HasTimeForRefresh(listed + milliseconds(1'900)));
}

// Guards against a holder of the duty that hears of no change for long after
// one list was slow.
TEST_F(KindWatcherTest, BoundsTheTimeBetweenLongLists)
{
  const time_point listed = mLoop.Now() + seconds(10);
  mStore.Answer(Reply(10, { { "a", 3 } }), listed);
  EXPECT_TRUE(mWatcher.HasTimeForRefresh(listed + milliseconds(2'000)));
}

// Guards against abandoned watches that hold all connections to the store until
// it answers them.
TEST_F(KindWatcherTest, CancelsTheWatchThatItAbandons)
{
  mStore.Answer(Reply(10, { { "a", 3 } }), mLoop.Now());
  const store_call_id watch = mStore.mLastCall;
  mWatcher.Restart();
  EXPECT_EQ(mStore.mCancelled, std::vector<store_call_id>{ watch });
  // A watch that was answered is not cancelled.
  mStore.mCalls.pop_front();
  mStore.Answer(Reply(12, { { "a", 12 } }), mLoop.Now());
  mStore.Answer(Reply(13, { { "a", 13 } }), mLoop.Now());
  EXPECT_EQ(mStore.mCancelled.size(), 1U);
}

// The store came back from an older copy: what the list lacks was undone, and
// the numbers of its objects may be lower than those known.
TEST_F(KindWatcherTest, ReplacesTheViewByTheFirstListOfAnEra)
{
  mStore.Answer(
    Reply(MakeRevision(1, 90),
          { { "a", MakeRevision(1, 80) }, { "b", MakeRevision(1, 85) } }),
    mLoop.Now());
  mWatcher.Refresh();
  mStore.mCalls.pop_front();
  mStore.Answer(Reply(MakeRevision(2, 60), { { "a", MakeRevision(2, 50) } }),
                mLoop.Now());
  ASSERT_EQ(mWatcher.Objects().size(), 1U);
  EXPECT_EQ(mWatcher.Objects().at("a").mVersion, MakeRevision(2, 50));
  EXPECT_EQ(mCompleteTo, MakeRevision(2, 60));
  // The present watch waits for a revision that may not come for long.
  ASSERT_EQ(mStore.mCalls.size(), 1U);
  EXPECT_EQ(mStore.mCalls.front().first.mFrom, MakeRevision(2, 60));
}

TEST_F(KindWatcherTest, DropsALateListOfAnEarlierEra)
{
  mStore.Answer(Reply(MakeRevision(1, 90), {}), mLoop.Now());
  mWatcher.Refresh();
  mWatcher.Refresh();
  mStore.mCalls.pop_front();
  const auto late = mStore.mCalls.front().second;
  mStore.mCalls.pop_front();
  mStore.Answer(Reply(MakeRevision(2, 60), {}), mLoop.Now());
  const int updates = mUpdates;
  late(Reply(MakeRevision(1, 95), { { "a", MakeRevision(1, 95) } }),
       mLoop.Now());
  EXPECT_EQ(mUpdates, updates);
  EXPECT_TRUE(mWatcher.Objects().empty());
  EXPECT_FALSE(mWatcher.IsRefreshing());
}

TEST_F(KindWatcherTest, DropsAListWithPagesOfTwoEras)
{
  mStore.Answer(
    Reply(MakeRevision(1, 90), { { "a", MakeRevision(1, 80) } }, true),
    mLoop.Now());
  mStore.Answer(Reply(MakeRevision(2, 60), { { "b", MakeRevision(2, 50) } }),
                mLoop.Now());
  EXPECT_FALSE(mWatcher.IsListed());
  EXPECT_EQ(mUpdates, 0);
}

// All instances register at once. Without a pause, each registration would
// complete the watch of every instance.
TEST_F(KindWatcherTest, PausesBeforeTheNextWatch)
{
  mWatcher.SetPause([](const store_reply&) { return milliseconds(30); });
  mStore.Answer(Reply(10, { { "a", 3 } }), mLoop.Now());
  mStore.Answer(Reply(11, { { "b", 11 } }), mLoop.Now());
  EXPECT_TRUE(mWatcher.Objects().contains("b"));
  EXPECT_TRUE(mStore.mCalls.empty());
  mLoop.RunAt(mLoop.Now() + milliseconds(60),
              [this](time_point) { mLoop.Stop(); });
  mLoop.Run();
  ASSERT_EQ(mStore.mCalls.size(), 1U);
  EXPECT_EQ(mStore.mCalls.front().first.mFrom, 11U);
}

// A refresh runs concurrently with the watch and must not replace newer objects
// that the watch has delivered.
TEST_F(KindWatcherTest, KeepsNewerObjectsOverARefresh)
{
  mStore.Answer(Reply(10, { { "a", 3 } }), mLoop.Now());
  mWatcher.Refresh();
  const auto refresh = mStore.mCalls.back().second;
  mStore.mCalls.pop_back();
  mStore.Answer(Reply(15, { { "a", 15 }, { "b", 14 } }), mLoop.Now());
  refresh(Reply(12, { { "a", 3 } }), mLoop.Now());
  EXPECT_EQ(mWatcher.Objects().at("a").mVersion, 15U);
  EXPECT_TRUE(mWatcher.Objects().contains("b"));
  EXPECT_EQ(mStore.mCalls.size(), 1U);
}

// Guards against decoding all objects of a kind again for each change.
TEST_F(KindWatcherTest, NamesOnlyWhatChanged)
{
  mStore.Answer(Reply(10, { { "a", 3 }, { "b", 4 } }), mLoop.Now());
  EXPECT_EQ(mChanged.size(), 2U);
  mStore.Answer(Reply(11, { { "b", 11 } }), mLoop.Now());
  EXPECT_EQ(mChanged, std::vector<std::string>{ "b" });
  mWatcher.Refresh();
  const auto refresh = mStore.mCalls.back().second;
  refresh(Reply(12, { { "b", 11 }, { "c", 12 } }), mLoop.Now());
  EXPECT_EQ(mChanged, (std::vector<std::string>{ "c", "a" }));
}

// An object of the first page may change while later pages are read; the watch
// must deliver that change.
TEST_F(KindWatcherTest, WatchesFromTheRevisionOfTheFirstPage)
{
  mStore.Answer(Reply(10, { { "a", 3 } }, true), mLoop.Now());
  mStore.Answer(Reply(14, { { "b", 4 } }), mLoop.Now());
  ASSERT_EQ(mStore.mCalls.size(), 1U);
  EXPECT_EQ(mStore.mCalls.front().first.mFrom, 10U);
  EXPECT_EQ(mCompleteTo, 10U);
}

// A watch that missed a record may continue from a later revision. The view
// must not count as complete then, or the instance would not be sent the missed
// record by others.
TEST_F(KindWatcherTest, IsNotCompleteAfterAWatch)
{
  mStore.Answer(Reply(10, { { "a", 3 } }), mLoop.Now());
  EXPECT_EQ(mCompleteTo, 10U);
  mStore.Answer(Reply(15, { { "b", 15 } }), mLoop.Now());
  EXPECT_EQ(mCompleteTo, 0U);
}

// Store that refuses all calls at once.
class refusing_store : public store_client
{
public:
  explicit refusing_store(event_loop& aLoop)
    : mLoop(aLoop)
  {
  }

  store_call_id Submit(store_request,
                       store_priority,
                       reply_handler aOnReply) override
  {
    ++mCalls;
    mLoop.Post([this, onReply = std::move(aOnReply)] {
      store_reply refused;
      refused.mStatus = store_status::Refused;
      onReply(refused, mLoop.Now());
    });
    return static_cast<store_call_id>(mCalls);
  }
  void Cancel(store_call_id) override {}

  int mCalls = 0;

private:
  event_loop& mLoop;
};

// A store that turns away a third of the instances must not get many more calls
// from them than it gets from the others, whose watches wait.
TEST(KindWatcherRetryTest, CallsARefusingStoreAboutOnceASecond)
{
  event_loop loop;
  refusing_store store(loop);
  kind_watcher watcher(loop,
                       store,
                       "k",
                       milliseconds(10'000),
                       [](const kind_watcher::update&, time_point) {});
  watcher.SetSeed(7);
  watcher.Start();
  const time_point until =
    std::chrono::steady_clock::now() + milliseconds(3'000);
  while (std::chrono::steady_clock::now() < until) {
    loop.RunOnce();
  }
  // Four while the delay grows, then one or two a second.
  EXPECT_GE(store.mCalls, 4);
  EXPECT_LE(store.mCalls, 10);
}

} // namespace
} // namespace snipewalk
