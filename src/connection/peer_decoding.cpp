// Decodes the messages between instances; peer_messages.cpp encodes them.
#include "snipewalk/connection/peer_messages.h"

#include "peer_limits.h"
#include "snipewalk/base/hmac.h"
#include "snipewalk/base/text.h"
#include "snipewalk/connection/caller_adapter.h"
#include "snipewalk/connection/frame_codec.h"

#include <absl/strings/str_cat.h>
#include <msgpack.hpp>

#include <optional>

namespace snipewalk {

namespace {

// Reads the fields of a message in their order. After a fault all further
// fields are left as they are.
class field_reader
{
public:
  field_reader(const msgpack::object_array& aFields, time_point aNow)
    : mFields(aFields)
    , mNow(aNow)
  {
  }

  void Bytes(std::string& aOut, std::size_t aLimit)
  {
    const auto* field = Next(msgpack::type::BIN);
    if (field && field->via.bin.size <= aLimit) {
      aOut.assign(field->via.bin.ptr, field->via.bin.size);
    } else {
      mValid = false;
    }
  }

  // Text without control characters; may be empty.
  void Text(std::string& aOut, std::size_t aLimit)
  {
    Bytes(aOut, aLimit);
    mValid = mValid && (aOut.empty() || IsName(aOut, aLimit));
  }

  void Name(std::string& aOut, std::size_t aLimit)
  {
    Text(aOut, aLimit);
    mValid = mValid && !aOut.empty();
  }

  template<typename Enum, std::size_t Count>
  void Enumerator(Enum& aOut, const name_table<Enum, Count>&)
  {
    const auto* field = Next(msgpack::type::POSITIVE_INTEGER);
    if (field && field->via.u64 < Count) {
      aOut = static_cast<Enum>(field->via.u64);
    } else {
      mValid = false;
    }
  }

  void Time(milliseconds& aOut, milliseconds aLimit)
  {
    const auto* field = Next(msgpack::type::POSITIVE_INTEGER);
    if (field && field->via.u64 <= static_cast<std::uint64_t>(aLimit.count())) {
      aOut = milliseconds(field->via.u64);
    } else {
      mValid = false;
    }
  }

  void OptionalTime(std::optional<milliseconds>& aOut, milliseconds aLimit)
  {
    if (mNext < mFields.size && mFields.ptr[mNext].type == msgpack::type::NIL) {
      ++mNext;
      return;
    }
    milliseconds time{ 0 };
    Time(time, aLimit);
    aOut = time;
  }

  void Deadline(time_point& aOut)
  {
    milliseconds remaining{ 0 };
    Time(remaining, kStatementTimeoutLimit);
    aOut = mNow + remaining;
  }

  void Flag(bool& aOut)
  {
    const auto* field = Next(msgpack::type::BOOLEAN);
    if (field) {
      aOut = field->via.boolean;
    }
  }

  // True when all known fields were valid. Later versions add fields at the
  // end.
  bool IsComplete() const
  {
    return mValid && mFields.size - mNext <= kMaxExtraFields;
  }

private:
  const msgpack::object* Next(msgpack::type::object_type aType)
  {
    if (!mValid || mNext >= mFields.size || mFields.ptr[mNext].type != aType) {
      mValid = false;
      return nullptr;
    }
    return &mFields.ptr[mNext++];
  }

