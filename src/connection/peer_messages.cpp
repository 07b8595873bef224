// Encodes the messages between instances and computes handshake proofs.
#include "snipewalk/connection/peer_messages.h"

#include "peer_limits.h"
#include "snipewalk/base/hmac.h"
#include "snipewalk/connection/caller_adapter.h"

#include <absl/strings/str_cat.h>
#include <msgpack.hpp>
#include <openssl/rand.h>

#include <algorithm>
#include <cstdint>
#include <optional>
#include <type_traits>

namespace snipewalk {

namespace {

using packer = msgpack::packer<msgpack::sbuffer>;

void
PackField(packer& aPacker, const std::string& aText)
{
  aPacker.pack_bin(static_cast<std::uint32_t>(aText.size()));
  aPacker.pack_bin_body(aText.data(), static_cast<std::uint32_t>(aText.size()));
}

// Values that the other end would refuse are cut to the limits.
milliseconds
WithinLimit(milliseconds aTime)
{
  return std::clamp(aTime, milliseconds(0), kTimeLimit);
}

void
PackField(packer& aPacker, milliseconds aTime)
{
  aPacker.pack_int64(WithinLimit(aTime).count());
}

void
PackField(packer& aPacker, const std::optional<milliseconds>& aTime)
{
  if (aTime) {
    PackField(aPacker, *aTime);
  } else {
    aPacker.pack_nil();
  }
}

void
PackField(packer& aPacker, bool aValue)
{
  aValue ? aPacker.pack_true() : aPacker.pack_false();
}

template<typename Enum>
requires std::is_enum_v<Enum>
void
PackField(packer& aPacker, Enum aValue)
{
  aPacker.pack_uint8(static_cast<std::uint8_t>(aValue));
}

template<typename... Fields>
void
PackFields(packer& aPacker, peer_message_type aType, const Fields&... aFields)
{
  aPacker.pack_array(sizeof...(aFields) + 1);
  PackField(aPacker, aType);
  (PackField(aPacker, aFields), ...);
}

milliseconds
Remaining(time_point aDeadline, time_point aNow)
{
  return std::clamp(milliseconds(ToMilliseconds(aDeadline - aNow)),
                    milliseconds(0),
                    kStatementTimeoutLimit);
}

void
Pack(packer& aPacker, const peer_hello& aHello, time_point)
{
  PackFields(
    aPacker, peer_message_type::Hello, aHello.mInstance, aHello.mNonce);
}

void
Pack(packer& aPacker, const peer_challenge& aChallenge, time_point)
{
  PackFields(aPacker,
             peer_message_type::Challenge,
             aChallenge.mInstance,
             aChallenge.mNonce,
             aChallenge.mProof);
}

void
Pack(packer& aPacker, const peer_proof& aProof, time_point)
{
  PackFields(aPacker, peer_message_type::Proof, aProof.mProof);
}

void
Pack(packer& aPacker, const peer_ping&, time_point)
{
  PackFields(aPacker, peer_message_type::Ping);
}

void
Pack(packer& aPacker, const peer_pong&, time_point)
{
  PackFields(aPacker, peer_message_type::Pong);
}

void
Pack(packer& aPacker, const statement_request& aRequest, time_point aNow)
{
  PackFields(aPacker,
             peer_message_type::Statement,
             aRequest.mRequestId,
             aRequest.mService,
             aRequest.mAccount,
             aRequest.mKind,
             aRequest.mSession,
             aRequest.mMaxAge,
             aRequest.mTransaction,
             aRequest.mIdempotencyKey,
             aRequest.mBody,
             Remaining(aRequest.mDeadline, aNow));
}

void
Pack(packer& aPacker, const outcome_request& aRequest, time_point aNow)
{
  PackFields(aPacker,
             peer_message_type::Outcome,
             aRequest.mRequestId,
             aRequest.mService,
             aRequest.mAccount,
             aRequest.mIdempotencyKey,
             Remaining(aRequest.mDeadline, aNow));
}

void
Pack(packer& aPacker, const statement_response& aResponse, time_point)
{
  PackFields(aPacker,
             peer_message_type::Response,
             aResponse.mRequestId,
             aResponse.mOutcome,
             aResponse.mReason,
             aResponse.mMessage.substr(0, kMessageLimitBytes),
             aResponse.mRetryAfter,
             aResponse.mBody,
             aResponse.mSession,
             aResponse.mServer,
             aResponse.mDataAge,
             aResponse.mTransaction,
             aResponse.mIdempotencyKey,
             aResponse.mReplayed);
}

} // namespace

std::string
EncodePeerMessage(const peer_message& aMessage, time_point aNow)
{
  msgpack::sbuffer buffer;
  packer writer(buffer);
  std::visit([&](const auto& aTyped) { Pack(writer, aTyped, aNow); }, aMessage);
  return { buffer.data(), buffer.size() };
}

std::string
HandshakeProof(std::string_view aFleetKey,
               handshake_side aSide,
               const peer_hello& aHello,
               std::string_view aAcceptingInstance,
               std::string_view aAcceptingNonce)
{
  msgpack::sbuffer buffer;
  packer writer(buffer);
  writer.pack_array(6);
  PackField(writer, std::string("snipewalk peer handshake 1"));
  PackField(writer, aSide);
  PackField(writer, aHello.mInstance);
  PackField(writer, aHello.mNonce);
  PackField(writer, std::string(aAcceptingInstance));
  PackField(writer, std::string(aAcceptingNonce));
  return HmacSha256(aFleetKey, std::string_view(buffer.data(), buffer.size()));
}

std::string
MakeNonce(const version_range& aVersions)
{
  const bool announces = aVersions != kUnannouncedVersions;
  std::string nonce(announces ? kRangeNonceBytes : kNonceBytes, '\0');
  if (RAND_bytes(reinterpret_cast<unsigned char*>(nonce.data()),
                 static_cast<int>(nonce.size())) != 1) {
    // Without random bytes the other end refuses the handshake.
    nonce.clear();
  } else if (announces) {
    nonce.replace(0, kVersionsBytes, EncodeVersions(aVersions));
  }
  return nonce;
}

std::optional<version_range>
VersionsOfNonce(std::string_view aNonce)
{
  return aNonce.size() == kRangeNonceBytes
           ? DecodeVersions(aNonce)
           : std::optional(kUnannouncedVersions);
}

} // namespace snipewalk
