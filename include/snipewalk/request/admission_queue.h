// Bounded queues of waiting requests: one lane a kind of work, weighted round
// robin over client accounts inside a lane. The lanes are served in the order
// of their enumerators.
#ifndef SNIPEWALK_REQUEST_ADMISSION_QUEUE_H_
#define SNIPEWALK_REQUEST_ADMISSION_QUEUE_H_

#include <array>
#include <cstddef>
#include <cstdint>
#include <list>
#include <memory>
#include <string>

#include <absl/container/flat_hash_map.h>

namespace snipewalk {

enum class queue_lane
{
  Write,
  Begin,
  // Reads that only the primary can serve.
  PrimaryRead,
  SessionRead,
  AgedRead
};

inline constexpr std::size_t kQueueLanes = 5;

struct account_queue;

// Links of a waiting request; the request derives from it. It is linked exactly
// while mQueue is set.
struct admission_node
{
  admission_node* mPrevious = nullptr;
  admission_node* mNext = nullptr;
  account_queue* mQueue = nullptr;
};

class admission_queue
{
public:
  admission_queue();
  ~admission_queue();
  admission_queue(const admission_queue&) = delete;
  admission_queue& operator=(const admission_queue&) = delete;

  void SetLimit(std::size_t aLimit) { mLimit = aLimit; }
  bool Full() const { return mSize >= mLimit; }
  std::size_t Size() const { return mSize; }
  std::size_t Size(queue_lane aLane) const;

  // Requests of the lane that are served before a new one of the account, at
  // most: other accounts take their turns meanwhile, but no more than that.
  std::size_t Ahead(queue_lane aLane, const std::string& aAccount) const;

  // What a new request of the account may displace from the lane: the newest
  // request of the account that has the most waiting there. Null when no
  // account would keep at least as many as `aAccount` has then.
  admission_node* Displaceable(queue_lane aLane,
                               const std::string& aAccount) const;

  // Requests that an account may take in a row; 1 by default.
  void SetWeight(const std::string& aAccount, int aWeight);

  // Adds a request; requests that were admitted before return to the front of
  // their account's queue.
  void Push(queue_lane aLane,
            const std::string& aAccount,
            admission_node& aNode,
            bool aFront = false);

  // The request that is served next, or null.
  admission_node* Front(queue_lane aLane) const;

  // Removes the front of a lane and passes the turn on when the account used
  // its weight.
  void Pop(queue_lane aLane);

  // Removes a request wherever it waits; nothing when it does not wait.
  void Remove(admission_node& aNode);

private:
  struct lane_state
  {
    absl::flat_hash_map<std::string, std::unique_ptr<account_queue>> mAccounts;
    // Accounts with waiting requests; the front one has the turn.
    std::list<account_queue*> mTurns;
    std::size_t mSize = 0;
  };

  const account_queue* Find(queue_lane aLane,
                            const std::string& aAccount) const;
  int WeightOf(const std::string& aAccount) const;
  void Unlink(admission_node& aNode);

  std::array<lane_state, kQueueLanes> mLanes;
  absl::flat_hash_map<std::string, int> mWeights;
  std::size_t mLimit = 1'000;
  std::size_t mSize = 0;
};

} // namespace snipewalk

#endif // SNIPEWALK_REQUEST_ADMISSION_QUEUE_H_
