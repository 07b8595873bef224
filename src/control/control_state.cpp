// Implementation of the control thread: construction, timers and the store.
#include "control_state.h"

#include "snipewalk/base/log.h"
#include "snipewalk/version/session_keys.h"

#include <algorithm>
#include <utility>

namespace snipewalk {

namespace {

// The controllers' clock; the other state machines are called when due.
constexpr milliseconds kTickInterval{ 20 };
constexpr std::size_t kListScale = 100;
// An outage shorter than this causes no stampede on the store's return.
constexpr milliseconds kOutage{ 2'000 };

membership_options
MembershipOptions(const control_loop_options& aOptions)
{
  const instance_settings& settings = aOptions.mSettings;
  membership_options options;
  options.mSelf = { settings.mInstance,    aOptions.mStartMs << kRefutationBits,
                    settings.mDataCentre,  settings.mRegion,
                    settings.mPeerAddress, settings.mControlAddress,
                    member_state::Alive };
  options.mSelf.mVersions = SupportedVersions(settings.mProtocolVersionLimit);
  options.mSeeds = settings.mSeeds;
  options.mSeed = aOptions.mSeed;
  return options;
}

dissemination_options
DisseminationOptions(const control_loop_options& aOptions)
{
  dissemination_options options;
  options.mSeed = aOptions.mSeed + 1;
  return options;
}

slot_options
SlotOptions(const control_loop_options& aOptions)
{
  slot_options options;
  options.mInstance = aOptions.mSettings.mInstance;
  options.mLife = aOptions.mStartMs;
  options.mSeed = aOptions.mSeed + 2;
  return options;
}

control_port_options
PortOptions(const control_loop_options& aOptions)
{
  control_port_options options;
  options.mName = aOptions.mSettings.mInstance;
  options.mAddress = aOptions.mSettings.mControlAddress;
  options.mKeys = aOptions.mFleetKeys;
  options.mVersions =
    SupportedVersions(aOptions.mSettings.mProtocolVersionLimit);
  return options;
}

controller_options
ControllerOptions(const control_loop_options& aOptions)
{
  return { aOptions.mSettings.mInstance,
           aOptions.mStartMs,
           aOptions.mSettings.mDataCentre,
           aOptions.mSettings.mProbeInterval,
           aOptions.mSettings.mSilenceLimit,
           aOptions.mSettings.mProbesPerSecond,
           aOptions.mSeed + 3,
           aOptions.mSettings.mAddressTranslation };
}

} // namespace

control_state::control_state(event_loop& aLoop,
                             control_loop_options aOptions,
                             const control_loop_callbacks& aCallbacks,
                             std::unique_ptr<store_client> aStore,
                             status_handler aOnStatus)
  : mLoop(aLoop)
  , mOptions(std::move(aOptions))
  , mCallbacks(aCallbacks)
  , mStore(std::move(aStore))
  , mOnStatus(std::move(aOnStatus))
  , mPort(
      aLoop,
      PortOptions(mOptions),
      { [this](const std::string& aFrom, datagram_body aBody, time_point aNow) {
         OnDatagram(aFrom, std::move(aBody), aNow);
       },
        [this](link_id aLink,
               const std::string& aFrom,
               fleet_message aMessage,
               time_point aNow) {
          OnMessage(aLink, aFrom, std::move(aMessage), aNow);
        } })
  , mMembership(MembershipOptions(mOptions), aLoop.Now())
  , mFleet(mMembership)
  , mDissemination(DisseminationOptions(mOptions),
                   mCache,
                   mMembership,
                   aLoop.Now())
  , mSlots(SlotOptions(mOptions), mFleet)
  , mControls(
      aLoop,
      *mStore,
      ControllerOptions(mOptions),
      { [this](const std::string& aService) { MarkChanged(aService); },
        [this](const std::string& aInstance, const control_message& aMessage) {
          const std::string address = mFleet.AddressOf(aInstance);
          if (!address.empty()) {
            mPort.Send(
              address,
              service_message{ mOptions.mSettings.mInstance, aMessage });
          }
        },
        [this](const std::string& aService, const status_observed& aObserved) {
          if (mCallbacks.mObserved) {
            mCallbacks.mObserved(aService, aObserved);
          }
        },
        [this](const stored_object& aObject) {
          Give(dissemination_event(object_written{ aObject }), mLoop.Now());
        },
        mCallbacks.mHoldBegins },
      [this](const std::string& aService) {
        service_objects objects;
        const auto service = mServices.find(aService);
        if (service != mServices.end() && service->second.mDocument) {
          objects.mDocument = &*service->second.mDocument;
          objects.mDocumentVersion = service->second.mVersion;
        }
        objects.mTerm = mCache.Find(kTermsKind, aService);
        objects.mIsHeld = mSlots.Share(aService) > 0;
        if (const slot_record* slots = mSlots.Record(aService)) {
          objects.mSlots = *slots;
        }
        for (auto& holder : objects.mSlots.mHolders) {
          if (!objects.mIsHeld &&
              holder.mInstance == mOptions.mSettings.mInstance) {
            holder = {};
          }
        }
        return objects;
      })
  , mRandom(mOptions.mSeed + 4)
{
  mFleet.SetSlots(mSlots);
}

control_state::~control_state() = default;

absl::Status
control_state::Open()
{
  absl::Status opened = mPort.Open();
  if (opened.ok()) {
    mMembership.SetControlAddress(mPort.Address());
  }
  return opened;
}

void
control_state::Begin()
{
  const time_point now = mLoop.Now();
  mNextSecond = now;
  // Spreads the first lists of instances that start together.
  mListSchedule.OnAsked(now + milliseconds(mRandom() % kSecond.count()));
  Tick(now);
}

void
control_state::Tick(time_point aNow)
{
  RunTimers(aNow);
  mControls.Tick(aNow, std::chrono::system_clock::now());
  if (aNow >= mNextSecond) {
    mNextSecond = aNow + kSecond;
    EverySecond(aNow);
  }
  if (mOnReleased && (mSlots.IsReleased() || aNow >= mReleaseUntil)) {
    const auto done = std::exchange(mOnReleased, nullptr);
    done();
  }
  PublishIfChanged(aNow);
  mLoop.RunAt(aNow + kTickInterval,
              [this, alive = std::weak_ptr<bool>(mAlive)](time_point aLater) {
                if (!alive.expired()) {
                  Tick(aLater);
                }
              });
}

void
control_state::RunTimers(time_point aNow)
{
  if (aNow >= mMembership.NextTimer()) {
    Give(membership_event(membership_timer{}), aNow);
  }
  if (aNow >= mDissemination.NextTimer()) {
    Give(dissemination_event(dissemination_timer{}), aNow);
  }
  const auto slots = mSlots.NextTimer();
  if (slots && aNow >= *slots) {
    Give(slot_event(slot_timer{}), aNow);
  }
}

void
control_state::EverySecond(time_point aNow)
{
  mPort.Tick(aNow);
  for (const auto& name : mFleet.Tick(aNow, membership_options{}.mListLag)) {
    Give(slot_event(slot_member_changed{ name }), aNow);
  }
  mListSchedule.OnWaiting(
    mSlots.WaitsForPlatform(), milliseconds(mRandom() % kSecond.count()), aNow);
  if (aNow >= mListSchedule.Due()) {
    AskPlatformList(aNow);
  }
  ReplaceKeysIfDue(aNow);
  GiveMembersToControls(aNow);
  PublishStatus(aNow);
}

milliseconds
control_state::ListInterval() const
{
  const std::size_t size = std::max(kListScale, mMembership.LiveCount());
  return kListInterval * static_cast<std::int64_t>(size) /
         static_cast<std::int64_t>(kListScale);
}

void
control_state::AskPlatformList(time_point aNow)
{
  if (mListOutstanding) {
    return;
  }
  mListOutstanding = true;
  mListSchedule.OnAsked(aNow + ListInterval());
  Submit(store_list_instances{},
         store_priority::List,
         [this](const store_reply& aReply, time_point aLater) {
           mListOutstanding = false;
           const bool failed = aReply.mStatus != store_status::Ok;
           mListSchedule.OnDone(failed, aLater);
           if (failed) {
             return;
           }
           mListedLive.clear();
           for (const auto& instance : aReply.mInstances) {
             if (instance.mState == platform_instance_state::Live) {
               mListedLive.insert(instance.mName);
             }
           }
           mControlMembersChanged = true;
           Give(membership_event(platform_list_received{ aReply.mInstances }),
                aLater);
         });
}

void
control_state::Submit(store_request aRequest,
                      store_priority aPriority,
                      store_client::reply_handler aOnReply)
{
  mStore->Submit(
    std::move(aRequest),
    aPriority,
    [this, alive = std::weak_ptr<bool>(mAlive), reply = std::move(aOnReply)](
      const store_reply& aReply, time_point aNow) {
      if (!alive.expired()) {
        NoteStore(aReply.mStatus, aNow);
        reply(aReply, aNow);
      }
    });
}

void
control_state::NoteStore(store_status aStatus, time_point aNow)
{
  if (aStatus == store_status::Refused || aStatus == store_status::Unknown) {
    if (!mStoreFailedSince) {
      mStoreFailedSince = aNow;
      Log(log_level::Warning, "control_loop", "The store does not answer");
    }
    return;
  }
  if (mStoreFailedSince) {
    Log(log_level::Info, "control_loop", "The store answers again");
    if (aNow - *mStoreFailedSince >= kOutage) {
      Give(slot_event(slot_store_recovered{}), aNow);
    }
    mStoreFailedSince.reset();
  }
}

void
control_state::OnEvidence(const std::string& aService,
                          const report_evidence& aEvidence)
{
  mControls.OnEvidence(aService, aEvidence, mLoop.Now());
}

void
control_state::OnUse(const slot_use_reported& aUse)
{
  Give(slot_event(aUse), mLoop.Now());
}

void
control_state::OnConnections(const std::string& aService,
                             const std::string& aServer,
                             std::size_t aConnections)
{
  mControls.OnConnections(aService, aServer, aConnections, mLoop.Now());
}

void
control_state::OnTransactions(const std::string& aAsker,
                              const transactions_query& aQuery,
                              std::size_t aOpen)
{
  mControls.OnTransactions(aAsker, aQuery, aOpen, mLoop.Now());
}

void
control_state::ReleaseSlots(milliseconds aLimit, std::function<void()> aDone)
{
  mOnReleased = std::move(aDone);
  mReleaseUntil = mLoop.Now() + aLimit;
  Give(slot_event(slots_released{}), mLoop.Now());
}

void
control_state::Leave()
{
  Give(membership_event(leave_requested{}), mLoop.Now());
}

} // namespace snipewalk
