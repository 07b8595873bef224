// Implementation of the codec of messages between instances.
#include "fleet_codec.h"

#include "snipewalk/base/hmac.h"

#include <msgpack.hpp>

#include <array>
#include <tuple>
#include <utility>

namespace snipewalk {

namespace {

// Separates codes over datagrams from those of the connection challenge.
constexpr std::string_view kDatagramPrefix = "snipewalk datagram 1\n";
constexpr std::size_t kMaxArray = 100'000;
constexpr std::size_t kMaxText = 2 * 1024 * 1024;
constexpr std::size_t kMaxDepth = 8;

using wire_member = std::tuple<std::string,
                               std::uint64_t,
                               int,
                               std::string,
                               std::string,
                               std::string,
                               std::string>;
using wire_object =
  std::tuple<std::string, std::string, std::uint64_t, bool, std::string>;
using wire_heads = std::array<std::uint64_t, kObjectKinds.size()>;
using wire_membership = std::tuple<int,
                                   std::uint64_t,
                                   std::string,
                                   std::uint64_t,
                                   std::string,
                                   wire_heads,
                                   std::uint64_t,
                                   std::uint64_t,
                                   std::vector<wire_member>>;
using wire_slot = std::tuple<int,
                             std::string,
                             std::string,
                             std::uint64_t,
                             std::string,
                             std::uint64_t,
                             std::uint64_t,
                             std::uint64_t,
                             std::uint64_t,
                             bool,
                             std::string>;
using wire_push = std::
  tuple<std::string, std::uint64_t, std::uint64_t, std::vector<wire_object>>;
using wire_pull_query =
  std::tuple<std::uint64_t, std::string, std::uint64_t, std::uint64_t>;
using wire_pull_reply = std::tuple<std::uint64_t,
                                   std::string,
                                   std::vector<wire_object>,
                                   std::uint64_t,
                                   bool,
                                   std::uint64_t,
                                   std::uint64_t,
                                   std::uint64_t>;
using wire_member_query = std::tuple<std::uint64_t, std::string>;
using wire_member_reply =
  std::tuple<std::uint64_t, std::vector<wire_member>, bool>;
// Service, server, address, term, query, reachability; the flag tells a report
// from a query.
using wire_service = std::tuple<std::string,
                                bool,
                                std::string,
                                std::string,
                                std::string,
                                std::uint64_t,
                                std::uint64_t,
                                int>;
using wire_hello =
  std::tuple<std::string, std::string, std::string, std::string>;

// Thrown for a value that its type does not have.
struct bad_value : msgpack::type_error
{};

template<typename Enum>
Enum
ToEnum(int aValue, Enum aLast)
{
  if (aValue < 0 || aValue > static_cast<int>(aLast)) {
    throw bad_value();
  }
  return static_cast<Enum>(aValue);
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
           aMember.mControlAddress };
}

member_info
FromWire(wire_member&& aMember)
{
  auto& [name, incarnation, state, dataCentre, region, peer, control] = aMember;
  return { std::move(name),
           incarnation,
           std::move(dataCentre),
           std::move(region),
           std::move(peer),
           std::move(control),
           ToEnum(state, member_state::Left) };
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
           ListToWire<wire_member>(aMessage.mUpdates) };
}

datagram_body
FromWire(wire_membership&& aMessage)
{
  auto& [kind, sequence, sender, life, target, heads, digest, age, updates] =
    aMessage;
  return membership_message{ ToEnum(kind, membership_kind::Update),
                             sequence,
                             std::move(sender),
                             life,
                             std::move(target),
                             heads,
                             digest,
                             age,
                             ListFromWire<member_info>(std::move(updates)) };
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
  return { aQuery.mSequence, aQuery.mAfter };
}

fleet_message
FromWire(wire_member_query&& aQuery)
{
  auto& [sequence, after] = aQuery;
  return member_query{ sequence, std::move(after) };
}

wire_member_reply
ToWire(const member_reply& aReply)
{
  return { aReply.mSequence,
           ListToWire<wire_member>(aReply.mMembers),
           aReply.mMore };
}

fleet_message
FromWire(wire_member_reply&& aReply)
{
  auto& [sequence, members, more] = aReply;
  return member_reply{ sequence,
                       ListFromWire<member_info>(std::move(members)),
                       more };
}

wire_service
ToWire(const service_message& aMessage)
{
  if (const auto* query =
        std::get_if<primary_report_query>(&aMessage.mMessage)) {
    return { aMessage.mSender, false,        query->mService, query->mServer,
             query->mAddress,  query->mTerm, query->mQuery,   0 };
  }
  const auto& report = std::get<primary_report>(aMessage.mMessage);
  return { aMessage.mSender,
           true,
           report.mService,
           report.mServer,
           "",
           report.mTerm,
           report.mQuery,
           static_cast<int>(report.mReachability) };
}

fleet_message
FromWire(wire_service&& aMessage)
{
  auto& [sender, isReport, service, server, address, term, query, reachable] =
    aMessage;
  if (!isReport) {
    return service_message{
      std::move(sender),
      primary_report_query{
        std::move(service), std::move(server), std::move(address), term, query }
    };
  }
  return service_message{
    std::move(sender),
    primary_report{ std::move(service),
                    std::move(server),
                    term,
                    query,
                    ToEnum(reachable, server_reachability::Unreachable) }
  };
}

