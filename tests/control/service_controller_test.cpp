// Tests of the service controller against stand-ins of the platform in the
// same process.
#include "snipewalk/control/service_controller.h"
#include "snipewalk/store/audit_trail.h"
#include "snipewalk/store/store_http_client.h"
#include "snipewalk/version/term_record.h"
#include "standins/backend_service.h"
#include "standins/store_service.h"

#include <gtest/gtest.h>

#include <map>
#include <thread>

namespace snipewalk {
namespace {

constexpr milliseconds kTick{ 20 };
constexpr std::uint64_t kDocumentVersion = 5;

std::string
LocalAddress(std::uint16_t aPort)
{
  return "127.0.0.1:" + std::to_string(aPort);
}

// A server with a loop and a thread of its own, as it takes the loop's rounds.
class server_thread
{
public:
  explicit server_thread(const std::string& aName)
  {
    standins::backend_options options;
    options.mName = aName;
    options.mSetUpDelay = milliseconds(1);
    mService = std::make_unique<standins::backend_service>(mLoop, options);
    mThread = std::thread([this] { mLoop.Run(); });
  }
  // Closes all connections, as the end of a process does.
  ~server_thread()
  {
    mLoop.Stop();
    mThread.join();
    mService.reset();
  }
  server_thread(const server_thread&) = delete;
  server_thread& operator=(const server_thread&) = delete;

  std::uint16_t Port() const { return mService->Port(); }

private:
  event_loop mLoop;
  std::unique_ptr<standins::backend_service> mService;
  std::thread mThread;
};

// Three instances, each with a slot, three servers and the store on one loop.
class ServiceControllerTest : public testing::Test
{
protected:
  struct instance
  {
    std::unique_ptr<store_http_client> mStore;
    std::unique_ptr<audit_trail> mAudit;
    std::unique_ptr<service_controller> mController;
  };

  void SetUp() override
  {
    mStoreService = std::make_unique<standins::store_service>(
      mLoop, standins::store_options{});
    mDocument.mService = "ledger";
    for (const std::string name : { "a", "b", "c" }) {
      AddServer(name);
    }
    for (int i = 0; i < 3; ++i) {
      mSlots.mHolders.push_back({ NameOfInstance(i), 7 });
    }
    for (int i = 0; i < 3; ++i) {
      AddInstance(i);
    }
  }

  static std::string NameOfInstance(int aIndex)
  {
    return "instance-" + std::to_string(aIndex);
  }

  void AddServer(const std::string& aName)
  {
    mServers[aName] = std::make_unique<server_thread>(aName);
    mDocument.mServers.push_back({ aName,
                                   LocalAddress(mServers[aName]->Port()),
                                   "dc",
                                   server_state::Active,
                                   {} });
  }

