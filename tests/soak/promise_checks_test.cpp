// Tests that the soak run's checks detect each kind of violation.
#include "soak/promise_checks.h"

#include <gmock/gmock.h>
#include <gtest/gtest.h>

namespace snipewalk::soak {
namespace {

using testing::ElementsAre;
using testing::HasSubstr;
using testing::IsEmpty;

class PromiseChecksTest : public testing::Test
{
protected:
  void Write(std::uint64_t aNumber, write_outcome aOutcome)
  {
    mChecks.BeginWrite("k", aNumber);
    mChecks.EndWrite("k", aNumber, aOutcome, mNow);
  }

  promise_checks mChecks;
  time_point mNow{ seconds(100) };
};

TEST_F(PromiseChecksTest, AcceptsAHistoryThatKeepsAllPromises)
{
  Write(1, write_outcome::Acknowledged);
  Write(2, write_outcome::NotRun);
  Write(3, write_outcome::Unknown);
  mChecks.CheckRead("k", 1, "k=3", "primary");
  mChecks.CheckFinalState({ { "k", "k=1" } }, { { "k=1", 1 }, { "k=3", 1 } });
  EXPECT_THAT(mChecks.Violations(), IsEmpty());
}

TEST_F(PromiseChecksTest, FindsALostWrite)
{
  Write(1, write_outcome::Acknowledged);
  mChecks.CheckFinalState({}, {});
  EXPECT_THAT(mChecks.Violations(), ElementsAre(HasSubstr("lost: k")));
}

TEST_F(PromiseChecksTest, FindsALostWriteThatWasOverwritten)
{
  Write(1, write_outcome::Acknowledged);
  Write(2, write_outcome::Acknowledged);
  mChecks.CheckLog({ "k=1", "k=2" });
  EXPECT_THAT(mChecks.Violations(), IsEmpty());
  mChecks.CheckLog({ "k=2" });
  EXPECT_THAT(mChecks.Violations(), ElementsAre(HasSubstr("lost: k=1")));
}

TEST_F(PromiseChecksTest, FindsAWriteThatWasKeptThoughNotRun)
{
  Write(1, write_outcome::NotRun);
  mChecks.CheckFinalState({ { "k", "k=1" } }, { { "k=1", 1 } });
  EXPECT_THAT(mChecks.Violations(), ElementsAre(HasSubstr("not run")));
}

TEST_F(PromiseChecksTest, FindsAWriteThatWasCommittedTwice)
{
  Write(1, write_outcome::Acknowledged);
  mChecks.CheckFinalState({ { "k", "k=1" } }, { { "k=1", 2 } });
  EXPECT_THAT(mChecks.Violations(), ElementsAre(HasSubstr("twice")));
}

TEST_F(PromiseChecksTest, FindsAStaleRead)
{
  Write(1, write_outcome::Acknowledged);
  Write(2, write_outcome::Acknowledged);
  mChecks.CheckRead("k", 2, "k=1", "primary");
  EXPECT_THAT(mChecks.Violations(), ElementsAre(HasSubstr("stale")));
}

TEST_F(PromiseChecksTest, FindsAnAnswerToAnotherRequest)
{
  mChecks.CheckRead("k", 0, "other=1", "primary");
  EXPECT_THAT(mChecks.Violations(), ElementsAre(HasSubstr("read as other=1")));
}

TEST_F(PromiseChecksTest, KnowsWhatWasAcknowledgedWhen)
{
  Write(1, write_outcome::Acknowledged);
  mNow += seconds(1);
  Write(2, write_outcome::Acknowledged);
  EXPECT_EQ(mChecks.Acknowledged("k", mNow), 2U);
  EXPECT_EQ(mChecks.Acknowledged("k", mNow - milliseconds(1)), 1U);
  EXPECT_EQ(mChecks.Acknowledged("k", mNow - seconds(2)), 0U);
  EXPECT_EQ(mChecks.Acknowledged("absent", mNow), 0U);
}

TEST_F(PromiseChecksTest, FindsWhatRanOtherwiseThanItWasSent)
{
  const standins::session_setup setup{ { { "lang", "mn" } },
                                       { { "s1", "READ q1 READ my" } } };
  mChecks.BeginStatement("c1", "EXECUTE s1 7", setup);
  mChecks.CheckExecuted(
    { { "c1", "EXECUTE s4 7", "READ q1 READ my", { { "lang", "mn" } } } });
  EXPECT_THAT(mChecks.Violations(), IsEmpty());
  mChecks.CheckExecuted(
    { { "c1", "EXECUTE r_q1 READ my 7", "READ q1", { { "lang", "mn" } } },
      { "c1", "EXECUTE s4 7", "READ q1", { { "lang", "mn" } } },
      { "c1", "EXECUTE s4 7", "READ q1 READ my", {} },
      { "c2", "READ 7", "", {} } });
  EXPECT_THAT(mChecks.Violations(),
              ElementsAre(HasSubstr("sent"),
                          HasSubstr("prepared"),
                          HasSubstr("other values"),
                          HasSubstr("nobody sent")));
}

} // namespace
} // namespace snipewalk::soak
