// Tests of the commands of the operators' tool against the stand-in store.
#include "snipewalk/administration/operator_commands.h"
#include "snipewalk/store/audit_trail.h"
#include "snipewalk/version/document_validation.h"
#include "standins/store_service.h"

#include <gtest/gtest.h>

#include <unistd.h>

#include <filesystem>
#include <fstream>
#include <sstream>
#include <thread>

namespace snipewalk {
namespace {

const wall_time kNow = *ParseTimestamp("2026-12-04T12:00:00Z");

class OperatorCommandsTest : public testing::Test
{
protected:
  ~OperatorCommandsTest() override
  {
    mLoop.Stop();
    mThread.join();
  }

  int Put(const std::string& aServers,
          std::optional<std::uint64_t> aExpected,
          bool aDryRun = false)
  {
    // ctest runs the tests of the suite as parallel processes.
    const std::string path = testing::TempDir() + "operator_commands_test_" +
                             std::to_string(getpid()) + ".json";
    std::ofstream(path) << "{\"service\":\"drums\",\"servers\":[" << aServers
                        << "]}";
    const int exitCode =
      PutDocument(mStore, { path, aExpected, aDryRun, "otgon" }, kNow, mOut);
    std::filesystem::remove(path);
    return exitCode;
  }

  std::vector<audit_entry> Audit()
  {
    const auto object = mStore.Get({ "audit", "drums" });
    return object.ok() && object->has_value()
             ? *DecodeAuditRing((*object)->mValue)
             : std::vector<audit_entry>();
  }

  event_loop mLoop;
  standins::store_service mService{ mLoop, {} };
  std::thread mThread{ [this] { mLoop.Run(); } };
  operator_store mStore{ "127.0.0.1:" + std::to_string(mService.Port()),
                         milliseconds(2'000) };
  std::ostringstream mOut;
  const std::string mA =
    R"({"name":"a","address":"127.0.0.1:1","data_centre":"m"})";
  const std::string mB =
    R"({"name":"b","address":"127.0.0.1:2","data_centre":"m"})";
};

// Guards against an edit that is stored without a trace of its author.
TEST_F(OperatorCommandsTest, PutAppendsToTheAuditTrail)
{
  ASSERT_EQ(Put(mA + "," + mB, {}), kExitDone) << mOut.str();
  const auto entries = Audit();
  ASSERT_EQ(entries.size(), 1U) << mOut.str();
  EXPECT_EQ(entries[0].mWho, "otgon");
  EXPECT_EQ(entries[0].mFrom, "0");
  EXPECT_EQ(entries[0].mTo, "1");
  EXPECT_NE(entries[0].mReason.find("adds server a"), std::string::npos);
}

// Guards against two operators who both succeed from the same version.
TEST_F(OperatorCommandsTest, RefusesTheSecondEditOfAVersion)
{
  ASSERT_EQ(Put(mA + "," + mB, {}), kExitDone) << mOut.str();
  EXPECT_EQ(Put(mB + "," + mA, 1), kExitDone) << mOut.str();
  EXPECT_EQ(Put(mA + "," + mB, 1), kExitRefused) << mOut.str();
  EXPECT_EQ(Audit().size(), 2U);
}

// Guards against a dry run that stores something.
TEST_F(OperatorCommandsTest, DryRunStoresNothing)
{
  EXPECT_EQ(Put(mA + "," + mB, {}, true), kExitDone) << mOut.str();
  EXPECT_FALSE(mStore.Get({ "services", "drums" })->has_value());
  EXPECT_TRUE(Audit().empty());
}

// Guards against a dangerous edit that is stored without confirmation.
TEST_F(OperatorCommandsTest, FindingsNeedConfirmation)
{
  EXPECT_EQ(Put(mA, {}), kExitRefused) << mOut.str();
  EXPECT_FALSE(mStore.Get({ "services", "drums" })->has_value());
}

} // namespace
} // namespace snipewalk
