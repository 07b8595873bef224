// Fixture for tests of the session controller: several instances with a shared
// store, in real time.
#ifndef SNIPEWALK_TESTS_SESSION_CONTROLLER_FIXTURE_H_
#define SNIPEWALK_TESTS_SESSION_CONTROLLER_FIXTURE_H_

#include "session/engine_fixture.h"
#include "session/fake_store.h"
#include "snipewalk/session/session_controller.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <vector>

namespace snipewalk {

// First version of the desired state with a client account, "ann".
inline constexpr std::uint64_t kVersionWithAccount = 100;

// Decoders for test values: the desired state is a version number, and a server
// entry is a role.
inline platform_objects
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
    database_route route;
    route.mName = "r";
    route.mDatabase = "main";
    route.mService = "s";
    route.mStatementTimeout = milliseconds(30'000);
    state.mRoutes["main"] = route;
    if (state.mVersion >= kVersionWithAccount) {
      findings found;
      state.mAccounts =
        std::make_shared<account_directory>(account_directory::Build(
          { { "ann", { "k-ann" }, 0, rate_limit{ 10, 10 } } }, found));
    }
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
  refusable_store(event_loop& aLoop, store_client& aStore)
    : mLoop(aLoop)
    , mStore(aStore)
  {
  }

  store_call_id Submit(store_request aRequest,
                       store_priority aPriority,
                       reply_handler aOnReply) override
  {
    if (mRefuses) {
      mLoop.Post([this, onReply = std::move(aOnReply)] {
        onReply(Refused(), mLoop.Now());
      });
      return kRefusedCall;
    }
    return mStore.Submit(std::move(aRequest),
                         aPriority,
                         [this, onReply = std::move(aOnReply)](
                           const store_reply& aReply, time_point aNow) {
                           // The path was lost while the call was under way.
                           const store_reply reply =
                             mRefuses ? Refused() : aReply;
                           if (mHoldsReplies) {
                             mHeldReplies.emplace_back(onReply, reply);
                           } else {
                             onReply(reply, aNow);
                           }
                         });
  }
  void Cancel(store_call_id aCall) override
  {
    if (aCall != kRefusedCall) {
      mStore.Cancel(aCall);
    }
  }
  // Delivers the replies that were held.
  void Release(time_point aNow)
  {
    mHoldsReplies = false;
    for (const auto& [onReply, reply] : std::exchange(mHeldReplies, {})) {
      onReply(reply, aNow);
    }
  }

  bool mRefuses = false;
  // Replies are on their way until Release() is called.
  bool mHoldsReplies = false;

private:
  // Not an id of the store's.
  static constexpr store_call_id kRefusedCall = ~store_call_id{ 0 };

  static store_reply Refused()
  {
    store_reply refused;
    refused.mStatus = store_status::Refused;
    return refused;
  }

  event_loop& mLoop;
  store_client& mStore;
  std::vector<std::pair<reply_handler, store_reply>> mHeldReplies;
};

class instance : public control_links
{
public:
  instance(network& aNetwork, store_client& aStore, const std::string& aName)
    : mNetwork(aNetwork)
    , mName(aName)
    , mStore(aNetwork.mLoop, aStore)
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
    if (std::holds_alternative<release_request>(aDatagram)) {
      mAskedToRelease.insert(aAddress);
    }
    mGrants += std::holds_alternative<allowance_grant>(aDatagram) ? 1 : 0;
    if (const auto* answer = std::get_if<confirmation_answer>(&aDatagram)) {
      mNamedHolder = answer->mDutyHolder;
      mConfirmsRequester = answer->mRequesterRegistered;
      mLastAnswer = *answer;
    }
    const auto to = mNetwork.mInstances.find(aAddress);
    if (to == mNetwork.mInstances.end() || mPartitioned ||
        to->second->mPartitioned) {
      return;
    }
    mNetwork.mLoop.Post([this, receiver = to->second, aDatagram] {
      if (!receiver->mPaused) {
        receiver->mController.OnDatagram(
          mName, aDatagram, mNetwork.mLoop.Now());
      }
    });
  }

