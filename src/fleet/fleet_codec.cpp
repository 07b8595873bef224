// Implementation of the codec of messages between instances.
#include "fleet_codec.h"

#include "fleet_wire.h"
#include "wire_fields.h"

#include "snipewalk/base/hmac.h"

#include <msgpack.hpp>

#include <tuple>
#include <utility>

namespace snipewalk {

namespace {

// Separates codes over datagrams from those of the connection challenge.
constexpr std::string_view kDatagramPrefix = "snipewalk datagram 1\n";
constexpr std::size_t kMaxArray = 100'000;
constexpr std::size_t kMaxText = 2 * 1024 * 1024;
constexpr std::size_t kMaxDepth = 8;

// Starts the target of a message of version 1 that states the versions of its
// sender; an address starts with a digit or a bracket.
constexpr char kAnnouncement = 'v';

// A variant is packed as its index, then the message, then `aStated` if any.
template<typename Variant>
std::string
PackVariant(const Variant& aVariant, int aVersion, std::optional<int> aStated)
{
  msgpack::sbuffer buffer;
  wire_packer packer(buffer);
  packer.pack_array(aStated ? 3 : 2);
  packer.pack(static_cast<int>(aVariant.index()));
  std::visit(
    [&](const auto& aMessage) { PackWire(packer, ToWire(aMessage), aVersion); },
    aVariant);
  if (aStated) {
    packer.pack(*aStated);
  }
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
  return FromWire(ReadWire<Wire>(aObject));
}

using wire_variant = std::tuple<int, msgpack::object>;

bool
IsAnnouncement(const membership_message& aMessage)
{
  return aMessage.mKind != membership_kind::IndirectProbe &&
         !aMessage.mTarget.empty() && aMessage.mTarget[0] == kAnnouncement;
}

datagram_body
ToMembership(const msgpack::object& aObject, int aVersion)
{
  datagram_body body = Convert<wire_membership>(aObject);
  auto& message = std::get<membership_message>(body);
  if (aVersion >= kStatedVersion) {
    if (!message.mVersions) {
      message.mVersions = version_range{ aVersion, aVersion };
    }
  } else if (IsAnnouncement(message)) {
    message.mVersions = DecodeVersions(message.mTarget.substr(1));
    message.mTarget.clear();
  }
  return body;
}

// Version 1 states none.
int
VersionOf(const msgpack::object& aObject)
{
  const int stated = std::get<2>(ReadWire<wire_datagram>(aObject));
  return stated == 0 ? kOldestProtocolVersion : stated;
}

datagram_body
ToDatagram(const msgpack::object& aObject, const version_range& aVersions)
{
  const int version = VersionOf(aObject);
  const auto [index, body, stated] = ReadWire<wire_datagram>(aObject);
  if (!aVersions.Contains(version)) {
    throw bad_value();
  }
  switch (index) {
    case 0:
      return ToMembership(body, version);
    case 1:
      return Convert<wire_slot>(body);
    default:
      throw bad_value();
  }
}

fleet_message
ToFleetMessage(const msgpack::object& aObject)
{
  const auto [index, body] = ReadWire<wire_variant>(aObject);
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

std::optional<std::string_view>
VerifiedBody(std::string_view aBytes, const std::vector<std::string>& aKeys)
{
  if (aBytes.size() <= kHmacBytes) {
    return std::nullopt;
  }
  const std::string_view code = aBytes.substr(0, kHmacBytes);
  const std::string_view body = aBytes.substr(kHmacBytes);
  for (const auto& key : aKeys) {
    if (EqualInConstantTime(DatagramCode(key, body), code)) {
      return body;
    }
  }
  return std::nullopt;
}

} // namespace

std::string
EncodeDatagram(const datagram_body& aBody, std::string_view aKey, int aVersion)
{
  std::string body;
  const auto* message = std::get_if<membership_message>(&aBody);
  if (aVersion >= kStatedVersion) {
    body = PackVariant(aBody, aVersion, aVersion);
  } else if (message != nullptr && message->mVersions &&
             *message->mVersions != kUnannouncedVersions &&
             message->mKind != membership_kind::IndirectProbe) {
    membership_message announcing = *message;
    announcing.mTarget = kAnnouncement + EncodeVersions(*message->mVersions);
    body = PackVariant(datagram_body(announcing), aVersion, std::nullopt);
  } else {
    body = PackVariant(aBody, aVersion, std::nullopt);
  }
  return DatagramCode(aKey, body) + body;
}

std::optional<datagram_body>
DecodeDatagram(std::string_view aBytes,
               const std::vector<std::string>& aKeys,
               const version_range& aVersions)
{
  const auto body = VerifiedBody(aBytes, aKeys);
  if (!body) {
    return std::nullopt;
  }
  return Unpack<datagram_body>(*body, [&](const msgpack::object& aObject) {
    return ToDatagram(aObject, aVersions);
  });
}

std::optional<int>
VersionOfDatagram(std::string_view aBytes,
                  const std::vector<std::string>& aKeys)
{
  const auto body = VerifiedBody(aBytes, aKeys);
  return body ? Unpack<int>(*body, VersionOf) : std::nullopt;
}

std::string
EncodeFleetMessage(const fleet_message& aMessage, int aVersion)
{
  return PackVariant(aMessage, aVersion, std::nullopt);
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
    auto [name, address, nonce, code] = ReadWire<wire_hello>(aObject);
    return control_hello{ name, address, nonce, code };
  });
}

} // namespace snipewalk
