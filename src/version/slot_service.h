// State of slot assignment for one service; private to slot_assignment.
#ifndef SNIPEWALK_VERSION_SLOT_SERVICE_H_
#define SNIPEWALK_VERSION_SLOT_SERVICE_H_

#include "snipewalk/version/slot_assignment.h"

#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace snipewalk {

// Another holder of the service.
struct co_holder
{
  std::uint64_t mIncarnation = 0;
  // Highest version of the slots object that the holder is known to have.
  std::uint64_t mRecordVersion = 0;
  // Highest version of the service document that the holder is known to have.
  std::uint64_t mDocumentVersion = 0;
  // Time at which mDocumentVersion was learned.
  time_point mDocumentLearnedAt;
  // Highest version of the slots object in the holder's queries to this
  // instance; zero before the first query.
  std::uint64_t mQueriedVersion = 0;
  // Whether this instance agreed to the holder's replacement at the current
  // version of the slots object.
  bool mReplacementAgreed = false;
};

// An update of the slots object that was sent and whose effect is not known.
struct pending_put
{
  std::size_t mSlot = 0;
  // Whether the replaced holder, if any, is known to have no connections.
  bool mConfirmedGone = false;
};

// Replacement of a holder that is believed dead; collects the agreements of the
// other holders.
struct take_over
{
  std::size_t mSlot = 0;
  slot_record::holder mHolder;
  // Version of the slots object for which the agreements are valid.
  std::uint64_t mRecordVersion = 0;
  // Names of the holders that agreed.
  std::set<std::string> mAgreed;
  // Time of the next query to the holders that did not agree yet.
  time_point mNextQuery;
};

// The release of a slot to a better candidate.
struct slot_move
{
  // Time at which the move started.
  time_point mSince;
  // Time at which the share was set to zero; not set while the confirmation of
  // the store is pending.
  std::optional<time_point> mClosing;
};

struct slot_service
{
  std::string mName;
  int mSlots = 0;
  int mConnections = 0;
  // Version of the service document in force.
  std::uint64_t mDocumentVersion = 0;
  std::vector<std::string> mServerDataCentres;
  // Connections that this instance may have open to each server at present.
  int mShare = 0;

  // Newest known version of the slots object: decoded, its version and its
  // encoded text.
  slot_record mRecord;
  std::uint64_t mRecordVersion = 0;
  std::string mRecordText;
  // Whether the slots object exists in the store, by the newest known version.
  bool mExists = false;

  // Slot that this process holds according to mRecord.
  std::optional<std::size_t> mSlot;
  // Version of the slots object with which this process became a holder.
  std::uint64_t mClaimVersion = 0;
  // Time at which the lease of this holder expires.
  time_point mLeaseExpiry = time_point::min();
  // The share does not grow before this time, because replaced holders may have
  // connections open until then.
  time_point mGrowthBlockedUntil = time_point::min();
  // The other holders of the service by name.
  std::map<std::string, co_holder> mCoHolders;
  // Time of the next query to the other holders.
  time_point mNextQuery = time_point::min();
  // Time from which the slot may be vacated; set while it is being released.
  std::optional<time_point> mReleaseAt;

  // The outstanding store call; there is at most one.
  std::optional<std::uint64_t> mOperation;
  time_point mOperationSent;
  bool mOperationIsPut = false;
  // Whether the slots object must be read before the next update, because the
  // previous update may have taken effect.
  bool mMustReadBack = false;
  // The last update sent. Kept until the next version of the slots object
  // arrives.
  std::optional<pending_put> mPendingPut;
  // Earliest time of the next store call.
  time_point mNextStoreCall = time_point::min();
  milliseconds mBackoff{ 0 };

  // Time since which the service has claimable slots: slots that are vacant or
  // whose holder is dead or gone.
  std::optional<time_point> mClaimableSince;
  // Number of claimable slots; zero while mClaimableSince is not set.
  std::size_t mClaimableSlots = 0;
  // Random fraction of the claim window that this instance waits; chosen
  // anew when mClaimableSince is set.
  double mClaimDelayFraction = 0;
  // Highest number of claims expected in the fleet since mClaimableSince.
  std::size_t mExpectedClaims = 0;
  std::optional<take_over> mTakeOver;
  // Time of the next step; an entry of slot_assignment::mTimers.
  std::optional<time_point> mTimerAt;

  std::optional<slot_move> mMove;
  // Time at which mRecord was adopted.
  time_point mRecordSince = time_point::min();
  // Sending time of the last store query whose answer named this process as a
  // holder.
  time_point mStoreConfirmed = time_point::min();
  // Time and values of the newest report about the connections to the servers.
  std::optional<time_point> mUseReported;
  std::size_t mOpenConnections = 0;
  std::size_t mOpenTransactions = 0;

  bool IsHolder(const std::string& aName, std::uint64_t aIncarnation) const
  {
    for (const auto& holder : mRecord.mHolders) {
      if (holder.mInstance == aName && holder.mIncarnation == aIncarnation) {
        return true;
      }
    }
    return false;
  }
};

} // namespace snipewalk

#endif // SNIPEWALK_VERSION_SLOT_SERVICE_H_
