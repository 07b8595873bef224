// Implementation of the writers beside a test's failures.
#include "integration/concurrent_writers.h"

#include <absl/strings/str_cat.h>

#include <gtest/gtest.h>

namespace snipewalk::standins {

namespace {

// Short, so that a thread ends soon after its instance or primary went away.
constexpr std::uint64_t kTimeoutMs = 3'000;
constexpr milliseconds kPause{ 5 };

} // namespace

concurrent_writers::concurrent_writers(const system_fleet& aFleet)
  : mFleet(aFleet)
  , mSent(static_cast<std::size_t>(aFleet.Instances()))
{
  for (int i = 0; i < aFleet.Instances(); ++i) {
    mThreads.emplace_back([this, i] { Run(i); });
  }
}

concurrent_writers::~concurrent_writers()
{
  Stop();
}

void
concurrent_writers::Stop()
{
  mStopped = true;
  for (auto& thread : mThreads) {
    thread.join();
  }
  mThreads.clear();
}

void
concurrent_writers::Run(int aInstance)
{
  auto& sent = mSent[static_cast<std::size_t>(aInstance)];
  while (!mStopped) {
    caller_statement statement;
    statement.mKind = "write";
    statement.mKey = absl::StrCat("note-", aInstance, "-", sent.size());
    statement.mBody = absl::StrCat("add ", statement.mKey, " 1");
    statement.mTimeoutMs = kTimeoutMs;
    const caller_answer answer = mFleet.Send(aInstance, statement);
    mAcknowledged += answer.Done() ? 1 : 0;
    sent.push_back({ statement.mKey, answer });
    std::this_thread::sleep_for(kPause);
  }
}

void
concurrent_writers::ExpectTruthful() const
{
  // A write after all others: a read at its position sees all of them.
  caller_answer last;
  ASSERT_TRUE(WaitFor([&] {
    last = mFleet.Write(0, "set last yes");
    return last.Done();
  }))
    << last.mStatus << last.mBody;
  for (const auto& sent : mSent) {
    for (const auto& [key, answer] : sent) {
      const auto read = mFleet.Read(0, "get " + key, last.mSession);
      ASSERT_TRUE(read.Done()) << read.mStatus << read.mBody;
      if (answer.Done()) {
        EXPECT_EQ(read.mBody, "1") << key << " was acknowledged";
      } else if (answer.mOutcome == "not_run") {
        EXPECT_EQ(read.mBody, "") << key << " was refused as not run";
      } else {
        EXPECT_NE(read.mBody, "2") << key;
      }
    }
  }
}

} // namespace snipewalk::standins
