// Tests of the admission control of the session engine.
#include "engine_fixture.h"

#include <set>

namespace snipewalk {
namespace {

class EngineAdmissionTest : public SessionEngineTest
{
protected:
  // Opens `aCount` sessions and sends one write on each.
  void Write(int aCount)
  {
    for (int i = 0; i < aCount; ++i) {
      mSessions.push_back(Open("main"));
      SendStatement(mSessions.back(), write_statement{ "item", "data" });
    }
  }

  // Lets the primary execute one write every 20 ms.
  void ExecuteWrites(int aMs)
  {
    for (int ms = 0; ms < aMs; ms += 20) {
      AdvanceClock(20);
      AcceptConnections();
      for (int request = 1; request <= mRequests; ++request) {
        const std::string id = "q" + std::to_string(request);
        const auto connection = ConnectionOf(id);
        if (connection && mServed.insert(id).second) {
          Answer(*connection, Done(static_cast<std::uint64_t>(request)));
          break;
        }
      }
    }
  }

  // Returns the sessions that received an error.
  std::vector<session_id> Refused() const
  {
    std::vector<session_id> refused;
    for (const auto session : mSessions) {
      const auto found = mLinks.mReplies.find(session);
      if (found != mLinks.mReplies.end() && found->second.back().mError) {
        refused.push_back(session);
      }
    }
    return refused;
  }

  std::vector<session_id> mSessions;
  std::set<std::string> mServed;
};

// Guards against callers waiting until their deadline although the queue is
// known to be too long: 50 writes per second are executed and 200 are waiting.
TEST_F(EngineAdmissionTest, RefusesWritesBehindATooLongQueue)
{
  Configure();
  Write(200);
  ExecuteWrites(400);
  const auto refused = Refused();
  EXPECT_GT(refused.size(), 100U);
  EXPECT_LT(refused.size() + mServed.size(), 190U);
  ASSERT_FALSE(refused.empty());
  const auto& reply = LastReply(refused.front());
  EXPECT_EQ(reply.mError, result_code::Busy);
  EXPECT_NE(reply.mErrorText.find("retry_after_ms="), std::string::npos);
}

// Guards against refusing writes that a new primary can execute soon.
TEST_F(EngineAdmissionTest, KeepsWritesDuringAChangeOfPrimary)
{
  Configure();
  Write(5);
  ExecuteWrites(400);
  mEngine.SetPrimary("s", { "p", 0, false }, mNow);
  Write(200);
  AdvanceClock(600);
  EXPECT_TRUE(Refused().empty());
}

} // namespace
} // namespace snipewalk
