// Decides which waiting store call of an instance is sent next
// (docs/large-fleets.md, section 1). A state machine without sockets, threads
// or clocks.
//
// - All calls together stay within the instance's limit.
// - A class is sent only while no higher class waits. Exceptions: a watch is
//   sent before all others, but not directly after another watch while other
//   calls wait; one in kOverdueEvery calls, and any call while the highest
//   waiting class is held by its own rate, may be one that has waited for
//   longer than the bound of its class.
// - Each class has a rate of its own that falls with each refusal of its calls
//   or of a higher class and rises with time. The lower the class, the further
//   it falls and the slower it rises. A refused class also pauses for a random
//   time; an overdue call is not held by a pause.
//
// The rate of a class never falls below kMinRate, so that the first call of a
// class waits for a bounded time.
#ifndef SNIPEWALK_STORE_STORE_SCHEDULE_H_
#define SNIPEWALK_STORE_STORE_SCHEDULE_H_

#include "snipewalk/base/time.h"
#include "snipewalk/messages/store_client.h"

#include <array>
#include <cstdint>
#include <deque>
#include <optional>
#include <random>

namespace snipewalk {

class store_schedule
{
public:
  using call_id = std::uint64_t;

  // One in so many calls may be an overdue one of a lower class.
  static constexpr int kOverdueEvery = 4;
  // Calls a second of each class under persistent refusals.
  static constexpr double kMinRate = 1;

  // `aCallsPerSecond` is at least 1.
  store_schedule(int aCallsPerSecond, std::uint64_t aSeed, time_point aNow);

  // Adds a call that is to be sent before `aSendBy`. `aFirst` puts it before
  // the others of its class.
  void Add(call_id aCall,
           store_priority aPriority,
           bool aFirst,
           time_point aSendBy,
           time_point aNow);
  // Removes a call that has not been taken yet; does nothing otherwise.
  void Remove(call_id aCall);
  // Removes a call that was not sent in time.
  std::optional<call_id> TakeExpired(time_point aNow);
  // Removes the call to be sent now; nothing while none may be sent.
  std::optional<call_id> TakeNext(time_point aNow);
  // The store refused a call above its own limit.
  void OnRateLimited(store_priority aPriority, time_point aNow);

  // Waiting calls.
  std::size_t Size() const { return mSize; }
  std::size_t Waiting(store_priority aPriority) const;
  // Refusals by the store since the start.
  std::uint64_t RateLimited(store_priority aPriority) const;
  // Calls a second that the class may make at present.
  double Rate(store_priority aPriority) const;

  // Waiting time after which a call counts as overdue.
  static milliseconds OverdueAfter(store_priority aPriority);

private:
  struct waiting_call
  {
    call_id mCall = 0;
    time_point mSince;
    time_point mSendBy;
  };

  struct priority_class
  {
    std::deque<waiting_call> mCalls;
    // At most the rate of the next higher class.
    double mRate = 0;
    double mTokens = 0;
    // Not before the end of the pause of the next higher class.
    time_point mPausedUntil = time_point::min();
    std::uint64_t mRateLimited = 0;
  };

  void Refill(time_point aNow);
  std::optional<std::size_t> Overdue(time_point aNow) const;
  std::optional<std::size_t> Regular(time_point aNow) const;
  call_id Take(std::size_t aClass);

  double mLimit;
  std::minstd_rand mRandom;
  std::array<priority_class, kStorePriorityNames.size()> mClasses;
  double mTokens;
  time_point mRefilledAt;
  std::size_t mSize = 0;
  // Calls sent since the last overdue one.
  int mSinceOverdue = 0;
  bool mLastWasWatch = false;
};

} // namespace snipewalk

#endif // SNIPEWALK_STORE_STORE_SCHEDULE_H_
