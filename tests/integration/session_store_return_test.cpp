// The store comes back from an earlier copy of itself, with the session front
// end as real processes.
#include "snipewalk/session/fleet_records.h"
#include "standins/platform_standin.h"
#include "standins/session_caller.h"
#include "standins/session_fleet.h"

#include <gmock/gmock.h>
#include <gtest/gtest.h>

#include <algorithm>
#include <thread>

namespace snipewalk::standins {
namespace {

using testing::Contains;
using testing::IsEmpty;
using testing::Pair;

// For which the store is away before it returns.
constexpr milliseconds kAway{ 300 };
// In which a service has its primary and each instance the newest desired state
// after the return.
constexpr milliseconds kRecoveryTime{ 8'000 };
constexpr milliseconds kCallTimeout{ 500 };
// Longer than an instance waits after it has taken the duty over.
constexpr milliseconds kClaimTime{ 4'000 };
// More than the instances write in one of these tests.
constexpr int kOtherWrites = 40;

class SessionStoreReturnTest : public testing::Test
{
protected:
  SessionStoreReturnTest()
    : mPlatform(3)
    , mFleet(SNIPEWALK_BINARY_DIR, testing::TempDir())
  {
  }

  void Start(const std::string& aName)
  {
    const std::string platform = mPlatform.StoreAddress();
    mFleet.Configure(aName, platform, platform);
    ASSERT_TRUE(mFleet.Start(aName).ok());
    ASSERT_TRUE(WaitFor([&] { return mFleet.IsReady(aName); }));
  }

  void ChangeStore(const std::function<void(platform_store&)>& aTask)
  {
    mPlatform.Change(
      [&](line_server_group&, platform_store& aStore) { aTask(aStore); });
  }

  void TakeCopy()
  {
    ChangeStore([](platform_store& aStore) { aStore.TakeCopy(); });
  }

  // The store is away for a moment and returns from the copy.
  void ReturnFromCopy()
  {
    mPlatform.SetStoreDown(true);
    std::this_thread::sleep_for(kAway);
    ChangeStore([](platform_store& aStore) {
      aStore.ReturnFromCopy();
      aStore.SetDown(false);
    });
  }

  void WriteServersAgain()
  {
    ChangeStore([](platform_store& aStore) {
      for (const auto& [kind, name] : aStore.LostWrites()) {
        aStore.WriteLostAgain(kind, name);
      }
    });
  }

  // The revisions of the store go on by some.
  void WriteOtherObjects()
  {
    ChangeStore([](platform_store& aStore) {
      for (int i = 0; i < kOtherWrites; ++i) {
        aStore.Write("other", std::to_string(i), Json::objectValue);
      }
    });
  }

  // Writes a later desired state with a further database.
  void AddDatabase(const std::string& aName, int aVersion)
  {
    ChangeStore([&](platform_store& aStore) {
      Json::Value state = aStore.Spec("config", "main");
      state["Version"] = aVersion;
      Json::Value route = state["Routes"][0];
      route["Name"] = aName;
      route["DbName"] = aName;
      state["Routes"].append(route);
      aStore.Write("config", "main", state);
    });
  }

  bool Serves(const std::string& aInstance, const std::string& aDatabase)
  {
    session_caller session(mFleet.Ports(aInstance).mCallers, kCallTimeout);
    return session.Start(aDatabase).mError.empty();
  }

  bool Write(const std::string& aInstance, const std::string& aItem)
  {
    session_caller session(mFleet.Ports(aInstance).mCallers, kCallTimeout);
    return session.Start("main").mError.empty() &&
           session.Query("WRITE " + aItem + " v").mCompleted;
  }

  // Has the primary leave, and waits until another one serves `aInstance`.
  void ReplacePrimary(const std::string& aInstance, const std::string& aItem)
  {
    const std::string before = mPlatform.Primary();
    mPlatform.Drain(before);
    ASSERT_TRUE(WaitFor(
      [&] { return mPlatform.Primary() != before && Write(aInstance, aItem); },
      kRecoveryTime));
  }

  std::vector<std::string> FenceViolations()
  {
    std::vector<std::string> violations;
    mPlatform.ChangePromotions([&](const promotion_service& aService) {
      violations = aService.Violations();
    });
    return violations;
  }

  platform_standin mPlatform;
  session_fleet mFleet;
};

// Guards against two holders with one fence number: the store has forgotten
// the last claim, and an instance that starts makes it again.
TEST_F(SessionStoreReturnTest, NoFenceNumberIsUsedTwice)
{
  // The first claim is made some time after the start.
  Start("i1");
  ASSERT_TRUE(WaitFor([&] { return mPlatform.DutyHolder() == "i1"; }));
  Start("i2");
  TakeCopy();
  mFleet.At("i1").Kill();
  ASSERT_TRUE(
    WaitFor([&] { return mPlatform.DutyHolder() == "i2"; }, kRecoveryTime));
  ReplacePrimary("i2", "w1");
  ReturnFromCopy();
  WriteServersAgain();
  Start("i1");
  std::this_thread::sleep_for(kClaimTime);
  ReplacePrimary("i2", "w2");
  EXPECT_THAT(FenceViolations(), IsEmpty());
}

// Guards against work at the former primary by an instance that starts after
// the store has forgotten the change.
TEST_F(SessionStoreReturnTest, NoInstanceReadsAtAPrimaryThatWasReplaced)
{
  Start("i1");
  Start("i2");
  ASSERT_TRUE(WaitFor([&] { return Write("i1", "w0"); }));
  const std::string former = mPlatform.Primary();
  TakeCopy();
  mPlatform.Drain(former);
  ASSERT_TRUE(WaitFor([&] { return mPlatform.Primary() != former; }));
  mPlatform.Change([&](line_server_group& aServers, platform_store&) {
    aServers.SetDeaf(former, true);
  });
  ASSERT_TRUE(WaitFor([&] { return Write("i1", "w1"); }));
  ReturnFromCopy();
  Start("i3");
  session_caller session(mFleet.Ports("i3").mCallers, kCallTimeout);
  session.Start("main");
  const auto until = std::chrono::steady_clock::now() + kClaimTime;
  while (std::chrono::steady_clock::now() < until) {
    const session_answer answer = session.Query("READ w1");
    if (answer.mCompleted) {
      ASSERT_EQ(answer.mRow, "v");
    }
    std::this_thread::sleep_for(milliseconds(20));
  }
}

// Guards against a service that stays without its primary, or an acknowledged
// commit that is undone, once the store has forgotten a change.
TEST_F(SessionStoreReturnTest, AForgottenChangeOfPrimaryStays)
{
  Start("i1");
  Start("i2");
  ASSERT_TRUE(WaitFor([&] { return Write("i1", "w0"); }));
  TakeCopy();
  ReplacePrimary("i1", "w1");
  const std::string primary = mPlatform.Primary();
  ReturnFromCopy();
  WriteServersAgain();
  ASSERT_TRUE(WaitFor([&] { return Write("i1", "w2") && Write("i2", "w3"); },
                      kRecoveryTime));
  EXPECT_TRUE(WaitFor(
    [&] {
      bool recorded = false;
      ChangeStore([&](platform_store& aStore) {
        recorded =
          aStore.Spec(kFleetKind,
                      PrimaryRecordName(
                        platform_standin::kService))["primary"] == primary;
      });
      return recorded;
    },
    kRecoveryTime));
  EXPECT_THAT(mPlatform.Items(), Contains(Pair("w1", "v")));
}

// Guards against a desired state that goes back with the store.
TEST_F(SessionStoreReturnTest, NoInstanceGoesBackToAnEarlierDesiredState)
{
  Start("i1");
  Start("i2");
  TakeCopy();
  AddDatabase("extra", 4);
  ASSERT_TRUE(WaitFor([&] { return Serves("i1", "extra"); }));
  ReturnFromCopy();
  const auto until = std::chrono::steady_clock::now() + kClaimTime;
  while (std::chrono::steady_clock::now() < until) {
    ASSERT_TRUE(Serves("i1", "extra"));
    std::this_thread::sleep_for(milliseconds(50));
  }
  WriteServersAgain();
  EXPECT_TRUE(Serves("i1", "extra"));
}

// Guards against an instance that takes a later desired state for an earlier
// one, as its revision is lower than those that were undone.
TEST_F(SessionStoreReturnTest, TakesADesiredStateWithALowerRevision)
{
  Start("i1");
  TakeCopy();
  WriteOtherObjects();
  AddDatabase("extra", 4);
  ASSERT_TRUE(WaitFor([&] { return Serves("i1", "extra"); }));
  ReturnFromCopy();
  WriteServersAgain();
  AddDatabase("more", 5);
  EXPECT_TRUE(WaitFor([&] { return Serves("i1", "more"); }, kRecoveryTime));
}

// Guards against a server entry that is taken for an earlier one, as its
// revision is lower than those that were undone.
TEST_F(SessionStoreReturnTest, SeesServersThatChangeAfterTheReturn)
{
  Start("i1");
  ASSERT_TRUE(WaitFor([&] { return Write("i1", "w0"); }));
  TakeCopy();
  WriteOtherObjects();
  ReplacePrimary("i1", "w1");
  ReturnFromCopy();
  WriteServersAgain();
  ReplacePrimary("i1", "w2");
}

} // namespace
} // namespace snipewalk::standins
