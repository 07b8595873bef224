// Requests that must run at most once, with real processes: one key has one
// effect, whatever is lost and whoever repeats it.
#include "standins/system_fleet.h"

#include <future>
#include <string>
#include <vector>

#include <gtest/gtest.h>

namespace snipewalk::standins {
namespace {

std::size_t
IndexOf(const system_fleet& aFleet, const std::string& aServer)
{
  const auto& servers = aFleet.Group(0).Servers();
  for (std::size_t i = 0; i < servers.size(); ++i) {
    if (servers[i].mName == aServer) {
      return i;
    }
  }
  return 0;
}

// Repeats a keyed write over all instances until it is acknowledged.
bool
RepeatUntilDone(const system_fleet& aFleet,
                const std::string& aBody,
                const std::string& aKey)
{
  int instance = 0;
  return WaitFor([&] {
    return aFleet.Write(instance++ % aFleet.Instances(), aBody, aKey).Done();
  });
}

// Guards against a second effect when a caller repeats a request elsewhere
// while the first attempt still runs.
TEST(IdempotencyTest, RunsOnceThroughTwoInstancesAtOnce)
{
  const auto fleet = system_fleet::Start({});
  ASSERT_TRUE(fleet.ok()) << fleet.status();
  // The attempts overlap at the server.
  const auto slow = (*fleet)->Group(0).SetFaults(
    IndexOf(**fleet, (*fleet)->Primary(0)), "{\"execution_delay_ms\":20}");
  ASSERT_TRUE(slow.ok() && slow->mStatus == 200);
  for (int i = 0; i < 10; ++i) {
    const std::string key = "certificate-" + std::to_string(i);
    std::vector<std::future<caller_answer>> answers;
    answers.reserve(3);
    for (int instance = 0; instance < 3; ++instance) {
      answers.push_back(std::async(std::launch::async, [&, instance] {
        return (*fleet)->Write(instance, "add counter 1", key);
      }));
    }
    for (auto& answer : answers) {
      const auto got = answer.get();
      EXPECT_TRUE(got.Done()) << got.mStatus << got.mBody;
      EXPECT_EQ(got.mBody, std::to_string(i + 1));
    }
    EXPECT_EQ((*fleet)->Outcome(i % 3, key).mOutcome, "done");
  }
  const auto last = (*fleet)->Write(0, "add counter 0");
  EXPECT_EQ(last.mBody, "10");
}

// Guards against a second effect after the answer of the backend server was
// lost, and against an outcome that is reported as absent.
TEST(IdempotencyTest, RunsOnceAfterALostBackendAnswer)
{
  const auto fleet = system_fleet::Start({});
  ASSERT_TRUE(fleet.ok()) << fleet.status();
  for (int i = 0; i < 5; ++i) {
    const std::string key = "wage-" + std::to_string(i);
    const std::size_t primary = IndexOf(**fleet, (*fleet)->Primary(0));
    const auto set =
      (*fleet)->Group(0).SetFaults(primary, "{\"lose_answers\":1}");
    ASSERT_TRUE(set.ok() && set->mStatus == 200);
    const auto first = (*fleet)->Write(i % 3, "add counter 1", key);
    EXPECT_NE(first.mOutcome, "not_run") << first.mBody;
    EXPECT_TRUE(RepeatUntilDone(**fleet, "add counter 1", key));
    EXPECT_EQ((*fleet)->Outcome((i + 1) % 3, key).mOutcome, "done");
  }
  EXPECT_EQ((*fleet)->Write(0, "add counter 0").mBody, "5");
}

// Guards against a second effect, or a lost one, when the primary dies between
// a request and its repetition.
TEST(IdempotencyTest, RunsOnceAcrossAChangeOfPrimary)
{
  const auto fleet = system_fleet::Start({});
  ASSERT_TRUE(fleet.ok()) << fleet.status();
  ASSERT_TRUE((*fleet)->Write(0, "add counter 1", "wage-done").Done());
  const std::string old = (*fleet)->Primary(0);
  std::vector<std::future<caller_answer>> answers;
  answers.reserve(6);
  for (int i = 0; i < 6; ++i) {
    answers.push_back(std::async(std::launch::async, [&, i] {
      return (*fleet)->Write(
        i % 3, "add counter 1", "wage-" + std::to_string(i));
    }));
  }
  (*fleet)->Server(old).Kill();
  std::vector<std::string> outcomes;
  outcomes.reserve(answers.size());
  for (auto& answer : answers) {
    outcomes.push_back(answer.get().mOutcome);
  }
  EXPECT_TRUE(RepeatUntilDone(**fleet, "add counter 1", "wage-done"));
  for (int i = 0; i < 6; ++i) {
    const std::string key = "wage-" + std::to_string(i);
    if (outcomes[static_cast<std::size_t>(i)] == "done") {
      EXPECT_EQ((*fleet)->Outcome(0, key).mOutcome, "done") << key;
    }
    EXPECT_TRUE(RepeatUntilDone(**fleet, "add counter 1", key));
    EXPECT_EQ((*fleet)->Outcome((i + 1) % 3, key).mOutcome, "done") << key;
  }
  EXPECT_NE((*fleet)->Primary(0), old);
  EXPECT_EQ((*fleet)->Write(0, "add counter 0").mBody, "7");
}

// Guards against a write that is answered with the result of another one: its
// key was read as the other's.
TEST(IdempotencyTest, KeepsKeysApartThatLookLikeEncodedWords)
{
  const auto fleet = system_fleet::Start({});
  ASSERT_TRUE(fleet.ok()) << fleet.status();
  EXPECT_EQ((*fleet)->Write(0, "add counter 1", "order-7").mBody, "1");
  EXPECT_EQ((*fleet)->Write(1, "add counter 1", "order-=?7").mBody, "2");
  EXPECT_EQ((*fleet)->Outcome(1, "order-%3D%3F7").mBody, "2");
}

// Guards against a write whose outcome cannot be told: as a JSON text it is
// several times as long as the reply was.
TEST(IdempotencyTest, TellsTheOutcomeOfALongReply)
{
  const auto fleet = system_fleet::Start({});
  ASSERT_TRUE(fleet.ok()) << fleet.status();
  const std::string quotes(600'000, '"');
  ASSERT_TRUE((*fleet)->Write(0, "set k " + quotes, "long").Done());
  const auto outcome = (*fleet)->Outcome(1, "long");
  EXPECT_TRUE(outcome.Done()) << outcome.mReason;
  EXPECT_EQ(outcome.mBody.size(), quotes.size());
}

} // namespace
} // namespace snipewalk::standins
