// Implementation of the codec of messages between instances.
#include "fleet_codec.h"

#include "fleet_wire.h"

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

} // namespace snipewalk
