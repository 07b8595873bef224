// Decides when this instance claims, renews and may use the duty to order
// changes of primary. The lease is a record in the store that its holder keeps
// changing; an instance may replace a record that it saw unchanged for
// kTakeoverAfter.
#ifndef SNIPEWALK_SESSION_DUTY_LEASE_H_
#define SNIPEWALK_SESSION_DUTY_LEASE_H_

#include "snipewalk/base/time.h"
#include "snipewalk/session/fleet_records.h"

#include <optional>
#include <string>

namespace snipewalk {

// Conditional write of the duty record; version zero creates it.
struct duty_write
{
  duty_record mRecord;
  std::uint64_t mExpectedVersion = 0;
};

class duty_lease
{
public:
  static constexpr milliseconds kRenewEvery{ 1'000 };
  // The holder stops kTakeoverAfter - kHoldFor before another may begin, which
  // covers the time of a call to the platform that it made last.
  static constexpr milliseconds kHoldFor{ 3'000 };
  static constexpr milliseconds kTakeoverAfter{ 4'500 };

  // `aStagger` delays this instance's claims, so that not all claim at once.
  duty_lease(std::string aInstance, std::uint64_t aStarted, duration aStagger);

  // The record as the store holds it; nothing when it does not exist.
  void OnRecord(const std::optional<duty_record>& aRecord,
                std::uint64_t aVersion,
                time_point aNow);

  // The write that is due, if any. After it, no other is due until OnWritten()
  // or OnRecord() was called.
  std::optional<duty_write> Due(time_point aNow);
  // The answer to a write sent at `aSent`: its version when it took effect,
  // nothing when it did not or when that is unknown.
  void OnWritten(const duty_write& aWrite,
                 std::optional<std::uint64_t> aVersion,
                 time_point aSent,
                 time_point aNow);

  // Whether this instance may order changes of primary now.
  bool Holds(time_point aNow) const;
  // Fence number of the present hold.
  std::uint64_t Fence() const { return mRecord ? mRecord->mFence : 0; }
  // Gives the duty up: the write that says so, if this instance holds it.
  std::optional<duty_write> Resign();
  const std::optional<duty_record>& Record() const { return mRecord; }

private:
  bool IsOwn() const;

  std::string mInstance;
  std::uint64_t mStarted;
  duration mStagger;
  std::optional<duty_record> mRecord;
  std::uint64_t mVersion = 0;
  // When this version of the record was first seen; nothing before the first
  // look at the store.
  std::optional<time_point> mSeenAt;
  // Sending time of the last write that took effect.
  std::optional<time_point> mWrittenAt;
  bool mWriting = false;
  // After a write without a known effect no other is sent before.
  time_point mWriteAfter = time_point::min();
  bool mResigned = false;
};

} // namespace snipewalk

#endif // SNIPEWALK_SESSION_DUTY_LEASE_H_
