// Implementation of the conversions between messages and their msgpack form.
#include "fleet_wire.h"

#include <optional>
#include <utility>

namespace snipewalk {

namespace {

// Highest version that a nonce can state, too.
constexpr int kVersionLimit = 255;

template<typename Integer, typename Enum>
Enum
ToEnum(Integer aValue, Enum aLast)
{
  if (std::cmp_less(aValue, 0) ||
      std::cmp_greater(aValue, static_cast<int>(aLast))) {
    throw bad_value();
  }
  return static_cast<Enum>(aValue);
}

wire_versions
ToWire(const version_range& aVersions)
{
  return { aVersions.mLowest, aVersions.mHighest };
}

// Nothing when the field was left out.
std::optional<version_range>
FromWire(const wire_versions& aVersions)
{
  const auto& [lowest, highest] = aVersions;
  if (lowest == 0 && highest == 0) {
    return std::nullopt;
  }
  if (lowest < 1 || highest < lowest || highest > kVersionLimit) {
    throw bad_value();
  }
  return version_range{ lowest, highest };
}

wire_member
ToWire(const member_info& aMember)
{
  return { aMember.mName,
           aMember.mIncarnation,
           static_cast<int>(aMember.mState),
           aMember.mDataCentre,
           aMember.mRegion,
           aMember.mPeerAddress,
           aMember.mControlAddress,
           ToWire(aMember.mVersions) };
}

member_info
FromWire(wire_member&& aMember)
{
  auto& [name,
         incarnation,
         state,
         dataCentre,
         region,
         peer,
         control,
         versions] = aMember;
  return { std::move(name),
           incarnation,
           std::move(dataCentre),
           std::move(region),
           std::move(peer),
           std::move(control),
           ToEnum(state, member_state::Left),
           FromWire(versions).value_or(kUnannouncedVersions) };
}

wire_object
ToWire(const stored_object& aObject)
{
  return { aObject.mKey.mKind,
           aObject.mKey.mName,
           aObject.mVersion,
           aObject.mDeleted,
           aObject.mValue };
}

stored_object
FromWire(wire_object&& aObject)
{
  auto& [kind, name, version, deleted, value] = aObject;
  return {
    { std::move(kind), std::move(name) }, version, deleted, std::move(value)
  };
}

template<typename Wire, typename Type>
std::vector<Wire>
ListToWire(const std::vector<Type>& aList)
{
  std::vector<Wire> list;
  list.reserve(aList.size());
  for (const auto& item : aList) {
    list.push_back(ToWire(item));
  }
  return list;
}

template<typename Type, typename Wire>
std::vector<Type>
ListFromWire(std::vector<Wire>&& aList)
{
  std::vector<Type> list;
  list.reserve(aList.size());
  for (auto& item : aList) {
    list.push_back(FromWire(std::move(item)));
  }
  return list;
}

} // namespace

wire_membership
ToWire(const membership_message& aMessage)
{
  return { static_cast<int>(aMessage.mKind),
           aMessage.mSequence,
           aMessage.mSender,
           aMessage.mIncarnation,
           aMessage.mTarget,
           aMessage.mHeads,
           aMessage.mMemberDigest,
           aMessage.mWatchAgeMs,
           ListToWire<wire_member>(aMessage.mUpdates),
           aMessage.mVersions ? ToWire(*aMessage.mVersions) : wire_versions(),
           aMessage.mRangeBits };
}

datagram_body
FromWire(wire_membership&& aMessage)
{
  auto& [kind,
         sequence,
         sender,
         life,
         target,
         heads,
         digest,
         age,
         updates,
         versions,
         rangeBits] = aMessage;
  return membership_message{ ToEnum(kind, membership_kind::Update),
                             sequence,
                             std::move(sender),
                             life,
                             std::move(target),
                             heads,
                             digest,
                             age,
                             ListFromWire<member_info>(std::move(updates)),
                             FromWire(versions),
                             rangeBits };
}

wire_slot
ToWire(const slot_message& aMessage)
{
  return { static_cast<int>(aMessage.mKind),
           aMessage.mService,
           aMessage.mSender,
           aMessage.mSenderLife,
           aMessage.mHolder,
           aMessage.mHolderLife,
           aMessage.mRecordVersion,
           aMessage.mDocumentVersion,
           aMessage.mSequence,
           aMessage.mGranted,
           aMessage.mRecord };
}

datagram_body
FromWire(wire_slot&& aMessage)
{
  auto& [kind,
         service,
         sender,
         senderLife,
         holder,
         holderLife,
         record,
         document,
         sequence,
         granted,
         text] = aMessage;
  return slot_message{ ToEnum(kind, slot_message_kind::TakeOverReply),
                       std::move(service),
                       std::move(sender),
                       senderLife,
                       std::move(holder),
                       holderLife,
                       record,
                       document,
                       sequence,
                       granted,
                       std::move(text) };
}

wire_push
ToWire(const change_push& aPush)
{
  return { aPush.mKind,
           aPush.mSince,
           aPush.mHead,
           ListToWire<wire_object>(aPush.mObjects) };
}

fleet_message
FromWire(wire_push&& aPush)
{
  auto& [kind, since, head, objects] = aPush;
  return change_push{ std::move(kind),
                      since,
                      head,
                      ListFromWire<stored_object>(std::move(objects)) };
}

wire_pull_query
ToWire(const pull_query& aQuery)
{
  return { aQuery.mSequence, aQuery.mKind, aQuery.mSince, aQuery.mCursor };
}

fleet_message
FromWire(wire_pull_query&& aQuery)
{
  auto& [sequence, kind, since, cursor] = aQuery;
  return pull_query{ sequence, std::move(kind), since, cursor };
}

wire_pull_reply
ToWire(const pull_reply& aReply)
{
  const object_chunk& chunk = aReply.mChunk;
  return {
    aReply.mSequence, aReply.mKind, ListToWire<wire_object>(chunk.mObjects),
    chunk.mCursor,    chunk.mMore,  chunk.mSince,
    chunk.mHead,      chunk.mFloor
  };
}

fleet_message
FromWire(wire_pull_reply&& aReply)
{
  auto& [sequence, kind, objects, cursor, more, since, head, floor] = aReply;
  return pull_reply{ sequence,
                     std::move(kind),
                     { ListFromWire<stored_object>(std::move(objects)),
                       cursor,
                       more,
                       since,
                       head,
                       floor } };
}

wire_member_query
ToWire(const member_query& aQuery)
{
  return { aQuery.mSequence, aQuery.mAfter, aQuery.mRanges, aQuery.mWanted };
}

fleet_message
FromWire(wire_member_query&& aQuery)
{
  auto& [sequence, after, ranges, wanted] = aQuery;
  return member_query{ sequence, std::move(after), ranges, std::move(wanted) };
}

wire_member_reply
ToWire(const member_reply& aReply)
{
  std::vector<std::uint64_t> briefs;
  briefs.reserve(aReply.mBriefs.size() * 2);
  for (const auto& brief : aReply.mBriefs) {
    briefs.push_back(brief.mNameHash);
    briefs.push_back(brief.mIncarnation);
  }
  return { aReply.mSequence,
           ListToWire<wire_member>(aReply.mMembers),
           aReply.mMore,
           std::move(briefs) };
}

fleet_message
FromWire(wire_member_reply&& aReply)
{
  auto& [sequence, members, more, pairs] = aReply;
  std::vector<member_brief> briefs;
  briefs.reserve(pairs.size() / 2);
  for (std::size_t i = 0; i + 1 < pairs.size(); i += 2) {
    briefs.push_back({ pairs[i], pairs[i + 1] });
  }
  return member_reply{ sequence,
                       ListFromWire<member_info>(std::move(members)),
                       more,
                       std::move(briefs) };
}

wire_service
ToWire(const service_message& aMessage)
{
  std::string address;
  std::uint64_t version = 0;
  std::uint64_t value = 0;
  if (const auto* asked =
        std::get_if<primary_report_query>(&aMessage.mMessage)) {
    address = asked->mAddress;
  } else if (const auto* primary =
               std::get_if<primary_report>(&aMessage.mMessage)) {
    value = static_cast<std::uint64_t>(primary->mReachability);
  } else if (const auto* open =
               std::get_if<transactions_report>(&aMessage.mMessage)) {
    version = open->mDocumentVersion;
    value = open->mTransactions;
  }
  const int kind = static_cast<int>(aMessage.mMessage.index());
  return std::visit(
    [&](const auto& aKnown) {
      return wire_service{ aMessage.mSender, kind,    aKnown.mService,
                           aKnown.mServer,   address, aKnown.mTerm,
                           aKnown.mQuery,    version, value };
    },
    aMessage.mMessage);
}

fleet_message
FromWire(wire_service&& aMessage)
{
  auto& [sender, kind, service, server, address, term, query, version, value] =
    aMessage;
  service_message message;
  message.mSender = std::move(sender);
  switch (kind) {
    case 0:
      message.mMessage =
        primary_report_query{ service, server, address, term, query };
      break;
    case 1:
      message.mMessage =
        primary_report{ service,
                        server,
                        term,
                        query,
                        ToEnum(value, server_reachability::Unreachable) };
      break;
    case 2:
      message.mMessage = transactions_query{ service, server, term, query };
      break;
    case 3:
      message.mMessage =
        transactions_report{ service, server, term, query, version, value };
      break;
    default:
      throw bad_value();
  }
  return message;
}

} // namespace snipewalk
