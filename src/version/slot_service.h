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
  std::uint64_t mLife = 0;
  // Highest versions that it is known to have.
  std::uint64_t mVersion = 0;
  std::uint64_t mDocument = 0;
  // When mDocument was learned.
  time_point mDocumentAt;
  // Highest version of the record at which it asked this instance.
  std::uint64_t mAskedAt = 0;
  // This instance agreed to its replacement at the present version.
  bool mGivenUp = false;
};

struct pending_put
{
  std::size_t mSlot = 0;
  // The replaced holder, if any, certainly has no connections.
  bool mConfirmedGone = false;
};

struct take_over
{
  std::size_t mSlot = 0;
  slot_record::holder mHolder;
  std::uint64_t mVersion = 0;
  std::set<std::string> mAgreed;
  time_point mNextAsk;
};

// Release of the slot to a better candidate.
struct slot_move
{
  time_point mSince;
  // When the share was set to zero; nothing while the store is asked.
  std::optional<time_point> mClosing;
};

struct slot_service
{
  std::string mName;
  int mSlots = 0;
  int mConnections = 0;
  std::uint64_t mDocument = 0;
  std::vector<std::string> mServerDataCentres;
  int mShare = 0;

  slot_record mRecord;
  std::uint64_t mVersion = 0;
  std::string mText;
  // False while the object is absent or deleted.
  bool mExists = false;

  // Slot held by this process, by the record.
  std::optional<std::size_t> mSlot;
  // Version at which this process became a holder.
  std::uint64_t mClaimVersion = 0;
  time_point mAuthorityUntil = time_point::min();
  // Connections of replaced holders may be open until then.
  time_point mNoGrowBefore = time_point::min();
  std::map<std::string, co_holder> mOthers;
  time_point mNextQuery = time_point::min();
  std::optional<time_point> mReleaseAt;

  // At most one store call is outstanding.
  std::optional<std::uint64_t> mOperation;
  time_point mOperationSent;
  bool mOperationIsPut = false;
  // A put may have taken effect: read back before the next one.
  bool mMustRead = false;
  // Kept until the next version of the record arrives.
  std::optional<pending_put> mPut;
  time_point mNextStoreCall = time_point::min();
  milliseconds mBackoff{ 0 };

  std::optional<time_point> mOpeningSince;
  // Slots to be claimed; zero while mOpeningSince is not set.
  std::size_t mOpenings = 0;
  // Part of the claim window that this instance waits, and the most claims
  // expected in the fleet, since the opening.
  double mClaimPart = 0;
  std::size_t mExpectedClaims = 0;
  std::optional<take_over> mTakeOver;
  std::optional<time_point> mDue;

  std::optional<slot_move> mMove;
  // When the present version of the record was adopted.
  time_point mRecordSince = time_point::min();
  // The store named this holder in response to a call sent then.
  time_point mStoreConfirmed = time_point::min();
  // The newest report about the connections to the servers.
  std::optional<time_point> mUseReported;
  std::size_t mOpenConnections = 0;
  std::size_t mOpenTransactions = 0;

  bool IsHolder(const std::string& aName, std::uint64_t aLife) const
  {
    for (const auto& holder : mRecord.mHolders) {
      if (holder.mInstance == aName && holder.mIncarnation == aLife) {
        return true;
      }
    }
    return false;
  }
};

} // namespace snipewalk

#endif // SNIPEWALK_VERSION_SLOT_SERVICE_H_
