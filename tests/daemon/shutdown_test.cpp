// Tests of the shutdown sequence.
#include "snipewalk/daemon/shutdown.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <random>

namespace snipewalk {
namespace {

using actions = std::vector<shutdown_action>;

class stepper
{
public:
  // Advances by `aTime` in steps of 100 ms and returns all actions.
  actions Advance(milliseconds aTime, const shutdown_load& aLoad)
  {
    actions taken;
    for (milliseconds step(0); step < aTime; step += milliseconds(100)) {
      mNow += milliseconds(100);
      mSequence.Tick(mNow, aLoad, taken);
    }
    return taken;
  }

  shutdown_sequence mSequence;
  time_point mNow{ seconds(100) };
};

bool
Has(const actions& aTaken, shutdown_action aAction)
{
  return std::find(aTaken.begin(), aTaken.end(), aAction) != aTaken.end();
}

// Guards against closing the listener while the load balancer still sends
// callers.
TEST(ShutdownTest, ServesDuringTheNotice)
{
  stepper steps;
  actions taken;
  steps.mSequence.Request(steps.mNow, taken);
  EXPECT_EQ(taken, actions{ shutdown_action::Announce });
  EXPECT_TRUE(steps.Advance(milliseconds(2'900), {}).empty());
  taken = steps.Advance(milliseconds(100), {});
  EXPECT_TRUE(Has(taken, shutdown_action::CloseCallers));
  EXPECT_TRUE(Has(taken, shutdown_action::DrainEngines));
}

// Guards against an exit that aborts a transaction which began so shortly
// before that the first counts do not have it yet.
TEST(ShutdownTest, WaitsForCountsThatHaveTheLatestTransactions)
{
  stepper steps;
  actions taken;
  steps.mSequence.Request(steps.mNow, taken);
  steps.Advance(milliseconds(3'000), {});
  EXPECT_FALSE(
    Has(steps.Advance(milliseconds(500), {}), shutdown_action::ReleaseSlots));
  EXPECT_FALSE(Has(steps.Advance(seconds(20), { 0, 0, 1 }),
                   shutdown_action::ReleaseSlots));
  EXPECT_TRUE(
    Has(steps.Advance(milliseconds(100), {}), shutdown_action::ReleaseSlots));
}

// Guards against an exit that cuts a caller, a transaction or a peer's request.
TEST(ShutdownTest, WaitsForCallersTransactionsAndPeers)
{
  stepper steps;
  actions taken;
  steps.mSequence.Request(steps.mNow, taken);
  steps.Advance(milliseconds(3'000), {});
  EXPECT_FALSE(Has(steps.Advance(seconds(20), { 1, 1, 0 }),
                   shutdown_action::ReleaseSlots));
  EXPECT_FALSE(
    Has(steps.Advance(seconds(5), { 0, 0, 1 }), shutdown_action::ReleaseSlots));
  EXPECT_TRUE(Has(steps.Advance(milliseconds(200), { 0, 3, 0 }),
                  shutdown_action::ReleaseSlots));
  steps.mSequence.SlotsReleased(steps.mNow);
  EXPECT_FALSE(
    Has(steps.Advance(seconds(5), { 0, 3, 0 }), shutdown_action::SendLeave));
  taken = steps.Advance(seconds(1), {});
  EXPECT_EQ(taken,
            (actions{ shutdown_action::SendLeave, shutdown_action::Exit }));
}

// Guards against an instance that never ends, whatever load remains.
TEST(ShutdownTest, EndsWithinItsLimits)
{
  stepper steps;
  actions taken;
  steps.mSequence.Request(steps.mNow, taken);
  taken = steps.Advance(seconds(150), { 1, 1, 1 });
  EXPECT_TRUE(Has(taken, shutdown_action::Exit));
  EXPECT_EQ(steps.mSequence.Phase(), shutdown_phase::Done);
}

// Guards against repeated signals, time jumps or changing load that repeat or
// skip a step (property, seeded).
TEST(ShutdownTest, TakesEachStepOnceAndInOrder)
{
  std::mt19937_64 random(3);
  std::size_t events = 0;
  while (events < 100'000) {
    stepper steps;
    actions taken;
    for (int i = 0; i < 500; ++i, ++events) {
      steps.mNow += milliseconds(random() % 10 == 0 ? 20'000 : random() % 300);
      if (random() % 5 == 0) {
        steps.mSequence.Request(steps.mNow, taken);
      }
      if (random() % 5 == 0) {
        steps.mSequence.SlotsReleased(steps.mNow);
      }
      steps.mSequence.Tick(
        steps.mNow, { random() % 2, random() % 2, random() % 2 }, taken);
    }
    std::erase(taken, shutdown_action::CloseIdleCallers);
    EXPECT_EQ(taken,
              (actions{ shutdown_action::Announce,
                        shutdown_action::CloseCallers,
                        shutdown_action::DrainEngines,
                        shutdown_action::ReleaseSlots,
                        shutdown_action::SendLeave,
                        shutdown_action::Exit }));
  }
}

} // namespace
} // namespace snipewalk
