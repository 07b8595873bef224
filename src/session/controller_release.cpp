// Release of the old primary before its replacement: the duty holder asks each
// instance to stop routing to it, or waits until their confirmations have
// expired.
#include "snipewalk/base/log.h"
#include "snipewalk/messages/store_revision.h"
#include "snipewalk/session/session_controller.h"

#include <algorithm>

namespace snipewalk {

namespace {

constexpr milliseconds kReleaseRequestInterval{ 40 };
// Interval at which a failed read of the servers is repeated.
constexpr milliseconds kServerReadRetryInterval{ 200 };
// An instance that was marked as gone may live on, and acknowledge commits for
// as long as it reaches the primary and a replica. It is taken to do so for
// this time.
constexpr milliseconds kGoneAcknowledgementTime{ 60'000 };
// Safety margin, as the clocks of two instances may run at slightly different
// speeds.
constexpr milliseconds kClockRateMargin{ 100 };

} // namespace

void
session_controller::BeginRelease(const release_instances& aRelease,
                                 time_point aNow)
{
  const std::string service = aRelease.mService;
  service_control& control = mServices[service];
  running_change& running = *control.mRunning;
  running.mEndsWrites = aRelease.mEndsWrites;
  NoteRelease(control, aRelease.mTerm, aRelease.mEndsWrites);
  PublishPrimary(service, aNow);
  running.mReleasing = true;
  running.mReleaseBegan = aNow;
  running.mServersReadAt = aNow;
  running.mListingInstances = true;
  running.mUnreleased.clear();
  running.mAcknowledged = { {}, true };
  NoteAcknowledged(
    running, mEngine.AcknowledgedPosition(service), aNow - mStartedAt);
  running.mConfirmationsExpireAt =
    aNow + kConfirmationLifetime + kClockRateMargin;
  // The instances are listed after the change was recorded: an instance missing
  // from the list registers later and reads the record first.
  mStore.Submit(store_watch{ kFleetKind, 0, milliseconds(0) },
                store_priority::Terms,
                [this, service, alive = std::weak_ptr<bool>(mAlive)](
                  const store_reply& aReply, time_point aThen) {
                  if (!alive.expired() && mServices[service].mRunning) {
                    OnInstancesListed(service, aReply, aThen);
                  }
                });
  mServerWatcher.Refresh();
}

void
session_controller::OnInstancesListed(const std::string& aService,
                                      const store_reply& aReply,
                                      time_point aNow)
{
  running_change& running = *mServices[aService].mRunning;
  const bool sameEra = EraOf(aReply.mRevision) == EraOf(running.mRecordVersion);
  if (aReply.mStatus != store_status::Ok || aReply.mMore || !sameEra) {
    // Without a complete list, unknown instances may still route to the old
    // primary until their confirmations have expired.
    return;
  }
  for (const auto& object : aReply.mObjects) {
    const auto record = DecodeFleetRecord(object.mKey.mName, object.mValue);
    const auto* instance =
      record.ok() ? std::get_if<instance_record>(&*record) : nullptr;
    if (instance == nullptr || instance->mName == mOptions.mInstance) {
      continue;
    }
    // The watch may not have delivered this version yet.
    mInstances.Put(*instance, object.mVersion, aNow);
    if (const auto* known = mInstances.Find(instance->mName)) {
      AwaitRelease(aService, *known, aNow);
    }
  }
  running.mListingInstances = false;
  running.mRequestedAt = time_point::min();
  ContinueRelease(aService, aNow);
}

void
session_controller::AwaitRelease(
  const std::string& aService,
  const instance_directory::known_instance& aInstance,
  time_point aNow)
{
  running_change& running = *mServices[aService].mRunning;
  const std::string& name = aInstance.mRecord.mName;
  const auto goneSince = aInstance.mGoneSince;
  if (goneSince && aNow < *goneSince + kGoneAcknowledgementTime) {
    running.mAcknowledged.mAllKnown = false;
  }
  const bool confirmationExpired =
    goneSince && aNow >= *goneSince + kConfirmationLifetime;
  if (!confirmationExpired) {
    running.mUnreleased[name] = aInstance.mRecord;
    return;
  }
  Log(log_level::Info,
      "primary",
      "change of primary does not wait for an instance that is gone",
      { { "service", aService },
        { "instance", name },
        { "gone_ms", ToMilliseconds(aNow - *goneSince) } });
}

void
session_controller::ContinueRelease(const std::string& aService,
                                    time_point aNow)
{
  running_change& running = *mServices[aService].mRunning;
  const bool allReleased =
    !running.mListingInstances && running.mUnreleased.empty();
  // A replica that registered since the change began may have confirmed
  // commits.
  const bool serversCurrent = mServerWatcher.AsOf() >= running.mReleaseBegan;
  if (!serversCurrent && !mServerWatcher.IsRefreshing() &&
      aNow >= running.mServersReadAt + kServerReadRetryInterval) {
    running.mServersReadAt = aNow;
    mServerWatcher.Refresh();
  }
  if (serversCurrent &&
      (allReleased || aNow >= running.mConfirmationsExpireAt)) {
    running.mReleasing = false;
    if (!allReleased) {
      Log(log_level::Info,
          "primary",
          "instances did not answer; their confirmations have expired",
          { { "service", aService },
            { "instances",
              static_cast<std::int64_t>(running.mUnreleased.size()) } });
    }
    running.mAcknowledged.mAllKnown =
      running.mAcknowledged.mAllKnown && allReleased;
    NoteReleased(aService, aNow);
    return;
  }
  if (running.mRequestedAt != time_point::min() &&
      aNow < running.mRequestedAt + kReleaseRequestInterval) {
    return;
  }
  running.mRequestedAt = aNow;
  for (const auto& [name, instance] : running.mUnreleased) {
    mLinks.SendDatagram(instance.mPeerAddress,
                        release_request{ aService,
                                         running.mChange->Term(),
                                         running.mEndsWrites });
  }
}

void
session_controller::NoteReleased(const std::string& aService, time_point aNow)
{
  service_control& control = mServices[aService];
  running_change& running = *control.mRunning;
  const std::string acknowledged = running.mAcknowledged.mNewest.ToString();
  Log(log_level::Info,
      "primary",
      "instances have released the primary",
      { { "service", aService },
        { "ends_writes", running.mEndsWrites },
        { "acknowledged", acknowledged },
        { "all_known", running.mAcknowledged.mAllKnown } });
  // A change that finds no such log fails, and the next one needs it as well.
  control.mAcknowledgedPosition =
    std::max(control.mAcknowledgedPosition, running.mAcknowledged.mNewest);
  Perform(aService,
          running.mChange->OnInstancesReleased(aNow, running.mAcknowledged),
          aNow);
}

void
session_controller::NoteAcknowledged(running_change& aRunning,
                                     const log_position& aNewest,
                                     duration aUptime)
{
  acknowledged_commits& known = aRunning.mAcknowledged;
  known.mNewest = std::max(known.mNewest, aNewest);
  // An earlier process of the instance may have acknowledged others.
  known.mAllKnown = known.mAllKnown && aUptime >= kCatchUpTime;
}

void
session_controller::OnReleaseAnswer(const release_answer& aAnswer,
                                    time_point aNow)
{
  const auto control = mServices.find(aAnswer.mService);
  if (control == mServices.end() || !control->second.mRunning ||
      !control->second.mRunning->mReleasing) {
    return;
  }
  running_change& running = *control->second.mRunning;
  const auto unreleased = running.mUnreleased.find(aAnswer.mInstance);
  if (unreleased == running.mUnreleased.end() ||
      aAnswer.mTerm != running.mChange->Term() ||
      aAnswer.mStarted < unreleased->second.mStarted) {
    return;
  }
  running.mUnreleased.erase(unreleased);
  NoteAcknowledged(
    running, aAnswer.mAcknowledged, milliseconds(aAnswer.mUptimeMs));
  ContinueRelease(aAnswer.mService, aNow);
}

} // namespace snipewalk
