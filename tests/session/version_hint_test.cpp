// Tests for the newest version seen by other instances.
#include "snipewalk/session/version_hint.h"

#include <gtest/gtest.h>

namespace snipewalk {
namespace {

constexpr time_point kStart{ seconds(100) };

TEST(VersionHintTest, KeepsTheNewestVersion)
{
  version_hint hint;
  hint.Note(7);
  hint.Note(5);
  EXPECT_EQ(hint.Version(), 7U);
}

TEST(VersionHintTest, RestartsTheWatchUntilTheVersionIsSeen)
{
  version_hint hint;
  hint.Compare(false, kStart);
  const time_point due = kStart + version_hint::kRestartInterval;
  EXPECT_FALSE(hint.TakeRestart(due - milliseconds(1)));
  EXPECT_TRUE(hint.TakeRestart(due));
  EXPECT_FALSE(hint.TakeRestart(due));
  hint.Compare(false, due);
  EXPECT_TRUE(hint.TakeRestart(due + version_hint::kRestartInterval));
  hint.Compare(true, due + version_hint::kRestartInterval);
  EXPECT_FALSE(hint.TakeRestart(due + seconds(10)));
}

TEST(VersionHintTest, CountsTheTimeFromTheFirstVersionThatWasMissed)
{
  version_hint hint;
  hint.Note(1);
  hint.Compare(false, kStart);
  hint.Note(2);
  hint.Compare(false, kStart + seconds(1));
  hint.TakeRestart(kStart + seconds(1));
  EXPECT_EQ(hint.BehindFor(kStart + seconds(2)), seconds(2));
  hint.Compare(true, kStart + seconds(2));
  EXPECT_EQ(hint.BehindFor(kStart + seconds(3)), duration(0));
}

TEST(VersionHintTest, AsksAnotherInstanceAfterTheWatchHadItsTime)
{
  version_hint hint;
  hint.Compare(false, kStart);
  const time_point due = kStart + version_hint::kRequestInterval;
  EXPECT_FALSE(hint.TakeRequest(due - milliseconds(1)));
  EXPECT_TRUE(hint.TakeRequest(due));
  EXPECT_FALSE(hint.TakeRequest(due + milliseconds(1)));
  EXPECT_TRUE(hint.TakeRequest(due + version_hint::kRequestInterval));
  hint.Compare(true, due + version_hint::kRequestInterval);
  EXPECT_FALSE(hint.TakeRequest(due + seconds(10)));
}

} // namespace
} // namespace snipewalk
