// Tests of the write gate, including a simulation of a primary that confirms no
// writes.
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

// The primary answers reads and is therefore not silent, but no replica
// confirms its writes.
TEST(WriteGateTest, HoldsWritesWhileNoneIsConfirmed)
{
  write_gate gate;
  EXPECT_TRUE(gate.Admits({ duration(0), 2, At(0) }, At(290)));
  EXPECT_FALSE(gate.Admits({ duration(0), 2, At(0) }, At(310)));
  gate.OnConfirmed(At(305));
  EXPECT_TRUE(gate.Admits({ duration(0), 2, At(0) }, At(310)));
}

TEST(WriteGateTest, AdmitsOneWriteAtATimeAfterATimeout)
{
  write_gate gate;
  gate.OnUnanswered(At(-800));
  EXPECT_TRUE(gate.Admits({ duration(0), 0, std::nullopt }, At(0)));
  EXPECT_FALSE(gate.Admits({ duration(0), 1, At(0) }, At(10)));
  gate.OnConfirmed(At(20));
  EXPECT_TRUE(gate.Admits({ duration(0), 1, At(0) }, At(30)));
}

TEST(WriteGateTest, RemembersTheFirstUnansweredWrite)
{
  write_gate gate;
  EXPECT_FALSE(gate.StalledSince());
  gate.OnUnanswered(At(100));
  gate.OnUnanswered(At(900));
  EXPECT_EQ(gate.StalledSince(), At(100));
  gate.OnConfirmed(At(1'800));
  EXPECT_FALSE(gate.StalledSince());
}

// Sends 50 writes per second for seven seconds to a primary that confirms none.
// Each write occupies a slot for 800 ms and ends with an unknown outcome.
TEST(WriteGateTest, SendsFewWritesToAPrimaryThatConfirmsNone)
{
  write_gate gate;
  std::vector<int> inFlight;
  int sent = 0;
  for (int ms = 0; ms < 7'000; ++ms) {
    if (std::erase_if(inFlight, [&](int aAt) { return ms >= aAt + 800; }) > 0) {
      gate.OnUnanswered(At(ms - 800));
    }
    write_gate_facts facts;
    facts.mInFlight = static_cast<int>(inFlight.size());
    if (!inFlight.empty()) {
      facts.mOldestSent = At(inFlight.front());
    }
    if (ms % 20 == 0 && gate.Admits(facts, At(ms))) {
      inFlight.push_back(ms);
      ++sent;
    }
  }
  // Without the gate all 350 writes would be sent.
  EXPECT_LE(sent, 30);
}

} // namespace
} // namespace snipewalk