  const msgpack::object_array& mFields;
  time_point mNow;
  // Index of the next field; the first element is the message type.
  std::size_t mNext = 1;
  bool mValid = true;
};

void
Read(field_reader& aReader, peer_hello& aHello)
{
  aReader.Name(aHello.mInstance, kInstanceLimitBytes);
  aReader.Bytes(aHello.mNonce, kNonceBytes);
}

void
Read(field_reader& aReader, peer_challenge& aChallenge)
{
  aReader.Name(aChallenge.mInstance, kInstanceLimitBytes);
  aReader.Bytes(aChallenge.mNonce, kNonceBytes);
  aReader.Bytes(aChallenge.mProof, kHmacBytes);
}

void
Read(field_reader& aReader, peer_proof& aProof)
{
  aReader.Bytes(aProof.mProof, kHmacBytes);
}

void
Read(field_reader&, peer_ping&)
{
}

void
Read(field_reader&, peer_pong&)
{
}

void
Read(field_reader& aReader, statement_request& aRequest)
{
  aReader.Name(aRequest.mRequestId, kPeerIdLimitBytes);
  aReader.Name(aRequest.mService, kServiceNameLimitBytes);
  aReader.Name(aRequest.mAccount, kAccountNameLimitBytes);
  aReader.Enumerator(aRequest.mKind, kStatementKindNames);
  aReader.Text(aRequest.mSession, kTokenLimitBytes);
  aReader.OptionalTime(aRequest.mMaxAge, kTimeLimit);
  aReader.Text(aRequest.mTransaction, kTransactionLimitBytes);
  aReader.Text(aRequest.mIdempotencyKey, kKeyLimitBytes);
  aReader.Bytes(aRequest.mBody, kFrameLimitBytes);
  aReader.Deadline(aRequest.mDeadline);
}

void
Read(field_reader& aReader, outcome_request& aRequest)
{
  aReader.Name(aRequest.mRequestId, kPeerIdLimitBytes);
  aReader.Name(aRequest.mService, kServiceNameLimitBytes);
  aReader.Name(aRequest.mAccount, kAccountNameLimitBytes);
  aReader.Name(aRequest.mIdempotencyKey, kKeyLimitBytes);
  aReader.Deadline(aRequest.mDeadline);
}

void
Read(field_reader& aReader, statement_response& aResponse)
{
  aReader.Name(aResponse.mRequestId, kPeerIdLimitBytes);
  aReader.Enumerator(aResponse.mOutcome, kStatementOutcomeNames);
  aReader.Enumerator(aResponse.mReason, kRefusalReasonNames);
  aReader.Bytes(aResponse.mMessage, kMessageLimitBytes);
  aReader.Time(aResponse.mRetryAfter, kTimeLimit);
  aReader.Bytes(aResponse.mBody, kFrameLimitBytes);
  aReader.Text(aResponse.mSession, kTokenLimitBytes);
  aReader.Text(aResponse.mServer, kTokenLimitBytes);
  aReader.OptionalTime(aResponse.mDataAge, kTimeLimit);
  aReader.Text(aResponse.mTransaction, kTransactionLimitBytes);
  aReader.Text(aResponse.mIdempotencyKey, kKeyLimitBytes);
  aReader.Flag(aResponse.mReplayed);
}

template<std::size_t Index = 0>
absl::StatusOr<peer_message>
ReadTyped(std::size_t aType, field_reader& aReader)
{
  if constexpr (Index < std::variant_size_v<peer_message>) {
    if (aType != Index) {
      return ReadTyped<Index + 1>(aType, aReader);
    }
    std::variant_alternative_t<Index, peer_message> message;
    Read(aReader, message);
    if (!aReader.IsComplete()) {
      return absl::InvalidArgumentError(
        absl::StrCat("peer message of type ", aType, " has an invalid field"));
    }
    return peer_message(std::move(message));
  } else {
    return absl::InvalidArgumentError("peer message of unknown type");
  }
}

} // namespace

absl::StatusOr<peer_message>
DecodePeerMessage(std::string_view aPayload, time_point aNow)
{
  try {
    std::size_t end = 0;
    const msgpack::object_handle handle =
      msgpack::unpack(aPayload.data(),
                      aPayload.size(),
                      end,
                      nullptr,
                      nullptr,
                      msgpack::unpack_limit(
                        kFieldLimit, 0, 0, kFrameLimitBytes, 0, kDepthLimit));
    const msgpack::object& object = handle.get();
    if (end != aPayload.size() || object.type != msgpack::type::ARRAY ||
        object.via.array.size == 0 ||
        object.via.array.ptr[0].type != msgpack::type::POSITIVE_INTEGER) {
      return absl::InvalidArgumentError("peer message is not a typed array");
    }
    field_reader reader(object.via.array, aNow);
    return ReadTyped(object.via.array.ptr[0].via.u64, reader);
  } catch (const std::exception&) {
    return absl::InvalidArgumentError("peer message is not valid msgpack");
  }
}

} // namespace snipewalk
