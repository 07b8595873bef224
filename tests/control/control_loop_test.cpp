// Tests of the control loop over sockets, against the stand-in store.
#include "snipewalk/control/control_loop.h"

#include "snipewalk/store/store_http_client.h"
#include "standins/process_fleet.h"
#include "standins/store_service.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <condition_variable>
#include <functional>
#include <mutex>
#include <thread>

namespace snipewalk {
namespace {

constexpr char kDocument[] = R"({
  "service": "ledger",
  "servers": [
    {"name": "s1", "address": "127.0.0.1:11", "data_centre": "a"},
    {"name": "s2", "address": "127.0.0.1:12", "data_centre": "a"},
    {"name": "s3", "address": "127.0.0.1:13", "data_centre": "a"}
  ]
})";

// Bounds a failing test; no result depends on how long something takes.
constexpr seconds kPatience{ 20 };

class store_thread
{
public:
  store_thread()
    : mService(mLoop, {})
    , mThread([this] { mLoop.Run(); })
  {
  }
  ~store_thread()
  {
    mLoop.Stop();
    mThread.join();
  }
  std::uint16_t Port() const { return mService.Port(); }
  void Put(const std::string& aTarget, const std::string& aBody) const
  {
    const auto answer =
      standins::HttpCall(Port(), "PUT", "/v1/objects/" + aTarget, aBody);
    ASSERT_TRUE(answer.ok());
    ASSERT_LT(answer->mStatus, 300) << answer->mBody;
  }

private:
  event_loop mLoop;
  standins::store_service mService;
  std::thread mThread;
};

// One control loop and the newest snapshot that it published.
class member
{
public:
  member(const std::string& aName,
         const store_thread& aStore,
         const std::vector<std::string>& aSeeds,
         const std::string& aKey = "fleet")
  {
    control_loop_options options;
    options.mSettings.mInstance = aName;
    options.mSettings.mDataCentre = "a";
    options.mSettings.mRegion = "r";
    options.mSettings.mPeerAddress = "127.0.0.1:1";
    options.mSettings.mControlAddress = "127.0.0.1:0";
    options.mSettings.mSeeds = aSeeds;
    options.mFleetKeys = { aKey };
    options.mStartMs = 1'700'000'000'000;
    options.mSeed = std::hash<std::string>{}(aName);
    control_loop_callbacks callbacks;
    callbacks.mPublish = [this](auto aSnapshot) {
      const std::lock_guard<std::mutex> lock(mMutex);
      mSnapshot = std::move(aSnapshot);
      ++mPublished;
      mChanged.notify_all();
    };
    const std::string store = "127.0.0.1:" + std::to_string(aStore.Port());
    mLoop = std::make_unique<control_loop>(
      options, callbacks, [store](event_loop& aLoop) {
        return std::make_unique<store_http_client>(
          aLoop, store_client_options{ { store } });
      });
    EXPECT_TRUE(mLoop->Start().ok());
  }
  ~member() { mLoop->Stop(); }

  control_loop& Loop() { return *mLoop; }

  bool WaitFor(const std::function<bool(const routing_snapshot&)>& aCondition)
  {
    std::unique_lock<std::mutex> lock(mMutex);
    return mChanged.wait_for(
      lock, kPatience, [&] { return mSnapshot && aCondition(*mSnapshot); });
  }
  std::shared_ptr<const routing_snapshot> Snapshot()
  {
    const std::lock_guard<std::mutex> lock(mMutex);
    return mSnapshot;
  }
  std::size_t Published()
  {
    const std::lock_guard<std::mutex> lock(mMutex);
    return mPublished;
  }

private:
  std::mutex mMutex;
  std::condition_variable mChanged;
  std::shared_ptr<const routing_snapshot> mSnapshot;
  std::size_t mPublished = 0;
  std::unique_ptr<control_loop> mLoop;
};

int
LiveHolders(const routing_snapshot& aSnapshot)
{
  const auto found = aSnapshot.mServices.find("ledger");
  int count = 0;
  if (found != aSnapshot.mServices.end()) {
    for (const auto& holder : found->second->mSlots.mHolders) {
      count += holder.mInstance.empty() ? 0 : 1;
    }
  }
  return count;
}

