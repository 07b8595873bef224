// Events of the service controller's state machines, and drain.
#include "control/service_controller_state.h"

#include "snipewalk/base/log.h"
#include "snipewalk/version/term_record.h"

#include <absl/strings/str_join.h>

#include <algorithm>
#include <utility>

namespace snipewalk {

namespace {

// The status object is written at most this often while a drain runs.
constexpr milliseconds kStatusInterval{ 5'000 };

// Compares what operators read; the time of the update is no change.
bool
SameProgress(drain_status aLeft, const drain_status& aRight)
{
  aLeft.mUpdated = aRight.mUpdated;
  return aLeft == aRight;
}

bool
SameTerm(const std::optional<term_record>& aLeft,
         const std::optional<term_record>& aRight)
{
  if (!aLeft || !aRight) {
    return aLeft.has_value() == aRight.has_value();
  }
  return aLeft->mTerm == aRight->mTerm && aLeft->mPhase == aRight->mPhase &&
         aLeft->mPrimary == aRight->mPrimary &&
         aLeft->mVoters == aRight->mVoters;
}

} // namespace

service_controller_state::service_controller_state(
  event_loop& aLoop,
  store_client& aStore,
  audit_trail& aAudit,
  std::string aService,
  controller_options aOptions,
  controller_callbacks aCallbacks)
  : mLoop(aLoop)
  , mStore(aStore)
  , mAudit(aAudit)
  , mService(std::move(aService))
  , mOptions(std::move(aOptions))
  , mCallbacks(std::move(aCallbacks))
  , mFailover({ mOptions.mInstance, mOptions.mIncarnation, mOptions.mSeed })
  , mDetector({ mService, mOptions.mProbeInterval, mOptions.mSilenceLimit })
{
}

void
service_controller_state::Feed(const failover_event& aEvent, time_point aNow)
{
  mFailoverEvents.push_back(aEvent);
  DeliverEvents(aNow);
}

void
service_controller_state::Feed(const detector_event& aEvent, time_point aNow)
{
  mDetectorEvents.push_back(aEvent);
  DeliverEvents(aNow);
}

void
service_controller_state::DeliverEvents(time_point aNow)
{
  if (std::exchange(mFeeding, true)) {
    return;
  }
  while (!mFailoverEvents.empty() || !mDetectorEvents.empty()) {
    for (const auto& event : std::exchange(mFailoverEvents, {})) {
      failover::actions actions;
      mFailover.Handle(event, aNow, actions);
      for (const auto& action : actions) {
        Perform(action, aNow);
      }
    }
    for (const auto& event : std::exchange(mDetectorEvents, {})) {
      failure_detector::actions actions;
      mDetector.Handle(event, aNow, actions);
      for (const auto& action : actions) {
        Perform(action, aNow);
      }
    }
  }
  mFeeding = false;
  PublishIfChanged();
}

void
service_controller_state::Configure(time_point aNow)
{
  if (!mDocument) {
    return;
  }
  CloseUnusedLinks();
  mFailoverEvents.emplace_back(failover_configured{ *mDocument, OwnSlot() });
  mDetectorEvents.emplace_back(DetectorConfig());
  DeliverEvents(aNow);
}

std::optional<int>
service_controller_state::OwnSlot() const
{
  for (std::size_t i = 0; i < mSlots.mHolders.size(); ++i) {
    const auto& holder = mSlots.mHolders[i];
    if (holder.mInstance == mOptions.mInstance &&
        holder.mIncarnation == mOptions.mIncarnation) {
      return static_cast<int>(i);
    }
  }
  return std::nullopt;
}

detector_configured
service_controller_state::DetectorConfig() const
{
  detector_configured config;
  for (const auto& server : mDocument->mServers) {
    config.mServers.push_back(server.mName);
  }
  const auto term = mFailover.Term();
  if (term && term->mPhase == term_phase::Stable) {
    config.mPrimary = term->mPrimary;
    config.mTerm = term->mTerm;
    const server_entry* entry = mDocument->Find(term->mPrimary);
    config.mPrimaryAddress = entry != nullptr ? entry->mAddress : "";
  }
  config.mIsHolder = OwnSlot().has_value();
  std::vector<std::string> distant;
  for (const auto& member : mMembers) {
    const bool holds = std::any_of(
      mSlots.mHolders.begin(), mSlots.mHolders.end(), [&](const auto& aHolder) {
        return aHolder.mInstance == member.mName;
      });
    if (holds) {
      config.mOtherHolders.push_back(member.mName);
    } else if (member.mDataCentre != mOptions.mDataCentre) {
      // An instance of another data centre sees other network faults.
      config.mOtherInstances.push_back(member.mName);
    } else {
      distant.push_back(member.mName);
    }
  }
  config.mOtherInstances.insert(
    config.mOtherInstances.end(), distant.begin(), distant.end());
  config.mRefreshPositions = config.mIsHolder && mDrain.IsNeeded();
  return config;
}

void
service_controller_state::CloseUnusedLinks()
{
  const bool holds = OwnSlot().has_value();
  for (auto it = mLinks.begin(); it != mLinks.end();) {
    const server_entry* entry =
      mDocument ? mDocument->Find(it->first) : nullptr;
    const bool used =
      holds && entry != nullptr &&
      Translate(mOptions.mAddressTranslation, { entry->mName, entry->mAddress })
          .mAddress == it->second->Server().mAddress;
    if (used || mForeignLinks.count(it->first) > 0) {
      ++it;
      continue;
    }
    Retire(*it->second);
    it = mLinks.erase(it);
  }
}

void
service_controller_state::Retire(server_link& aLink)
{
  mLoop.Post([this,
              requests = aLink.TakeRequests(),
              alive = std::weak_ptr<bool>(mAlive)] {
    for (const auto& request : requests) {
      if (!alive.expired()) {
        request.mOnDone({ link_result::Lost, {}, 0, mLoop.Now() }, mLoop.Now());
      }
    }
  });
}

void
service_controller_state::PublishIfChanged()
{
  const auto term = mFailover.Term();
  auto suspected = mDetector.Suspected();
  drain_status progress = mDrain.Status(mLoop.Now(), mWallNow);
  const bool same = SameTerm(term, mPublishedTerm) &&
                    suspected == mPublishedSuspected &&
                    mDetector.PrimaryReachedBy() == mPublishedReachedBy &&
                    SameProgress(progress, mPublishedDrain);
  if (same) {
    return;
  }
  mPublishedTerm = term;
  mPublishedSuspected = std::move(suspected);
  mPublishedReachedBy = mDetector.PrimaryReachedBy();
  mPublishedDrain = std::move(progress);
  if (mCallbacks.mPublish) {
    mCallbacks.mPublish(mService);
  }
}

void
service_controller_state::Tick(time_point aNow, wall_time aWallNow)
{
  mWallNow = aWallNow;
  if (!mDocument) {
    return;
  }
  AdvanceDrain(aNow);
  mFailoverEvents.emplace_back(failover_time_passed{});
  mDetectorEvents.emplace_back(detector_time_passed{});
  DeliverEvents(aNow);
}

// Each holder plans the same change from the same record; the conditional
// update lets one of them win. Slot order keeps the others from trying.
void
service_controller_state::AdvanceDrain(time_point aNow)
{
  const auto slot = OwnSlot();
  const auto term = mFailover.Term();
  if (!slot || !term) {
    return;
  }
  const milliseconds delay = *slot * 4 * kDelayPerSlot;
  mDrain.OnSuspected(mDetector.Suspected());
  mDrain.OnHolders(LiveHolders());
  mDrain.Advance(aNow, mWallNow, delay);
  if (const auto query = mDrain.NextQuery(aNow)) {
    AskHolders(*query);
  }
  const auto change = mDrain.NextChange(aNow, delay);
  if (change) {
    mFailoverEvents.emplace_back(change_requested{ term->mTerm, *change });
  }
  const drain_status progress = mDrain.Status(aNow, mWallNow);
  AnnounceBreaches(progress, *slot);
  if (*slot == 0) {
    WriteDrainStatus(progress, aNow);
  }
}

// A holder that the membership does not name any more is gone: its transactions
// were rolled back when its connections closed.
std::vector<std::string>
service_controller_state::LiveHolders() const
{
  std::vector<std::string> names;
  if (!mCallbacks.mHoldBegins) {
    return names;
  }
  for (const auto& holder : mSlots.mHolders) {
    const bool lives =
      holder.mInstance == mOptions.mInstance ||
      std::any_of(mMembers.begin(), mMembers.end(), [&](const auto& aMember) {
        return aMember.mIsMember && aMember.mName == holder.mInstance;
      });
    if (lives && !Contains(names, holder.mInstance)) {
      names.push_back(holder.mInstance);
    }
  }
  return names;
}

void
service_controller_state::AskHolders(const transactions_query& aQuery)
{
  for (const auto& holder : LiveHolders()) {
    if (holder == mOptions.mInstance) {
      mCallbacks.mHoldBegins(holder, aQuery);
    } else if (mCallbacks.mSendPeer) {
      mCallbacks.mSendPeer(holder, aQuery);
    }
  }
}

void
service_controller_state::AnnounceBreaches(const drain_status& aStatus,
                                           int aSlot)
{
  for (const auto& server : aStatus.mServers) {
    if (server.mBreach && mAnnouncedBreaches.insert(server.mServer).second) {
      Log(log_level::Warning,
          "drain",
          "a leaving server will miss its deadline",
          { { "service", mService }, { "server", server.mServer } });
      if (aSlot == 0) {
        mAudit.Append({ {},
                        mWallNow,
                        mOptions.mInstance,
                        {},
                        mService,
                        "drain_deadline_at_risk",
                        server.mServer,
                        {},
                        absl::StrJoin(server.mObstacles, "; ") });
      }
    } else if (!server.mBreach) {
      mAnnouncedBreaches.erase(server.mServer);
    }
  }
}

void
service_controller_state::WriteDrainStatus(const drain_status& aStatus,
                                           time_point aNow)
{
  const bool same = SameProgress(aStatus, mWrittenStatus);
  const bool empty =
    aStatus.mServers.empty() && mWrittenStatus.mServers.empty();
  if (same || empty || mStatusCalling || aNow < mNextStatus) {
    return;
  }
  mNextStatus = aNow + kStatusInterval;
  mStatusCalling = true;
  const object_key key{ kStatusKind, mService };
  store_request request = store_get{ key };
  if (mStatusKnown) {
    drain_status written = aStatus;
    written.mInstance = mOptions.mInstance;
    mWrittenStatus = aStatus;
    request = store_put{ key, EncodeDrainStatus(written), mStatusVersion };
  } else {
    // The version of the present object has to be read once.
    mNextStatus = aNow;
  }
  mStore.Submit(std::move(request),
                store_priority::Background,
                [this, alive = std::weak_ptr<bool>(mAlive)](
                  const store_reply& aReply, time_point aThen) {
                  if (!alive.expired()) {
                    OnStatusReply(aReply, aThen);
                  }
                });
}

void
service_controller_state::OnStatusReply(const store_reply& aReply,
                                        time_point aNow)
{
  mStatusCalling = false;
  mStatusKnown = false;
  if (aReply.mStatus == store_status::NotFound) {
    mStatusKnown = true;
    mStatusVersion = 0;
  } else if (!aReply.mObjects.empty()) {
    mStatusKnown = true;
    mStatusVersion = aReply.mObjects.front().mVersion;
  }
  if (aReply.mStatus != store_status::Ok) {
    mWrittenStatus = {};
    mNextStatus = std::max(mNextStatus, aNow + milliseconds(500));
  }
}

} // namespace snipewalk
