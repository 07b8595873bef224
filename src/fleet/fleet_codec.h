// Encodes the messages between instances as msgpack. Decoding bounds sizes and
// nesting before it allocates, so that a faulty or hostile peer cannot make
// this instance spend memory.
#ifndef SNIPEWALK_FLEET_FLEET_CODEC_H_
#define SNIPEWALK_FLEET_FLEET_CODEC_H_

#include "snipewalk/version/fleet_messages.h"

#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace snipewalk {

// Frames above this size end the connection. One object has up to 1 MB.
inline constexpr std::size_t kMaxFrameBytes = 4 * 1024 * 1024;

// HMAC-SHA256 with the first key, then the body. Version 1 states no version;
// its membership messages other than indirect probes have the sender's versions
// in the target, which they do not use.
std::string
EncodeDatagram(const datagram_body& aBody,
               std::string_view aKey,
               int aVersion = kNewestProtocolVersion);

// Nothing when no key verifies the datagram, its version is not in `aVersions`
// or it is malformed. A membership message that states no versions has the one
// of the datagram, except in version 1.
std::optional<datagram_body>
DecodeDatagram(std::string_view aBytes,
               const std::vector<std::string>& aKeys,
               const version_range& aVersions = kBuildVersions);

// Version of a datagram of the fleet, also one outside the range; nothing when
// no key verifies it or it is malformed.
std::optional<int>
VersionOfDatagram(std::string_view aBytes,
                  const std::vector<std::string>& aKeys);

// Decoding needs no version: later versions only add fields.
std::string
EncodeFleetMessage(const fleet_message& aMessage,
                   int aVersion = kNewestProtocolVersion);
std::optional<fleet_message>
DecodeFleetMessage(std::string_view aBytes);

// Client's first frame on a control connection; it answers the challenge.
struct control_hello
{
  std::string mName;
  std::string mAddress;
  // Challenge to the server.
  std::string mNonce;
  std::string mCode;
};

std::string
EncodeHello(const control_hello& aHello);
std::optional<control_hello>
DecodeHello(std::string_view aBytes);

} // namespace snipewalk

#endif // SNIPEWALK_FLEET_FLEET_CODEC_H_
