// Implementation of slot assignment: messages between holders.
#include "slot_service.h"

#include "snipewalk/version/slot_assignment.h"

#include <algorithm>

namespace snipewalk {

slot_message
slot_assignment::MakeMessage(const slot_service& aService,
                             slot_message_kind aKind,
                             std::uint64_t aSequence) const
{
  slot_message message;
  message.mKind = aKind;
  message.mService = aService.mName;
  message.mSender = mOptions.mInstance;
  message.mSenderLife = mOptions.mLife;
  message.mRecordVersion = aService.mRecordVersion;
  message.mDocumentVersion = aService.mDocumentVersion;
  message.mSequence = aSequence;
  return message;
}

void
slot_assignment::On(const slot_message_received& aEvent,
                    time_point aNow,
                    actions& aActions)
{
  const slot_message& message = aEvent.mMessage;
  slot_service* service = FindService(message.mService);
  if (service == nullptr) {
    return;
  }
  if (!message.mRecord.empty() &&
      message.mRecordVersion > service->mRecordVersion) {
    const stored_object object{ { std::string(kSlotsKind), message.mService },
                                message.mRecordVersion,
                                false,
                                message.mRecord };
    Adopt(*service, object, aNow, aActions);
    aActions.push_back(record_learned{ object });
  }
  const auto other = service->mCoHolders.find(message.mSender);
  if (other != service->mCoHolders.end() &&
      other->second.mIncarnation == message.mSenderLife) {
    co_holder& known = other->second;
    known.mRecordVersion =
      std::max(known.mRecordVersion, message.mRecordVersion);
    if (message.mDocumentVersion > known.mDocumentVersion) {
      known.mDocumentVersion = message.mDocumentVersion;
      known.mDocumentLearnedAt = aNow;
      Schedule(*service, aNow);
    }
  }
  switch (message.mKind) {
    case slot_message_kind::HoldQuery:
      OnHoldQuery(*service, aEvent, aNow, aActions);
      break;
    case slot_message_kind::HoldReply:
      OnHoldReply(*service, message, aNow, aActions);
      break;
    case slot_message_kind::TakeOverQuery:
      OnTakeOverQuery(*service, aEvent, aNow, aActions);
      break;
    case slot_message_kind::TakeOverReply:
      OnTakeOverReply(*service, message, aNow);
      break;
  }
}

void
slot_assignment::OnHoldQuery(slot_service& aService,
                             const slot_message_received& aEvent,
                             time_point,
                             actions& aActions)
{
  const slot_message& query = aEvent.mMessage;
  slot_message reply =
    MakeMessage(aService, slot_message_kind::HoldReply, query.mSequence);
  reply.mHolder = query.mSender;
  reply.mHolderLife = query.mSenderLife;
  const auto other = aService.mCoHolders.find(query.mSender);
  if (aService.mSlot && other != aService.mCoHolders.end() &&
      other->second.mIncarnation == query.mSenderLife) {
    other->second.mQueriedVersion =
      std::max(other->second.mQueriedVersion, query.mRecordVersion);
    reply.mGranted = query.mRecordVersion == aService.mRecordVersion &&
                     !other->second.mReplacementAgreed;
  }
  if (query.mRecordVersion < aService.mRecordVersion) {
    reply.mRecord = aService.mRecordText;
  }
  aActions.push_back(send_slot_message{ aEvent.mFrom, std::move(reply) });
}

void
slot_assignment::OnHoldReply(slot_service& aService,
                             const slot_message& aReply,
                             time_point aNow,
                             actions&)
{
  const auto other = aService.mCoHolders.find(aReply.mSender);
  const bool isOwnQuery = aReply.mHolder == mOptions.mInstance &&
                          aReply.mHolderLife == mOptions.mLife;
  if (!aReply.mGranted || !isOwnQuery || !aService.mSlot ||
      other == aService.mCoHolders.end() || other->second.mReplacementAgreed ||
      other->second.mIncarnation != aReply.mSenderLife) {
    return;
  }
  const time_point sentAt{ milliseconds(aReply.mSequence) };
  if (sentAt > aNow) {
    return;
  }
  aService.mLeaseExpiry =
    std::max(aService.mLeaseExpiry, sentAt + kSlotLeaseDuration);
  if (aService.mShare == 0) {
    Schedule(aService, aNow);
  }
}

bool
slot_assignment::MayAgree(const slot_service& aService,
                          const slot_message& aQuery) const
{
  const auto target = aService.mCoHolders.find(aQuery.mHolder);
  if (!aService.mSlot || aQuery.mRecordVersion != aService.mRecordVersion ||
      target == aService.mCoHolders.end() ||
      target->second.mIncarnation != aQuery.mHolderLife) {
    return false;
  }
  // A query from the target shows that it knows of this holder. Otherwise the
  // target may regard itself as the only holder, whose lease never expires.
  return target->second.mQueriedVersion >= aService.mClaimVersion &&
         target->second.mQueriedVersion != 0 &&
         mFleet.Liveness({ aQuery.mHolder, aQuery.mHolderLife }) !=
           holder_liveness::Live;
}

void
slot_assignment::OnTakeOverQuery(slot_service& aService,
                                 const slot_message_received& aEvent,
                                 time_point,
                                 actions& aActions)
{
  const slot_message& query = aEvent.mMessage;
  slot_message reply =
    MakeMessage(aService, slot_message_kind::TakeOverReply, query.mSequence);
  reply.mHolder = query.mHolder;
  reply.mHolderLife = query.mHolderLife;
  reply.mGranted = MayAgree(aService, query);
  if (reply.mGranted) {
    aService.mCoHolders.at(query.mHolder).mReplacementAgreed = true;
  }
  if (query.mRecordVersion < aService.mRecordVersion) {
    reply.mRecord = aService.mRecordText;
  }
  aActions.push_back(send_slot_message{ aEvent.mFrom, std::move(reply) });
}

void
slot_assignment::OnTakeOverReply(slot_service& aService,
                                 const slot_message& aReply,
                                 time_point aNow)
{
  auto& takeOver = aService.mTakeOver;
  if (!takeOver || !aReply.mGranted ||
      aReply.mRecordVersion != takeOver->mRecordVersion ||
      aReply.mHolder != takeOver->mHolder.mInstance ||
      aReply.mHolderLife != takeOver->mHolder.mIncarnation ||
      !aService.IsHolder(aReply.mSender, aReply.mSenderLife)) {
    return;
  }
  takeOver->mAgreed.insert(aReply.mSender);
  Schedule(aService, aNow);
}

} // namespace snipewalk
