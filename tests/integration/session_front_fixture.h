// Test fixture: the session front end as real processes in front of a stand-in
// of the platform.
#ifndef SNIPEWALK_TESTS_INTEGRATION_SESSION_FRONT_FIXTURE_H_
#define SNIPEWALK_TESTS_INTEGRATION_SESSION_FRONT_FIXTURE_H_

#include "standins/platform_standin.h"
#include "standins/process_fleet.h"
#include "standins/session_fleet.h"

#include <gtest/gtest.h>

#include <string>

namespace snipewalk::standins {

class SessionFrontTest : public testing::Test
{
protected:
  explicit SessionFrontTest(
    int aMaxConnections = platform_standin::kMaxConnections)
    : mPlatform(3, aMaxConnections)
    , mFleet(SNIPEWALK_BINARY_DIR, testing::TempDir())
  {
  }

  // Returns once the instance is ready.
  session_fleet::ports Start(const std::string& aName)
  {
    const std::string platform = mPlatform.StoreAddress();
    const auto started = mFleet.Configure(aName, platform, platform);
    EXPECT_TRUE(mFleet.Start(aName).ok());
    EXPECT_TRUE(WaitFor([&] { return mFleet.IsReady(aName); }));
    return started;
  }

  platform_standin mPlatform;
  session_fleet mFleet;
};

} // namespace snipewalk::standins

#endif // SNIPEWALK_TESTS_INTEGRATION_SESSION_FRONT_FIXTURE_H_
