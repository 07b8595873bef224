// Tests of the search for a log with acknowledged commits.
#include "snipewalk/session/lost_log_search.h"

#include <gtest/gtest.h>

namespace snipewalk {
namespace {

time_point
At(int aSeconds)
{
  return time_point() + seconds(1'000 + aSeconds);
}

// Searches in each second of a range.
void
Search(lost_log_search& aSearch, int aFrom, int aTo)
{
  for (int second = aFrom; second <= aTo; ++second) {
    aSearch.OnMissing(At(second));
  }
}

TEST(LostLogSearchTest, GivesALogUpAfterItsTimeout)
{
  lost_log_search search;
  EXPECT_FALSE(search.IsLost(At(0)));
  Search(search, 0, 29);
  EXPECT_FALSE(search.IsLost(At(29)));
  EXPECT_TRUE(search.IsLost(At(30)));
}

// Guards against commits that are given up at once because another log was
// missing long before: the primary has returned in between.
TEST(LostLogSearchTest, BeginsAnewAfterABreak)
{
  lost_log_search search;
  Search(search, 0, 10);
  EXPECT_FALSE(search.IsLost(At(40)));
  Search(search, 40, 69);
  EXPECT_FALSE(search.IsLost(At(69)));
  EXPECT_TRUE(search.IsLost(At(70)));
}

TEST(LostLogSearchTest, BeginsAnewAfterAChangeWasDone)
{
  lost_log_search search;
  Search(search, 0, 29);
  search.Reset();
  Search(search, 30, 31);
  EXPECT_FALSE(search.IsLost(At(32)));
}

} // namespace
} // namespace snipewalk
