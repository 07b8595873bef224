// Test fixture: the session front end as real processes in front of a stand-in
// of the platform.
#ifndef SNIPEWALK_TESTS_INTEGRATION_SESSION_FRONT_FIXTURE_H_
#define SNIPEWALK_TESTS_INTEGRATION_SESSION_FRONT_FIXTURE_H_

#include "standins/platform_standin.h"
#include "standins/process_fleet.h"
#include "standins/session_caller.h"
#include "standins/session_fleet.h"

#include <absl/strings/match.h>
#include <gtest/gtest.h>

#include <map>
#include <string>

namespace snipewalk::standins {

// Three backend servers; tests start the instances that they need.
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

// Three instances in front of servers with connections for two: two instances
// host the service and the third forwards its sessions to them.
class SessionForwardingTest : public SessionFrontTest
{
protected:
  static constexpr int kTwoStatementConnections = 4;

  SessionForwardingTest()
    : SessionFrontTest(kTwoStatementConnections)
  {
    for (const char* name : { "i1", "i2", "i3" }) {
      mPorts[name] = Start(name);
    }
    EXPECT_TRUE(WaitFor([&] {
      mForwarding = FindForwarding();
      return !mForwarding.empty();
    }));
  }

  // Instance that forwards a session just opened.
  std::string FindForwarding()
  {
    for (const auto& [name, ports] : mPorts) {
      session_caller probe(ports.mCallers);
      probe.Start("main");
      const auto page = HttpCall(ports.mMetrics, "GET", "/metrics");
      if (page.ok() &&
          absl::StrContains(page->mBody, "snipewalk_sessions_forwarded 1\n")) {
        return name;
      }
    }
    return {};
  }

  session_caller OpenForwarded(const std::string& aDatabase)
  {
    session_caller session(mPorts[mForwarding].mCallers);
    EXPECT_EQ(session.Start(aDatabase).mText, "READY I -\r\n");
    return session;
  }

  void SignalHosts(int aSignal)
  {
    for (const auto& [name, ports] : mPorts) {
      if (name != mForwarding) {
        mFleet.At(name).Signal(aSignal);
      }
    }
  }

  std::map<std::string, session_fleet::ports> mPorts;
  std::string mForwarding;
};

} // namespace snipewalk::standins

#endif // SNIPEWALK_TESTS_INTEGRATION_SESSION_FRONT_FIXTURE_H_
