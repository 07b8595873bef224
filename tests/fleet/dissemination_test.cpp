// Tests of the dissemination and of the revisions that instances claim.
#include "snipewalk/fleet/dissemination.h"

#include "fleet/fleet_model.h"

#include <gtest/gtest.h>

namespace snipewalk {
namespace {

// The claim of an instance: for each change up to its head it holds that
// version or a newer one.
void
ExpectSound(fleet_model& aFleet, std::size_t aInstance)
{
  const object_cache& cache = *aFleet.At(aInstance).mCache;
  for (const auto& [key, object] : aFleet.Store()) {
    if (object.mVersion > cache.Head(key.mKind)) {
      continue;
    }
    const auto& objects = cache.Objects(key.mKind);
    const auto found = objects.find(key.mName);
    if (object.mDeleted) {
      // A deletion may be a tombstone or an absent object.
      ASSERT_TRUE(found == objects.end() || found->second.mDeleted)
        << "instance " << aInstance << " lacks the deletion of " << key.mName;
    } else {
      ASSERT_TRUE(found != objects.end() &&
                  found->second.mVersion >= object.mVersion)
        << "instance " << aInstance << " lacks " << key.mName;
    }
  }
}

void
ExpectCaughtUp(fleet_model& aFleet, std::size_t aInstance)
{
  const object_cache& cache = *aFleet.At(aInstance).mCache;
  for (const auto& [key, object] : aFleet.Store()) {
    const stored_object* found = cache.Find(key.mKind, key.mName);
    if (object.mDeleted) {
      EXPECT_EQ(found, nullptr) << aInstance << " " << key.mName;
    } else {
      ASSERT_NE(found, nullptr) << aInstance << " " << key.mName;
      EXPECT_EQ(found->mVersion, object.mVersion);
    }
  }
}

// Guards against an object that only its writer has when the store goes out
// before a watcher sees the change.
TEST(DisseminationTest, WriterPushesItsOwnObject)
{
  fleet_model fleet(2);
  fleet.StartJoined(20);
  fleet.Put("terms", "first", "a");
  fleet.Run(seconds(10));
  for (std::size_t i = 0; i < fleet.Size(); ++i) {
    fleet.At(i).mStoreReachable = false;
  }
  // Other kinds changed meanwhile.
  const stored_object written{
    { "terms", "ledger" }, fleet.Revision() + 5, false, "b"
  };
  fleet.Give(3, object_written{ written });
  fleet.Run(seconds(2));
  for (std::size_t i = 0; i < fleet.Size(); ++i) {
    const stored_object* found = fleet.At(i).mCache->Find("terms", "ledger");
    ASSERT_NE(found, nullptr) << i;
    EXPECT_EQ(found->mValue, "b");
  }
}

// Guards against changes that do not reach everybody within seconds.
TEST(DisseminationTest, ChangeReachesAllInstancesWithinSeconds)
{
  fleet_model fleet(1);
  fleet.mRegions = 2;
  fleet.StartJoined(60);
  fleet.Put("services", "first", "a");
  fleet.Run(seconds(10));
  fleet.Put("services", "ledger", "b");
  fleet.Run(seconds(5));
  for (std::size_t i = 0; i < fleet.Size(); ++i) {
    ExpectCaughtUp(fleet, i);
  }
}

// Guards against instances that stay behind: one paused for a minute, one
// started with the store down, and watchers whose watches are silent.
TEST(DisseminationTest, LateInstancesReachTheNewestRevision)
{
  fleet_model fleet(2);
  fleet.StartJoined(20);
  fleet.Put("services", "first", "a");
  fleet.Run(seconds(10));
  fleet.At(5).mStopped = true;
  for (int i = 0; i < 10; ++i) {
    fleet.Put("services", "service" + std::to_string(i % 4), "v");
    fleet.Run(seconds(6));
  }
  fleet.At(5).mStopped = false;
  fleet.mStoreDown = true;
  fleet.Start(20);
  fleet.Run(seconds(20));
  ExpectCaughtUp(fleet, 5);
  ExpectCaughtUp(fleet, 20);
  fleet.mStoreDown = false;
  for (std::size_t i = 0; i < fleet.Size(); ++i) {
    if (fleet.At(i).mDissemination->IsWatcher()) {
      fleet.At(i).mStoreReachable = false;
    }
  }
  fleet.Put("services", "late", "c");
  fleet.Run(seconds(120));
  for (std::size_t i = 0; i < fleet.Size(); ++i) {
    ExpectCaughtUp(fleet, i);
  }
}

// Guards against a claimed revision whose changes are missing, and against an
// object that goes back, while messages are lost and instances restart.
TEST(DisseminationTest, NoInstanceClaimsARevisionThatItLacks)
{
  fleet_model fleet(3);
  fleet.mLoss = 0.15;
  fleet.StartJoined(12);
  std::mt19937_64 random(3);
  std::vector<object_heads> heads(12);
  for (int step = 0; step < 4'000; ++step) {
    const std::string name = "object" + std::to_string(random() % 30);
    if (random() % 4 == 0) {
      fleet.Put(std::string(kObjectKinds[random() % 4]),
                name,
                std::string(random() % 3'000, 'x'));
    } else if (random() % 20 == 0 && !fleet.Store().empty()) {
      fleet.Remove(fleet.Store().begin()->first);
    }
    const std::size_t victim = random() % 12;
    if (random() % 100 == 0) {
      fleet.Start(victim);
      heads[victim] = {};
    } else if (random() % 50 == 0) {
      fleet.At(victim).mStopped = !fleet.At(victim).mStopped;
    } else if (random() % 50 == 0) {
      fleet.mStoreDown = !fleet.mStoreDown;
    }
    fleet.Run(milliseconds(100), milliseconds(25));
    for (std::size_t i = 0; i < 12; ++i) {
      ExpectSound(fleet, i);
      for (std::size_t kind = 0; kind < 4; ++kind) {
        ASSERT_GE(fleet.At(i).mCache->Heads()[kind], heads[i][kind]);
      }
      heads[i] = fleet.At(i).mCache->Heads();
    }
    if (HasFatalFailure()) {
      FAIL() << "step " << step;
    }
  }
  fleet.mStoreDown = false;
  fleet.mLoss = 0;
  for (std::size_t i = 0; i < 12; ++i) {
    fleet.At(i).mStopped = false;
  }
  fleet.Run(seconds(90));
  for (std::size_t i = 0; i < 12; ++i) {
    ExpectCaughtUp(fleet, i);
  }
}

// Guards against a store that is watched by every instance.
TEST(DisseminationTest, TwoInstancesOfEachRegionWatch)
{
  fleet_model fleet(4);
  fleet.mRegions = 3;
  fleet.StartJoined(30);
  fleet.Run(seconds(5));
  std::size_t watchers = 0;
  for (std::size_t i = 0; i < fleet.Size(); ++i) {
    watchers += fleet.At(i).mDissemination->IsWatcher() ? 1 : 0;
  }
  EXPECT_EQ(watchers, 6U);
}

} // namespace
} // namespace snipewalk
