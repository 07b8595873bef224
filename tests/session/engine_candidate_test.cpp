// Tests of servers that are being promoted, before the change of primary is
// recorded as done.
#include "session/engine_fixture.h"

namespace snipewalk {
namespace {

// A candidate whose entry says that it leads.
service_primary
Candidate(std::uint64_t aChangeTerm)
{
  service_primary candidate;
  candidate.mServer = "a";
  candidate.mLeadTerm = 2;
  candidate.mHasLed = false;
  candidate.mChangeTerm = aChangeTerm;
  candidate.mReportsToLead = true;
  return candidate;
}

class EngineCandidateTest : public SessionEngineTest
{
protected:
  EngineCandidateTest()
  {
    Configure();
    mEngine.SetPrimary("s", Candidate(3), mNow);
    mReader = Open("main");
    SendStatement(mReader, read_statement{ "1" });
  }
  // Lets the time pass after which the candidate is asked.
  void Wait()
  {
    AdvanceClock(300);
    AcceptConnections();
    AdvanceClock(20);
  }
  bool IsReadSent() const { return LastRequestConnection().has_value(); }

  session_id mReader = 0;
};

// The duty holder was lost before it could record that the candidate leads.
TEST_F(EngineCandidateTest, GetsWorkOnceItSaysThatItLeads)
{
  Wait();
  EXPECT_FALSE(IsReadSent());
  ASSERT_TRUE(AnswerStatus("a", "primary", 3, 9));
  ASSERT_TRUE(IsReadSent());
  EXPECT_EQ(ServerOf(*LastRequestConnection()), "a");
}

// Guards against stale reads: the entry is from an earlier term.
TEST_F(EngineCandidateTest, GetsNoWorkAsAReplica)
{
  Wait();
  ASSERT_TRUE(AnswerStatus("a", "replica", 2, 9));
  AdvanceClock(100);
  EXPECT_FALSE(IsReadSent());
  Wait();
  ASSERT_TRUE(AnswerStatus("a", "primary", 3, 9));
  EXPECT_TRUE(IsReadSent());
}

// Usually the record says soon that the change is done, and nobody is asked.
TEST_F(EngineCandidateTest, IsNotAskedIfTheRecordFollowsSoon)
{
  AdvanceClock(100);
  AcceptConnections();
  EXPECT_FALSE(AnswerStatus("a", "primary", 3, 9));
  mEngine.SetPrimary("s", { "a", 3, true }, mNow);
  AcceptConnections();
  EXPECT_TRUE(IsReadSent());
}

// Guards against stale reads: what the server said in one change of primary
// does not count in the next, of which this instance may have missed others
// between.
TEST_F(EngineCandidateTest, IsAskedAgainInTheNextChange)
{
  Wait();
  ASSERT_TRUE(AnswerStatus("a", "primary", 3, 9));
  ASSERT_TRUE(IsReadSent());
  Answer(*LastRequestConnection(), Done(9));
  AdvanceClock(20);
  mEngine.SetPrimary("s", Candidate(5), mNow);
  SendStatement(mReader, read_statement{ "2" });
  EXPECT_FALSE(IsReadSent());
  // The same record again changes nothing.
  Wait();
  mEngine.SetPrimary("s", Candidate(5), mNow);
  ASSERT_TRUE(AnswerStatus("a", "primary", 5, 9));
  EXPECT_TRUE(IsReadSent());
}

} // namespace
} // namespace snipewalk
