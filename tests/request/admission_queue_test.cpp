// Tests of the admission queues.
#include "snipewalk/request/admission_queue.h"

#include <gtest/gtest.h>

#include <array>
#include <string>

namespace snipewalk {
namespace {

struct numbered_node : admission_node
{
  int mNumber = 0;
};

class AdmissionQueueTest : public ::testing::Test
{
protected:
  void Push(int aNumber, const std::string& aAccount, bool aFront = false)
  {
    auto& node = mNodes.at(static_cast<std::size_t>(aNumber));
    node.mNumber = aNumber;
    mQueue.Push(queue_lane::Write, aAccount, node, aFront);
  }

  std::string PopAll()
  {
    std::string order;
    while (const auto* node = mQueue.Front(queue_lane::Write)) {
      order += std::to_string(static_cast<const numbered_node*>(node)->mNumber);
      mQueue.Pop(queue_lane::Write);
    }
    return order;
  }

  std::array<numbered_node, 10> mNodes;
  admission_queue mQueue;
};

// Guards against an account with many requests that delays all others.
TEST_F(AdmissionQueueTest, TakesTurnsBetweenAccounts)
{
  for (const int i : { 0, 1, 2, 3 }) {
    Push(i, "busy");
  }
  Push(4, "quiet");
  Push(5, "quiet");
  EXPECT_EQ(PopAll(), "041523");
}

// Guards against an account that is refused for the requests of another.
TEST_F(AdmissionQueueTest, CountsOnlyWhatIsServedBefore)
{
  EXPECT_EQ(mQueue.Ahead(queue_lane::Write, "quiet"), 0U);
  for (const int i : { 0, 1, 2, 3, 4 }) {
    Push(i, "busy");
  }
  EXPECT_EQ(mQueue.Ahead(queue_lane::Write, "quiet"), 1U);
  EXPECT_EQ(mQueue.Ahead(queue_lane::Write, "busy"), 5U);
  Push(5, "quiet");
  EXPECT_EQ(mQueue.Ahead(queue_lane::Write, "quiet"), 3U);
  EXPECT_EQ(mQueue.Ahead(queue_lane::Write, "busy"), 6U);
  mQueue.SetWeight("busy", 2);
  EXPECT_EQ(mQueue.Ahead(queue_lane::Write, "other"), 3U);
}

// Guards against a full queue that belongs to one account, and against accounts
// that displace each other in turn.
TEST_F(AdmissionQueueTest, DisplacesTheNewestOfTheLongestQueue)
{
  EXPECT_EQ(mQueue.Displaceable(queue_lane::Write, "quiet"), nullptr);
  for (const int i : { 0, 1, 2 }) {
    Push(i, "busy");
  }
  EXPECT_EQ(mQueue.Displaceable(queue_lane::Write, "quiet"), &mNodes[2]);
  EXPECT_EQ(mQueue.Displaceable(queue_lane::Write, "busy"), nullptr);
  mQueue.Remove(mNodes[2]);
  Push(3, "quiet");
  EXPECT_EQ(mQueue.Displaceable(queue_lane::Write, "quiet"), nullptr);
}

// Guards against weights without effect.
TEST_F(AdmissionQueueTest, GivesAnAccountItsWeightInARow)
{
  mQueue.SetWeight("heavy", 2);
  for (const int i : { 0, 1, 2, 3 }) {
    Push(i, "heavy");
  }
  Push(4, "light");
  Push(5, "light");
  EXPECT_EQ(PopAll(), "014235");
}

// Guards against unbounded waiting and against a size that drifts.
TEST_F(AdmissionQueueTest, IsFullAtItsLimitUntilARequestLeaves)
{
  mQueue.SetLimit(2);
  Push(0, "x");
  EXPECT_FALSE(mQueue.Full());
  Push(1, "y");
  EXPECT_TRUE(mQueue.Full());
  mQueue.Remove(mNodes[0]);
  mQueue.Remove(mNodes[0]);
  EXPECT_FALSE(mQueue.Full());
  EXPECT_EQ(PopAll(), "1");
  EXPECT_EQ(mQueue.Size(), 0U);
}

// Guards against a retried request that waits a second time.
TEST_F(AdmissionQueueTest, PutsARetriedRequestInFront)
{
  Push(0, "x");
  Push(1, "x", true);
  EXPECT_EQ(PopAll(), "10");
}

} // namespace
} // namespace snipewalk
