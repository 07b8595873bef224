// Implementation of the admission queues.
#include "snipewalk/request/admission_queue.h"

namespace snipewalk {

// Waiting requests of one account in one lane. It stands in the lane's turns
// exactly while it has requests.
struct account_queue
{
  std::size_t mLane = 0;
  int mWeight = 1;
  // Requests that the account may still take in this turn.
  int mCredit = 1;
  admission_node* mFirst = nullptr;
  admission_node* mLast = nullptr;
  std::list<account_queue*>::iterator mTurn;
};

namespace {

// Empty accounts beyond this number are dropped, so that names made up by
// callers cannot fill the memory.
constexpr std::size_t kAccountsKept = 1'024;

} // namespace

admission_queue::admission_queue() = default;
admission_queue::~admission_queue() = default;

std::size_t
admission_queue::Size(queue_lane aLane) const
{
  return mLanes[static_cast<std::size_t>(aLane)].mSize;
}

void
admission_queue::SetWeight(const std::string& aAccount, int aWeight)
{
  mWeights[aAccount] = aWeight;
  for (auto& lane : mLanes) {
    const auto found = lane.mAccounts.find(aAccount);
    if (found != lane.mAccounts.end()) {
      found->second->mWeight = aWeight;
    }
  }
}

void
admission_queue::Push(queue_lane aLane,
                      const std::string& aAccount,
                      admission_node& aNode,
                      bool aFront)
{
  const auto index = static_cast<std::size_t>(aLane);
  auto& lane = mLanes[index];
  auto& queue = lane.mAccounts[aAccount];
  if (!queue) {
    queue = std::make_unique<account_queue>();
    queue->mLane = index;
    const auto weight = mWeights.find(aAccount);
    queue->mWeight = weight == mWeights.end() ? 1 : weight->second;
  }
  if (!queue->mFirst) {
    queue->mCredit = queue->mWeight;
    queue->mTurn = lane.mTurns.insert(lane.mTurns.end(), queue.get());
  }
  aNode.mQueue = queue.get();
  aNode.mPrevious = aFront ? nullptr : queue->mLast;
  aNode.mNext = aFront ? queue->mFirst : nullptr;
  (aNode.mPrevious ? aNode.mPrevious->mNext : queue->mFirst) = &aNode;
  (aNode.mNext ? aNode.mNext->mPrevious : queue->mLast) = &aNode;
  ++lane.mSize;
  ++mSize;
}

admission_node*
admission_queue::Front(queue_lane aLane) const
{
  const auto& lane = mLanes[static_cast<std::size_t>(aLane)];
  return lane.mTurns.empty() ? nullptr : lane.mTurns.front()->mFirst;
}

void
admission_queue::Pop(queue_lane aLane)
{
  auto& lane = mLanes[static_cast<std::size_t>(aLane)];
  if (lane.mTurns.empty()) {
    return;
  }
  auto* queue = lane.mTurns.front();
  const bool last = queue->mFirst == queue->mLast;
  Unlink(*queue->mFirst);
  if (!last && --queue->mCredit <= 0) {
    queue->mCredit = queue->mWeight;
    lane.mTurns.splice(lane.mTurns.end(), lane.mTurns, queue->mTurn);
  }
}

void
admission_queue::Remove(admission_node& aNode)
{
  if (aNode.mQueue) {
    Unlink(aNode);
  }
}

void
admission_queue::Unlink(admission_node& aNode)
{
  auto* queue = aNode.mQueue;
  auto& lane = mLanes[queue->mLane];
  (aNode.mPrevious ? aNode.mPrevious->mNext : queue->mFirst) = aNode.mNext;
  (aNode.mNext ? aNode.mNext->mPrevious : queue->mLast) = aNode.mPrevious;
  aNode = admission_node{};
  --lane.mSize;
  --mSize;
  if (!queue->mFirst) {
    lane.mTurns.erase(queue->mTurn);
    if (lane.mAccounts.size() > kAccountsKept) {
      absl::erase_if(lane.mAccounts, [](const auto& aEntry) {
        return aEntry.second->mFirst == nullptr;
      });
    }
  }
}

} // namespace snipewalk
