// Tests of the window of service times.
#include "request/service_time.h"

#include <gtest/gtest.h>

namespace snipewalk {
namespace {

// Guards against an estimate that follows a slower server only after dozens of
// statements, so that all of a full queue is sent too late.
TEST(ServiceTimeTest, FollowsASlowerServerAfterTwoStatements)
{
  service_time time;
  for (int i = 0; i < 100; ++i) {
    time.Add(milliseconds(1));
  }
  time.Add(milliseconds(50));
  EXPECT_EQ(time.High(), milliseconds(1));
  time.Add(milliseconds(50));
  EXPECT_EQ(time.High(), milliseconds(50));
  for (std::size_t i = 2; i < kServiceTimeWindow; ++i) {
    time.Add(milliseconds(50));
  }
  EXPECT_EQ(time.Mean(), milliseconds(50));
}

// Guards against statements with short deadlines that pull the estimate down,
// and against a server that is slower than all deadlines and never measured.
TEST(ServiceTimeTest, CountsCutStatementsOnlyBeyondTheQuantile)
{
  service_time time;
  time.Add(milliseconds(50));
  time.AddCut(milliseconds(10));
  EXPECT_EQ(time.Mean(), milliseconds(50));
  time.AddCut(milliseconds(100));
  time.AddCut(milliseconds(100));
  EXPECT_EQ(time.High(), milliseconds(100));
}

} // namespace
} // namespace snipewalk
