// Tests for the session controller: several instances with a shared store, in
// real time.
#include "snipewalk/session/session_controller.h"

#include "session/engine_fixture.h"
#include "session/fake_store.h"

#include <gtest/gtest.h>

#include <memory>

namespace snipewalk {
namespace {

// Decoders for test values: the desired state is a version number, and a server
// entry is a role.
platform_objects
Objects()
{
  platform_objects objects;
  objects.mDesiredStateKind = "config";
  objects.mDesiredStateName = "main";
  objects.mServerKind = "servers";
  objects.mDecodeDesiredState =
    [](const std::string& aValue) -> absl::StatusOr<desired_state> {
    desired_state state;
    state.mVersion = std::stoull(aValue);
    state.mServices["s"] = { 23, 1 };
    return state;
  };
  objects.mDecodeServer =
    [](const std::string& aId,
       const std::string& aValue) -> absl::StatusOr<registered_server> {
    if (aValue == "junk") {
      return absl::InvalidArgumentError("not an entry");
    }
    registered_server entry;
    entry.mId = aId;
    entry.mService = "s";
    entry.mAddress = "10.0.0.1:1";
    entry.mPrimary = aValue == "primary" || aValue == "draining";
    entry.mDraining = aValue == "draining";
    entry.mStarted = aValue == "restarted" ? 2 : 1;
    return entry;
  };
  return objects;
}

class instance;

// Network that delivers datagrams between the instances of a test.
struct network
{
  event_loop& mLoop;
  std::map<std::string, instance*> mInstances;
  // Replies of the servers to control commands; the others do not reply.
  std::map<std::string, server_status> mStatuses = {};
  // Servers whose promotion was ordered.
  std::vector<std::string> mPromoted = {};
};

// Path of one instance to the store, which may refuse all of its calls.
class refusable_store : public store_client
{
public:
  explicit refusable_store(store_client& aStore)
    : mStore(aStore)
  {
  }

  void Submit(store_request aRequest,
              store_priority aPriority,
              reply_handler aOnReply) override
  {
    mStore.Submit(std::move(aRequest),
                  aPriority,
                  [this, onReply = std::move(aOnReply)](
                    const store_reply& aReply, time_point aNow) {
                    store_reply refused;
                    refused.mStatus = store_status::Refused;
                    onReply(mRefuses ? refused : aReply, aNow);
                  });
  }

  bool mRefuses = false;

private:
  store_client& mStore;
};

class instance : public control_links
{
public:
  instance(network& aNetwork, store_client& aStore, const std::string& aName)
    : mNetwork(aNetwork)
    , mName(aName)
    , mStore(aStore)
    , mEngine(session_engine_options{}, mConnections)
    , mController(aNetwork.mLoop,
                  mStore,
                  mEngine,
                  *this,
                  Objects(),
                  { aName, 1, "dc1", aName, milliseconds(5) })
  {
    mNetwork.mInstances[aName] = this;
    mController.Start();
  }

  void RunCommand(const registered_server& aServer,
                  const server_command&,
                  milliseconds,
                  status_handler aOnStatus) override
  {
    ++mCommands;
    if (mHoldsReplies) {
      mHeldReplies.push_back(std::move(aOnStatus));
      return;
    }
    const auto found = mNetwork.mStatuses.find(aServer.mId);
    const auto status = found == mNetwork.mStatuses.end()
                          ? std::nullopt
                          : std::optional(found->second);
    mNetwork.mLoop.Post(
      [this, aOnStatus, status] { aOnStatus(status, mNetwork.mLoop.Now()); });
  }
  void KeepControlConnection(const registered_server&) override {}
  // The commands under way get no reply, not even that of their time limit.
  void CloseControlConnections() override { mHeldReplies.clear(); }
  void OrderPromotion(const order_promotion& aOrder,
                      promotion_authority,
                      promotion_handler) override
  {
    mNetwork.mPromoted.push_back(aOrder.mServer);
  }
  void SendDatagram(const std::string& aAddress,
                    const peer_datagram& aDatagram) override
  {
    mYieldRequests +=
      std::holds_alternative<connection_yield_request>(aDatagram) ? 1 : 0;
    if (const auto* answer = std::get_if<confirmation_answer>(&aDatagram)) {
      mNamedHolder = answer->mDutyHolder;
    }
    const auto to = mNetwork.mInstances.find(aAddress);
    if (to == mNetwork.mInstances.end() || mPartitioned ||
        to->second->mPartitioned) {
      return;
    }
    mNetwork.mLoop.Post([this, receiver = to->second, aDatagram] {
      receiver->mController.OnDatagram(mName, aDatagram, mNetwork.mLoop.Now());
    });
  }

