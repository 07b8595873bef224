// Property test: two engines against a model of three backend servers under
// connection losses, silence, late and duplicate replies, time jumps and
// changes of term that the engines learn at different times. The promises are
// checked at each step.
#include "request/backend_model.h"
#include "request/caller_ledger.h"
#include "snipewalk/request/session_token.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <array>
#include <set>

namespace snipewalk {
namespace {

// The reserve is part of the share.
constexpr int kShare = 4;
constexpr int kReserve = 1;
constexpr int kSessions = 8;
constexpr int kStepsPerSeed = 2'500;
constexpr unsigned kSeeds = 80;

const wall_time kWall{ seconds(1'800'000'000) };

std::vector<session_key>
Keys()
{
  return { { "k", "secret", wall_time{} } };
}

class engine_world : private caller_ledger
{
public:
  explicit engine_world(unsigned aSeed)
    : mModel(aSeed)
    , mRandom(aSeed)
  {
    for (const char* instance : { "i", "j" }) {
      mEngines.push_back(std::make_unique<service_engine>(
        "s", engine_options{ instance, 1, "m", aSeed }));
    }
    for (const char* name : { "a", "b", "c" }) {
      server_entry entry;
      entry.mName = entry.mAddress = name;
      mView.mDocument.mServers.push_back(entry);
      mView.mTerm.mVoters.emplace_back(name);
    }
    mView.mTerm.mTerm = 1;
    mView.mTerm.mPrimary = "a";
    mView.mConnectionShare = kShare - kReserve;
    mView.mConnectionReserve = kReserve;
    mView.mSlots.mHolders = { { "i", 1 }, { "j", 1 } };
    for (int i = 0; i < kSessions; ++i) {
      mCallers.emplace_back();
      mCallers.back().mNumber = i;
    }
    mModel.Follow(1);
    mModel.Follow(2);
    Publish(0);
    Publish(1);
  }

  void Step()
  {
    mNow += std::chrono::microseconds(Random(Random(40) == 0 ? 40'000 : 400));
    Tick();
    const auto choice = Random(40);
    if (choice < 6) {
      Submit(mCallers[Random(kSessions)]);
    } else if (choice == 6 && Random(2) == 0) {
      Disturb();
    } else if (choice > 6 && choice < 12) {
      mModel.Replicate(Random(3));
    } else if (choice == 12) {
      mModel.RunOrphan();
    } else if (choice == 13 && Random(6) == 0) {
      ChangeTerm();
    } else if (choice == 14) {
      mModel.Follow(Random(3));
    } else {
      MoveLink();
    }
  }

  // Heals everything, lets all requests be answered and checks the final log.
  void Finish()
  {
    for (auto& server : mModel.mServers) {
      server.mUp = server.mReachable = true;
    }
    for (int i = 0; i < 12'000; ++i) {
      mNow += milliseconds(1);
      Tick();
      MoveLink();
      mModel.Replicate(Random(3));
      mModel.RunOrphan();
    }
    EXPECT_TRUE(mOpenRequests.empty()) << *mOpenRequests.begin();
    ChangeTerm();
    const auto primary = *mModel.mPrimary;
    CheckLog(mModel, primary);
  }

  using caller_ledger::mCommits;
  std::map<statement_outcome, int> mOutcomes;

private:
  std::size_t Random(std::size_t aBelow) { return mRandom() % aBelow; }

  // Connections of both engines share the model's numbering.
  connection_id Global(connection_id aId) const { return aId * 2 + mActive; }

  void Publish(std::size_t aEngine)
  {
    Handle(aEngine,
           view_changed{ std::make_shared<service_view>(mView), Keys() });
  }

  void Tick()
  {
    // The server closes its side, too, unless it is not reached.
    if (!mEnding.empty() && Random(4) == 0) {
      const auto chosen = std::next(
        mEnding.begin(), static_cast<std::ptrdiff_t>(Random(mEnding.size())));
      const auto id = chosen->first;
      if (!chosen->second.mSilent) {
        mEnding.erase(chosen);
        Handle(id % 2, connection_ended{ id / 2 });
      }
    }
    for (std::size_t i = 0; i < mEngines.size(); ++i) {
      const auto next = mEngines[i]->NextTimer();
      if (next && *next <= mNow) {
        Handle(i, timer_expired{});
      }
      if (mPublishAt[i] && *mPublishAt[i] <= mNow) {
        mPublishAt[i].reset();
        Publish(i);
      }
    }
  }

  void Handle(std::size_t aEngine, const engine_event& aEvent)
  {
    mActive = aEngine;
    std::vector<engine_action> actions;
    mEngines[aEngine]->Handle(aEvent, mNow, kWall, actions);
    for (const auto& action : actions) {
      std::visit([this](const auto& aTyped) { Carry(aTyped); }, action);
    }
    // A server counts connections on until it learns of their end.
    std::map<std::pair<std::size_t, std::size_t>, int> counts;
    for (const auto& [id, link] : mModel.mLinks) {
      EXPECT_LE(++counts[std::pair(link.mServer, id % 2)], kShare);
    }
    for (const auto& [id, ending] : mEnding) {
      EXPECT_LE(++counts[std::pair(ending.mServer, id % 2)], kShare);
    }
  }

  void Carry(const open_connection& aAction)
  {
    model_link link;
    link.mServer = mModel.IndexOf(aAction.mServer.mName);
    EXPECT_TRUE(
      mModel.mLinks.emplace(Global(aAction.mConnection), link).second);
  }

  void Carry(const close_connection& aAction)
  {
    const auto link = mModel.mLinks.find(Global(aAction.mConnection));
    if (link == mModel.mLinks.end()) {
      EXPECT_EQ(mEnding.erase(Global(aAction.mConnection)), 1U);
      return;
    }
    if (aAction.mAwaitEnd) {
      mEnding[link->first] = { link->second.mServer, link->second.mSilent };
    }
    mModel.Close(Global(aAction.mConnection));
    mOutstanding.erase(Global(aAction.mConnection));
  }

  void Carry(const send_request& aAction)
  {
    auto& link = mModel.mLinks.at(Global(aAction.mConnection));
    EXPECT_TRUE(link.mOpen);
    EXPECT_TRUE(mOutstanding.insert(Global(aAction.mConnection)).second)
      << "two requests on one connection";
    link.mToServer = aAction.mRequest;
    link.mArrivedAt = mNow;
    const auto* statement = std::get_if<backend_statement>(&aAction.mRequest);
    if (link.mTransaction && statement) {
      const auto id =
        statement->mRequestId.substr(0, statement->mRequestId.find('.'));
      // The owner is the id that the caller got from this link's begin.
      auto& owner = link.mTransaction->mOwner;
      owner = owner.empty() ? mTransactionOf[id] : owner;
      EXPECT_FALSE(owner.empty()) << "statement outside the transaction";
      EXPECT_EQ(mTransactionOf[id], owner) << "another transaction";
    }
  }

  void Carry(const answer_request& aAction)
  {
    const auto& response = aAction.mResponse;
    EXPECT_EQ(mOpenRequests.erase(response.mRequestId), 1U)
      << "not exactly one answer";
    ++mOutcomes[response.mOutcome];
    EXPECT_EQ(response.mReason == refusal_reason::None,
              response.mOutcome == statement_outcome::Done);
    for (auto& caller : mCallers) {
      if (caller.mWaiting &&
          caller.mWaiting->mRequestId == response.mRequestId) {
        const auto request = *caller.mWaiting;
        caller.mWaiting.reset();
        Answered(caller, request, response, mNow);
      }
    }
  }

  void Carry(const report_evidence&) {}

  void Submit(caller& aCaller)
  {
    if (aCaller.mWaiting) {
      return;
    }
    const auto request = NextRequest(aCaller, mRandom, ++mRequests, mNow);
    mTransactionOf[request.mRequestId] = request.mTransaction;
    mOpenRequests.insert(request.mRequestId);
    aCaller.mWaiting = request;
    // Sessions move between the instances; a transaction stays at its holder.
    const auto engine =
      request.mTransaction.empty() ? Random(2) : aCaller.mHolder;
    aCaller.mHolder = engine;
    Handle(engine, statement_submitted{ request });
  }

  // Moves one message, or establishes or refuses one connection.
  void MoveLink()
  {
    if (mModel.mLinks.empty()) {
      return;
    }
    auto chosen = mModel.mLinks.begin();
    for (int tries = 0; tries < 4; ++tries) {
      chosen = mModel.mLinks.begin();
      std::advance(chosen, Random(mModel.mLinks.size()));
      const auto& tried = chosen->second;
      if (!tried.mOpen || tried.mToServer || !tried.mToCaller.empty()) {
        break;
      }
    }
    const auto id = chosen->first;
    auto& link = chosen->second;
    auto& server = mModel.mServers[link.mServer];
    if (!link.mOpen) {
      link.mOpen = server.mUp;
      if (!link.mOpen) {
        mModel.mLinks.erase(chosen);
        Handle(id % 2, connection_closed{ id / 2, true });
      } else {
        Handle(id % 2, connection_opened{ id / 2 });
      }
    } else if (link.mSilent) {
      return;
    } else if (!link.mToCaller.empty()) {
      const auto reply = link.mToCaller.front();
      link.mToCaller.pop_front();
      mOutstanding.erase(id);
      Handle(id % 2, reply_received{ id / 2, reply });
      // Only statements carry an id by which a duplicate can be told.
      if (!reply.mRequestId.empty() && Random(300) == 0) {
        Handle(id % 2, reply_received{ id / 2, reply });
      }
    } else if (link.mToServer && server.mUp) {
      ServeLink(link);
    }
  }

  void ServeLink(model_link& aLink)
  {
    const auto* statement = std::get_if<backend_statement>(&*aLink.mToServer);
    const auto* wait = std::get_if<backend_wait>(&*aLink.mToServer);
    const auto limit = statement ? statement->mWait
                       : wait    ? wait->mWait
                                 : milliseconds(0);
    auto reply = mModel.Execute(aLink.mServer,
                                *aLink.mToServer,
                                aLink.mTransaction,
                                mNow >= aLink.mArrivedAt + limit);
    if (!reply) {
      return;
    }
    aLink.mToServer.reset();
    aLink.mToCaller.push_back(std::move(*reply));
  }

  void Disturb()
  {
    auto& server = mModel.mServers[Random(3)];
    switch (Random(14)) {
      case 0:
        server.mUp = !server.mUp;
        break;
      case 1:
      case 2:
        server.mReachable = !server.mReachable;
        break;
      case 3:
        mNow += milliseconds(Random(1'500));
        break;
      case 4:
      case 5:
        for (auto& [id, link] : mModel.mLinks) {
          link.mSilent |= link.mOpen && Random(6) == 0;
        }
        break;
      case 6:
      case 7:
        server.mUp = server.mReachable = true;
        break;
      case 8:
        CutOff(Random(2));
        break;
      case 9:
        Handle(Random(mEngines.size()), begins_held{ mView.mTerm.mTerm });
        break;
      default:
        LoseLink();
        break;
    }
  }

  // An engine learns that only another holder reaches the primary, and later
  // that the route works again.
  void CutOff(std::size_t aEngine)
  {
    auto view = mView;
    view.mSuspected = { view.mTerm.mPrimary };
    view.mPrimaryReachedBy = { "k" };
    Handle(aEngine,
           view_changed{ std::make_shared<service_view>(view), Keys() });
    mPublishAt[aEngine] = mNow + milliseconds(1 + Random(500));
  }

  void LoseLink()
  {
    if (mModel.mLinks.empty()) {
      return;
    }
    auto chosen = mModel.mLinks.begin();
    std::advance(chosen, Random(mModel.mLinks.size()));
    const auto id = chosen->first;
    const bool open = chosen->second.mOpen;
    mOutstanding.erase(id);
    mModel.Close(id);
    Handle(id % 2, connection_closed{ id / 2, !open });
  }

  // Elects and publishes at once, or only later.
  void ChangeTerm()
  {
    const auto primary = mModel.Elect();
    if (!primary) {
      return;
    }
    mView.mTerm.mTerm = mModel.mNewestTerm;
    mView.mTerm.mPrimary = mModel.mServers[*primary].mName;
    for (std::size_t i = 0; i < mEngines.size(); ++i) {
      if (Random(2) == 0) {
        auto electing = mView;
        electing.mTerm.mPhase = term_phase::Electing;
        electing.mTerm.mPrimary.clear();
        Handle(
          i, view_changed{ std::make_shared<service_view>(electing), Keys() });
      }
      mPublishAt[i] = mNow + milliseconds(Random(Random(3) == 0 ? 2'000 : 50));
    }
  }

  struct ending_link
  {
    std::size_t mServer = 0;
    bool mSilent = false;
  };

  backend_model mModel;
  // Closed by an engine; the server has not closed them yet.
  std::map<connection_id, ending_link> mEnding;
  std::mt19937 mRandom;
  std::vector<std::unique_ptr<service_engine>> mEngines;
  // Engine whose actions are carried out.
  std::size_t mActive = 0;
  service_view mView;
  time_point mNow{ seconds(1'000) };
  std::array<std::optional<time_point>, 2> mPublishAt;
  int mRequests = 0;
  std::set<std::string> mOpenRequests;
  std::set<connection_id> mOutstanding;
  std::map<std::string, std::string> mTransactionOf;
};

// Guards against lost or repeated effects, false "not run" answers, stale reads
// of a session's own writes, mixed transactions and exceeded shares, over
// 200,000 steps of failures.
TEST(ServiceEnginePropertyTest, KeepsItsPromisesUnderFailures)
{
  std::map<statement_outcome, int> outcomes;
  int commits = 0;
  for (unsigned seed = 1; seed <= kSeeds && !::testing::Test::HasFailure();
       ++seed) {
    SCOPED_TRACE(seed);
    engine_world world(seed);
    for (int i = 0; i < kStepsPerSeed; ++i) {
      world.Step();
    }
    world.Finish();
    for (const auto& [outcome, count] : world.mOutcomes) {
      outcomes[outcome] += count;
    }
    commits += world.mCommits;
  }
  RecordProperty("done", outcomes[statement_outcome::Done]);
  RecordProperty("not_run", outcomes[statement_outcome::NotRun]);
  RecordProperty("unknown", outcomes[statement_outcome::Unknown]);
  RecordProperty("commits", commits);
  // The run is worth nothing when an outcome never occurs.
  EXPECT_GT(outcomes[statement_outcome::Done], 1'000);
  EXPECT_GT(outcomes[statement_outcome::NotRun], 100);
  EXPECT_GT(outcomes[statement_outcome::Unknown], 10);
  EXPECT_GT(commits, 50);
}

} // namespace
} // namespace snipewalk
