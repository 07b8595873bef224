// Tests of the turns of client accounts.
#include "snipewalk/account/fair_turns.h"

#include <gtest/gtest.h>

#include <map>
#include <string>

namespace snipewalk {
namespace {

constexpr int kPriority = 1;

// Guards against statements of a quiet account that wait behind the whole queue
// of a loud one.
TEST(FairTurnsTest, PutsAQuietAccountBeforeTheQueueOfALoudOne)
{
  fair_turns turns;
  turns.Assign("loud", kPriority);
  const double second = turns.Assign("loud", kPriority);
  EXPECT_LT(turns.Assign("quiet", kPriority), second);
}

// Guards against an account that collects turns while it sends nothing.
TEST(FairTurnsTest, GivesNoCreditForIdleTime)
{
  fair_turns turns;
  for (int i = 0; i < 100; ++i) {
    turns.OnPlaced(kPriority, turns.Assign("loud", kPriority));
  }
  const double first = turns.Assign("quiet", kPriority);
  const double second = turns.Assign("quiet", kPriority);
  const double loud = turns.Assign("loud", kPriority);
  EXPECT_GE(loud, first);
  EXPECT_LE(loud, second);
}

// Guards against refused statements that delay the later ones of their account.
TEST(FairTurnsTest, GivesBackTheTurnsOfRefusedStatements)
{
  fair_turns turns;
  const double first = turns.Assign("ann", kPriority);
  for (int i = 0; i < 50; ++i) {
    turns.Assign("ann", kPriority);
    turns.OnDropped("ann", kPriority);
  }
  EXPECT_EQ(turns.Assign("ann", kPriority), first + 1);
}

TEST(FairTurnsTest, CountsEachPriorityByItself)
{
  fair_turns turns;
  const double urgent = turns.Assign("ann", 0);
  turns.Assign("ann", 2);
  turns.Assign("ann", 2);
  EXPECT_EQ(turns.Assign("ann", 0), urgent + 1);
}

// Replays a burst of one account beside steady work of two others, at a server
// that executes one statement a step.
TEST(FairTurnsTest, LetsTheLoudAccountPayForItsBurst)
{
  fair_turns turns;
  std::multimap<double, std::string> waiting;
  const auto add = [&](const std::string& aAccount) {
    waiting.emplace(turns.Assign(aAccount, kPriority), aAccount);
  };
  for (int i = 0; i < 200; ++i) {
    add("loud");
  }
  std::map<std::string, int> placed;
  for (int step = 0; step < 90; ++step) {
    if (step % 3 == 0) {
      add("first");
      add("second");
    }
    const auto next = waiting.begin();
    turns.OnPlaced(kPriority, next->first);
    ++placed[next->second];
    waiting.erase(next);
  }
  EXPECT_GE(placed["first"], 28);
  EXPECT_GE(placed["second"], 28);
  EXPECT_GE(placed["loud"], 28);
}

} // namespace
} // namespace snipewalk
