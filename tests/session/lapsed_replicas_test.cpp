// Tests of which replicas without an entry may still confirm commits.
#include "snipewalk/session/lapsed_replicas.h"

#include <gtest/gtest.h>

namespace snipewalk {
namespace {

constexpr time_point kStart = time_point() + seconds(100);

registered_server
Replica(const std::string& aId, const std::string& aAddress)
{
  registered_server entry;
  entry.mId = aId;
  entry.mAddress = aAddress;
  entry.mStarted = 1;
  return entry;
}

// Guards against lost commits: a replica that only lost its path to the store
// goes on confirming commits.
TEST(LapsedReplicasTest, CountsAReplicaThatNeverSaidThatItLeaves)
{
  lapsed_replicas replicas;
  EXPECT_FALSE(replicas.MayConfirm(kStart));
  replicas.OnEntryLost(Replica("a", "h1"), kStart);
  EXPECT_TRUE(replicas.MayConfirm(kStart + seconds(29)));
  EXPECT_FALSE(replicas.MayConfirm(kStart + seconds(30)));
}

TEST(LapsedReplicasTest, DoesNotCountAReplicaThatHasLeft)
{
  lapsed_replicas replicas;
  registered_server leaving = Replica("a", "h1");
  leaving.mDraining = true;
  replicas.OnEntryLost(leaving, kStart);
  EXPECT_FALSE(replicas.MayConfirm(kStart));
}

TEST(LapsedReplicasTest, DoesNotCountAReplicaWhoseEntryIsBack)
{
  lapsed_replicas replicas;
  replicas.OnEntryLost(Replica("a", "h1"), kStart);
  replicas.OnEntryLost(Replica("b", "h2"), kStart);
  replicas.OnEntry(Replica("a", "h1"));
  EXPECT_TRUE(replicas.MayConfirm(kStart));
  replicas.OnEntry(Replica("b", "h3"));
  EXPECT_FALSE(replicas.MayConfirm(kStart));
}

// A server that has crashed can return under another id.
TEST(LapsedReplicasTest, DoesNotCountAReplicaWhoseAddressHasAnotherServer)
{
  lapsed_replicas replicas;
  replicas.OnEntryLost(Replica("a", "h1"), kStart);
  replicas.OnEntry(Replica("c", "h1"));
  EXPECT_FALSE(replicas.MayConfirm(kStart));
}

// The first loss counts, however often the absence is noticed.
TEST(LapsedReplicasTest, CountsFromTheLossOfTheEntry)
{
  lapsed_replicas replicas;
  replicas.OnEntryLost(Replica("a", "h1"), kStart);
  replicas.OnEntryLost(Replica("a", "h1"), kStart + seconds(20));
  EXPECT_FALSE(replicas.MayConfirm(kStart + seconds(30)));
}

} // namespace
} // namespace snipewalk
