// Tests for the directory of backend servers.
#include "snipewalk/session/server_directory.h"

#include <gtest/gtest.h>

namespace snipewalk {
namespace {

class ServerDirectoryTest : public testing::Test
{
protected:
  static registered_server Entry(const std::string& aId,
                                 const std::string& aService)
  {
    registered_server entry;
    entry.mId = aId;
    entry.mService = aService;
    return entry;
  }

  server_directory mDirectory;
  time_point mNow{ seconds(100) };
};

TEST_F(ServerDirectoryTest, FindsServersByService)
{
  EXPECT_TRUE(mDirectory.Put(Entry("a", "s")));
  EXPECT_TRUE(mDirectory.Put(Entry("b", "t")));
  EXPECT_FALSE(mDirectory.Put(Entry("b", "t")));
  ASSERT_EQ(mDirectory.Present("s").size(), 1U);
  EXPECT_EQ(mDirectory.Present("s")[0].mId, "a");
  EXPECT_TRUE(mDirectory.Present("u").empty());
}

// A server that moves to another service must not remain listed under its old
// one.
TEST_F(ServerDirectoryTest, MovesAServerToItsNewService)
{
  mDirectory.Put(Entry("a", "s"));
  EXPECT_TRUE(mDirectory.Put(Entry("a", "t")));
  EXPECT_TRUE(mDirectory.Present("s").empty());
  EXPECT_EQ(mDirectory.Present("t").size(), 1U);
}

// Entries expire while the store is unavailable; connections to these servers
// must not be closed.
TEST_F(ServerDirectoryTest, KeepsMissingEntriesForAWhile)
{
  mDirectory.Put(Entry("a", "s"));
  mDirectory.MarkMissing("a", mNow);
  EXPECT_FALSE(mDirectory.IsPresent("a"));
  EXPECT_TRUE(mDirectory.Find("a"));
  EXPECT_EQ(mDirectory.Missing("s").size(), 1U);
  EXPECT_TRUE(mDirectory.TakeExpired(mNow + milliseconds(2'000)).empty());
  EXPECT_TRUE(mDirectory.Put(Entry("a", "s")));
  EXPECT_TRUE(mDirectory.TakeExpired(mNow + milliseconds(9'000)).empty());
}

TEST_F(ServerDirectoryTest, RemovesServersThatStayMissing)
{
  mDirectory.Put(Entry("a", "s"));
  mDirectory.MarkMissing("a", mNow);
  // A repeated call does not restart the delay.
  mDirectory.MarkMissing("a", mNow + milliseconds(1'000));
  const auto gone = mDirectory.TakeExpired(mNow + milliseconds(2'300));
  ASSERT_EQ(gone.size(), 1U);
  EXPECT_EQ(gone[0].mId, "a");
  EXPECT_FALSE(mDirectory.Find("a"));
  EXPECT_TRUE(mDirectory.Missing("s").empty());
}

} // namespace
} // namespace snipewalk