  network& mNetwork;
  std::string mName;
  refusable_store mStore;
  // The instance neither sends nor receives datagrams.
  bool mPartitioned = false;
  // The servers do not reply before the control connections are closed.
  bool mHoldsReplies = false;
  std::vector<status_handler> mHeldReplies;
  // Number of control commands sent.
  int mCommands = 0;
  // Number of connection_yield_request datagrams sent.
  int mYieldRequests = 0;
  // Holder of the duty that the last confirmation sent has named.
  std::string mNamedHolder;
  recorded_links mConnections;
  session_engine mEngine;
  session_controller mController;
};

class SessionControllerTest : public testing::Test
{
protected:
  SessionControllerTest()
    : mNetwork{ mLoop, {} }
    , mStore(mLoop)
  {
    mStore.Write("config", "main", "1");
    mStore.Write("servers", "p", "primary");
    for (const std::string name : { "i1", "i2", "i3" }) {
      mInstances.push_back(std::make_unique<instance>(mNetwork, mStore, name));
    }
  }

  void Run(int aMs)
  {
    const time_point until =
      std::chrono::steady_clock::now() + milliseconds(aMs);
    bool done = false;
    std::function<void(time_point)> tick = [&](time_point aNow) {
      for (const auto& each : mInstances) {
        each->mController.OnTick(aNow);
      }
      if (aNow < until) {
        mLoop.RunAt(aNow + milliseconds(10), tick);
      } else {
        done = true;
      }
    };
    tick(mLoop.Now());
    // Not event_loop::Run(): it returns only after Stop(), which takes effect
    // only once per loop.
    while (!done) {
      mLoop.RunOnce();
    }
  }

  int Holders() const
  {
    int holders = 0;
    for (const auto& each : mInstances) {
      holders += each->mController.HoldsDuty(mLoop.Now()) ? 1 : 0;
    }
    return holders;
  }
  // Empty if no instance holds the duty.
  std::string HolderName() const
  {
    for (const auto& each : mInstances) {
      if (each->mController.HoldsDuty(mLoop.Now())) {
        return each->mName;
      }
    }
    return {};
  }
  // Lets the store refuse all calls of the holder and of one more instance.
  // Returns the name of the instance that it serves.
  std::string RefuseAllButOneThatIsNotTheHolder()
  {
    const std::string holder = HolderName();
    std::string served;
    for (const auto& each : mInstances) {
      const bool serves = each->mName != holder && served.empty();
      each->mStore.mRefuses = !serves;
      served = serves ? each->mName : served;
    }
    return served;
  }
  int Confirmed() const
  {
    int confirmed = 0;
    for (const auto& each : mInstances) {
      const auto age = each->mController.ConfirmationAge(mLoop.Now());
      confirmed +=
        age && *age < session_controller::kConfirmationLifetime ? 1 : 0;
    }
    return confirmed;
  }