  void AddInstance(int aIndex)
  {
    instance& added = mInstances[aIndex];
    store_client_options store;
    store.mAddresses = { LocalAddress(mStoreService->Port()) };
    store.mSeed = static_cast<std::uint64_t>(aIndex) + 1;
    added.mStore = std::make_unique<store_http_client>(mLoop, store);
    added.mAudit = std::make_unique<audit_trail>(
      *added.mStore, audit_options{ NameOfInstance(aIndex), 7, 1'000, 1 });
    controller_options options;
    options.mInstance = NameOfInstance(aIndex);
    options.mIncarnation = 7;
    options.mDataCentre = "dc";
    options.mSeed = static_cast<std::uint64_t>(aIndex) + 1;
    controller_callbacks callbacks;
    callbacks.mSendPeer = [this, aIndex](const std::string& aTo,
                                         const control_message& aMessage) {
      SendPeer(aIndex, aTo, aMessage);
    };
    callbacks.mStored = [this](const stored_object& aObject) {
      mLoop.Post([this, aObject] {
        for (auto& [index, other] : mInstances) {
          other.mController->OnTermObject(aObject, mLoop.Now());
        }
      });
    };
    callbacks.mHoldBegins = [this, aIndex](const std::string& aAsker,
                                           const transactions_query& aQuery) {
      ReportTransactions(aIndex, aAsker, aQuery);
    };
    added.mController = std::make_unique<service_controller>(
      mLoop, *added.mStore, *added.mAudit, "ledger", options, callbacks);
    const time_point now = mLoop.Now();
    added.mController->OnDocument(mDocument, kDocumentVersion, now);
    added.mController->OnSlots(mSlots, now);
    std::vector<live_instance> others;
    for (int i = 0; i < 3; ++i) {
      if (i != aIndex) {
        others.push_back({ NameOfInstance(i), "dc" });
      }
    }
    added.mController->OnMembers(others, now);
  }

  void SendPeer(int aFrom,
                const std::string& aTo,
                const control_message& aMessage)
  {
    mLoop.Post([this, aFrom, aTo, aMessage] {
      for (auto& [index, other] : mInstances) {
        if (NameOfInstance(index) != aTo) {
          continue;
        }
        if (const auto* query = std::get_if<transactions_query>(&aMessage)) {
          ReportTransactions(index, NameOfInstance(aFrom), *query);
          continue;
        }
        other.mController->OnPeerMessage(
          NameOfInstance(aFrom), aMessage, mLoop.Now());
      }
    });
  }

  // Answers in the place of the instance's engine.
  void ReportTransactions(int aIndex,
                          const std::string& aAsker,
                          const transactions_query& aQuery)
  {
    const transactions_report report{ aQuery.mService,  aQuery.mServer,
                                      aQuery.mTerm,     aQuery.mQuery,
                                      kDocumentVersion, mOpen[aIndex] };
    mLoop.Post([this, aIndex, aAsker, report] {
      for (auto& [index, other] : mInstances) {
        if (NameOfInstance(index) == aAsker) {
          other.mController->OnPeerMessage(
            NameOfInstance(aIndex), report, mLoop.Now());
        }
      }
    });
  }

  void Tick()
  {
    const auto wallNow = std::chrono::system_clock::now();
    for (auto& [index, one] : mInstances) {
      one.mController->Tick(mLoop.Now(), wallNow);
      one.mAudit->Tick(mLoop.Now());
    }
    if (mStage < mScript.size() && mScript[mStage].mReached()) {
      mScript[mStage].mThen();
      ++mStage;
    }
    if (mStage == mScript.size() || mLoop.Now() > mLimit) {
      mLoop.Stop();
    }
    mLoop.RunAt(mLoop.Now() + kTick, [this](time_point) { Tick(); });
  }

  struct stage
  {
    std::function<bool()> mReached;
    std::function<void()> mThen;
  };

  // Runs the loop through the stages; false when one is not reached in 20 s.
  bool Run(std::vector<stage> aScript)
  {
    mScript = std::move(aScript);
    mLimit = mLoop.Now() + seconds(20);
    Tick();
    mLoop.Run();
    return mStage == mScript.size();
  }

  std::optional<term_record> Term(int aInstance)
  {
    return mInstances[aInstance].mController->Term();
  }

  // All instances agree on a serving primary of at least this term.
  bool IsServing(std::uint64_t aTerm)
  {
    for (int i = 0; i < 3; ++i) {
      const auto term = Term(i);
      if (!term || term->mTerm < aTerm || term->mPhase != term_phase::Stable ||
          mServers.count(term->mPrimary) == 0) {
        return false;
      }
    }
    return true;
  }

  void ChangeDocument()
  {
    for (auto& [index, one] : mInstances) {
      one.mController->OnDocument(mDocument, kDocumentVersion, mLoop.Now());
    }
  }

  event_loop mLoop;
  std::unique_ptr<standins::store_service> mStoreService;
  std::map<std::string, std::unique_ptr<server_thread>> mServers;
  service_document mDocument;
  slot_record mSlots;
  std::map<int, instance> mInstances;
  // Transactions open on the primary, by instance.
  std::map<int, std::uint64_t> mOpen;
  std::vector<stage> mScript;
  std::size_t mStage = 0;
  time_point mLimit;
};

// Guards against a service that never gets its first primary.
TEST_F(ServiceControllerTest, StartsTermOneWithAllStayingVoters)
{
  ASSERT_TRUE(Run({ { [this] { return IsServing(1); }, [] {} } }));
  EXPECT_EQ(Term(0)->mTerm, 1U);
  EXPECT_EQ(Term(0)->mVoters.size(), 3U);
}

// Guards against a killed primary that nobody replaces.
TEST_F(ServiceControllerTest, ReplacesKilledPrimary)
{
  std::string killed;
  time_point before;
  ASSERT_TRUE(Run({ { [this] { return IsServing(1); },
                      [&] {
                        killed = Term(0)->mPrimary;
                        before = mLoop.Now();
                        mServers.erase(killed);
                      } },
                    { [this] { return IsServing(2); }, [] {} } }));
  RecordProperty("gap_ms",
                 static_cast<int>(ToMilliseconds(mLoop.Now() - before)));
  EXPECT_NE(Term(0)->mPrimary, killed);
}

// Guards against a planned change that ends with a server the document wants
// to leave, and against a drain that is never reported complete.
TEST_F(ServiceControllerTest, DrainsLeavingPrimary)
{
  std::string leaving;
  const auto leave = [&] {
    leaving = Term(0)->mPrimary;
    for (auto& server : mDocument.mServers) {
      if (server.mName == leaving) {
        server.mState = server_state::Leaving;
      }
    }
    AddServer("d");
    ChangeDocument();
  };
  const auto drained = [&] {
    const auto status = mInstances[0].mController->DrainStatus();
    return IsServing(2) && status.mServers.size() == 1 &&
           status.mServers[0].mState == drain_state::Complete &&
           Contains(Term(0)->mVoters, "d");
  };
  ASSERT_TRUE(
    Run({ { [this] { return IsServing(1); }, leave }, { drained, [] {} } }));
  EXPECT_NE(Term(0)->mPrimary, leaving);
  EXPECT_FALSE(Contains(Term(0)->mVoters, leaving));
}

// Guards against a planned change that does not ask the other holders for their
// transactions, or does not start once the last one ended.
TEST_F(ServiceControllerTest, WaitsForTransactionsOfAnotherHolder)
{
  const auto leave = [&] {
    mOpen[2] = 1;
    for (auto& server : mDocument.mServers) {
      if (server.mName == Term(0)->mPrimary) {
        server.mState = server_state::Leaving;
      }
    }
    ChangeDocument();
  };
  const auto waits = [&] {
    const auto status = mInstances[0].mController->DrainStatus();
    return status.mServers.size() == 1 &&
           status.mServers[0].mObstacles == std::vector<std::string>{
             "waits at most 31000 ms for open transactions on " +
             Term(0)->mPrimary + ": instance-2 has 1"
           };
  };
  const auto end = [&] {
    EXPECT_EQ(Term(0)->mTerm, 1U);
    mOpen[2] = 0;
  };
  EXPECT_TRUE(Run({ { [this] { return IsServing(1); }, leave },
                    { waits, end },
                    { [this] { return IsServing(2); }, [] {} } }));
}

} // namespace
} // namespace snipewalk
