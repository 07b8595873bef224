// The msgpack form of the messages between instances: arrays of fields in a
// fixed order. Private to fleet_codec.
#ifndef SNIPEWALK_FLEET_FLEET_WIRE_H_
#define SNIPEWALK_FLEET_FLEET_WIRE_H_

#include "snipewalk/version/fleet_messages.h"

#include <msgpack.hpp>

#include <array>
#include <cstdint>
#include <string>
#include <tuple>
#include <vector>

namespace snipewalk {

using wire_versions = std::tuple<int, int>;
// Fields that a version added stand at the end; wire_fields.h has their number.
using wire_member = std::tuple<std::string,
                               std::uint64_t,
                               int,
                               std::string,
                               std::string,
                               std::string,
                               std::string,
                               wire_versions>;
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
                                   std::vector<wire_member>,
                                   wire_versions,
                                   std::uint64_t>;
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
using wire_member_query = std::
  tuple<std::uint64_t, std::string, std::uint64_t, std::vector<std::uint64_t>>;
// The briefs as pairs of name hash and incarnation without further arrays.
using wire_member_reply = std::tuple<std::uint64_t,
                                     std::vector<wire_member>,
                                     bool,
                                     std::vector<std::uint64_t>>;
// Sender, index of the message in control_message, service, server, address,
// term, query, document version; reachability or number of transactions.
using wire_service = std::tuple<std::string,
                                int,
                                std::string,
                                std::string,
                                std::string,
                                std::uint64_t,
                                std::uint64_t,
                                std::uint64_t,
                                std::uint64_t>;
using wire_hello =
  std::tuple<std::string, std::string, std::string, std::string>;

// Thrown for a value that its type does not have.
struct bad_value : msgpack::type_error
{};

// Conversions; FromWire() throws bad_value.
wire_membership
ToWire(const membership_message& aMessage);
datagram_body
FromWire(wire_membership&& aMessage);

wire_slot
ToWire(const slot_message& aMessage);
datagram_body
FromWire(wire_slot&& aMessage);

wire_push
ToWire(const change_push& aMessage);
fleet_message
FromWire(wire_push&& aMessage);

wire_pull_query
ToWire(const pull_query& aMessage);
fleet_message
FromWire(wire_pull_query&& aMessage);

wire_pull_reply
ToWire(const pull_reply& aMessage);
fleet_message
FromWire(wire_pull_reply&& aMessage);

wire_member_query
ToWire(const member_query& aMessage);
fleet_message
FromWire(wire_member_query&& aMessage);

wire_member_reply
ToWire(const member_reply& aMessage);
fleet_message
FromWire(wire_member_reply&& aMessage);

wire_service
ToWire(const service_message& aMessage);
fleet_message
FromWire(wire_service&& aMessage);

} // namespace snipewalk

#endif // SNIPEWALK_FLEET_FLEET_WIRE_H_
