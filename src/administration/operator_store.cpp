// Implementation of the blocking store access.
#include "snipewalk/administration/operator_store.h"

#include "snipewalk/administration/http_fetch.h"
#include "snipewalk/connection/http_codec.h"

#include <absl/strings/numbers.h>
#include <absl/strings/str_cat.h>
#include <absl/strings/strip.h>

#include <utility>

namespace snipewalk {

namespace {

constexpr int kOk = 200;
constexpr int kCreated = 201;
constexpr int kNotFound = 404;
constexpr int kPreconditionFailed = 412;

std::string
TargetOf(const object_key& aKey)
{
  return "/v1/objects/" + EncodePercent(aKey.mKind) + "/" +
         EncodePercent(aKey.mName);
}

// Version of an entity tag such as "17" in quotes; zero when malformed.
std::uint64_t
VersionOf(const http_response& aResponse)
{
  absl::string_view tag(aResponse.mHeaders.Get("ETag").data(),
                        aResponse.mHeaders.Get("ETag").size());
  absl::ConsumePrefix(&tag, "\"");
  absl::ConsumeSuffix(&tag, "\"");
  std::uint64_t version = 0;
  return absl::SimpleAtoi(tag, &version) ? version : 0;
}

absl::Status
UnexpectedStatus(const http_response& aResponse)
{
  return absl::UnavailableError(
    absl::StrCat("the store answered with status ", aResponse.mStatus));
}

} // namespace

operator_store::operator_store(std::string aAddress, milliseconds aTimeout)
  : mAddress(std::move(aAddress))
  , mTimeout(aTimeout)
{
}

absl::StatusOr<std::optional<stored_object>>
operator_store::Get(const object_key& aKey)
{
  http_request request;
  request.mMethod = "GET";
  request.mTarget = TargetOf(aKey);
  request.mKeepAlive = false;
  const auto response = HttpFetch(mAddress, request, mTimeout);
  if (!response.ok()) {
    return absl::UnavailableError(std::string(response.status().message()));
  }
  if (response->mStatus == kNotFound) {
    return std::optional<stored_object>();
  }
  if (response->mStatus != kOk) {
    return UnexpectedStatus(*response);
  }
  stored_object object;
  object.mKey = aKey;
  object.mVersion = VersionOf(*response);
  object.mValue = response->mBody;
  return std::optional(std::move(object));
}

absl::StatusOr<std::uint64_t>
operator_store::Put(const object_key& aKey,
                    const std::string& aValue,
                    std::uint64_t aExpectedVersion)
{
  http_request request;
  request.mMethod = "PUT";
  request.mTarget = TargetOf(aKey);
  request.mKeepAlive = false;
  request.mBody = aValue;
  if (aExpectedVersion == 0) {
    request.mHeaders.Add("If-None-Match", "*");
  } else {
    request.mHeaders.Add("If-Match",
                         absl::StrCat("\"", aExpectedVersion, "\""));
  }
  const auto response = HttpFetch(mAddress, request, mTimeout);
  if (!response.ok()) {
    return response.status().code() == absl::StatusCode::kUnknown
             ? SettleLostAnswer(aKey, aValue, aExpectedVersion)
             : absl::StatusOr<std::uint64_t>(response.status());
  }
  if (response->mStatus == kOk || response->mStatus == kCreated) {
    return VersionOf(*response);
  }
  if (response->mStatus == kPreconditionFailed) {
    return absl::AbortedError("the object was changed by somebody else");
  }
  return UnexpectedStatus(*response);
}

absl::StatusOr<std::uint64_t>
operator_store::SettleLostAnswer(const object_key& aKey,
                                 const std::string& aValue,
                                 std::uint64_t aExpected)
{
  const auto current = Get(aKey);
  if (!current.ok()) {
    return absl::UnknownError(
      "no answer to the update, and the store cannot be read");
  }
  const std::uint64_t version = current->has_value() ? (*current)->mVersion : 0;
  if (version == aExpected) {
    // The store may still be executing the lost request.
    return absl::UnknownError("no answer to the update, and it is not visible");
  }
  if (current->has_value() && (*current)->mValue == aValue) {
    return version;
  }
  return absl::AbortedError("the object was changed by somebody else");
}

} // namespace snipewalk
