// Tests of when the duty moves from one instance to another.
#include "session/controller_fixture.h"

namespace snipewalk {
namespace {

// An instance that has stood still has heard from nobody meanwhile. If it took
// the duty for that, nobody could use it until the former lease has ended.
TEST_F(SessionControllerTest, AnInstanceThatStoodStillLeavesTheDutyToItsHolder)
{
  Run(1'500);
  ASSERT_EQ(Holders(), 1);
  const std::string holder = HolderName();
  instance& silent = *Others()[0];
  silent.mPaused = true;
  Run(2'000);
  ASSERT_EQ(HolderName(), holder);
  silent.mPaused = false;
  for (int i = 0; i < 10; ++i) {
    Run(50);
    EXPECT_EQ(HolderName(), holder);
  }
}

} // namespace
} // namespace snipewalk
