// Limits and type codes shared by the encoder and decoder of peer messages.
#ifndef SNIPEWALK_CONNECTION_PEER_LIMITS_H_
#define SNIPEWALK_CONNECTION_PEER_LIMITS_H_

#include "snipewalk/base/time.h"

#include <cstddef>
#include <cstdint>

namespace snipewalk {

inline constexpr std::size_t kNonceBytes = 16;
// Length of a nonce that starts with a range of versions; version 1 sends none
// of this length.
inline constexpr std::size_t kRangeNonceBytes = 15;
// Fields of the longest message, of later versions too, and depth of the array
// and of an array in a later field.
inline constexpr std::size_t kFieldLimit = 32;
inline constexpr std::size_t kDepthLimit = 2;
inline constexpr std::size_t kInstanceLimitBytes = 64;
// Ids grow by a suffix at each forwarding attempt.
inline constexpr std::size_t kPeerIdLimitBytes = 256;
inline constexpr std::size_t kTokenLimitBytes = 256;
inline constexpr std::size_t kTransactionLimitBytes = 1024;
inline constexpr std::size_t kKeyLimitBytes = 512;
inline constexpr std::size_t kMessageLimitBytes = 1024;
// Ages and delays beyond a day are not meaningful.
inline constexpr milliseconds kTimeLimit{ 24ll * 3600 * 1000 };

// First element of each message; the order is that of peer_message.
enum class peer_message_type : std::uint8_t
{
  Hello,
  Challenge,
  Proof,
  Ping,
  Pong,
  Statement,
  Outcome,
  Response
};

} // namespace snipewalk

#endif // SNIPEWALK_CONNECTION_PEER_LIMITS_H_
