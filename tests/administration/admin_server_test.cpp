// Tests of the admin port.
#include "snipewalk/administration/admin_server.h"
#include "snipewalk/control/control_loop.h"
#include "traffic/traffic_fixture.h"

#include <gtest/gtest.h>

namespace snipewalk {
namespace {

class admin_fixture
{
public:
  admin_fixture()
    : mServer({ "munich-1" }, Sources())
  {
    mStarted = mServer.Start().ok();
  }

  admin_sources Sources()
  {
    admin_sources sources;
    sources.mBoard = &mBoard;
    sources.mPhase = [this] { return mPhase; };
    sources.mCounts = [] { return traffic_counts{ 3, 2, 1 }; };
    sources.mMetrics = [] {
      return std::vector<thread_metrics>{
        { { { "read_latency", "ms", 9, 1.5, 1, 2, 3 } }, { { "n", 4 } } }
      };
    };
    sources.mExplain = [](const statement_request& aRequest) {
      return "explains " + aRequest.mService;
    };
    sources.mToken = [] { return std::string("token"); };
    return sources;
  }

  http_response Get(const std::string& aTarget, bool aWithToken = true)
  {
    http_request request;
    request.mMethod = "GET";
    request.mTarget = aTarget;
    if (aWithToken) {
      request.mHeaders.Add("Authorization", "Bearer token");
    }
    return http_client(mServer.Address()).Call(request);
  }

  status_board mBoard;
  std::string mPhase = "serving";
  admin_server mServer;
  bool mStarted = false;
};

// Guards against state that anybody on the network can read, and against a
// health check that needs a secret.
TEST(AdminServerTest, NeedsTokenForAllButHealth)
{
  admin_fixture admin;
  ASSERT_TRUE(admin.mStarted);
  EXPECT_EQ(admin.Get("/v1/state", false).mStatus, 401);
  EXPECT_EQ(admin.Get("/v1/health", false).mStatus, 200);
  admin.mPhase = "announced";
  EXPECT_EQ(admin.Get("/v1/health", false).mStatus, 503);
}

// Guards against pages that miss what operators look for.
TEST(AdminServerTest, ShowsStateServicesMembersAndMetrics)
{
  admin_fixture admin;
  EXPECT_EQ(admin.Get("/v1/services").mStatus, 503) << "nothing published";
  auto snapshot = std::make_shared<routing_snapshot>();
  snapshot->mRevision = 41;
  snapshot->mServices["register"] =
    MakeView({ { "s0", "127.0.0.1:1" } }, "munich-1");
  snapshot->mMembers["munich-1"].mName = "munich-1";
  admin.mBoard.SetSnapshot(snapshot);
  auto control = std::make_shared<control_status>();
  control->mStoreUnreachableFor = milliseconds(7);
  admin.mBoard.SetControl(control);
  const std::string state = admin.Get("/v1/state").mBody;
  EXPECT_NE(state.find("\"revision\":41"), std::string::npos);
  EXPECT_NE(state.find("\"store_unreachable_for_ms\":7"), std::string::npos);
  EXPECT_NE(admin.Get("/v1/services").mBody.find("register"),
            std::string::npos);
  EXPECT_NE(admin.Get("/v1/services/register").mBody.find("127.0.0.1:1"),
            std::string::npos);
  EXPECT_EQ(admin.Get("/v1/services/none").mStatus, 404);
  EXPECT_NE(admin.Get("/v1/members").mBody.find("munich-1"), std::string::npos);
  EXPECT_NE(admin.Get("/v1/metrics").mBody.find("read_latency"),
            std::string::npos);
  EXPECT_NE(admin.Get("/v1/explain?service=register&kind=read")
              .mBody.find("explains register"),
            std::string::npos);
  EXPECT_EQ(admin.Get("/v1/other").mStatus, 404);
}

} // namespace
} // namespace snipewalk
