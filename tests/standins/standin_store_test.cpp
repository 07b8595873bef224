// Tests of the stand-in store's state.
#include "standins/store_state.h"

#include <gtest/gtest.h>

namespace snipewalk::standins {
namespace {

const store_objects::object_name kName{ "services", "drums" };

// Guards against two operators who both succeed from the same version.
TEST(StandinStoreTest, RefusesChangesFromAnotherVersion)
{
  store_objects objects;
  EXPECT_EQ(objects.Put(kName, "a", { true, {} }), 1U);
  EXPECT_FALSE(objects.Put(kName, "b", { true, {} }));
  EXPECT_EQ(objects.Put(kName, "b", { false, 1 }), 2U);
  EXPECT_FALSE(objects.Put(kName, "c", { false, 1 }));
  EXPECT_FALSE(objects.Delete(kName, { false, 1 }));
  EXPECT_EQ(objects.Get(kName)->mValue, "b");
}

// Guards against a deleted object that a watch never reports, or that counts
// as present.
TEST(StandinStoreTest, ReportsDeletionsToWatches)
{
  store_objects objects;
  objects.Put(kName, "a", {});
  objects.Put({ "terms", "drums" }, "t", {});
  objects.Delete(kName, {});
  const auto changed = objects.ChangedAfter("services", 1);
  ASSERT_EQ(changed.size(), 1U);
  EXPECT_TRUE(changed[0].second.mDeleted);
  EXPECT_EQ(changed[0].second.mVersion, 3U);
  EXPECT_TRUE(objects.ChangedAfter("services", 0).empty());
  EXPECT_EQ(objects.Put(kName, "new", { true, {} }), 4U);
}

// Guards against an instance list that shows a change at once.
TEST(StandinStoreTest, ShowsInstancesAfterTheLag)
{
  const time_point now{ seconds(1) };
  instance_list list;
  list.Set({ { "i1", "live" } }, now);
  list.SetLag(milliseconds(100));
  list.Set({ { "i1", "leaving" } }, now);
  EXPECT_EQ(list.Visible(now)[0].second, "live");
  EXPECT_EQ(list.Visible(now + milliseconds(100))[0].second, "leaving");
}

// Guards against call counts that leave out refused calls or mix the classes.
TEST(StandinStoreTest, LimitsCallsWithinOneSecond)
{
  const time_point now{ seconds(1) };
  call_meter meter;
  meter.SetLimits(2, 1);
  using call_class = call_meter::call_class;
  EXPECT_TRUE(meter.Count("get", call_class::Read, now));
  EXPECT_TRUE(meter.Count("watch", call_class::Read, now));
  EXPECT_TRUE(meter.Count("put", call_class::Write, now));
  EXPECT_FALSE(meter.Count("get", call_class::Read, now));
  EXPECT_TRUE(meter.Count("get", call_class::Read, now + seconds(1)));
  EXPECT_EQ(meter.ByKind().at("get"), 3U);
  EXPECT_EQ(meter.PeakCalls(), 4U);
  EXPECT_EQ(meter.Refused(), 1U);
}

} // namespace
} // namespace snipewalk::standins
