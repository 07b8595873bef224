// Decides when this instance claims the failover duty, the fleet-wide right to
// order changes of primary, and when it may use it. The duty is a record in the
// store that is not renewed. Its holder reads the record repeatedly, and may
// use the duty only for a limited time after a read that named it as holder. An
// instance that takes over from another holder waits until that time has
// passed.
//
// The store may come back from an older copy, which has forgotten who claimed
// the duty last. In a store with eras, a claim's fence number is therefore
// greater than the revision of the record that it replaces: revisions only
// grow, over all eras. A record that was claimed in an earlier era gives nobody
// the duty.
#ifndef SNIPEWALK_SESSION_DUTY_LEASE_H_
#define SNIPEWALK_SESSION_DUTY_LEASE_H_

#include "snipewalk/base/time.h"
#include "snipewalk/messages/store_revision.h"
#include "snipewalk/session/fleet_records.h"

#include <optional>
#include <string>

namespace snipewalk {

// Conditional write of the duty record. Expected version zero creates the
// record.
struct duty_write
{
  duty_record mRecord;
  std::uint64_t mExpectedVersion = 0;
};

class duty_lease
{
public:
  // The holder may use the duty for this long after the time as of which a read
  // named it.
  static constexpr milliseconds kLeaseDuration{ 1'500 };
  // A promotion order is answered or withdrawn within this time.
  static constexpr milliseconds kOrderTimeout{ 1'000 };
  // Time after which an order that left until now is no longer under way:
  // kOrderTimeout plus a margin for clocks of different speed.
  static constexpr milliseconds kOrderDelay{ 1'100 };
  // An instance that takes over from a holder that has not resigned waits this
  // long before it uses the duty: until the lease of that holder and its last
  // order have ended.
  static constexpr milliseconds kTakeoverDelay = kLeaseDuration + kOrderDelay;
  // A holder that no instance has heard from for this long may be replaced.
  static constexpr milliseconds kHolderTimeout{ 1'300 };

  // Longest stagger, see the constructor.
  static constexpr milliseconds kMaxStagger{ 250 };

  // Returns the stagger of an instance, which depends on its name alone.
  static milliseconds StaggerOf(const std::string& aInstance);

  // `aStagger` delays the claims of this instance, so that the instances do not
  // all claim at once.
  duty_lease(std::string aInstance, std::uint64_t aStarted, duration aStagger);

  // Handles a read of the record as it was in the store at `aAsOf` or later;
  // std::nullopt if it did not exist, with the revision of that read as
  // `aVersion`.
  void OnRecord(const std::optional<duty_record>& aRecord,
                std::uint64_t aVersion,
                time_point aAsOf,
                time_point aNow);
  // Notes that this or another instance heard from the holder at `aWhen`.
  void OnHolderSeen(const std::string& aHolder, time_point aWhen);
  // Until `aUntil` the process may not know enough of the fleet to use the duty
  // well, so it claims it later than all others from an earlier holder.
  void SetClaimsLastUntil(time_point aUntil) { mClaimsLastUntil = aUntil; }
  // Called after the process was suspended for an unknown time. The duty is not
  // used again before a read that was requested afterwards.
  void OnSuspended(time_point aNow);

  // Notes that the process has not run for a while until `aNow`, as when it was
  // stopped. It could hear from nobody, so the holder's silence in that time
  // says nothing.
  void OnStoodStill(time_point aNow);

  // Returns the claim to write if one is due. No further claim is returned
  // until OnWritten() has been called.
  std::optional<duty_write> ClaimIfDue(time_point aNow);
  // Handles the result of a write: its version if it took effect, std::nullopt
  // if it did not or if that is unknown. After the latter no claim is returned
  // before a read succeeds.
  void OnWritten(const duty_write& aWrite,
                 std::optional<std::uint64_t> aVersion,
                 time_point aNow);

  // Whether this instance may order changes of primary now.
  bool Holds(time_point aNow) const;
  // Whether a recent read named this process as holder, so that no other
  // instance needs to claim the duty. The process may still have to wait before
  // it uses the duty.
  bool IsLeaseCurrent(time_point aNow) const;
  // Whether the record names this process as holder, even if it may not use the
  // duty at present.
  bool IsNamedHolder() const;
  // Fence number in the record; zero if there is no record.
  std::uint64_t Fence() const { return mRecord ? mRecord->mFence : 0; }
  // Stops claiming and using the duty.
  void Resign() { mResigned = true; }
  // Returns the write that clears the holder, if this process is the holder and
  // has resigned. The next holder uses the duty at once, so this must not be
  // called while an order of this process may be under way. No further write is
  // returned until OnWritten() has been called.
  std::optional<duty_write> VacateIfDue(time_point aNow);
  const std::optional<duty_record>& Record() const { return mRecord; }
  // When the holder was last heard from, or when the present record was first
  // seen.
  time_point HolderSeenAt() const { return mHolderSeenAt; }

private:
  // Whether the record was claimed in the present era of the store.
  bool IsOfThisEra() const
  {
    return mRecord && EraOf(mRecord->mFence) == EraOf(mVersion);
  }
  // Whether the duty was certainly not in use when the record was read.
  bool IsUnused() const;
  // Version of the record in the store; zero if there is none.
  std::uint64_t StoredVersion() const { return mRecord ? mVersion : 0; }
  void SetRecord(const std::optional<duty_record>& aRecord,
                 std::uint64_t aVersion,
                 time_point aNow);

  std::string mInstance;
  std::uint64_t mStarted;
  duration mStagger;
  time_point mClaimsLastUntil = time_point::min();
  std::optional<duty_record> mRecord;
  // Version of the record, or revision as of which there was none.
  std::uint64_t mVersion = 0;
  bool mRecordKnown = false;
  // Earliest time at which this process may use the duty; set with each change
  // of the record.
  time_point mUsableFrom = time_point::max();
  // Latest time as of which a read named this process as holder.
  time_point mConfirmedAt = time_point::min();
  // When the process went on after its last suspension. An earlier read may be
  // older than it seems.
  time_point mSuspendedUntil = time_point::min();
  time_point mHolderSeenAt = time_point::min();
  bool mWritePending = false;
  // Time of a failed write after which no read has succeeded. Set while the
  // store may be unavailable to this instance.
  std::optional<time_point> mContactLostAt;
  // Earliest time of the next write; set after a write that failed or whose
  // effect is unknown.
  time_point mNextWriteAt = time_point::min();
  bool mResigned = false;
};

} // namespace snipewalk

#endif // SNIPEWALK_SESSION_DUTY_LEASE_H_
