// Implementation of slot assignment: events, holders and shares.
#include "snipewalk/version/slot_assignment.h"

#include "slot_service.h"

#include "snipewalk/version/term_record.h"

#include <algorithm>

namespace snipewalk {

namespace {

// Maximum number of services handled by one timer event; bounds the duration of
// the event.
constexpr std::size_t kMaxServicesPerTimer = 64;
// A holder queries the store if its lease expires within this time, which is
// enough for two store calls of 1.5 s.
constexpr milliseconds kLeaseRenewalThreshold{ 3'200 };
// One in this number of connections is reserved for replacing unresponsive
// connections: a reserve of a tenth limits the number of connections that stay
// unused while the load is uneven.
constexpr int kConnectionsPerReservedOne = 10;

} // namespace

int
SlotShare(int aConnections, int aSlots, std::size_t aSlot)
{
  if (aSlots <= 0 || aSlot >= static_cast<std::size_t>(aSlots)) {
    return 0;
  }
  const int remainder = aConnections % aSlots;
  return aConnections / aSlots + (static_cast<int>(aSlot) < remainder ? 1 : 0);
}

int
SlotReserve(int aConnections, int aSlots, std::size_t aSlot)
{
  const int reserve = SlotShare(
    std::max(0, aConnections) / kConnectionsPerReservedOne, aSlots, aSlot);
  // The control connection and one statement connection take precedence over
  // the reserve.
  const int spare = SlotShare(aConnections, aSlots, aSlot) - 2;
  return std::clamp(spare, 0, reserve);
}

slot_assignment::slot_assignment(slot_options aOptions,
                                 const slot_fleet& aFleet)
  : mOptions(std::move(aOptions))
  , mFleet(aFleet)
  , mRandom(mOptions.mSeed)
{
}

slot_assignment::~slot_assignment() = default;

void
slot_assignment::Handle(const slot_event& aEvent,
                        time_point aNow,
                        std::vector<slot_action>& aActions)
{
  std::visit([&](const auto& aKnown) { On(aKnown, aNow, aActions); }, aEvent);
}

std::optional<time_point>
slot_assignment::NextTimer() const
{
  if (mTimers.empty()) {
    return std::nullopt;
  }
  return mTimers.begin()->first;
}

int
slot_assignment::Share(const std::string& aService) const
{
  const auto found = mServices.find(aService);
  return found == mServices.end() ? 0 : found->second->mShare;
}

int
slot_assignment::Reserve(const std::string& aService) const
{
  const auto found = mServices.find(aService);
  if (found == mServices.end() || !found->second->mSlot) {
    return 0;
  }
  const slot_service& service = *found->second;
  const int reserve =
    SlotReserve(service.mConnections, service.mSlots, *service.mSlot);
  return std::clamp(service.mShare - 2, 0, reserve);
}

const slot_record*
slot_assignment::Record(const std::string& aService) const
{
  const auto found = mServices.find(aService);
  return found == mServices.end() ? nullptr : &found->second->mRecord;
}

std::size_t
slot_assignment::HeldCount() const
{
  const auto own = mByHolder.find(mOptions.mInstance);
  if (own == mByHolder.end()) {
    return 0;
  }
  return static_cast<std::size_t>(std::count_if(
    own->second.begin(), own->second.end(), [&](const std::string& aName) {
      return mServices.at(aName)->mSlot.has_value();
    }));
}

slot_service&
slot_assignment::ServiceOf(const std::string& aName)
{
  auto& service = mServices[aName];
  if (!service) {
    service = std::make_unique<slot_service>();
    service->mName = aName;
  }
  return *service;
}

slot_service*
slot_assignment::FindService(const std::string& aName)
{
  const auto found = mServices.find(aName);
  return found == mServices.end() ? nullptr : found->second.get();
}

void
slot_assignment::Schedule(slot_service& aService, time_point aWhen)
{
  if (aService.mTimerAt) {
    if (*aService.mTimerAt <= aWhen) {
      return;
    }
    mTimers.erase({ *aService.mTimerAt, aService.mName });
  }
  aService.mTimerAt = aWhen;
  mTimers.emplace(aWhen, aService.mName);
}

milliseconds
slot_assignment::RandomDelay(milliseconds aMaximum)
{
  const auto range = static_cast<std::uint64_t>(aMaximum.count()) + 1;
  return milliseconds(mRandom() % range);
}

void
slot_assignment::On(const slots_configured& aEvent,
                    time_point aNow,
                    actions& aActions)
{
  slot_service& service = ServiceOf(aEvent.mService);
  if (aEvent.mDocumentVersion <= service.mDocumentVersion) {
    return;
  }
  service.mDocumentVersion = aEvent.mDocumentVersion;
  service.mSlots = aEvent.mSlots;
  service.mConnections = aEvent.mConnections;
  service.mServerDataCentres = aEvent.mServerDataCentres;
  // The share must shrink before this instance reports the new document version
  // to other holders, which may then grow theirs.
  if (service.mSlot) {
    SetShare(
      service,
      std::min(service.mShare,
               SlotShare(service.mConnections, service.mSlots, *service.mSlot)),
      aActions);
    service.mNextQuery = aNow;
  }
  Schedule(service, aNow);
}

void
slot_assignment::On(const slots_recorded& aEvent,
                    time_point aNow,
                    actions& aActions)
{
  Adopt(ServiceOf(aEvent.mObject.mKey.mName), aEvent.mObject, aNow, aActions);
}

void
slot_assignment::On(const slot_member_changed& aEvent,
                    time_point aNow,
                    actions&)
{
  const auto held = mByHolder.find(aEvent.mName);
  if (held == mByHolder.end()) {
    return;
  }
  for (const auto& name : held->second) {
    Schedule(*mServices.at(name), aNow);
  }
}

void
slot_assignment::On(const slot_store_recovered&, time_point aNow, actions&)
{
  for (auto& [name, service] : mServices) {
    service->mBackoff = milliseconds(0);
    // Only claims are delayed: a holder may depend on the store's answer to
    // keep its lease.
    if (!service->mSlot) {
      service->mNextStoreCall = aNow + RandomDelay(mOptions.mRecoveryJitter);
    }
  }
}

void
slot_assignment::On(const slots_released&, time_point aNow, actions&)
{
  mReleasing = true;
  for (auto& [name, service] : mServices) {
    if (service->mSlot) {
      Schedule(*service, aNow);
    }
  }
}

void
slot_assignment::On(const slot_timer&, time_point aNow, actions& aActions)
{
  StartMove(aNow);
  for (std::size_t i = 0; i < kMaxServicesPerTimer && !mTimers.empty() &&
                          mTimers.begin()->first <= aNow;
       ++i) {
    slot_service& service = *mServices.at(mTimers.begin()->second);
    mTimers.erase(mTimers.begin());
    service.mTimerAt.reset();
    Step(service, aNow, aActions);
  }
}

void
slot_assignment::Step(slot_service& aService,
                      time_point aNow,
                      actions& aActions)
{
  if (!aService.mSlot) {
    StepClaimant(aService, aNow, aActions);
  } else if (mReleasing || *aService.mSlot >= static_cast<std::size_t>(
                                                std::max(0, aService.mSlots))) {
    StepRelease(aService, aNow, aActions);
  } else if (!StepMove(aService, aNow, aActions)) {
    aService.mReleaseAt.reset();
    StepHolder(aService, aNow, aActions);
  }
}

bool
slot_assignment::HasValidLease(const slot_service& aService,
                               time_point aNow) const
{
  return aService.mCoHolders.empty() || aNow < aService.mLeaseExpiry;
}

bool
slot_assignment::MayGrowShare(const slot_service& aService,
                              time_point aNow) const
{
  if (aNow < aService.mGrowthBlockedUntil) {
    return false;
  }
  return std::all_of(
    aService.mCoHolders.begin(),
    aService.mCoHolders.end(),
    [&](const auto& aOther) {
      const co_holder& other = aOther.second;
      // A holder reports a new document version immediately, but takes up to
      // mConnectionCloseTime to close the connections above its reduced share.
      return (other.mDocumentVersion >= aService.mDocumentVersion &&
              aNow >=
                other.mDocumentLearnedAt + mOptions.mConnectionCloseTime) ||
             mFleet.Liveness({ aOther.first, other.mIncarnation }) ==
               holder_liveness::Gone;
    });
}

void
slot_assignment::SetShare(slot_service& aService, int aShare, actions& aActions)
{
  if (aService.mShare != aShare) {
    aService.mShare = aShare;
    aActions.push_back(share_changed{ aService.mName, aShare });
  }
}

void
slot_assignment::StepHolder(slot_service& aService,
                            time_point aNow,
                            actions& aActions)
{
  if (aNow >= aService.mNextQuery) {
    QueryHolders(aService, aNow, aActions);
  }
  const int target =
    HasValidLease(aService, aNow)
      ? SlotShare(aService.mConnections, aService.mSlots, *aService.mSlot)
      : 0;
  if (target < aService.mShare || MayGrowShare(aService, aNow)) {
    SetShare(aService, target, aActions);
  }
  if (aService.mCoHolders.empty()) {
    if (aService.mShare != target) {
      Schedule(aService, std::max(aNow, aService.mGrowthBlockedUntil));
    }
    return;
  }
  if (aService.mLeaseExpiry < aNow + kLeaseRenewalThreshold ||
      aService.mMustReadBack) {
    QueryStore(aService, aNow, aActions);
  }
  Schedule(aService, aService.mNextQuery);
  if (aService.mLeaseExpiry > aNow) {
    Schedule(aService, aService.mLeaseExpiry);
  }
  if (aService.mShare != target && aService.mGrowthBlockedUntil > aNow) {
    Schedule(aService, aService.mGrowthBlockedUntil);
  }
  for (const auto& [name, other] : aService.mCoHolders) {
    const time_point closed =
      other.mDocumentLearnedAt + mOptions.mConnectionCloseTime;
    if (aService.mShare != target && closed > aNow) {
      Schedule(aService, closed);
    }
  }
}

void
slot_assignment::StepRelease(slot_service& aService,
                             time_point aNow,
                             actions& aActions)
{
  SetShare(aService, 0, aActions);
  if (!aService.mReleaseAt) {
    // The next holder of a vacant slot opens connections without waiting, so
    // the connections of the holder before this one must be closed as well.
    aService.mReleaseAt = std::max(aNow + mOptions.mConnectionCloseTime,
                                   aService.mGrowthBlockedUntil);
  }
  const time_point when =
    std::max(*aService.mReleaseAt, aService.mNextStoreCall);
  if (aNow < when) {
    Schedule(aService, when);
  } else if (aService.mMustReadBack) {
    QueryStore(aService, aNow, aActions);
  } else if (!aService.mOperation) {
    PutHolder(aService, *aService.mSlot, {}, true, aNow, aActions);
  }
}

void
slot_assignment::QueryHolders(slot_service& aService,
                              time_point aNow,
                              actions& aActions)
{
  aService.mNextQuery = aNow + mOptions.mQueryInterval;
  // The sequence is the sending time of the query, at which the lease starts.
  const auto sequence =
    static_cast<std::uint64_t>(ToMilliseconds(aNow.time_since_epoch()));
  for (const auto& [name, other] : aService.mCoHolders) {
    const std::string address = mFleet.AddressOf(name);
    if (address.empty()) {
      continue;
    }
    slot_message query =
      MakeMessage(aService, slot_message_kind::HoldQuery, sequence);
    query.mHolder = mOptions.mInstance;
    query.mHolderLife = mOptions.mLife;
    if (other.mRecordVersion != 0 &&
        other.mRecordVersion < aService.mRecordVersion) {
      query.mRecord = aService.mRecordText;
    }
    aActions.push_back(send_slot_message{ address, std::move(query) });
  }
}

void
slot_assignment::QueryStore(slot_service& aService,
                            time_point aNow,
                            actions& aActions)
{
  if (aService.mOperation) {
    return;
  }
  if (aNow < aService.mNextStoreCall) {
    Schedule(aService, aService.mNextStoreCall);
    return;
  }
  aService.mNextStoreCall = aNow + mOptions.mQueryInterval;
  aService.mOperation = mNextOperation++;
  aService.mOperationSent = aNow;
  aService.mOperationIsPut = false;
  mOperations[*aService.mOperation] = aService.mName;
  aActions.push_back(
    slot_store_call{ *aService.mOperation,
                     store_get{ { std::string(kSlotsKind), aService.mName } },
                     PriorityOf(aService) });
}

} // namespace snipewalk
