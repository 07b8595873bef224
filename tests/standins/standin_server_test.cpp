// Tests of the stand-in backend server's state machine.
#include "standins/backend_server.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <array>
#include <random>
#include <string>

namespace snipewalk::standins {
namespace {

constexpr std::size_t kServers = 3;

// Three servers without a network: replies and pulls are carried by calls.
class StandinServerTest : public testing::Test
{
protected:
  // Reply to a request, or nothing while it waits.
  std::optional<backend_reply> Ask(std::size_t aServer,
                                   backend_request aRequest,
                                   client_number aClient = 1)
  {
    const request_ticket ticket = mNextTicket++;
    mServers[aServer].Submit(ticket, aClient, std::move(aRequest), mNow);
    mServers[aServer].Advance(mNow);
    return Collect(aServer, ticket);
  }

  std::optional<backend_reply> Collect(std::size_t aServer,
                                       request_ticket aTicket)
  {
    std::optional<backend_reply> found;
    for (auto& action : mServers[aServer].TakeActions()) {
      const auto* answer = std::get_if<answer_client>(&action);
      if (answer != nullptr && answer->mTicket == aTicket) {
        found = answer->mReply;
      }
    }
    return found;
  }

  backend_error Write(std::size_t aServer,
                      std::uint64_t aTerm,
                      const std::string& aKey,
                      const std::string& aBody,
                      client_number aClient = 1)
  {
    return Ask(aServer,
               backend_statement{
                 "r", aTerm, statement_kind::Write, aKey, 0, {}, aBody },
               aClient)
      ->mError;
  }

  backend_reply Simple(std::size_t aServer,
                       std::uint64_t aTerm,
                       statement_kind aKind,
                       const std::string& aBody = {},
                       const std::string& aKey = {})
  {
    return *Ask(aServer,
                backend_statement{ "r", aTerm, aKind, aKey, 0, {}, aBody });
  }

  // Lets a replica pull once from the server that it follows.
  void Replicate(std::size_t aReplica)
  {
    standin_server& replica = mServers[aReplica];
    const auto pull = replica.NextPull();
    if (!pull) {
      return;
    }
    const std::size_t primary = replica.Primary()->mName.back() - '0';
    const request_ticket ticket = mNextTicket++;
    mServers[primary].Pull(ticket, *pull, mNow);
    mServers[primary].Advance(mNow);
    std::optional<pull_reply> reply;
    for (auto& action : mServers[primary].TakeActions()) {
      auto* answer = std::get_if<answer_pull>(&action);
      if (answer != nullptr && answer->mTicket == ticket) {
        reply = answer->mReply;
      }
    }
    if (reply) {
      replica.PullAnswered(*reply, mNow);
    } else {
      replica.PullFailed();
    }
    replica.Advance(mNow);
  }

  void Lead(std::size_t aPrimary, std::uint64_t aTerm)
  {
    ASSERT_EQ(Ask(aPrimary, backend_promote{ aTerm, {} })->mError,
              backend_error::None);
    for (std::size_t i = 0; i < kServers; ++i) {
      if (i != aPrimary) {
        Ask(i, backend_follow{ aTerm, EndpointOf(aPrimary) });
        Replicate(i);
      }
    }
  }

  static server_endpoint EndpointOf(std::size_t aServer)
  {
    return { "s" + std::to_string(aServer), "" };
  }

