// Packs and reads the tuples of fleet_wire for one version. A version adds
// fields at the end of a tuple only, so that an earlier one is a prefix of it:
// packing leaves the later fields out, and reading sets fields that are absent
// to their defaults and ignores up to kMaxExtraFields unknown ones.
//
// msgpack's own conversion of a tuple accepts any number of additional fields
// and an array without any field; here both are bounded.
#ifndef SNIPEWALK_FLEET_WIRE_FIELDS_H_
#define SNIPEWALK_FLEET_WIRE_FIELDS_H_

#include "fleet_wire.h"

#include "snipewalk/base/protocol_version.h"

#include <msgpack.hpp>

#include <algorithm>
#include <array>
#include <cstddef>
#include <cstdint>
#include <tuple>
#include <type_traits>
#include <utility>
#include <vector>

namespace snipewalk {

using wire_packer = msgpack::packer<msgpack::sbuffer>;

// Index of the message, message and version of a datagram.
using wire_datagram = std::tuple<int, msgpack::object, int>;

// Place of the bits of the ranges in wire_membership.
inline constexpr std::size_t kRangeBitsField = 10;

// Fields of each tuple in version 1. A tuple that grew has an entry here, and
// one in FieldsOf().
template<typename Wire>
inline constexpr std::size_t kFirstFields = std::tuple_size_v<Wire>;
template<>
inline constexpr std::size_t kFirstFields<wire_member> = 7;
template<>
inline constexpr std::size_t kFirstFields<wire_membership> = 9;
template<>
inline constexpr std::size_t kFirstFields<wire_member_query> = 2;
template<>
inline constexpr std::size_t kFirstFields<wire_member_reply> = 3;
template<>
inline constexpr std::size_t kFirstFields<wire_datagram> = 2;

// Number of fields that `aVersion` sends.
template<typename Wire>
std::size_t
FieldsOf(const Wire&, int)
{
  return std::tuple_size_v<Wire>;
}

inline std::size_t
FieldsOf(const wire_member&, int aVersion)
{
  return aVersion >= kStatedVersion ? std::tuple_size_v<wire_member>
                                    : kFirstFields<wire_member>;
}

// Fields that say nothing are left out at the end.
inline std::size_t
FieldsOf(const wire_member_query& aQuery, int aVersion)
{
  const bool asks = std::get<2>(aQuery) != 0 || !std::get<3>(aQuery).empty();
  return aVersion >= kStatedVersion && asks
           ? std::tuple_size_v<wire_member_query>
           : kFirstFields<wire_member_query>;
}

inline std::size_t
FieldsOf(const wire_member_reply& aReply, int aVersion)
{
  return aVersion >= kStatedVersion && !std::get<3>(aReply).empty()
           ? std::tuple_size_v<wire_member_reply>
           : kFirstFields<wire_member_reply>;
}

inline std::size_t
FieldsOf(const wire_membership& aMessage, int aVersion)
{
  if (aVersion < kStatedVersion) {
    return kFirstFields<wire_membership>;
  }
  if (std::get<kRangeBitsField>(aMessage) != 0) {
    return kRangeBitsField + 1;
  }
  return std::get<wire_versions>(aMessage) != wire_versions()
           ? kRangeBitsField
           : kFirstFields<wire_membership>;
}

template<typename Type>
inline constexpr bool kIsTuple = false;
template<typename... Fields>
inline constexpr bool kIsTuple<std::tuple<Fields...>> = true;
template<typename Type>
inline constexpr bool kIsList = false;
template<typename Item>
inline constexpr bool kIsList<std::vector<Item>> = true;

template<typename Wire>
void
PackWire(wire_packer& aPacker, const Wire& aWire, int aVersion)
{
  if constexpr (kIsTuple<Wire>) {
    const std::size_t count = FieldsOf(aWire, aVersion);
    aPacker.pack_array(static_cast<std::uint32_t>(count));
    std::apply(
      [&](const auto&... aFields) {
        std::size_t next = 0;
        ((next++ < count ? PackWire(aPacker, aFields, aVersion) : void()), ...);
      },
      aWire);
  } else if constexpr (kIsList<Wire>) {
    aPacker.pack_array(static_cast<std::uint32_t>(aWire.size()));
    for (const auto& item : aWire) {
      PackWire(aPacker, item, aVersion);
    }
  } else {
    aPacker.pack(aWire);
  }
}

// Throws bad_value unless the array has `aLeast` to `aKnown` fields, and
// perhaps some of a later version.
inline const msgpack::object_array&
CheckedArray(const msgpack::object& aObject,
             std::size_t aLeast,
             std::size_t aKnown)
{
  if (aObject.type != msgpack::type::ARRAY || aObject.via.array.size < aLeast ||
      aObject.via.array.size > aKnown + kMaxExtraFields) {
    throw bad_value();
  }
  return aObject.via.array;
}

template<typename Wire>
Wire
ReadWire(const msgpack::object& aObject);

template<typename Wire, std::size_t... Index>
Wire
ReadTuple(const msgpack::object& aObject, std::index_sequence<Index...>)
{
  const auto& array =
    CheckedArray(aObject, kFirstFields<Wire>, std::tuple_size_v<Wire>);
  Wire wire;
  ((Index < array.size
      ? void(std::get<Index>(wire) =
               ReadWire<std::tuple_element_t<Index, Wire>>(array.ptr[Index]))
      : void()),
   ...);
  return wire;
}

// Throws msgpack::type_error when the object is of another form.
template<typename Wire>
Wire
ReadWire(const msgpack::object& aObject)
{
  if constexpr (kIsTuple<Wire>) {
    return ReadTuple<Wire>(aObject,
                           std::make_index_sequence<std::tuple_size_v<Wire>>());
  } else if constexpr (kIsList<Wire>) {
    if (aObject.type != msgpack::type::ARRAY) {
      throw bad_value();
    }
    Wire list;
    list.reserve(aObject.via.array.size);
    for (std::uint32_t i = 0; i < aObject.via.array.size; ++i) {
      list.push_back(
        ReadWire<typename Wire::value_type>(aObject.via.array.ptr[i]));
    }
    return list;
  } else if constexpr (std::is_same_v<Wire, wire_heads>) {
    wire_heads heads{};
    const auto& array = CheckedArray(aObject, heads.size(), heads.size());
    std::transform(
      array.ptr,
      array.ptr + heads.size(),
      heads.begin(),
      [](const auto& aHead) { return aHead.template as<std::uint64_t>(); });
    return heads;
  } else if constexpr (std::is_same_v<Wire, msgpack::object>) {
    return aObject;
  } else {
    return aObject.as<Wire>();
  }
}

} // namespace snipewalk

#endif // SNIPEWALK_FLEET_WIRE_FIELDS_H_
