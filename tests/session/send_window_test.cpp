// Tests of the send window, including a simulation of many instances that share
// an overloaded server.
#include "snipewalk/session/send_window.h"

#include <gtest/gtest.h>

#include <deque>
#include <vector>

namespace snipewalk {
namespace {

time_point
At(int aMs)
{
  return time_point() + milliseconds(100'000 + aMs);
}

TEST(SendWindowTest, AlwaysAdmitsOne)
{
  send_window window;
  for (int ms = 0; ms < 10'000; ms += 200) {
    window.OnRefusal(At(ms));
  }
  EXPECT_TRUE(window.Admits(0));
  EXPECT_FALSE(window.Admits(1));
}

TEST(SendWindowTest, CountsRefusalsOfOneOverflowOnce)
{
  send_window window;
  const double before = window.Size();
  for (int i = 0; i < 20; ++i) {
    window.OnRefusal(At(i));
  }
  EXPECT_GE(window.Size(), before / 2);
}

TEST(SendWindowTest, WidensWhileAnswersAreQuick)
{
  send_window window;
  for (int i = 0; i < 100; ++i) {
    window.OnAnswer(milliseconds(15));
  }
  EXPECT_TRUE(window.Admits(7));
}

struct simulation_counts
{
  int mDone = 0;
  int mRefused = 0;
  // Sum of the answer times of the statements done.
  milliseconds mAnswerTimes{ 0 };
};

// Simulates ten seconds of seven instances with unlimited work and six
// connections each, and a server with three slots, 18 ms per statement and a
// queue of 24 statements.
simulation_counts
SimulateOverload(bool aWithWindow)
{
  constexpr int kInstances = 7;
  constexpr int kConnections = 6;
  constexpr std::size_t kQueue = 24;
  std::vector<send_window> windows(kInstances);
  std::vector<int> inFlight(kInstances, 0);
  std::deque<std::pair<int, int>> queue;
  std::vector<std::pair<int, std::pair<int, int>>> slots;
  simulation_counts counts;
  for (int ms = 0; ms < 10'000; ++ms) {
    std::erase_if(slots, [&](const auto& aSlot) {
      if (aSlot.first > ms) {
        return false;
      }
      const auto [instance, sent] = aSlot.second;
      --inFlight[static_cast<std::size_t>(instance)];
      const milliseconds took(ms - sent);
      windows[static_cast<std::size_t>(instance)].OnAnswer(took);
      counts.mAnswerTimes += took;
      ++counts.mDone;
      return true;
    });
    while (slots.size() < 3 && !queue.empty()) {
      slots.emplace_back(ms + 18, queue.front());
      queue.pop_front();
    }
    for (std::size_t i = 0; i < kInstances; ++i) {
      if (inFlight[i] >= kConnections ||
          (aWithWindow && !windows[i].Admits(inFlight[i]))) {
        continue;
      }
      if (queue.size() >= kQueue) {
        ++counts.mRefused;
        windows[i].OnRefusal(At(ms));
      } else {
        ++inFlight[i];
        queue.emplace_back(static_cast<int>(i), ms);
      }
    }
  }
  return counts;
}

TEST(SendWindowTest, KeepsTheQueueOfAnOverloadedServerFromOverflowing)
{
  const simulation_counts withoutWindow = SimulateOverload(false);
  const simulation_counts withWindow = SimulateOverload(true);
  EXPECT_LT(withWindow.mRefused * 10, withoutWindow.mRefused);
  EXPECT_GE(withWindow.mDone * 100, withoutWindow.mDone * 98);
}

// A transaction's later statements are sent to its server whatever the window
// is, so the server's queue delays each of them. Two of them must fit into the
// shortest objective in use, 200 ms, while callers ask for more than the server
// executes.
TEST(SendWindowTest, KeepsAnswersOfAnOverloadedServerShort)
{
  const simulation_counts counts = SimulateOverload(true);
  EXPECT_LE(counts.mAnswerTimes / counts.mDone, milliseconds(100));
}

} // namespace
} // namespace snipewalk
