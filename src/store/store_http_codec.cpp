// Implementation of the store's HTTP form.
#include "store/store_http_codec.h"

#include "version/record_json.h"

#include <absl/strings/numbers.h>
#include <absl/strings/str_cat.h>

#include <algorithm>
#include <utility>

namespace snipewalk {

namespace {

std::string
ObjectPath(const object_key& aKey)
{
  return absl::StrCat(
    "/v1/objects/", EncodePercent(aKey.mKind), "/", EncodePercent(aKey.mName));
}

struct request_encoder
{
  http_request operator()(const store_get& aGet) const
  {
    http_request request;
    request.mMethod = "GET";
    request.mTarget = ObjectPath(aGet.mKey);
    return request;
  }
  http_request operator()(const store_put& aPut) const
  {
    http_request request;
    request.mMethod = "PUT";
    request.mTarget = ObjectPath(aPut.mKey);
    request.mBody = aPut.mValue;
    if (aPut.mExpectedVersion == 0) {
      request.mHeaders.Add("If-None-Match", "*");
    } else {
      request.mHeaders.Add("If-Match",
                           absl::StrCat("\"", aPut.mExpectedVersion, "\""));
    }
    return request;
  }
  http_request operator()(const store_watch& aWatch) const
  {
    http_request request;
    request.mMethod = "GET";
    request.mTarget = absl::StrCat("/v1/objects/",
                                   EncodePercent(aWatch.mKind),
                                   "?from=",
                                   aWatch.mFrom,
                                   "&wait_ms=",
                                   aWatch.mWait.count());
    return request;
  }
  http_request operator()(const store_list_instances&) const
  {
    http_request request;
    request.mMethod = "GET";
    request.mTarget = "/v1/instances";
    return request;
  }
};

// The version in an ETag, quoted or not.
std::optional<std::uint64_t>
VersionOf(const http_response& aResponse)
{
  std::string tag(aResponse.mHeaders.Get("ETag"));
  std::erase(tag, '"');
  std::uint64_t version = 0;
  const bool digits =
    !tag.empty() && std::all_of(tag.begin(), tag.end(), [](char aChar) {
      return aChar >= '0' && aChar <= '9';
    });
  if (!digits || !absl::SimpleAtoi(tag, &version)) {
    return std::nullopt;
  }
  return version;
}

stored_object
ReadObject(record_reader& aReader)
{
  stored_object object;
  object.mKey.mKind = aReader.Text("kind");
  object.mKey.mName = aReader.Text("name");
  object.mVersion = aReader.Number("version");
  object.mDeleted = aReader.Flag("deleted");
  object.mValue = aReader.Text("value");
  return object;
}

struct body_decoder
{
  const http_response& mResponse;

  store_reply operator()(const store_get& aGet) const
  {
    const auto version = VersionOf(mResponse);
    if (!version) {
      return {};
    }
    return { store_status::Ok,
             { { aGet.mKey, *version, false, mResponse.mBody } },
             *version,
             {} };
  }
  store_reply operator()(const store_put& aPut) const
  {
    const auto version = VersionOf(mResponse);
    if (!version) {
      return {};
    }
    return { store_status::Ok,
             { { aPut.mKey, *version, false, aPut.mValue } },
             *version,
             {} };
  }
  store_reply operator()(const store_watch&) const
  {
    // A watch may list every object of a kind.
    constexpr std::size_t kMaxObjects = 100'000;
    const auto value = ParseRecord(mResponse.mBody);
    if (!value.ok()) {
      return {};
    }
    record_reader reader(*value);
    store_reply reply;
    reply.mRevision = reader.Number("revision");
    reader.ForEach("objects", kMaxObjects, [&](record_reader& aObject) {
      reply.mObjects.push_back(ReadObject(aObject));
    });
    if (!reader.Finish().ok()) {
      return {};
    }
    reply.mStatus = store_status::Ok;
    return reply;
  }
  store_reply operator()(const store_list_instances&) const
  {
    constexpr std::size_t kMaxInstances = 100'000;
    const auto value = ParseRecord(mResponse.mBody);
    if (!value.ok()) {
      return {};
    }
    record_reader reader(*value);
    store_reply reply;
    reader.ForEach("instances", kMaxInstances, [&](record_reader& aEntry) {
      platform_instance instance;
      instance.mName = aEntry.Text("name");
      const auto state =
        ValueOf(kPlatformInstanceStateNames, aEntry.Text("state"));
      if (!state) {
        aEntry.Fail("unknown state");
      }
      instance.mState = state.value_or(platform_instance_state::Live);
      reply.mInstances.push_back(std::move(instance));
    });
    if (!reader.Finish().ok()) {
      return {};
    }
    reply.mStatus = store_status::Ok;
    return reply;
  }
};

} // namespace

http_request
EncodeStoreRequest(const store_request& aRequest)
{
  return std::visit(request_encoder{}, aRequest);
}

store_reply
DecodeStoreReply(const store_request& aRequest, const http_response& aResponse)
{
  const int status = aResponse.mStatus;
  if (status >= 200 && status < 300) {
    return std::visit(body_decoder{ aResponse }, aRequest);
  }
  store_reply reply;
  if (status == 404) {
    reply.mStatus = store_status::NotFound;
  } else if (status == 412) {
    reply.mStatus = store_status::Conflict;
    const auto* put = std::get_if<store_put>(&aRequest);
    const auto version = VersionOf(aResponse);
    if (put != nullptr && version) {
      reply.mObjects = { { put->mKey, *version, false, aResponse.mBody } };
      reply.mRevision = *version;
    }
  } else if (status == 429) {
    reply.mStatus = store_status::RateLimited;
  } else if (status >= 400 && status < 500) {
    reply.mStatus = store_status::Refused;
  }
  return reply;
}

} // namespace snipewalk
