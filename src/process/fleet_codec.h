// Encodes the messages between instances as msgpack. Decoding bounds sizes and
// nesting before it allocates, so that a faulty or hostile peer cannot make
// this instance spend memory.
#ifndef SNIPEWALK_PROCESS_FLEET_CODEC_H_
#define SNIPEWALK_PROCESS_FLEET_CODEC_H_

#include "snipewalk/process/fleet_messages.h"

#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace snipewalk {

// Frames above this size end the connection. One object has up to 1 MB.
inline constexpr std::size_t kMaxFrameBytes = 4 * 1024 * 1024;

// HMAC-SHA256 with the first key, then the body.
std::string
EncodeDatagram(const datagram_body& aBody, std::string_view aKey);

// Nothing when no key verifies the datagram or it is malformed.
std::optional<datagram_body>
DecodeDatagram(std::string_view aBytes, const std::vector<std::string>& aKeys);

std::string
EncodeFleetMessage(const fleet_message& aMessage);
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

#endif // SNIPEWALK_PROCESS_FLEET_CODEC_H_