// Guards against instances that do not find each other, get no document, or
// leave slots vacant.
TEST(ControlLoopTest, FleetServesADocumentFromTheStore)
{
  const store_thread store;
  member first("one", store, {});
  const std::vector<std::string> seeds{ first.Loop().Address() };
  member second("two", store, seeds);
  member third("three", store, seeds);
  member fourth("four", store, seeds);
  store.Put("services/ledger", kDocument);
  for (member* each : { &first, &second, &third, &fourth }) {
    EXPECT_TRUE(each->WaitFor([](const routing_snapshot& aSnapshot) {
      return aSnapshot.mMembers.size() == 4 && LiveHolders(aSnapshot) == 3;
    }));
  }
  int sum = 0;
  int reserves = 0;
  for (member* each : { &first, &second, &third, &fourth }) {
    const auto record = each->Snapshot()->mServices.at("ledger")->mSlots;
    const bool holds = std::any_of(
      record.mHolders.begin(), record.mHolders.end(), [&](const auto& aHolder) {
        return aHolder.mInstance == each->Loop().Status()->mInstance;
      });
    if (holds) {
      EXPECT_TRUE(each->WaitFor([](const routing_snapshot& aSnapshot) {
        return aSnapshot.mServices.at("ledger")->mConnectionShare > 0;
      }));
      sum += each->Snapshot()->mServices.at("ledger")->mConnectionShare;
      reserves += each->Snapshot()->mServices.at("ledger")->mConnectionReserve;
    }
  }
  // 20 connections less one control connection for each holder and a reserve of
  // a tenth.
  EXPECT_EQ(sum, 15);
  EXPECT_EQ(reserves, 2);
}

// Guards against an invalid document that replaces the one in force.
TEST(ControlLoopTest, InvalidDocumentStaysOutOfForce)
{
  const store_thread store;
  member only("one", store, {});
  store.Put("services/ledger", kDocument);
  ASSERT_TRUE(only.WaitFor([](const routing_snapshot& aSnapshot) {
    return aSnapshot.mServices.contains("ledger");
  }));
  const std::uint64_t before = only.Snapshot()->mRevision;
  store.Put("services/ledger", "{\"service\": \"ledger\"}");
  store.Put("services/other", std::string(kDocument).replace(16, 6, "other"));
  ASSERT_TRUE(only.WaitFor([&](const routing_snapshot& aSnapshot) {
    return aSnapshot.mRevision > before &&
           aSnapshot.mServices.contains("other");
  }));
  EXPECT_EQ(only.Snapshot()->mServices.at("ledger")->mDocument.mServers.size(),
            3U);
}

// Guards against an instance without the fleet key that gets into the fleet.
TEST(ControlLoopTest, ForeignKeyJoinsNothing)
{
  const store_thread store;
  member first("one", store, {});
  const std::vector<std::string> seeds{ first.Loop().Address() };
  member foreign("foreign", store, seeds, "other key");
  member second("two", store, seeds);
  ASSERT_TRUE(first.WaitFor([](const routing_snapshot& aSnapshot) {
    return aSnapshot.mMembers.contains("two");
  }));
  EXPECT_FALSE(first.Snapshot()->mMembers.contains("foreign"));
  EXPECT_EQ(foreign.Snapshot()->mMembers.size(), 1U);
}

// Guards against slots that a stopping instance keeps, and against a stop that
// others notice only by silence.
TEST(ControlLoopTest, LeavingInstanceReleasesItsSlots)
{
  const store_thread store;
  member first("one", store, {});
  member second("two", store, { first.Loop().Address() });
  store.Put("services/ledger", kDocument);
  ASSERT_TRUE(second.WaitFor([](const routing_snapshot& aSnapshot) {
    return LiveHolders(aSnapshot) == 2;
  }));
  std::mutex mutex;
  std::condition_variable released;
  bool done = false;
  second.Loop().ReleaseSlots(seconds(30), [&] {
    const std::lock_guard<std::mutex> lock(mutex);
    done = true;
    released.notify_all();
  });
  {
    std::unique_lock<std::mutex> lock(mutex);
    ASSERT_TRUE(released.wait_for(lock, kPatience, [&] { return done; }));
  }
  second.Loop().Leave();
  EXPECT_TRUE(first.WaitFor([](const routing_snapshot& aSnapshot) {
    return LiveHolders(aSnapshot) == 1 &&
           aSnapshot.mMembers.at("two").mState == member_state::Left;
  }));
}

} // namespace
} // namespace snipewalk