  std::array<standin_server, kServers> mServers{ standin_server("s0"),
                                                 standin_server("s1"),
                                                 standin_server("s2") };
  time_point mNow{ seconds(1) };
  request_ticket mNextTicket = 1;
};

// Guards against a stand-in that runs a statement of another term.
TEST_F(StandinServerTest, RefusesStatementsOfOtherTerms)
{
  Lead(0, 2);
  EXPECT_EQ(Write(0, 1, "k", "set a 1"), backend_error::TermMismatch);
  EXPECT_EQ(Write(0, 3, "k", "set a 1"), backend_error::TermMismatch);
  EXPECT_EQ(Write(1, 2, "k", "set a 1"), backend_error::NotPrimary);
  EXPECT_EQ(Write(0, 2, "k", "set a 1"), backend_error::None);
}

// Guards against a late, repeated fence that stops the primary of its term.
TEST_F(StandinServerTest, KeepsPrimaryAtRepeatedFence)
{
  Lead(0, 2);
  EXPECT_EQ(Ask(0, backend_fence{ 2 })->mError, backend_error::None);
  EXPECT_EQ(Ask(0, backend_fence{ 1 })->mError, backend_error::TermMismatch);
  EXPECT_EQ(Write(0, 2, "k", "set a 1"), backend_error::None);
  EXPECT_EQ(Ask(0, backend_fence{ 3 })->mError, backend_error::None);
  EXPECT_EQ(Write(0, 3, "l", "set a 1"), backend_error::NotPrimary);
}

// Guards against two primaries of one term.
TEST_F(StandinServerTest, RefusesSecondPrimaryOfOneTerm)
{
  Lead(0, 2);
  EXPECT_EQ(Ask(1, backend_promote{ 2, {} })->mError, backend_error::Conflict);
  EXPECT_EQ(Ask(1, backend_promote{ 1, {} })->mError,
            backend_error::TermMismatch);
  EXPECT_EQ(Ask(0, backend_follow{ 2, EndpointOf(1) })->mError,
            backend_error::Conflict);
}

// Guards against a repeated key that has a second effect.
TEST_F(StandinServerTest, ReplaysRepeatedKeyAlsoAfterChangeOfPrimary)
{
  Lead(0, 1);
  EXPECT_EQ(Write(0, 1, "k", "add a 1"), backend_error::None);
  Replicate(1);
  Lead(1, 2);
  const auto again = Simple(1, 2, statement_kind::Write, "add a 1", "k");
  EXPECT_TRUE(again.mReplayed);
  EXPECT_EQ(again.mBody, "1");
  EXPECT_EQ(Simple(1, 2, statement_kind::Read, "get a").mBody, "1");
}

// Guards against effects that are visible before the commit or survive a
// closed connection.
TEST_F(StandinServerTest, IsolatesTransactionsUntilCommit)
{
  Lead(0, 1);
  Simple(0, 1, statement_kind::Begin);
  Simple(0, 1, statement_kind::Write, "set a mine");
  const auto other = Ask(
    0, backend_statement{ "", 1, statement_kind::Read, "", 0, {}, "get a" }, 2);
  EXPECT_EQ(other->mBody, "");
  mServers[0].CloseClient(1);
  EXPECT_EQ(Simple(0, 1, statement_kind::Commit).mError,
            backend_error::NoTransaction);
  EXPECT_EQ(Simple(0, 1, statement_kind::Read, "get a").mBody, "");
  Simple(0, 1, statement_kind::Begin);
  Simple(0, 1, statement_kind::Write, "set a mine");
  EXPECT_EQ(Write(0, 1, "x", "set a theirs", 2), backend_error::None);
  EXPECT_EQ(Simple(0, 1, statement_kind::Commit).mError,
            backend_error::Conflict);
}

// Guards against a statement of an ended transaction that runs on its own.
TEST_F(StandinServerTest, RefusesStatementsOfTransactionOfFormerTerm)
{
  Lead(0, 1);
  Simple(0, 1, statement_kind::Begin);
  Ask(0, backend_fence{ 2 });
  Ask(0, backend_promote{ 3, {} });
  EXPECT_EQ(Simple(0, 3, statement_kind::Write, "set a 1").mError,
            backend_error::NoTransaction);
}

// Guards against reads that a lagging replica answers too early.
TEST_F(StandinServerTest, DelaysReadsUntilIndexIsApplied)
{
  server_faults faults;
  faults.mApplyLag = milliseconds(20);
  Lead(0, 1);
  mServers[1].SetFaults(faults);
  Write(0, 1, "k", "set a 1");
  Replicate(1);
  const backend_statement read{ "",     1, statement_kind::Read,
                                "",     2, milliseconds(50),
                                "get a" };
  const request_ticket ticket = mNextTicket;
  EXPECT_FALSE(Ask(1, read).has_value());
  EXPECT_EQ(Ask(1, backend_wait{ 1, 2, {} })->mError, backend_error::None);
  mNow += milliseconds(20);
  mServers[1].Advance(mNow);
  const auto reply = Collect(1, ticket);
  ASSERT_TRUE(reply);
  EXPECT_EQ(reply->mBody, "1");
  EXPECT_EQ(reply->mIndex, 2U);
  EXPECT_EQ(Simple(1, 1, statement_kind::Read, "get a").mBody, "1");
}

// Guards against a second execution while the first one is under way, and an
// outcome that is called absent although it may still come.
TEST_F(StandinServerTest, ReportsKeyInProgressDuringExecutionDelay)
{
  Lead(0, 1);
  server_faults faults;
  faults.mExecutionDelay = milliseconds(10);
  mServers[0].SetFaults(faults);
  EXPECT_FALSE(Ask(
    0,
    backend_statement{ "", 1, statement_kind::Write, "k", 0, {}, "add a 1" },
    7));
  EXPECT_EQ(Write(0, 1, "k", "add a 1"), backend_error::InProgress);
  EXPECT_EQ(Ask(0, backend_outcome_query{ "k" })->mKeyState,
            key_state::InProgress);
  mServers[0].CloseClient(7);
  mNow += milliseconds(10);
  mServers[0].Advance(mNow);
  EXPECT_EQ(Ask(0, backend_outcome_query{ "k" })->mKeyState, key_state::Done);
  EXPECT_EQ(Ask(1, backend_outcome_query{ "k" })->mError,
            backend_error::NotPrimary);
}

// Guards against a withheld answer whose effect is missing.
TEST_F(StandinServerTest, LosesAnswerAfterEffect)
{
  Lead(0, 1);
  server_faults faults;
  faults.mAnswersToLose = 1;
  mServers[0].SetFaults(faults);
  EXPECT_FALSE(Ask(
    0,
    backend_statement{ "", 1, statement_kind::Write, "k", 0, {}, "add a 1" }));
  EXPECT_EQ(Ask(0, backend_outcome_query{ "k" })->mBody, "1");
}

// Guards against a replica of a replaced primary that confirms a position of
// its own, different entries.
TEST_F(StandinServerTest, ConfirmsNoPositionBeforeDivergedEntriesAreGone)
{
  Lead(0, 1);
  for (int i = 0; i < 5; ++i) {
    Write(0, 1, "lost" + std::to_string(i), "set a lost");
  }
  Ask(1, backend_fence{ 2 });
  Ask(2, backend_fence{ 2 });
  Ask(1, backend_promote{ 2, {} });
  Ask(0, backend_follow{ 2, EndpointOf(1) });
  Write(1, 2, "k", "set a kept");
  EXPECT_FALSE(Ask(0, backend_wait{ 2, 3, milliseconds(5) }));
  EXPECT_FALSE(
    Ask(0,
        backend_statement{
          "", 2, statement_kind::Read, "", 0, milliseconds(5), "get a" }));
  for (int i = 0; i < 3; ++i) {
    Replicate(0);
  }
  EXPECT_EQ(Ask(0, backend_wait{ 2, 3, {} })->mError, backend_error::None);
  EXPECT_EQ(Simple(0, 2, statement_kind::Read, "get a").mBody, "kept");
  EXPECT_EQ(mServers[0].Log().Received(), mServers[1].Log().Received());
  EXPECT_EQ(mServers[0].Log().FindKey("lost1"), nullptr);
}

// Guards against a confirmed write that a later primary lacks, whatever the
// order of writes, pulls, lags and changes of primary.
TEST_F(StandinServerTest, KeepsConfirmedWritesOverRandomChangesOfPrimary)
{
  std::mt19937 random(20'240'817);
  std::uint64_t term = 1;
  std::size_t primary = 0;
  std::vector<std::string> confirmed;
  Lead(0, 1);
  for (int step = 0; step < 100'000; ++step) {
    mNow += milliseconds(random() % 3);
    const std::size_t other = (primary + 1 + random() % 2) % kServers;
    const unsigned choice = random() % 100;
    if (choice < 40) {
      Replicate(other);
    } else if (choice < 95) {
      // A fifth repeats an earlier key: its entry may be of a former term.
      const std::string key =
        "k" + std::to_string(random() % 5 == 0 && step > 0
                               ? step - random() % std::min(step, 200)
                               : step);
      const auto wrote =
        Simple(primary, term, statement_kind::Write, "set a " + key, key);
      Replicate(random() % kServers);
      const auto wait = Ask(other, backend_wait{ term, wrote.mIndex, {} });
      if (wait && wait->mError == backend_error::None) {
        confirmed.push_back(key);
      }
    } else if (choice < 97) {
      server_faults faults;
      faults.mReceiveLag = milliseconds(random() % 8);
      faults.mApplyLag = milliseconds(random() % 8);
      mServers[random() % kServers].SetFaults(faults);
    } else {
      // A majority is fenced; its most advanced member is promoted.
      ++term;
      const std::size_t left = (other + 1 + random() % 2) % kServers;
      const auto first = Ask(other, backend_fence{ term })->mStatus;
      const auto second = Ask(left, backend_fence{ term })->mStatus;
      const bool isFirst = std::pair(first->mLogTerm, first->mReceived) >=
                           std::pair(second->mLogTerm, second->mReceived);
      primary = isFirst ? other : left;
      ASSERT_EQ(Ask(primary, backend_promote{ term, {} })->mError,
                backend_error::None);
      for (std::size_t i = 0; i < kServers; ++i) {
        Ask(i, backend_follow{ term, EndpointOf(primary) });
      }
      for (std::size_t i = confirmed.size(); i > 0 && i + 50 > confirmed.size();
           --i) {
        ASSERT_NE(mServers[primary].Log().FindKey(confirmed[i - 1]), nullptr)
          << "step " << step << " term " << term;
      }
    }
  }
  EXPECT_GT(confirmed.size(), 1'000U);
  for (const std::string& key : confirmed) {
    ASSERT_NE(mServers[primary].Log().FindKey(key), nullptr) << key;
  }
}

} // namespace
} // namespace snipewalk::standins
