// Messages between instances on the peer port, in msgpack. Deadlines travel as
// remaining milliseconds, because clocks differ between instances.
//
// All messages of the versions 1 and 2 have the same fields; the nonces of the
// handshake state the range of versions, and decoders of version 2 ignore
// additional fields.
#ifndef SNIPEWALK_CONNECTION_PEER_MESSAGES_H_
#define SNIPEWALK_CONNECTION_PEER_MESSAGES_H_

#include "snipewalk/base/protocol_version.h"
#include "snipewalk/base/time.h"
#include "snipewalk/messages/statement.h"

#include <optional>
#include <string>
#include <string_view>
#include <variant>

#include <absl/status/statusor.h>

namespace snipewalk {

// First message of the connecting side.
struct peer_hello
{
  std::string mInstance;
  std::string mNonce;
};

// The accepting side proves that it knows the fleet key.
struct peer_challenge
{
  std::string mInstance;
  std::string mNonce;
  std::string mProof;
};

// The connecting side proves that it knows the fleet key.
struct peer_proof
{
  std::string mProof;
};

struct peer_ping
{};

struct peer_pong
{};

using peer_message = std::variant<peer_hello,
                                  peer_challenge,
                                  peer_proof,
                                  peer_ping,
                                  peer_pong,
                                  statement_request,
                                  outcome_request,
                                  statement_response>;

// Payload of a frame; `aNow` turns deadlines into remaining time.
std::string
EncodePeerMessage(const peer_message& aMessage, time_point aNow);

// Fields after the known ones are ignored. Errors: InvalidArgument for bytes
// that are not exactly one valid message.
absl::StatusOr<peer_message>
DecodePeerMessage(std::string_view aPayload, time_point aNow);

// Which side of the handshake a proof belongs to.
enum class handshake_side
{
  Connecting,
  Accepting
};

// Authentication code over both nonces and names. The side is part of it, so
// that a proof cannot be sent back to its author.
std::string
HandshakeProof(std::string_view aFleetKey,
               handshake_side aSide,
               const peer_hello& aHello,
               std::string_view aAcceptingInstance,
               std::string_view aAcceptingNonce);

// Random bytes from the system. An instance that supports version 1 only has
// nonces of 16 bytes. Others have 15, of which the first two are the range, and
// 104 bits are random: version 1 accepts nonces of up to 16 bytes but no
// additional field in the hello, and the proofs cover the nonces, so that no
// third party can change the range.
std::string
MakeNonce(const version_range& aVersions);

// The range that a nonce states; nothing when it is invalid.
std::optional<version_range>
VersionsOfNonce(std::string_view aNonce);

} // namespace snipewalk

#endif // SNIPEWALK_CONNECTION_PEER_MESSAGES_H_
