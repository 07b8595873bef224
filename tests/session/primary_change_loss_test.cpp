// Simulated change of the primary with lost, repeated and reordered commands,
// which checks that no acknowledged commit is lost.
#include "session/primary_change_fixture.h"

#include <gtest/gtest.h>

#include <deque>
#include <map>
#include <random>

namespace snipewalk {
namespace {

// Model of a primary whose commits are confirmed by one of two replicas, and of
// a change whose messages are lost, delayed and repeated. If `aPauseAll` is
// false, one replica keeps receiving, which the model must detect as a lost
// commit.
class change_model
{
public:
  change_model(std::uint64_t aSeed, bool aPauseAll)
    : mRandom(aSeed)
    , mPauseAll(aPauseAll)
    , mChange(Plan())
  {
    Queue(mChange.Start(mNow));
  }

  // Returns true if the promoted server lacks an acknowledged commit.
  bool Run()
  {
    for (int step = 0; step < 3'000 && !mChange.IsOver(); ++step) {
      mNow += milliseconds(Draw(20));
      Commit();
      if (!mQueue.empty() && Draw(2) == 0) {
        Deliver();
      }
      Queue(mChange.OnTick(mNow));
    }
    return mCommitLost;
  }

private:
  int Draw(int aBound)
  {
    return static_cast<int>(mRandom() % static_cast<unsigned>(aBound));
  }

  void Commit()
  {
    if (mPromoted) {
      return;
    }
    const std::string replica = Draw(2) == 0 ? "a" : "b";
    const bool receives = mPausedTerm[replica] == 0;
    if (receives) {
      ++mLog;
      mReceived[replica] = mLog;
      mAcknowledged = mLog;
    }
  }

  void Queue(const primary_change::actions& aActions)
  {
    for (const auto& action : aActions) {
      mQueue.push_back(action);
      if (Draw(5) == 0) {
        mQueue.push_back(action);
      }
    }
  }

  void Deliver()
  {
    const auto place = mQueue.begin() + Draw(static_cast<int>(mQueue.size()));
    const change_action action = *place;
    mQueue.erase(place);
    if (Draw(6) == 0) {
      return;
    }
    if (const auto* sent = std::get_if<send_command>(&action)) {
      Execute(*sent);
    } else if (std::holds_alternative<write_primary_record>(action)) {
      Queue(mChange.OnRecordWritten(true, mNow));
    } else if (std::holds_alternative<release_instances>(action)) {
      Queue(mChange.OnInstancesReleased(mNow));
    } else if (const auto* order = std::get_if<order_promotion>(&action)) {
      mPromoted = true;
      mCommitLost = mCommitLost || mReceived[order->mServer] < mAcknowledged;
      Queue(mChange.OnPromoted(promotion_result::Accepted, mNow));
    }
  }

  void Execute(const send_command& aSent)
  {
    if (aSent.mServer == "p") {
      return;
    }
    if (const auto* pause = std::get_if<pause_command>(&aSent.mCommand)) {
      if (mPauseAll || aSent.mServer == "a") {
        mPausedTerm[aSent.mServer] = pause->mTerm;
      }
    } else if (std::holds_alternative<resume_command>(aSent.mCommand)) {
      mPausedTerm[aSent.mServer] = 0;
    }
    server_status status = Status(
      mPromoted && aSent.mServer == mChange.Candidate() ? server_role::Primary
                                                        : server_role::Replica,
      3,
      mReceived[aSent.mServer]);
    Queue(mChange.OnServerStatus(aSent.mServer, aSent.mCommand, status, mNow));
  }

  std::mt19937_64 mRandom;
  bool mPauseAll;
  primary_change mChange;
  time_point mNow = At(0);
  std::deque<change_action> mQueue;
  std::map<std::string, std::uint64_t> mReceived;
  std::map<std::string, std::uint64_t> mPausedTerm;
  std::uint64_t mLog = 0;
  std::uint64_t mAcknowledged = 0;
  bool mPromoted = false;
  bool mCommitLost = false;
};

TEST(PrimaryChangeModelTest, LosesNoAcknowledgedCommit)
{
  for (std::uint64_t seed = 1; seed <= 300; ++seed) {
    EXPECT_FALSE(change_model(seed, true).Run()) << "seed " << seed;
  }
}

TEST(PrimaryChangeModelTest, FindsALossWhenAReplicaKeepsReceiving)
{
  int lost = 0;
  for (std::uint64_t seed = 1; seed <= 300; ++seed) {
    lost += change_model(seed, false).Run() ? 1 : 0;
  }
  EXPECT_GT(lost, 0);
}

} // namespace
} // namespace snipewalk
