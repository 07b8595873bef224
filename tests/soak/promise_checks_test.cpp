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
  void Write(std::uint64_t aNumber, write_fate aFate)
  {
    mChecks.Begin("k", aNumber);
    mChecks.End("k", aNumber, aFate, mNow);
  }

  promise_checks mChecks;
  time_point mNow{ seconds(100) };
};

TEST_F(PromiseChecksTest, AcceptsAHistoryThatKeepsAllPromises)
{
  Write(1, write_fate::Acknowledged);
  Write(2, write_fate::NotRun);
  Write(3, write_fate::Unknown);
  mChecks.Read("k", 1, "k=3", "primary");
  mChecks.Finish({ { "k", "k=1" } }, { { "k=1", 1 }, { "k=3", 1 } });
  EXPECT_THAT(mChecks.Violations(), IsEmpty());
}

TEST_F(PromiseChecksTest, FindsALostWrite)
{
  Write(1, write_fate::Acknowledged);
  mChecks.Finish({}, {});
  EXPECT_THAT(mChecks.Violations(), ElementsAre(HasSubstr("lost: k")));
}

TEST_F(PromiseChecksTest, FindsAWriteThatWasKeptThoughNotRun)
{
  Write(1, write_fate::NotRun);
  mChecks.Finish({ { "k", "k=1" } }, { { "k=1", 1 } });
  EXPECT_THAT(mChecks.Violations(), ElementsAre(HasSubstr("not run")));
}

TEST_F(PromiseChecksTest, FindsAWriteThatWasCommittedTwice)
{
  Write(1, write_fate::Acknowledged);
  mChecks.Finish({ { "k", "k=1" } }, { { "k=1", 2 } });
  EXPECT_THAT(mChecks.Violations(), ElementsAre(HasSubstr("twice")));
}

TEST_F(PromiseChecksTest, FindsAStaleRead)
{
  Write(1, write_fate::Acknowledged);
  Write(2, write_fate::Acknowledged);
  mChecks.Read("k", 2, "k=1", "primary");
  EXPECT_THAT(mChecks.Violations(), ElementsAre(HasSubstr("stale")));
}

TEST_F(PromiseChecksTest, FindsAnAnswerToAnotherRequest)
{
  mChecks.Read("k", 0, "other=1", "primary");
  EXPECT_THAT(mChecks.Violations(), ElementsAre(HasSubstr("read as other=1")));
}

TEST_F(PromiseChecksTest, KnowsWhatWasAcknowledgedWhen)
{
  Write(1, write_fate::Acknowledged);
  mNow += seconds(1);
  Write(2, write_fate::Acknowledged);
  EXPECT_EQ(mChecks.Acknowledged("k", mNow), 2U);
  EXPECT_EQ(mChecks.Acknowledged("k", mNow - milliseconds(1)), 1U);
  EXPECT_EQ(mChecks.Acknowledged("k", mNow - seconds(2)), 0U);
  EXPECT_EQ(mChecks.Acknowledged("absent", mNow), 0U);
}

} // namespace
} // namespace snipewalk::soak