  event_loop mLoop;
  network mNetwork;
  fake_store mStore;
  std::vector<std::unique_ptr<instance>> mInstances;
};

TEST_F(SessionControllerTest, ElectsOneHolderAndConfirmsAllInstances)
{
  Run(1'200);
  EXPECT_EQ(Holders(), 1);
  EXPECT_EQ(Confirmed(), 3);
}

// Each registration pauses the fleet watch. An instance that waited for the
// pause before it is confirmed would delay the restart of a whole fleet.
TEST_F(SessionControllerTest, ConfirmsAllInstancesSoonAfterACommonStart)
{
  Run(300);
  EXPECT_EQ(Confirmed(), 3);
}

// The number of store reads must grow more slowly than the fleet: while nothing
// changes, only the duty holder reads.
TEST_F(SessionControllerTest, ReadsTheStoreThroughTheHolder)
{
  Run(1'500);
  const int before = mStore.mCalls;
  Run(2'100);
  // The holder makes two calls every 700 ms.
  EXPECT_LE(mStore.mCalls - before, 8);
  EXPECT_EQ(Confirmed(), 3);
}

// All servers register at once, and each entry would complete the watches of
// all instances.
TEST_F(SessionControllerTest, BatchesTheFirstEntriesOfServers)
{
  Run(1'500);
  const int before = mStore.mCalls;
  for (int i = 0; i < 20; ++i) {
    mStore.Write("servers", "r" + std::to_string(i), "replica");
    Run(20);
  }
  Run(600);
  // Three instances, about two batches, plus the holder's reads.
  EXPECT_LE(mStore.mCalls - before, 18);
}

// Instances that the store refuses are confirmed by other instances.
TEST_F(SessionControllerTest, KeepsServingWhenOnlyTheHolderReachesTheStore)
{
  Run(1'500);
  ASSERT_EQ(Holders(), 1);
  EXPECT_EQ(Confirmed(), 3);
}

// A watch that misses a change hides the new desired state until its timeout,
// and fleet records may be written after that change.
TEST_F(SessionControllerTest, FindsADesiredStateThatTheWatchesMissed)
{
  Run(1'500);
  mStore.mWatchesMissChanges = true;
  mStore.Write("config", "main", "2");
  mStore.Write(
    kFleetKind,
    "instance.other",
    EncodeFleetRecord(instance_record{ "other", "dc1", "nowhere", 1 }));
  Run(2'000);
  for (const auto& each : mInstances) {
    EXPECT_EQ(each->mController.DesiredVersion(), 2U) << each->mName;
  }
}

// A server that leaves must be known to all instances within the time in which
// it is drained, also if no watch reports its change.
TEST_F(SessionControllerTest, FindsAServerThatTheWatchesMissed)
{
  Run(1'500);
  mStore.mWatchesMissChanges = true;
  mStore.Write("servers", "q", "replica");
  Run(3'500);
  for (const auto& each : mInstances) {
    EXPECT_EQ(each->mController.ServerCount(), 2U) << each->mName;
  }
}

TEST_F(SessionControllerTest, FindsAMissedServerWithoutOtherInstances)
{
  Run(1'500);
  for (const auto& each : mInstances) {
    each->mPartitioned = true;
  }
  mStore.mWatchesMissChanges = true;
  mStore.Write("servers", "q", "replica");
  Run(3'500);
  for (const auto& each : mInstances) {
    EXPECT_EQ(each->mController.ServerCount(), 2U) << each->mName;
  }
}

// A desired state missed by all watches must be found even if the instances
// cannot reach each other.
TEST_F(SessionControllerTest, FindsAMissedDesiredStateWithoutOtherInstances)
{
  Run(1'500);
  for (const auto& each : mInstances) {
    each->mPartitioned = true;
  }
  mStore.mWatchesMissChanges = true;
  mStore.Write("config", "main", "2");
  mStore.Write(
    kFleetKind,
    "instance.other",
    EncodeFleetRecord(instance_record{ "other", "dc1", "nowhere", 1 }));
  Run(2'600);
  for (const auto& each : mInstances) {
    EXPECT_EQ(each->mController.DesiredVersion(), 2U) << each->mName;
  }
}

TEST_F(SessionControllerTest, StopsConfirmingWhenTheStoreIsAway)
{
  Run(1'500);
  mStore.mRefusesCalls = true;
  Run(static_cast<int>(session_controller::kConfirmationLifetime.count()) +
      300);
  EXPECT_EQ(Confirmed(), 0);
  EXPECT_EQ(Holders(), 0);
}

// The store turns the holder and one more instance away, and the third takes
// over. The other two still reach it: they must be confirmed by it, and must
// not be taken for gone because their reports went to the former holder.
TEST_F(SessionControllerTest, InstancesThatTheStoreRefusesFindTheNewHolder)
{
  Run(1'500);
  const std::string next = RefuseAllButOneThatIsNotTheHolder();
  Run(9'000);
  EXPECT_EQ(HolderName(), next);
  EXPECT_EQ(Confirmed(), 3);
  for (const auto& each : mInstances) {
    const std::string name = InstanceRecordName(each->mName);
    const auto record = DecodeFleetRecord(name, mStore.Value(kFleetKind, name));
    ASSERT_TRUE(record.ok());
    EXPECT_EQ(std::get<instance_record>(*record).mState, instance_state::Live)
      << each->mName;
  }
}

// An instance that the store refuses last read the former holder. Instances
// that it confirms would go on reporting to that one, and be marked as gone.
TEST_F(SessionControllerTest, RefusedInstancesNameTheHolderThatConfirmedThem)
{
  Run(1'500);
  const std::string next = RefuseAllButOneThatIsNotTheHolder();
  Run(6'500);
  ASSERT_EQ(HolderName(), next);
  for (const auto& each : mInstances) {
    each->mController.OnDatagram(
      "asking", confirmation_request{ "asking", 1, 1, 0 }, mLoop.Now());
    EXPECT_EQ(each->mNamedHolder, next) << each->mName;
  }
}

TEST_F(SessionControllerTest, OnlyTheHolderAsksOthersToYieldConnections)
{
  Run(1'500);
  ASSERT_EQ(Holders(), 1);
  const std::string holder = HolderName();
  for (const auto& each : mInstances) {
    // Repeated refusals are one request.
    each->mController.OnControlConnectionRefused("p", mLoop.Now());
    each->mController.OnControlConnectionRefused("p", mLoop.Now());
    EXPECT_EQ(each->mYieldRequests, each->mName == holder ? 2 : 0);
  }
}

// An instance that replaces the holder waits before it uses the duty, so the
// duty must not move merely because the store was away for all instances.
TEST_F(SessionControllerTest, TheHolderRegainsTheDutyAfterAnOutageOfTheStore)
{
  Run(1'500);
  ASSERT_EQ(Holders(), 1);
  const std::string holder = HolderName();
  mStore.mRefusesCalls = true;
  Run(4'000);
  ASSERT_EQ(Holders(), 0);
  mStore.mRefusesCalls = false;
  Run(1'500);
  EXPECT_EQ(HolderName(), holder);
}

// A probe that ends with the duty is never answered. The next one must not wait
// for it: without probes, no change of a primary that is alive begins once a
// replica has left.
TEST_F(SessionControllerTest, ProbesAgainAfterTheDutyWasLostDuringAProbe)
{
  mStore.Write("servers", "r", "replica");
  Run(1'500);
  ASSERT_EQ(Holders(), 1);
  const std::string name = HolderName();
  instance& holder = *mNetwork.mInstances.at(name);
  holder.mHoldsReplies = true;
  mStore.Write("servers", "r", "restarted");
  Run(300);
  ASSERT_EQ(holder.mHeldReplies.size(), 1U);
  mStore.mRefusesCalls = true;
  Run(4'000);
  ASSERT_EQ(Holders(), 0);
  ASSERT_TRUE(holder.mHeldReplies.empty());
  mStore.mRefusesCalls = false;
  const int before = holder.mCommands;
  Run(2'500);
  ASSERT_EQ(HolderName(), name);
  EXPECT_GT(holder.mCommands, before);
}

// Entries that expired during an outage of the store reappear one by one within
// two seconds. A process that starts in that time knows only some of the
// servers at first, and the others may have the only copies of acknowledged
// commits.
TEST_F(SessionControllerTest, ReplacesAPrimaryOnlyOnceTheEntriesHaveReappeared)
{
  const auto replica = [](std::uint64_t aNumber) {
    return server_status{ server_role::Replica, 2, { 2, aNumber }, {} };
  };
  mNetwork.mStatuses = { { "behind", replica(509) },
                         { "newest", replica(612) } };
  mStore.Write("servers", "p", "draining");
  mStore.Write("servers", "behind", "replica");
  Run(1'600);
  mStore.Write("servers", "newest", "replica");
  // The processes are too young for a proof, so the old primary is waited for.
  Run(3'000);
  EXPECT_TRUE(mNetwork.mPromoted.empty());
  Run(10'500);
  ASSERT_FALSE(mNetwork.mPromoted.empty());
  EXPECT_EQ(mNetwork.mPromoted.front(), "newest");
}

// Guards against a holder that goes on with a change after another one has
// carried out a change of its own.
TEST_F(SessionControllerTest, ReplacesNoRecordOfAnotherHolder)
{
  mNetwork.mStatuses = { { "a", { server_role::Replica, 2, { 2, 509 }, {} } } };
  mStore.Write("servers", "a", "replica");
  Run(1'600);
  // The change waits for the old primary, which does not answer.
  mStore.Write("servers", "p", "draining");
  Run(3'000);
  ASSERT_EQ(HolderName().empty(), false);
  const primary_record other{ "s", "b", 9, 9, primary_phase::Stable, 1'000 };
  const std::string record = PrimaryRecordName("s");
  ASSERT_NE(mStore.Value(kFleetKind, record), "");
  mStore.Write(kFleetKind, record, EncodeFleetRecord(other));
  Run(9'000);
  EXPECT_TRUE(mNetwork.mPromoted.empty());
  EXPECT_EQ(mStore.Value(kFleetKind, record), EncodeFleetRecord(other));
}

// A replica whose entry cannot be read any more may have the only copies of
// acknowledged commits, like one that has left.
TEST_F(SessionControllerTest, MissesAReplicaWhoseEntryIsNotReadable)
{
  mNetwork.mStatuses = { { "a", { server_role::Replica, 2, { 2, 509 }, {} } } };
  mStore.Write("servers", "a", "replica");
  mStore.Write("servers", "b", "replica");
  // From now on the holder knows all replicas.
  Run(13'000);
  mStore.Write("servers", "b", "junk");
  Run(3'000);
  mStore.Write("servers", "p", "draining");
  Run(3'000);
  EXPECT_TRUE(mNetwork.mPromoted.empty());
}

// Guards against a service that never gets a primary again: the recorded one
// had left before any instance held the duty.
TEST_F(SessionControllerTest, ReplacesARecordedPrimaryThatIsNotThere)
{
  mNetwork.mStatuses = { { "p", { server_role::Replica, 2, { 2, 509 }, {} } } };
  mStore.Write(kFleetKind,
               PrimaryRecordName("s"),
               EncodeFleetRecord(primary_record{
                 "s", "gone", 2, 1, primary_phase::Stable, 0 }));
  Run(17'000);
  ASSERT_FALSE(mNetwork.mPromoted.empty());
  EXPECT_EQ(mNetwork.mPromoted.front(), "p");
}

} // namespace
} // namespace snipewalk
