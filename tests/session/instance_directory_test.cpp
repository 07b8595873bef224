// Tests for the directory of instances.
#include "snipewalk/session/instance_directory.h"

#include <gtest/gtest.h>

namespace snipewalk {
namespace {

class InstanceDirectoryTest : public testing::Test
{
protected:
  static instance_record Record(const std::string& aName,
                                instance_state aState = instance_state::Live)
  {
    return { aName, "dc1", "10.0.0.1:7440", 5, aState };
  }

  instance_directory mDirectory;
  time_point mNow{ seconds(100) };
};

// The store and other instances tell the same records, not always in order.
TEST_F(InstanceDirectoryTest, KeepsTheNewestRecord)
{
  EXPECT_TRUE(mDirectory.Put(Record("a", instance_state::Gone), 7, mNow));
  EXPECT_FALSE(mDirectory.Put(Record("a"), 6, mNow));
  EXPECT_FALSE(mDirectory.Put(Record("a"), 7, mNow));
  ASSERT_NE(mDirectory.Find("a"), nullptr);
  EXPECT_EQ(mDirectory.Find("a")->mVersion, 7U);
  EXPECT_FALSE(mDirectory.IsLive("a", 5, 0));
  EXPECT_TRUE(mDirectory.Put(Record("a"), 8, mNow));
  EXPECT_TRUE(mDirectory.IsLive("a", 5, 0));
}

// Another process of an instance is not registered by its predecessor.
TEST_F(InstanceDirectoryTest, TellsProcessesOfAnInstanceApart)
{
  mDirectory.Put(Record("a"), 7, mNow);
  EXPECT_TRUE(mDirectory.IsLive("a", 5, 0));
  EXPECT_FALSE(mDirectory.IsLive("a", 4, 0));
  EXPECT_FALSE(mDirectory.IsLive("b", 5, 0));
}

TEST_F(InstanceDirectoryTest, ReturnsWhatChangedSinceARevision)
{
  mDirectory.Put(Record("a"), 7, mNow);
  mDirectory.Put(Record("b"), 8, mNow);
  mDirectory.Put(Record("c"), 9, mNow);
  mDirectory.Put(Record("a", instance_state::Gone), 10, mNow);
  const auto changed = mDirectory.ChangedSince(8, 10);
  ASSERT_EQ(changed.size(), 2U);
  EXPECT_EQ(changed[0].mRecord.mName, "c");
  EXPECT_EQ(changed[1].mRecord, Record("a", instance_state::Gone));
  EXPECT_EQ(changed[1].mVersion, 10U);
  EXPECT_TRUE(mDirectory.ChangedSince(10, 10).empty());
}

// The time since an instance has been gone begins with its newest record, as it
// may have been live between two that state this.
TEST_F(InstanceDirectoryTest, CountsTheTimeSinceTheNewestMark)
{
  mDirectory.Put(Record("a", instance_state::Gone), 7, mNow);
  mDirectory.Put(Record("a", instance_state::Gone), 7, mNow + seconds(1));
  EXPECT_EQ(mDirectory.Find("a")->mGoneSince, mNow);
  mDirectory.Put(Record("a", instance_state::Gone), 9, mNow + seconds(2));
  EXPECT_EQ(mDirectory.Find("a")->mGoneSince, mNow + seconds(2));
  mDirectory.Put(Record("a"), 10, mNow + seconds(3));
  EXPECT_FALSE(mDirectory.Find("a")->mGoneSince);
}

// The oldest changes come first, so that the next request continues after them.
TEST_F(InstanceDirectoryTest, ReturnsTheOldestChangesUpToALimit)
{
  mDirectory.Put(Record("b"), 8, mNow);
  mDirectory.Put(Record("a"), 9, mNow);
  const auto changed = mDirectory.ChangedSince(0, 1);
  ASSERT_EQ(changed.size(), 1U);
  EXPECT_EQ(changed[0].mRecord.mName, "b");
}

} // namespace
} // namespace snipewalk
