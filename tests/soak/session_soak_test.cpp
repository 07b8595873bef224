// Short soak runs with fixed seeds, including seeds that failed earlier.
#include "soak/session_soak.h"

#include <gtest/gtest.h>

#include <filesystem>
#include <sstream>

namespace snipewalk::soak {
namespace {

// Returns the violations of a run with the options, followed by the faults that
// led to them; empty if all guarantees held.
std::string
Violations(soak_options aOptions)
{
  aOptions.mBinaryDir = SNIPEWALK_BINARY_DIR;
  aOptions.mFolder = testing::TempDir() + "/session_soak_" +
                     std::to_string(aOptions.mPlan.mSeed);
  std::filesystem::create_directories(aOptions.mFolder);
  std::ostringstream faults;
  const auto result = RunSoak(aOptions, faults);
  EXPECT_GT(result.mAcknowledged, 0U);
  EXPECT_GT(result.mReads, 0U);
  std::string text;
  for (const auto& violation : result.mViolations) {
    text += violation + "\n";
  }
  return text.empty() ? text : text + faults.str();
}

std::string
Violations(std::uint64_t aSeed,
           bool aPlannedWorkOnly,
           int aConnections = standins::platform_standin::kMaxConnections,
           bool aFailRequests = false)
{
  soak_options options;
  options.mPlan.mSeed = aSeed;
  options.mPlan.mPlannedWorkOnly = aPlannedWorkOnly;
  options.mPlan.mFailRequests = aFailRequests;
  options.mMaxConnections = aConnections;
  return Violations(options);
}

TEST(SessionSoakTest, KeepsItsPromisesUnderRandomFaults)
{
  EXPECT_EQ(Violations(1, false), "");
}

TEST(SessionSoakTest, KeepsItsPromisesWhileSessionsAreForwarded)
{
  constexpr int kThreeStatementConnections = 5;
  EXPECT_EQ(Violations(3, false, kThreeStatementConnections), "");
}

// Guards against statements that run with the session values of another client
// because a server failed the command that sets them.
TEST(SessionSoakTest, KeepsSessionValuesApartWhileServersFailRequests)
{
  EXPECT_EQ(
    Violations(5, false, standins::platform_standin::kMaxConnections, true),
    "");
}

// Guards against a service that stays without a primary. The initial primary
// left while no instance held the duty and before a change of primary had been
// recorded, so no instance started a change afterwards.
TEST(SessionSoakTest, ReplacesAPrimaryThatLeftUnnoticed)
{
  EXPECT_EQ(Violations(144, false), "");
}

std::string
ViolationsOfHandovers(std::uint64_t aSeed)
{
  soak_options options;
  options.mPlan.mSeed = aSeed;
  options.mPlan.mHandovers = true;
  options.mPlan.mFaultPeriod = seconds(31);
  return Violations(options);
}

// Guards against a service that stays without a primary. A holder of the duty
// was stopped before it had recorded that the promoted server led, and that
// server left.
TEST(SessionSoakTest, ReplacesAPromotedServerThatLeftDuringTheChange)
{
  EXPECT_EQ(ViolationsOfHandovers(10'203), "");
}

// The same for a primary that had left before the present holder held the duty.
TEST(SessionSoakTest, ReplacesAPrimaryThatLeftDuringAHandover)
{
  EXPECT_EQ(ViolationsOfHandovers(30'203), "");
}

TEST(SessionSoakTest, CutsNoAnswerByPlannedWork)
{
  EXPECT_EQ(Violations(2, true), "");
}

} // namespace
} // namespace snipewalk::soak
