// Implementation of the admission queues.
#include "snipewalk/request/admission_queue.h"

#include <algorithm>

namespace snipewalk {

// Waiting requests of one account in one lane. It stands in the lane's turns
// exactly while it has requests.
struct account_queue
{
  std::size_t mLane = 0;
  int mWeight = 1;
  // Requests that the account may still take in this turn.
  int mCredit = 1;
  std::size_t mSize = 0;
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

int
admission_queue::WeightOf(const std::string& aAccount) const
{
  const auto found = mWeights.find(aAccount);
  return found == mWeights.end() ? 1 : found->second;
}

const account_queue*
admission_queue::Find(queue_lane aLane, const std::string& aAccount) const
{
  const auto& accounts = mLanes[static_cast<std::size_t>(aLane)].mAccounts;
  const auto found = accounts.find(aAccount);
  return found == accounts.end() ? nullptr : found->second.get();
}

std::size_t
admission_queue::Ahead(queue_lane aLane, const std::string& aAccount) const
{
  const auto& lane = mLanes[static_cast<std::size_t>(aLane)];
  if (lane.mSize == 0) {
    return 0;
  }
  const account_queue* own = Find(aLane, aAccount);
  const std::size_t before = own ? own->mSize : 0;
  const std::size_t turns =
    before / static_cast<std::size_t>(std::max(1, WeightOf(aAccount))) + 1;
  std::size_t ahead = before;
  for (const account_queue* queue : lane.mTurns) {
    const auto weight = static_cast<std::size_t>(std::max(1, queue->mWeight));
    ahead += queue == own ? 0 : std::min(queue->mSize, turns * weight);
  }
  return ahead;
}

admission_node*
admission_queue::Displaceable(queue_lane aLane,
                              const std::string& aAccount) const
{
  const account_queue* own = Find(aLane, aAccount);
  const std::size_t before = own ? own->mSize : 0;
  const account_queue* most = nullptr;
  for (const account_queue* queue :
       mLanes[static_cast<std::size_t>(aLane)].mTurns) {
    if (!most || queue->mSize > most->mSize) {
      most = queue;
    }
  }
  return most && most->mSize > before + 1 ? most->mLast : nullptr;
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
    queue->mWeight = WeightOf(aAccount);
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
  ++queue->mSize;
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
  --queue->mSize;
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
