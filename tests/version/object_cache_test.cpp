// Tests of the object cache.
#include "snipewalk/version/object_cache.h"

#include <gtest/gtest.h>

namespace snipewalk {
namespace {

stored_object
Object(const std::string& aName, std::uint64_t aVersion, bool aDeleted = false)
{
  return { { "services", aName }, aVersion, aDeleted, aDeleted ? "" : "v" };
}

// Guards against an older version that replaces a newer one or a tombstone.
TEST(ObjectCacheTest, HigherVersionWins)
{
  object_cache cache;
  EXPECT_TRUE(cache.Apply(Object("a", 5)));
  EXPECT_FALSE(cache.Apply(Object("a", 4)));
  EXPECT_TRUE(cache.Apply(Object("a", 6, true)));
  EXPECT_FALSE(cache.Apply(Object("a", 5)));
  EXPECT_EQ(cache.Find("services", "a"), nullptr);
  EXPECT_FALSE(cache.Apply({ { "unknown", "a" }, 9, false, "" }));
}

// Guards against a head that is raised although earlier changes are missing.
TEST(ObjectCacheTest, RangeAfterAGapDoesNotRaiseTheHead)
{
  object_cache cache;
  std::vector<object_key> changed;
  const std::vector<stored_object> late{ Object("b", 9) };
  EXPECT_FALSE(cache.ApplyRange({ "services", 7, 9, 0, late }, changed));
  EXPECT_EQ(cache.Head("services"), 0U);
  EXPECT_EQ(changed.size(), 1U);
  const std::vector<stored_object> early{ Object("a", 7) };
  EXPECT_TRUE(cache.ApplyRange({ "services", 0, 7, 7, early }, changed));
  EXPECT_EQ(cache.Head("services"), 7U);
  EXPECT_NE(cache.Find("services", "b"), nullptr);
  EXPECT_TRUE(cache.ApplyRange({ "services", 7, 9, 0, late }, changed));
  EXPECT_EQ(cache.Head("services"), 9U);
}

// Guards against cached objects that stay although they were deleted in the
// store while no watch was running.
TEST(ObjectCacheTest, WholeKindDropsMissingObjects)
{
  object_cache cache;
  std::vector<object_key> changed;
  cache.Apply(Object("old", 3));
  cache.Apply(Object("new", 12));
  const std::vector<stored_object> all{ Object("kept", 5) };
  EXPECT_TRUE(cache.ApplyRange({ "services", 0, 10, 10, all }, changed));
  EXPECT_EQ(cache.Find("services", "old"), nullptr);
  EXPECT_NE(cache.Find("services", "kept"), nullptr);
  EXPECT_NE(cache.Find("services", "new"), nullptr);
  EXPECT_FALSE(cache.Apply(Object("old", 3)));
}

// Guards against a delta that lacks a deletion whose tombstone was dropped.
TEST(ObjectCacheTest, DeltaBelowTheFloorIsTheWholeKind)
{
  object_cache cache(1);
  std::vector<object_key> changed;
  const std::vector<stored_object> first{ Object("a", 1), Object("b", 2) };
  cache.ApplyRange({ "services", 0, 2, 0, first }, changed);
  const std::vector<stored_object> second{ Object("a", 3, true),
                                           Object("b", 4, true) };
  cache.ApplyRange({ "services", 2, 4, 0, second }, changed);
  EXPECT_EQ(cache.Delta("services", 3, 0, 1'000).mSince, 3U);
  const object_chunk chunk = cache.Delta("services", 2, 0, 1'000);
  EXPECT_EQ(chunk.mSince, 0U);
  EXPECT_EQ(chunk.mHead, 4U);
}

// Guards against chunks that exceed their size, and against objects that are
// missing in all chunks.
TEST(ObjectCacheTest, DeltaInChunksIsComplete)
{
  object_cache cache;
  std::vector<object_key> changed;
  std::vector<stored_object> all;
  for (std::uint64_t i = 1; i <= 50; ++i) {
    all.push_back(Object("n" + std::to_string(i), i));
  }
  cache.ApplyRange({ "services", 0, 50, 0, all }, changed);
  cache.Apply(Object("beyond", 60));
  std::size_t count = 0;
  std::uint64_t cursor = 0;
  for (bool more = true; more;) {
    const object_chunk chunk = cache.Delta("services", 10, cursor, 200);
    EXPECT_LE(chunk.mObjects.size(), 6U);
    count += chunk.mObjects.size();
    cursor = chunk.mCursor;
    more = chunk.mMore;
  }
  EXPECT_EQ(count, 40U);
}

} // namespace
} // namespace snipewalk
