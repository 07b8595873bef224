// Implementation of the control thread: objects, routing snapshots and status.
#include "control_state.h"

#include "snipewalk/base/findings.h"
#include "snipewalk/base/log.h"
#include "snipewalk/version/document_validation.h"
#include "snipewalk/version/session_keys.h"

#include <algorithm>
#include <utility>

namespace snipewalk {

namespace {

// A snapshot of a large fleet takes some milliseconds to build, so that changes
// in quick succession are published together.
constexpr milliseconds kPublishInterval{ 20 };
constexpr milliseconds kPublishIntervalLarge{ 200 };
constexpr std::size_t kLargeFleet = 500;
constexpr milliseconds kKeysInterval{ 1'000 };

} // namespace

void
control_state::ReplaceKeysIfDue(time_point aNow)
{
  const bool mayStore = mDissemination.IsWatcher() && !mStoreFailedSince;
  if (!mayStore || mKeysOutstanding || aNow < mNextKeys) {
    return;
  }
  // Several watchers try; the conditional update lets one of them through.
  mNextKeys = aNow + kKeysInterval;
  const auto keys = RotateSessionKeys(
    mSessionKeys, std::chrono::system_clock::now(), GenerateSecret());
  if (!keys) {
    return;
  }
  const object_key key{ std::string(kKeysKind), kSessionKeysName };
  const stored_object* known = mCache.Find(kKeysKind, kSessionKeysName);
  mKeysOutstanding = true;
  Submit(
    store_put{ key, EncodeSessionKeys(*keys), known ? known->mVersion : 0 },
    store_priority::Urgent,
    [this](const store_reply& aReply, time_point aLater) {
      mKeysOutstanding = false;
      for (const auto& object : aReply.mObjects) {
        Do(record_learned{ object }, aLater);
      }
    });
}

void
control_state::MarkChanged(const std::string& aService)
{
  mChangedServices.insert(aService);
}

void
control_state::OnObject(const object_key& aKey, time_point aNow)
{
  if (aKey.mKind == kServicesKind) {
    OnServiceObject(aKey.mName, aNow);
  } else if (aKey.mKind == kTermsKind) {
    MarkChanged(aKey.mName);
  } else if (aKey.mKind == kSlotsKind) {
    const auto& objects = mCache.Objects(kSlotsKind);
    const auto object = objects.find(aKey.mName);
    if (object != objects.end()) {
      Give(slot_event(slots_recorded{ object->second }), aNow);
    }
    MarkChanged(aKey.mName);
  } else if (aKey.mKind == kKeysKind && aKey.mName == kSessionKeysName) {
    const stored_object* object = mCache.Find(kKeysKind, aKey.mName);
    auto keys = DecodeSessionKeys(object ? object->mValue : std::string());
    if (keys.ok()) {
      mSessionKeys = *std::move(keys);
      mSnapshotChanged = true;
    } else {
      Log(
        log_level::Error,
        "control_loop",
        "The session keys in the store are invalid; the former stay in force");
    }
  }
}

void
control_state::OnServiceObject(const std::string& aName, time_point aNow)
{
  service_in_force& service = mServices[aName];
  const stored_object* object = mCache.Find(kServicesKind, aName);
  if (object == nullptr) {
    const auto& objects = mCache.Objects(kServicesKind);
    const auto deleted = objects.find(aName);
    const std::uint64_t version =
      std::max(service.mVersion + 1,
               deleted == objects.end() ? 0 : deleted->second.mVersion);
    service = {};
    service.mVersion = version;
    Give(slot_event(slots_configured{ aName, 0, 0, version }), aNow);
    MarkChanged(aName);
    return;
  }
  findings found;
  auto document =
    ParseServiceDocument(object->mValue, "services/" + aName, found);
  if (document && document->mService != aName) {
    found.Add({ "services/" + aName,
                0,
                0,
                "service",
                "wrong_name",
                "the document describes " + document->mService,
                false });
    document.reset();
  }
  if (!document) {
    service.mInvalid = found.ToString();
    Log(log_level::Error,
        "control_loop",
        "An invalid service document is ignored",
        { { "service", std::string_view(aName) },
          { "findings", std::string_view(service.mInvalid) } });
    return;
  }
  service.mInvalid.clear();
  service.mVersion = object->mVersion;
  service.mDocument = std::move(document);
  std::vector<std::string> dataCentres;
  for (const auto& server : service.mDocument->mServers) {
    if (server.mState == server_state::Active) {
      dataCentres.push_back(server.mDataCentre);
    }
  }
  Give(slot_event(slots_configured{ aName,
                                    service.mDocument->mSlots,
                                    service.mDocument->mConnectionsPerServer,
                                    service.mVersion,
                                    std::move(dataCentres) }),
       aNow);
  MarkChanged(aName);
}

void
control_state::GiveMembersToControls(time_point aNow)
{
  if (!mControlMembersChanged) {
    return;
  }
  mControlMembersChanged = false;
  std::vector<live_instance> members;
  std::set<std::string> unknown = mListedLive;
  unknown.erase(mMembership.Self().mName);
  for (const auto& member : mMembership.Members()) {
    const bool live = IsLive(member.mInfo.mState);
    if (live || unknown.contains(member.mInfo.mName)) {
      members.push_back({ member.mInfo.mName, member.mInfo.mDataCentre, live });
    }
    unknown.erase(member.mInfo.mName);
  }
  for (const auto& name : unknown) {
    members.push_back({ name, "", false });
  }
  mControls.SetMembers(std::move(members), aNow);
}

std::shared_ptr<const service_view>
control_state::BuildView(const std::string& aName,
                         const service_in_force& aService) const
{
  auto view = std::make_shared<service_view>();
  view->mDocument = *aService.mDocument;
  if (const slot_record* slots = mSlots.Record(aName)) {
    view->mSlots = *slots;
  }
  // One connection of the share is the control connection.
  view->mConnectionReserve = mSlots.Reserve(aName);
  view->mConnectionShare =
    std::max(0, mSlots.Share(aName) - view->mConnectionReserve - 1);
  mControls.Describe(aName, *view);
  return view;
}

void
control_state::PublishIfChanged(time_point aNow)
{
  const bool large = mMembership.LiveCount() + mServices.size() > kLargeFleet;
  if ((mChangedServices.empty() && !mSnapshotChanged) ||
      aNow - mLastPublished <
        (large ? kPublishIntervalLarge : kPublishInterval)) {
    return;
  }
  mLastPublished = aNow;
  mSnapshotChanged = false;
  const std::set<std::string> changed = std::exchange(mChangedServices, {});
  for (const auto& name : changed) {
    mControls.Update(name, aNow);
    const auto service = mServices.find(name);
    if (service != mServices.end()) {
      service->second.mView =
        service->second.mDocument ? BuildView(name, service->second) : nullptr;
    }
  }
  auto snapshot = std::make_shared<routing_snapshot>();
  for (const auto& [name, service] : mServices) {
    if (service.mView) {
      snapshot->mServices.emplace_hint(
        snapshot->mServices.end(), name, service.mView);
    }
  }
  snapshot->mMembers.emplace(mMembership.Self().mName, mMembership.Self());
  for (const auto& member : mMembership.Members()) {
    snapshot->mMembers.emplace(member.mInfo.mName, member.mInfo);
  }
  snapshot->mSessionKeys = mSessionKeys;
  snapshot->mRevision = mCache.Head(kServicesKind);
  if (mCallbacks.mPublish) {
    mCallbacks.mPublish(std::move(snapshot));
  }
}

service_status
control_state::StatusOf(const std::string& aName,
                        const service_in_force& aService) const
{
  service_status status;
  status.mService = aName;
  status.mDocumentVersion = aService.mVersion;
  status.mInvalidDocument = aService.mInvalid;
  status.mShare = mSlots.Share(aName);
  if (aService.mView) {
    status.mSlots = aService.mView->mSlots;
    status.mTerm = aService.mView->mTerm;
    status.mSuspected = aService.mView->mSuspected;
  }
  status.mDrain = mControls.DrainStatus(aName);
  return status;
}

void
control_state::PublishStatus(time_point aNow)
{
  auto status = std::make_shared<control_status>();
  status->mInstance = mMembership.Self().mName;
  status->mIncarnation = mMembership.Self().mIncarnation;
  status->mMembers.push_back(mMembership.Self());
  for (const auto& member : mMembership.Members()) {
    status->mMembers.push_back(member.mInfo);
  }
  status->mLiveMembers = mMembership.LiveCount();
  status->mVersions = mMembership.Self().mVersions;
  status->mFleetVersion = mMembership.FleetVersion();
  status->mRevision = mCache.Head(kServicesKind);
  status->mHeads = mCache.Heads();
  status->mDigest = mCache.Digest();
  status->mIsWatcher = mDissemination.IsWatcher();
  if (mStoreFailedSince) {
    status->mStoreUnreachableFor =
      milliseconds(ToMilliseconds(aNow - *mStoreFailedSince));
  }
  status->mWatchAge = mDissemination.Carried(aNow).mWatchAge;
  status->mControlBytesSent = mPort.Counters().mBytesSent;
  status->mSlotsHeld = mSlots.HeldCount();
  status->mSlotsMoved = mSlots.Moves();
  for (const auto& [name, service] : mServices) {
    if (service.mDocument || !service.mInvalid.empty()) {
      status->mServices.push_back(StatusOf(name, service));
    }
  }
  mOnStatus(std::move(status));
}

} // namespace snipewalk
