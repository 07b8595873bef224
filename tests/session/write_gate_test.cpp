// Tests of holding writes back, with a replay of a primary that confirms none.
#include "snipewalk/session/write_gate.h"

#include <gtest/gtest.h>

#include <vector>

namespace snipewalk {
namespace {

time_point
At(int aMs)
{
  return time_point() + milliseconds(100'000 + aMs);
}

TEST(WriteGateTest, AdmitsWritesWhileThePrimaryAnswers)
{
  const write_gate gate;
  EXPECT_TRUE(gate.Admits({ milliseconds(60), 3, At(0) }, At(100)));
}

TEST(WriteGateTest, HoldsWritesOfASilentPrimary)
{
  const write_gate gate;
  EXPECT_FALSE(gate.Admits({ milliseconds(130), 0, std::nullopt }, At(0)));
}

// Reads are answered, so the primary is not silent, but no replica confirms.
TEST(WriteGateTest, HoldsWritesThatNobodyConfirms)
{
  write_gate gate;
  EXPECT_TRUE(gate.Admits({ duration(0), 2, At(0) }, At(290)));
  EXPECT_FALSE(gate.Admits({ duration(0), 2, At(0) }, At(310)));
  gate.OnConfirmed(At(305));
  EXPECT_TRUE(gate.Admits({ duration(0), 2, At(0) }, At(310)));
}

TEST(WriteGateTest, LetsOneWriteTryAtATime)
{
  write_gate gate;
  gate.OnUnanswered();
  EXPECT_TRUE(gate.Admits({ duration(0), 0, std::nullopt }, At(0)));
  EXPECT_FALSE(gate.Admits({ duration(0), 1, At(0) }, At(10)));
  gate.OnConfirmed(At(20));
  EXPECT_TRUE(gate.Admits({ duration(0), 1, At(0) }, At(30)));
}

// Fifty writes a second for seven seconds at a primary that confirms none;
// each sent one occupies a slot for 800 ms and ends in doubt.
TEST(WriteGateTest, SendsFewWritesToAPrimaryThatConfirmsNone)
{
  write_gate gate;
  std::vector<int> underWay;
  int sent = 0;
  for (int ms = 0; ms < 7'000; ++ms) {
    if (std::erase_if(underWay, [&](int aAt) { return ms >= aAt + 800; }) > 0) {
      gate.OnUnanswered();
    }
    write_gate_facts facts;
    facts.mUnderWay = static_cast<int>(underWay.size());
    if (!underWay.empty()) {
      facts.mOldestSent = At(underWay.front());
    }
    if (ms % 20 == 0 && gate.Admits(facts, At(ms))) {
      underWay.push_back(ms);
      ++sent;
    }
  }
  // Without the gate 350.
  EXPECT_LE(sent, 30);
}

} // namespace
} // namespace snipewalk