  void RequestDesiredState(const std::string& aPeerAddress) override
  {
    const auto to = mNetwork.mInstances.find(aPeerAddress);
    if (to == mNetwork.mInstances.end() || mPartitioned ||
        to->second->mPartitioned) {
      return;
    }
    mNetwork.mLoop.Post([this, asked = to->second] {
      mController.AdoptDesiredState(asked->mController.DesiredState(),
                                    mNetwork.mLoop.Now());
    });
  }

  // Opens a session of the database "main", whose reads need the primary, and
  // sends a read.
  void SendRead(const std::string& aItem)
  {
    const time_point now = mNetwork.mLoop.Now();
    mEngine.OnCallerMessage(++mLastSession, open_session{ "main" }, now);
    mEngine.OnCallerMessage(
      mLastSession, statement_message{ aItem, read_statement{ aItem } }, now);
  }
  // Lets the servers accept the connections that are being opened.
  void AcceptConnections()
  {
    const std::size_t known = mAccepted.size();
    for (const auto& [id, connection] : mConnections.mServers) {
      if (!connection.mClosed && mAccepted.insert(id).second) {
        mEngine.OnServerReply(id, {}, mNetwork.mLoop.Now());
        break;
      }
    }
    if (mAccepted.size() > known) {
      AcceptConnections();
    }
  }
  // Server that a read was sent to; empty if it still waits.
  std::string ServerOfRead(const std::string& aItem) const
  {
    for (const auto& [id, connection] : mConnections.mServers) {
      for (const auto& command : connection.mCommands) {
        const auto* sent = std::get_if<statement_command>(&command);
        if (sent != nullptr && sent->mRequestId == aItem) {
          return connection.mServer;
        }
      }
    }
    return {};
  }

  network& mNetwork;
  std::string mName;
  refusable_store mStore;
  // The instance neither sends nor receives datagrams.
  bool mPartitioned = false;
  // The process stands still: no ticks, and datagrams to it are lost.
  bool mPaused = false;
  // The servers do not reply before the control connections are closed.
  bool mHoldsReplies = false;
  std::vector<status_handler> mHeldReplies;
  // Number of control commands sent.
  int mCommands = 0;
  // Number of connection_yield_request datagrams sent.
  int mYieldRequests = 0;
  // Number of allowance_grant datagrams sent.
  int mGrants = 0;
  // Addresses that were asked to release a primary.
  std::set<std::string> mAskedToRelease;
  // Holder of the duty that the last confirmation sent has named.
  std::string mNamedHolder;
  // The last confirmation sent.
  confirmation_answer mLastAnswer;
  // Whether the last confirmation sent holds for the instance that asked.
  bool mConfirmsRequester = false;
  session_id mLastSession = 0;
  std::set<server_connection_id> mAccepted;
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
        if (!each->mPaused) {
          each->mController.OnTick(aNow);
        }
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
  bool IsConfirmed(const instance& aInstance) const
  {
    const auto age = aInstance.mController.ConfirmationAge(mLoop.Now());
    return age && *age < session_controller::kConfirmationLifetime;
  }
  int Confirmed() const
  {
    return static_cast<int>(std::count_if(
      mInstances.begin(), mInstances.end(), [this](const auto& aEach) {
        return IsConfirmed(*aEach);
      }));
  }
  // Instances that do not hold the duty.
  std::vector<instance*> Others() const
  {
    std::vector<instance*> others;
    for (const auto& each : mInstances) {
      if (each->mName != HolderName()) {
        others.push_back(each.get());
      }
    }
    return others;
  }
  // State of an instance in its record in the store.
  instance_state RecordedState(const std::string& aInstance) const
  {
    const std::string name = InstanceRecordName(aInstance);
    const auto record = DecodeFleetRecord(name, mStore.Value(kFleetKind, name));
    return std::get<instance_record>(record.value()).mState;
  }

  event_loop mLoop;
  network mNetwork;
  fake_store mStore;
  std::vector<std::unique_ptr<instance>> mInstances;
};

} // namespace snipewalk

#endif // SNIPEWALK_TESTS_SESSION_CONTROLLER_FIXTURE_H_