// A variant is packed as its index, then the message.
template<typename Variant>
std::string
PackVariant(const Variant& aVariant)
{
  msgpack::sbuffer buffer;
  msgpack::packer<msgpack::sbuffer> packer(buffer);
  packer.pack_array(2);
  packer.pack(static_cast<int>(aVariant.index()));
  std::visit([&](const auto& aMessage) { packer.pack(ToWire(aMessage)); },
             aVariant);
  return { buffer.data(), buffer.size() };
}

// msgpack throws on malformed input; nothing leaves this file.
template<typename Result, typename Function>
std::optional<Result>
Unpack(std::string_view aBytes, Function aConvert)
{
  try {
    const msgpack::unpack_limit limit(
      kMaxArray, 0, kMaxText, kMaxText, 0, kMaxDepth);
    std::size_t offset = 0;
    const auto handle = msgpack::unpack(
      aBytes.data(), aBytes.size(), offset, nullptr, nullptr, limit);
    if (offset != aBytes.size()) {
      return std::nullopt;
    }
    return aConvert(handle.get());
  } catch (const msgpack::unpack_error&) {
    return std::nullopt;
  } catch (const msgpack::type_error&) {
    return std::nullopt;
  }
}

template<typename Wire>
auto
Convert(const msgpack::object& aObject)
{
  return FromWire(aObject.as<Wire>());
}

using wire_variant = std::tuple<int, msgpack::object>;

datagram_body
ToDatagram(const msgpack::object& aObject)
{
  const auto [index, body] = aObject.as<wire_variant>();
  switch (index) {
    case 0:
      return Convert<wire_membership>(body);
    case 1:
      return Convert<wire_slot>(body);
    default:
      throw bad_value();
  }
}

fleet_message
ToFleetMessage(const msgpack::object& aObject)
{
  const auto [index, body] = aObject.as<wire_variant>();
  switch (index) {
    case 0:
      return Convert<wire_push>(body);
    case 1:
      return Convert<wire_pull_query>(body);
    case 2:
      return Convert<wire_pull_reply>(body);
    case 3:
      return Convert<wire_member_query>(body);
    case 4:
      return Convert<wire_member_reply>(body);
    case 5:
      return Convert<wire_service>(body);
    default:
      throw bad_value();
  }
}

std::string
DatagramCode(std::string_view aKey, std::string_view aBody)
{
  return HmacSha256(aKey, std::string(kDatagramPrefix).append(aBody));
}

} // namespace

std::string
EncodeDatagram(const datagram_body& aBody, std::string_view aKey)
{
  const std::string body = PackVariant(aBody);
  return DatagramCode(aKey, body) + body;
}

std::optional<datagram_body>
DecodeDatagram(std::string_view aBytes, const std::vector<std::string>& aKeys)
{
  if (aBytes.size() <= kHmacBytes) {
    return std::nullopt;
  }
  const std::string_view code = aBytes.substr(0, kHmacBytes);
  const std::string_view body = aBytes.substr(kHmacBytes);
  for (const auto& key : aKeys) {
    if (EqualInConstantTime(DatagramCode(key, body), code)) {
      return Unpack<datagram_body>(body, ToDatagram);
    }
  }
  return std::nullopt;
}

std::string
EncodeFleetMessage(const fleet_message& aMessage)
{
  return PackVariant(aMessage);
}

std::optional<fleet_message>
DecodeFleetMessage(std::string_view aBytes)
{
  return Unpack<fleet_message>(aBytes, ToFleetMessage);
}

std::string
EncodeHello(const control_hello& aHello)
{
  msgpack::sbuffer buffer;
  msgpack::pack(
    buffer,
    wire_hello(aHello.mName, aHello.mAddress, aHello.mNonce, aHello.mCode));
  return { buffer.data(), buffer.size() };
}

std::optional<control_hello>
DecodeHello(std::string_view aBytes)
{
  return Unpack<control_hello>(aBytes, [](const msgpack::object& aObject) {
    auto [name, address, nonce, code] = aObject.as<wire_hello>();
    return control_hello{ name, address, nonce, code };
  });
}

std::string
Frame(std::string_view aBody)
{
  std::string frame;
  frame.reserve(aBody.size() + 4);
  for (int shift = 24; shift >= 0; shift -= 8) {
    frame.push_back(static_cast<char>((aBody.size() >> shift) & 0xff));
  }
  frame.append(aBody);
  return frame;
}

frame_status
TakeFrame(std::string& aBuffer, std::size_t aLimit, std::string& aBody)
{
  if (aBuffer.size() < 4) {
    return frame_status::Incomplete;
  }
  std::size_t length = 0;
  for (std::size_t i = 0; i < 4; ++i) {
    length = length << 8 | static_cast<unsigned char>(aBuffer[i]);
  }
  if (length > aLimit) {
    return frame_status::TooLarge;
  }
  if (aBuffer.size() < length + 4) {
    return frame_status::Incomplete;
  }
  aBody.assign(aBuffer, 4, length);
  aBuffer.erase(0, length + 4);
  return frame_status::Complete;
}

} // namespace snipewalk
