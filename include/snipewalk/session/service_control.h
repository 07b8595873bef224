// State that the session controller keeps for each service: the record of its
// primary, the facts by which the primary is judged, and a change of primary in
// progress. The controller's methods maintain it.
#ifndef SNIPEWALK_SESSION_SERVICE_CONTROL_H_
#define SNIPEWALK_SESSION_SERVICE_CONTROL_H_

#include "snipewalk/base/time.h"
#include "snipewalk/session/fleet_records.h"
#include "snipewalk/session/lapsed_replicas.h"
#include "snipewalk/session/log_position.h"
#include "snipewalk/session/lost_log_search.h"
#include "snipewalk/session/primary_change.h"
#include "snipewalk/session/primary_monitor.h"
#include "snipewalk/session/primary_process.h"

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <string>

namespace snipewalk {

// A change of primary in progress, and the instances that have not released
// the old primary yet.
struct running_change
{
  // Distinguishes the changes that this instance has run.
  std::uint64_t mNumber = 0;
  std::unique_ptr<primary_change> mChange;
  // Version of the primary's record that the change began with or has
  // written. A record of another holder must not be replaced.
  std::uint64_t mRecordVersion = 0;
  // Instances that still have to release the old primary, by name.
  std::map<std::string, instance_record> mUnreleased;
  bool mListingInstances = false;
  bool mReleasing = false;
  time_point mReleaseBegan;
  // When the servers were last read for the release.
  time_point mServersReadAt;
  bool mEndsWrites = false;
  // What the instances that released the old primary have acknowledged.
  acknowledged_commits mAcknowledged;
  // When all confirmations given before the change have expired.
  time_point mConfirmationsExpireAt;
  time_point mRequestedAt;
};

// What an instance knows of the primary of a service, and what it does about it
// while it holds the failover duty.
struct service_control
{
  // The latest record that this instance has known. The store may have
  // forgotten it since.
  std::optional<primary_record> mRecord;
  std::uint64_t mRecordVersion = 0;
  // Version of the store's record; zero if it has none.
  std::uint64_t mStoredVersion = 0;
  // Version of the record of the latest candidate; zero if there is none.
  std::uint64_t mCandidateVersion = 0;
  // Since when the store is known to have forgotten mRecord.
  std::optional<time_point> mForgottenSince;
  // Earliest time to write it again.
  time_point mRestoreAfter = time_point::min();
  // Highest term for which the duty holder has asked this instance to release
  // the primary.
  std::uint64_t mReleasedTerm = 0;
  // The same for the acknowledgement of its commits.
  std::uint64_t mWritesEndedTerm = 0;
  // Highest term of a change that lets writes go on until it steps the
  // primary down.
  std::uint64_t mPlannedTerm = 0;
  primary_process mProcess;
  primary_monitor mMonitor;
  std::optional<running_change> mRunning;
  // When a replica last left or lost its log, which may have been the only
  // one that received the newest commits. Unset once mRequiredPosition covers
  // these.
  std::optional<time_point> mReplicaLeftAt;
  lapsed_replicas mLapsed;
  // Position that the log of the next primary must contain while the present
  // one is alive.
  log_position mRequiredPosition;
  // Newest position at which instances said that they have acknowledged a
  // commit of the primary.
  log_position mAcknowledgedPosition;
  lost_log_search mLogSearch;
  // A status request for the monitor is in flight.
  bool mProbing = false;
  // Earliest start of the next change; set after a failed one.
  time_point mChangeAfter = time_point::min();
};

} // namespace snipewalk

#endif // SNIPEWALK_SESSION_SERVICE_CONTROL_H_
