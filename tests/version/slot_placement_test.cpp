// Tests of slot placement.
#include "snipewalk/version/slot_placement.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <map>

namespace snipewalk {
namespace {

struct test_instance
{
  std::string mName;
  std::string mDataCentre;
  std::string mRegion;
  std::size_t mHeld = 0;
};

class test_fleet
{
public:
  // Creates instances "i0", "i1" and so on. Instance i is in the data
  // centre "c<i % aDataCentres>"; each region has two data centres.
  test_fleet(std::size_t aCount, std::size_t aDataCentres, std::size_t aHeld)
  {
    for (std::size_t i = 0; i < aCount; ++i) {
      const std::size_t dataCentre = i % aDataCentres;
      mInstances.push_back({ "i" + std::to_string(i),
                             "c" + std::to_string(dataCentre),
                             "r" + std::to_string(dataCentre / 2),
                             aHeld });
    }
  }
  placement_index Index() const
  {
    std::vector<placement_member> members;
    for (const auto& each : mInstances) {
      members.push_back(
        { each.mName, each.mDataCentre, each.mRegion, each.mHeld });
    }
    return placement_index(members);
  }
  // The candidates that are not holders, by rank.
  std::multimap<std::size_t, test_instance> Order(
    const placement_question& aQuestion)
  {
    const placement_index index = Index();
    std::multimap<std::size_t, test_instance> order;
    for (const auto& each : mInstances) {
      const auto& holders = aQuestion.mHolders;
      if (std::find(holders.begin(), holders.end(), each.mName) ==
          holders.end()) {
        order.emplace(index.Rank(aQuestion, each.mName, each.mHeld), each);
      }
    }
    return order;
  }

  std::vector<test_instance> mInstances;
};

// Returns the lowest rank of a candidate in a data centre, or the number of
// candidates if there is none.
std::size_t
LowestRankIn(const std::multimap<std::size_t, test_instance>& aOrder,
             const std::string& aDataCentre)
{
  for (const auto& [rank, candidate] : aOrder) {
    if (candidate.mDataCentre == aDataCentre) {
      return rank;
    }
  }
  return aOrder.size();
}

// Guards against all holders of a service being in one data centre although
// other data centres have live instances.
TEST(SlotPlacementTest, PrefersDataCentresWithoutHolderOverTheServers)
{
  test_fleet instances(12, 4, 3);
  // Instances 1 and 5 are in c1, the data centre of the servers.
  auto order = instances.Order({ "ledger", { "c1" }, { "i1", "" } });
  EXPECT_EQ(LowestRankIn(order, "c0"), 0U);
  const std::size_t others =
    std::min(LowestRankIn(order, "c2"), LowestRankIn(order, "c3"));
  EXPECT_EQ(others, placement_index::kMaxRanksPerGroup);
  EXPECT_EQ(LowestRankIn(order, "c1"), 2 * placement_index::kMaxRanksPerGroup);
}

// Guards against holders outside the data centre and the region of the
// backend servers.
TEST(SlotPlacementTest, PrefersTheServersDataCentreThenTheirRegion)
{
  test_fleet instances(12, 6, 3);
  auto order = instances.Order({ "ledger", { "c2" }, {} });
  EXPECT_EQ(order.begin()->second.mDataCentre, "c2");
  order = instances.Order({ "ledger", { "c2" }, { "i2" } });
  EXPECT_EQ(order.begin()->second.mDataCentre, "c3");
}

// Guards against an instance that gets no slots because it was started last.
TEST(SlotPlacementTest, PrefersFewerHeldSlotsWithinAPlace)
{
  test_fleet instances(9, 1, 6);
  instances.mInstances[4].mHeld = 0;
  instances.mInstances[5].mHeld = 20;
  for (int service = 0; service < 20; ++service) {
    auto order = instances.Order({ std::to_string(service), {}, {} });
    EXPECT_EQ(order.begin()->second.mName, "i4");
    for (const auto& [rank, candidate] : order) {
      EXPECT_EQ(rank == 1 + placement_index::kMaxRanksPerGroup &&
                  candidate.mName == "i5",
                candidate.mHeld == 20);
    }
  }
}

// Guards against moves of slots and delays of claims because of small
// differences in the number of held slots.
TEST(SlotPlacementTest, ComparesHeldSlotsCoarsely)
{
  EXPECT_EQ(ClassifyLoad(0, 1), slot_load::Normal);
  EXPECT_EQ(ClassifyLoad(3, 1), slot_load::Normal);
  EXPECT_EQ(ClassifyLoad(5, 3), slot_load::High);
  EXPECT_EQ(ClassifyLoad(6, 3), slot_load::Excessive);
  EXPECT_EQ(ClassifyLoad(1, 3.9), slot_load::Low);
  EXPECT_EQ(ClassifyLoad(15, 10), slot_load::High);
  EXPECT_EQ(ClassifyLoad(16, 10), slot_load::Excessive);
}

// Guards against two instances with the same rank among the first of a group,
// and against estimated ranks that precede exact ones.
TEST(SlotPlacementTest, RanksOfEqualsAreExactFirst)
{
  test_fleet instances(400, 4, 3);
  auto order = instances.Order({ "ledger", {}, {} });
  std::size_t expected = 0;
  for (const auto& [rank, candidate] : order) {
    if (expected < placement_index::kMaxExactRank) {
      EXPECT_EQ(rank, expected) << candidate.mName;
    }
    ++expected;
    EXPECT_LT(rank, 400U);
  }
  EXPECT_EQ(expected, 400U);
}

// Guards against a preferred data centre that cannot reach the store and
// delays all others by one step for each of its instances.
TEST(SlotPlacementTest, APreferredGroupDelaysTheNextOneByFewRanks)
{
  test_fleet instances(400, 2, 3);
  auto order = instances.Order({ "ledger", { "c0" }, {} });
  EXPECT_EQ(LowestRankIn(order, "c1"), placement_index::kMaxRanksPerGroup);
}

} // namespace
} // namespace snipewalk
