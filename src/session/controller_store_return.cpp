// Return of the store from an older copy: reads everything anew, and writes
// again what the store has forgotten.
#include "snipewalk/base/log.h"
#include "snipewalk/messages/store_revision.h"
#include "snipewalk/session/session_controller.h"

#include <algorithm>

namespace snipewalk {

namespace {

// The duty holder writes forgotten records again. Another instance does so only
// after this time, as the holder may not know them.
constexpr milliseconds kRestoreDelay{ 500 };
constexpr milliseconds kRestoreRetryDelay{ 300 };
// By then the instances have written forgotten records again.
constexpr milliseconds kRestoreTime{ 2'000 };

} // namespace

void
session_controller::NoteEra(std::uint64_t aEra, time_point aNow)
{
  if (mStoreEra && aEra <= *mStoreEra) {
    return;
  }
  const bool returned = mStoreEra.has_value();
  mStoreEra = aEra;
  mMarkRestoredAfter = aNow + kRestoreTime;
  if (!returned) {
    return;
  }
  // A change that this instance did not know could not be carried out while its
  // confirmation held.
  if (mConfirmedAt != time_point::min() &&
      aNow < mConfirmedAt + kConfirmationLifetime) {
    mEraSeenBegin = aEra;
  }
  // The store may have forgotten instances that joined.
  mAllowanceOwners.Restart(aNow);
  ++mStoreReturns;
  Log(log_level::Warning,
      "store",
      "store came back from an older copy; everything is read again",
      { { "era", static_cast<std::int64_t>(aEra) },
        { "confirmed_ms",
          mConfirmedAt == time_point::min()
            ? -1
            : ToMilliseconds(aNow - mConfirmedAt) } });
  for (kind_watcher* watcher :
       { &mDesiredWatcher, &mServerWatcher, &mFleetWatcher }) {
    if (watcher->Era() < aEra) {
      watcher->Restart();
    }
  }
}

void
session_controller::NoteForgotten(service_control& aControl, time_point aNow)
{
  if (aControl.mForgottenSince) {
    return;
  }
  aControl.mForgottenSince = aNow;
  aControl.mRestoreAfter = aNow;
  Log(log_level::Warning,
      "primary",
      "store has forgotten a recorded primary",
      { { "service", aControl.mRecord->mService },
        { "primary", aControl.mRecord->mPrimary },
        { "term", static_cast<std::int64_t>(aControl.mRecord->mTerm) } });
}

void
session_controller::FindForgottenRecords(std::uint64_t aCompleteTo,
                                         time_point aNow)
{
  const auto& objects = mFleetWatcher.Objects();
  for (auto& [service, control] : mServices) {
    const bool missing = control.mRecord &&
                         control.mRecordVersion <= aCompleteTo &&
                         !objects.contains(PrimaryRecordName(service));
    if (missing) {
      NoteForgotten(control, aNow);
      // Relayed to instances whose newest revision is older.
      control.mRecordVersion = aCompleteTo;
      control.mStoredVersion = 0;
    }
  }
}

bool
session_controller::IsHistoryComplete() const
{
  const std::uint64_t era = StoreEra();
  return era == 0 || mEraSeenBegin == era || mRestoredEra == era;
}

void
session_controller::MarkRestored(time_point aNow)
{
  const bool forgotten =
    std::any_of(mServices.begin(), mServices.end(), [](const auto& aEntry) {
      return aEntry.second.mForgottenSince.has_value();
    });
  const std::uint64_t era = StoreEra();
  if (era == 0 || mRestoredEra == era || forgotten ||
      aNow < mMarkRestoredAfter) {
    return;
  }
  mMarkRestoredAfter = time_point::max();
  const auto held = mFleetWatcher.Objects().find(kRestoredRecordName);
  const std::uint64_t version =
    held == mFleetWatcher.Objects().end() ? 0 : held->second.mVersion;
  mStore.Submit(
    store_put{ { kFleetKind, kRestoredRecordName },
               EncodeFleetRecord(restored_record{ era }),
               version },
    store_priority::Terms,
    [this, era, alive = std::weak_ptr<bool>(mAlive)](const store_reply& aReply,
                                                     time_point aThen) {
      if (alive.expired()) {
        return;
      }
      Log(log_level::Info,
          "store",
          "what the store had forgotten is written again",
          { { "era", static_cast<std::int64_t>(era) },
            { "status", NameOf(kStoreStatusNames, aReply.mStatus) } });
      mMarkRestoredAfter = aThen + kRestoreRetryDelay;
      mFleetWatcher.Refresh();
    });
}

void
session_controller::RestoreRecords(time_point aNow)
{
  const duration delay = mDuty.IsNamedHolder()
                           ? duration(0)
                           : kRestoreDelay + mOptions.mClaimStagger;
  for (auto& [service, control] : mServices) {
    const bool due = control.mForgottenSince &&
                     aNow >= *control.mForgottenSince + delay &&
                     aNow >= control.mRestoreAfter;
    if (due && IsRegistered()) {
      control.mRestoreAfter = time_point::max();
      RestoreRecord(service, *control.mRecord, control.mStoredVersion);
    }
  }
}

void
session_controller::RestoreRecord(const std::string& aService,
                                  const primary_record& aRecord,
                                  std::uint64_t aExpectedVersion)
{
  mStore.Submit(
    store_put{ { kFleetKind, PrimaryRecordName(aService) },
               EncodeFleetRecord(aRecord),
               aExpectedVersion },
    store_priority::Terms,
    [this, aService, aRecord, alive = std::weak_ptr<bool>(mAlive)](
      const store_reply& aReply, time_point aNow) {
      if (alive.expired()) {
        return;
      }
      Log(log_level::Info,
          "primary",
          "forgotten record of a primary written again",
          { { "service", aService },
            { "term", static_cast<std::int64_t>(aRecord.mTerm) },
            { "status", NameOf(kStoreStatusNames, aReply.mStatus) } });
      mServices[aService].mRestoreAfter = aNow + kRestoreRetryDelay;
      if (aReply.mStatus == store_status::Ok && !aReply.mObjects.empty()) {
        ApplyPrimaryRecord(aRecord, aReply.mObjects.front().mVersion, aNow);
      } else {
        mFleetWatcher.Refresh();
      }
    });
}

} // namespace snipewalk
