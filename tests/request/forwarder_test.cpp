// Tests of the choice of holders and of the settlement of requests.
#include "snipewalk/request/forwarder.h"

#include "request/forwarder_driver.h"

#include "snipewalk/request/transaction_id.h"

#include <gtest/gtest.h>

#include <set>

namespace snipewalk {
namespace {

// Guards against a detour although this instance holds a slot.
TEST(ForwarderTest, PrefersOwnEngine)
{
  forwarder_driver steps({ "i1", "i0" });
  steps.Submit(steps.Request(statement_kind::Read));
  steps.Take<serve_here>();
}

// Guards against an instance that has just started and calls a service unknown
// whose document it has not received yet.
TEST(ForwarderTest, CallsAServiceUnknownOnlyWithAllDocuments)
{
  for (const std::uint64_t revision : { 0U, 7U }) {
    forwarder_driver steps({ "i1" });
    auto snapshot = ForwarderSnapshot({ "i1" });
    snapshot->mServices.clear();
    snapshot->mRevision = revision;
    steps.mForwarder.SetSnapshot(snapshot, steps.mNow, steps.mActions);
    steps.Submit(steps.Request(statement_kind::Read));
    if (revision != 0) {
      EXPECT_EQ(steps.Take<finish_request>().mResponse.mReason,
                refusal_reason::UnknownService);
      continue;
    }
    EXPECT_TRUE(steps.mActions.empty());
    steps.mForwarder.SetSnapshot(
      ForwarderSnapshot({ "i1" }), steps.mNow, steps.mActions);
    EXPECT_EQ(steps.Take<send_to_peer>().mPeer, "i1");
  }
}

// Guards against crossing regions while a holder is in this data centre.
TEST(ForwarderTest, PrefersNearestThenLeastLoaded)
{
  forwarder_driver steps({ "i3", "i2", "i1" });
  steps.Submit(steps.Request(statement_kind::Read));
  EXPECT_EQ(steps.Take<send_to_peer>().mPeer, "i1");
  forwarder_driver far({ "i3", "i4" });
  std::set<std::string> used;
  for (int i = 0; i < 2; ++i) {
    far.Submit(far.Request(statement_kind::Read));
    used.insert(far.Take<send_to_peer>().mPeer);
  }
  EXPECT_EQ(used.size(), 2U);
}

// Guards against a write that is repeated under another key, or given up
// although another holder could settle it.
TEST(ForwarderTest, RepeatsKeyedWriteElsewhereWithItsKey)
{
  forwarder_driver steps({ "i1", "i2" });
  steps.Submit(steps.Request(statement_kind::Write));
  const auto first = steps.Take<send_to_peer>();
  steps.PeerClosed("i1", true);
  const auto second = steps.Take<send_to_peer>();
  EXPECT_EQ(second.mPeer, "i2");
  EXPECT_EQ(std::get<statement_request>(second.mRequest).mIdempotencyKey,
            std::get<statement_request>(first.mRequest).mIdempotencyKey);
  EXPECT_NE(RequestIdOf(second.mRequest), RequestIdOf(first.mRequest));
  steps.Respond(second.mRequest, statement_outcome::Done);
  EXPECT_EQ(steps.Take<finish_request>().mResponse.mRequestId, "r1");
}

// Guards against "not run" for a write that an earlier attempt may have run.
TEST(ForwarderTest, ReportsUnknownWhenAnEarlierAttemptWasSent)
{
  forwarder_driver steps({ "i1", "i2" });
  steps.Submit(steps.Request(statement_kind::Write));
  steps.Take<send_to_peer>();
  steps.PeerClosed("i1", true);
  const auto second = steps.Take<send_to_peer>();
  steps.Respond(
    second.mRequest, statement_outcome::NotRun, refusal_reason::Overloaded);
  const auto response = steps.Take<finish_request>().mResponse;
  EXPECT_EQ(response.mOutcome, statement_outcome::Unknown);
  EXPECT_EQ(response.mIdempotencyKey, "key-r1");
}

// Guards against repeating a statement without a key after bytes were sent, and
// against calling it "not run" then.
TEST(ForwarderTest, ReportsUnknownForSentStatementWithoutKey)
{
  forwarder_driver steps({ "i1", "i2" });
  steps.Submit(steps.Request(statement_kind::Begin));
  steps.Take<send_to_peer>();
  steps.PeerClosed("i1", true);
  EXPECT_EQ(steps.Take<finish_request>().mResponse.mOutcome,
            statement_outcome::Unknown);
  EXPECT_TRUE(steps.mActions.empty());
}

// Guards against "unknown" for a statement of which no byte was sent.
TEST(ForwarderTest, ReportsNotRunWhenNoLinkWasEstablished)
{
  forwarder_driver steps({ "i1" });
  steps.Submit(steps.Request(statement_kind::Begin));
  steps.Take<send_to_peer>();
  steps.PeerClosed("i1", false);
  EXPECT_TRUE(steps.mActions.empty()) << "waits for a holder";
  steps.mForwarder.SetSnapshot(
    ForwarderSnapshot({}), steps.mNow, steps.mActions);
  steps.mNow += seconds(2);
  steps.mForwarder.OnTimer(steps.mNow, steps.mActions);
  const auto response = steps.Take<finish_request>().mResponse;
  EXPECT_EQ(response.mOutcome, statement_outcome::NotRun);
  EXPECT_EQ(response.mReason, refusal_reason::NoHolder);
}

// Guards against a transaction that wanders to an instance that lacks it.
TEST(ForwarderTest, SendsTransactionToItsHolderOnly)
{
  forwarder_driver steps({ "i0" });
  auto request = steps.Request(statement_kind::Write);
  request.mTransaction =
    *EncodeTransaction({ "i3", 1, 5, "register", "fassnetz" },
                       { { "k1", "secret", wall_time() } },
                       wall_time() + seconds(1));
  steps.Submit(request);
  EXPECT_EQ(steps.Take<send_to_peer>().mPeer, "i3");
  steps.PeerClosed("i3", false);
  const auto response = steps.Take<finish_request>().mResponse;
  EXPECT_EQ(response.mOutcome, statement_outcome::NotRun);
  EXPECT_TRUE(steps.mActions.empty());
  auto forged = steps.Request(statement_kind::Write);
  forged.mTransaction = "AAAA";
  steps.Submit(forged);
  EXPECT_EQ(steps.Take<finish_request>().mResponse.mReason,
            refusal_reason::UnknownTransaction);
}

// Guards against a write that stays unsettled because its holder lost its route
// to the primary, and against "not run" on the word of the second holder.
TEST(ForwarderTest, SettlesElsewhereWhatAHolderGaveUp)
{
  forwarder_driver steps({ "i0", "i1", "i2" });
  steps.Submit(steps.Request(statement_kind::Write));
  const auto first = steps.Take<serve_here>();
  steps.Respond(
    first.mRequest, statement_outcome::Unknown, refusal_reason::ConnectionLost);
  const auto second = steps.Take<send_to_peer>();
  EXPECT_EQ(second.mPeer, "i1");
  EXPECT_EQ(std::get<statement_request>(second.mRequest).mIdempotencyKey,
            "key-r1");
  steps.Respond(
    second.mRequest, statement_outcome::NotRun, refusal_reason::NoHolder);
  const auto third = steps.Take<send_to_peer>();
  EXPECT_EQ(third.mPeer, "i2");
  steps.Respond(
    third.mRequest, statement_outcome::NotRun, refusal_reason::NoPrimary);
  const auto response = steps.Take<finish_request>().mResponse;
  EXPECT_EQ(response.mOutcome, statement_outcome::Unknown);
  EXPECT_EQ(response.mIdempotencyKey, "key-r1");
}

// Guards against repeating what no key protects.
TEST(ForwarderTest, DoesNotRepeatAGivenUpWriteWithoutKey)
{
  forwarder_driver steps({ "i0", "i1" });
  auto request = steps.Request(statement_kind::Write);
  request.mIdempotencyKey.clear();
  steps.Submit(request);
  steps.Respond(steps.Take<serve_here>().mRequest,
                statement_outcome::Unknown,
                refusal_reason::ConnectionLost);
  EXPECT_EQ(steps.Take<finish_request>().mResponse.mOutcome,
            statement_outcome::Unknown);
}

// Guards against holders that pass one request around for as long as it lives.
TEST(ForwarderTest, EndsAfterABoundedNumberOfGivenUpAttempts)
{
  forwarder_driver steps({ "i0", "i1" });
  steps.Submit(steps.Request(statement_kind::Write));
  int attempts = 0;
  for (int i = 0; i < 100; ++i) {
    steps.mNow += milliseconds(40);
    steps.mForwarder.OnTimer(steps.mNow, steps.mActions);
    while (!steps.mActions.empty() &&
           !std::holds_alternative<finish_request>(steps.mActions.back())) {
      const auto action = std::move(steps.mActions.back());
      steps.mActions.pop_back();
      const auto* here = std::get_if<serve_here>(&action);
      ++attempts;
      steps.Respond(here ? here->mRequest
                         : std::get<send_to_peer>(action).mRequest,
                    statement_outcome::Unknown,
                    refusal_reason::ConnectionLost);
    }
  }
  EXPECT_EQ(attempts, forwarder_options{}.mMaxTries);
  EXPECT_EQ(steps.Take<finish_request>().mResponse.mOutcome,
            statement_outcome::Unknown);
}

// Guards against a storm of repetitions when many writes are given up at once.
TEST(ForwarderTest, RepeatsGivenUpWritesWithinTheBudget)
{
  forwarder_driver steps({ "i0", "i1" });
  constexpr std::size_t kWrites = 200;
  for (std::size_t i = 0; i < kWrites; ++i) {
    steps.Submit(steps.Request(statement_kind::Write));
  }
  const auto sent = std::exchange(steps.mActions, {});
  ASSERT_EQ(sent.size(), kWrites);
  for (const auto& action : sent) {
    steps.Respond(std::get<serve_here>(action).mRequest,
                  statement_outcome::Unknown,
                  refusal_reason::ConnectionLost);
  }
  const std::size_t atOnce = steps.mActions.size();
  EXPECT_GT(atOnce, 0U);
  EXPECT_LE(atOnce, 10 + kWrites / 10);
  steps.mNow += seconds(1);
  steps.mForwarder.OnTimer(steps.mNow, steps.mActions);
  EXPECT_GT(steps.mActions.size(), atOnce);
  EXPECT_LE(steps.mActions.size(), atOnce + 10);
  steps.mNow += seconds(5);
  steps.mActions.clear();
  steps.mForwarder.OnTimer(steps.mNow, steps.mActions);
  for (const auto& action : steps.mActions) {
    EXPECT_EQ(std::get<finish_request>(action).mResponse.mOutcome,
              statement_outcome::Unknown);
  }
}

// Guards against writes that wait at an instance without a route to the
// primary, against reads that leave it without need, and against a detour that
// outlives the fault.
TEST(ForwarderTest, PrefersHoldersThatReachThePrimary)
{
  const std::vector<std::string> holders{ "i0", "i1", "i2" };
  forwarder_driver steps(holders);
  const auto reached = ForwarderSnapshot(holders);
  auto view = std::make_shared<service_view>(*reached->mServices["register"]);
  view->mPrimaryReachedBy = { "i2" };
  reached->mServices["register"] = view;
  steps.mForwarder.SetSnapshot(reached, steps.mNow, steps.mActions);
  steps.Submit(steps.Request(statement_kind::Write));
  EXPECT_EQ(steps.Take<send_to_peer>().mPeer, "i2");
  steps.Submit(steps.Request(statement_kind::Read));
  steps.Take<serve_here>();
  steps.mForwarder.SetSnapshot(
    ForwarderSnapshot(holders), steps.mNow, steps.mActions);
  steps.Submit(steps.Request(statement_kind::Write));
  steps.Take<serve_here>();
}

// Guards against a refusal at the moment in which a slot changes its holder.
TEST(ForwarderTest, WaitsForAHolder)
{
  forwarder_driver steps({});
  steps.Submit(steps.Request(statement_kind::Write));
  EXPECT_TRUE(steps.mActions.empty());
  steps.mForwarder.SetSnapshot(
    ForwarderSnapshot({ "i2" }), steps.mNow, steps.mActions);
  EXPECT_EQ(steps.Take<send_to_peer>().mPeer, "i2");
}

} // namespace
} // namespace snipewalk
