// Exchange of tokens of the accounts' rate limits between instances.
#include "snipewalk/base/log.h"
#include "snipewalk/session/session_controller.h"

#include <algorithm>
#include <set>

namespace snipewalk {

namespace {

// Covers an owner whose clock is slower than that of its successor.
constexpr milliseconds kLeaseMargin{ 100 };
// Time within which instances start again that were all stopped at once. It is
// shorter than what a new owner otherwise waits.
constexpr std::uint64_t kRestartSpreadMs = 2'000;
// A process that lived for so long has outlasted the lease of the owner before
// it, also if the time of day was changed by seconds.
constexpr std::uint64_t kLongLifetimeMs = 20'000;

} // namespace

bool
session_controller::MissedChangeOfOwners() const
{
  for (const auto& [name, known] : mInstances.All()) {
    const auto before = mPublishedInstances.find(name);
    const bool unknown = before == mPublishedInstances.end();
    if (!unknown && before->second.mVersion == known.mVersion) {
      continue;
    }
    const bool wasLive =
      !unknown && before->second.mRecord.mState == instance_state::Live;
    // It was live after the former record, and has left since.
    if (known.mRecord.mState == instance_state::Gone && !wasLive) {
      return true;
    }
    // This process was registered again, so it has counted as gone.
    if (name == mOptions.mInstance && wasLive &&
        before->second.mRecord.mStarted == mOptions.mStarted) {
      return true;
    }
  }
  return false;
}

bool
session_controller::HasFleetRestarted() const
{
  const auto isNew = [this](const auto& aEntry) {
    const instance_record& record = aEntry.second.mRecord;
    if (record.mState == instance_state::Gone) {
      const auto first = mFirstInstances.find(aEntry.first);
      return first != mFirstInstances.end() &&
             first->second.mVersion == aEntry.second.mVersion;
    }
    return record.mStarted + kRestartSpreadMs >= mOptions.mStarted &&
           record.mStarted <= mOptions.mStarted + kRestartSpreadMs;
  };
  return mSameInstancesAsFirst && IsRegistered() &&
         std::all_of(mInstances.All().begin(), mInstances.All().end(), isNew);
}

bool
session_controller::HasInherited(const std::string& aAccount) const
{
  // An instance of a higher weight may have left shortly before.
  return mReplacesProcess &&
         mPossibleOwners.OwnerOf(aAccount) == mOptions.mInstance &&
         mAllowanceOwners.OwnedSince(aAccount) == mFirstInstancesAt;
}

time_point
session_controller::IssuesFrom(const std::string& aAccount,
                               time_point aSince) const
{
  if (mFleetRestartedAt && *mFleetRestartedAt >= aSince) {
    return *mFleetRestartedAt;
  }
  return HasInherited(aAccount)
           ? aSince
           : aSince + allowance_owners::kLease + kLeaseMargin;
}

void
session_controller::NoteFirstInstances(time_point aNow)
{
  mFirstInstances = mInstances.All();
  mFirstInstancesAt = aNow;
  const auto* own = mInstances.Find(mOptions.mInstance);
  mReplacesProcess =
    own != nullptr && own->mRecord.mState == instance_state::Live &&
    own->mRecord.mStarted + kLongLifetimeMs <= mOptions.mStarted;
}

void
session_controller::PublishAllowanceOwners(
  const std::vector<host_candidate>& aLive,
  time_point aNow)
{
  if (MissedChangeOfOwners()) {
    Log(log_level::Info,
        "control",
        "instances changed unseen; issuing tokens starts anew",
        { { "live", static_cast<std::int64_t>(aLive.size()) } });
    mAllowanceOwners.Restart(aNow);
  }
  if (mFirstInstances.empty()) {
    NoteFirstInstances(aNow);
  }
  mPublishedInstances = mInstances.All();
  std::set<std::string> names;
  for (const auto& instance : aLive) {
    names.insert(instance.mName);
  }
  std::set<std::string> known;
  for (const auto& [name, instance] : mInstances.All()) {
    known.insert(name);
  }
  mPossibleOwners.SetInstances(known, aNow);
  const bool changed = mAllowanceOwners.SetInstances(names, aNow);
  if (changed && mOwnersKnown) {
    mSameInstancesAsFirst = false;
  }
  mOwnersKnown = true;
  if (!mFleetRestartedAt && HasFleetRestarted()) {
    mFleetRestartedAt = aNow;
    Log(log_level::Info,
        "control",
        "all instances have restarted; issuing tokens at once");
  }
}

bool
session_controller::MayIssue(const std::string& aAccount, time_point aNow) const
{
  const time_point asOf = ConfirmsOthersAsOf();
  const auto since = mAllowanceOwners.OwnedSince(aAccount);
  return since && asOf != time_point::min() && IsRegistered() &&
         !mUnregistered && aNow < asOf + allowance_owners::kLease &&
         aNow >= IssuesFrom(aAccount, *since);
}

std::optional<allowance_grant>
session_controller::IssueAllowances(const allowance_datagram& aDatagram,
                                    time_point aNow)
{
  allowance_request owned{ aDatagram.mRequest.mSequenceNumber, {} };
  for (const auto& want : aDatagram.mRequest.mWants) {
    if (!MayIssue(want.mAccount, aNow)) {
      continue;
    }
    const time_point since = *mAllowanceOwners.OwnedSince(want.mAccount);
    const auto [issuing, added] =
      mIssuingSince.try_emplace(want.mAccount, since);
    if (added || issuing->second != since) {
      issuing->second = since;
      mAllowances.Begin(want.mAccount,
                        IssuesFrom(want.mAccount, since),
                        IssuesFrom(want.mAccount, since) == mFleetRestartedAt);
    }
    owned.mWants.push_back(want);
  }
  if (owned.mWants.empty()) {
    return std::nullopt;
  }
  return mAllowances.OnRequest(
    aDatagram.mInstance, aDatagram.mStarted, owned, aNow);
}

void
session_controller::RequestAllowances(time_point aNow)
{
  const auto request = mEngine.AllowanceRequestIfDue(aNow);
  if (!request) {
    return;
  }
  std::map<std::string, allowance_datagram> byOwner;
  for (const auto& want : request->mWants) {
    allowance_datagram& datagram =
      byOwner[mAllowanceOwners.OwnerOf(want.mAccount)];
    datagram.mRequest.mWants.push_back(want);
  }
  for (auto& [owner, datagram] : byOwner) {
    datagram.mInstance = mOptions.mInstance;
    datagram.mStarted = mOptions.mStarted;
    datagram.mRequest.mSequenceNumber = request->mSequenceNumber;
    if (owner == mOptions.mInstance) {
      if (const auto grant = IssueAllowances(datagram, aNow)) {
        mEngine.OnAllowanceGrant(*grant, aNow);
      }
    } else if (const auto* instance = mInstances.Find(owner)) {
      mLinks.SendDatagram(instance->mRecord.mPeerAddress, datagram);
    }
  }
}

} // namespace snipewalk
