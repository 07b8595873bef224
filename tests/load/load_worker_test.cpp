// Tests of a load run against an instance of the test, together with the check
// of its history.
#include "load/load_worker_state.h"
#include "snipewalk/load/history_check.h"

#include "fake_instance.h"

#include <gtest/gtest.h>

#include <cstdio>

namespace snipewalk {
namespace {

using fault = fake_instance::fault;

class LoadWorkerTest : public testing::Test
{
protected:
  // Runs a short load and checks its history.
  history_report RunAgainst(fault aFault,
                            load_pattern aPattern = load_pattern::Constant)
  {
    fake_instance instance(aFault);
    const std::string path =
      testing::TempDir() + "snipewalk_load_" +
      testing::UnitTest::GetInstance()->current_test_info()->name();
    load_options options;
    options.mInstances = { instance.Address(), instance.Address() };
    options.mServices = { "drums" };
    options.mAccounts = { "workshop" };
    options.mSessions = 4;
    options.mDuration = milliseconds(60'000);
    options.mRequests = 400;
    options.mProfile.mPattern = aPattern;
    options.mProfile.mWritePercent = 50;
    options.mProfile.mMaxAge = milliseconds(60'000);
    history_file file(path);
    load_worker worker(options, file);
    worker.Run();
    mReport =
      worker.Statistics().Report(worker.StartedAt(), worker.StoppedAt());
    std::ifstream input(path);
    const auto history = ReadHistory(input);
    EXPECT_TRUE(history.ok()) << history.status();
    std::remove(path.c_str());
    return CheckHistory(*history);
  }

  load_report mReport;
};

// Guards against a load that cannot be ended early without losing its history
// and figures.
TEST_F(LoadWorkerTest, EndsEarlyOnRequest)
{
  fake_instance instance(fault::None);
  load_options options;
  options.mInstances = { instance.Address() };
  options.mServices = { "drums" };
  options.mAccounts = { "workshop" };
  options.mDuration = std::chrono::hours(1);
  history_file file("");
  load_worker worker(options, file);
  worker.RequestStop();
  worker.Run();
  const auto length = worker.StoppedAt() - worker.StartedAt();
  EXPECT_GE(length, 0);
  EXPECT_LT(length, 3'600'000'000);
}

// Guards against false findings, and sessions that stop without an error.
TEST_F(LoadWorkerTest, ProducesCorrectHistoryOfCorrectInstance)
{
  for (const auto& pattern : kLoadPatternNames) {
    const auto report = RunAgainst(fault::None, pattern.mValue);
    EXPECT_TRUE(report.mFindings.empty()) << pattern.mName;
    EXPECT_GT(report.mAcknowledgedWrites, 20U) << pattern.mName;
    EXPECT_EQ(report.mUnresolvedWrites, 0U);
    EXPECT_GT(mReport.mDonePerSecond, 0);
  }
}

// Guards against unknown writes that are not repeated with the same key.
TEST_F(LoadWorkerTest, RepeatsUnknownWritesUntilTheirOutcomeIsKnown)
{
  const auto report = RunAgainst(fault::LoseAnswers);
  EXPECT_TRUE(report.mFindings.empty());
  EXPECT_EQ(report.mUnresolvedWrites, 0U);
  EXPECT_GT(mReport.mUnknown["write"], 0U);
}

// Guards against faults of an instance that a whole run does not show.
TEST_F(LoadWorkerTest, ShowsFaultsOfAnInstance)
{
  const std::pair<fault, violation> faults[] = {
    { fault::LoseWrites, violation::LostWrite },
    { fault::LoseWrites, violation::ReadYourWrites },
    { fault::LieAboutRefusals, violation::UntrueNotRun },
    { fault::ForgetKeys, violation::DoubledWrite },
    { fault::CrossAnswers, violation::CrossedAnswer },
  };
  for (const auto& [planted, expected] : faults) {
    const auto counts = RunAgainst(planted).CountsByViolation();
    EXPECT_EQ(counts.count(expected), 1U) << NameOf(kViolationNames, expected);
  }
}

} // namespace
} // namespace snipewalk
