// Tests of the schedule of the platform's list.
#include "store/platform_list_schedule.h"

#include <gtest/gtest.h>

namespace snipewalk {
namespace {

constexpr milliseconds kInterval{ 30'000 };
const time_point kStart{ seconds(100) };

// Guards against a slot that stays vacant for the whole interval although the
// platform already names its holder as gone.
TEST(PlatformListScheduleTest, AsksSoonOnceASlotWaits)
{
  platform_list_schedule schedule;
  schedule.OnAsked(kStart + kInterval);
  schedule.OnDone(false, kStart);
  EXPECT_EQ(schedule.Due(), kStart + kInterval);
  schedule.OnWaiting(true, milliseconds(300), kStart + seconds(7));
  EXPECT_EQ(schedule.Due(), kStart + milliseconds(7'300));
  // Told again in each round.
  schedule.OnWaiting(true, milliseconds(0), kStart + seconds(7));
  EXPECT_EQ(schedule.Due(), kStart + milliseconds(7'300));
}

// Guards against a call each second for as long as a partition lasts, and
// against short gaps that remain when nothing waits any more.
TEST(PlatformListScheduleTest, LengthensTheGapsWhileASlotWaits)
{
  platform_list_schedule schedule;
  schedule.OnWaiting(true, milliseconds(0), kStart);
  time_point now = kStart;
  for (const int gap : { 1, 2, 4, 5, 5 }) {
    schedule.OnAsked(now + kInterval);
    schedule.OnDone(false, now);
    EXPECT_EQ(schedule.Due(), now + seconds(gap));
    now = schedule.Due();
  }
  schedule.OnWaiting(false, milliseconds(0), now);
  schedule.OnAsked(now + kInterval);
  schedule.OnDone(false, now);
  EXPECT_EQ(schedule.Due(), now + kInterval);
  schedule.OnWaiting(true, milliseconds(0), now);
  schedule.OnAsked(now + kInterval);
  schedule.OnDone(false, now);
  EXPECT_EQ(schedule.Due(), now + seconds(1));
}

// Guards against a failed call after which the list is not asked for long.
TEST(PlatformListScheduleTest, AsksAgainSoonAfterAFailure)
{
  platform_list_schedule schedule;
  schedule.OnAsked(kStart + kInterval);
  schedule.OnDone(true, kStart);
  EXPECT_EQ(schedule.Due(), kStart + kListGapWaitingMax);
}

} // namespace
} // namespace snipewalk
