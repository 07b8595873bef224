// Decides when this instance claims the duty to order changes of primary, and
// when it may use it. The duty is a record in the store without renewals: its
// holder reads it again and again, and uses the duty only for a while after a
// read that named it. Whoever replaces a holder waits until that while is over.
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
  // The duty is used for this long after the moment of which a read speaks.
  static constexpr milliseconds kUseFor{ 1'500 };
  // A holder that replaced another one waits this long: kUseFor and the time
  // limit of the other's last call to the platform.
  static constexpr milliseconds kWaitAfterTakeover{ 2'600 };
  // A holder that no instance hears for this long is replaced.
  static constexpr milliseconds kSilence{ 1'300 };

  // `aStagger` delays this instance's claims, so that not all claim at once.
  duty_lease(std::string aInstance, std::uint64_t aStarted, duration aStagger);

  // The record as the store held it at `aAsOf` or later; nothing when it did
  // not exist.
  void OnRecord(const std::optional<duty_record>& aRecord,
                std::uint64_t aVersion,
                time_point aAsOf,
                time_point aNow);
  // The holder was heard, by this instance or by another one, at `aWhen`.
  void OnHolderHeard(const std::string& aHolder, time_point aWhen);
  // The process stood still for an unknown time.
  void OnSuspended();

  // The claim that is due, if any. After it, no other is due until
  // OnWritten() was called.
  std::optional<duty_write> Due(time_point aNow);
  // The answer to a write: its version when it took effect, nothing when it did
  // not or when that is unknown.
  void OnWritten(const duty_write& aWrite,
                 std::optional<std::uint64_t> aVersion,
                 time_point aNow);

  // Whether this instance may order changes of primary now.
  bool Holds(time_point aNow) const;
  // The record names this process, whether or not it may use the duty.
  bool IsOwn() const;
  // Fence number of the present hold.
  std::uint64_t Fence() const { return mRecord ? mRecord->mFence : 0; }
  // Gives the duty up: the write that says so, if this instance holds it.
  std::optional<duty_write> Resign();
  const std::optional<duty_record>& Record() const { return mRecord; }
  // When the holder was heard last, or the record was first seen.
  time_point HolderHeardAt() const { return mHeardAt; }

private:
  void Adopt(const std::optional<duty_record>& aRecord,
             std::uint64_t aVersion,
             time_point aNow);

  std::string mInstance;
  std::uint64_t mStarted;
  duration mStagger;
  std::optional<duty_record> mRecord;
  std::uint64_t mVersion = 0;
  bool mKnown = false;
  // Own holds are not used before; set with each change of the record.
  time_point mUseAfter = time_point::max();
  // A read that was made at this moment named this process.
  time_point mReadAt = time_point::min();
  time_point mHeardAt = time_point::min();
  bool mWriting = false;
  // After a write without a known effect no other is sent before.
  time_point mWriteAfter = time_point::min();
  bool mResigned = false;
};

} // namespace snipewalk

#endif // SNIPEWALK_SESSION_DUTY_LEASE_H_
