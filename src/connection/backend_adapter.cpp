// Implementation of the backend servers' HTTP protocol.
#include "snipewalk/connection/backend_adapter.h"

#include "snipewalk/base/json_text.h"
#include "snipewalk/base/text.h"

#include <absl/strings/str_cat.h>
#include <json/json.h>

#include <type_traits>

namespace snipewalk {

namespace {

constexpr std::size_t kNameLimitBytes = 256;
constexpr int kStatusOk = 200;
constexpr int kStatusConflict = 409;
constexpr int kStatusServerError = 500;

template<typename... Handlers>
struct overloaded : Handlers...
{
  using Handlers::operator()...;
};
template<typename... Handlers>
overloaded(Handlers...) -> overloaded<Handlers...>;

Json::Value
ToJson(const server_endpoint& aServer)
{
  Json::Value value(Json::objectValue);
  value["name"] = aServer.mName;
  value["address"] = aServer.mAddress;
  return value;
}

http_request
Post(std::string aTarget, const Json::Value& aBody)
{
  http_request request;
  request.mMethod = "POST";
  request.mTarget = std::move(aTarget);
  request.mHeaders.Add("Content-Type", "application/json");
  request.mBody = WriteJson(aBody);
  return request;
}

http_request
Get(std::string aTarget)
{
  http_request request;
  request.mMethod = "GET";
  request.mTarget = std::move(aTarget);
  return request;
}

http_request
ToHttp(const backend_statement& aStatement)
{
  http_request request;
  request.mMethod = "POST";
  request.mTarget = "/v1/statements";
  auto& headers = request.mHeaders;
  headers.Add("Request-Id", aStatement.mRequestId);
  headers.Add("Term", absl::StrCat(aStatement.mTerm));
  headers.Add("Kind",
              std::string(NameOf(kStatementKindNames, aStatement.mKind)));
  if (!aStatement.mIdempotencyKey.empty()) {
    headers.Add("Idempotency-Key", aStatement.mIdempotencyKey);
  }
  if (aStatement.mMinIndex > 0) {
    headers.Add("Min-Index", absl::StrCat(aStatement.mMinIndex));
  }
  if (aStatement.mWait.count() > 0) {
    headers.Add("Wait-Ms", absl::StrCat(aStatement.mWait.count()));
  }
  request.mBody = aStatement.mBody;
  return request;
}

http_request
ToHttp(const backend_wait& aWait)
{
  return Get(absl::StrCat("/v1/wait?term=",
                          aWait.mTerm,
                          "&index=",
                          aWait.mIndex,
                          "&wait_ms=",
                          aWait.mWait.count()));
}

http_request
ToHttp(const backend_status_query&)
{
  return Get("/v1/status");
}

http_request
ToHttp(const backend_outcome_query& aQuery)
{
  return Get(
    absl::StrCat("/v1/outcomes/", EncodePercent(aQuery.mIdempotencyKey)));
}

http_request
ToHttp(const backend_fence& aFence)
{
  Json::Value body(Json::objectValue);
  body["term"] = Json::UInt64(aFence.mTerm);
  return Post("/v1/fence", body);
}

http_request
ToHttp(const backend_promote& aPromote)
{
  Json::Value body(Json::objectValue);
  body["term"] = Json::UInt64(aPromote.mTerm);
  body["members"] = Json::Value(Json::arrayValue);
  for (const auto& member : aPromote.mMembers) {
    body["members"].append(ToJson(member));
  }
  return Post("/v1/promote", body);
}

http_request
ToHttp(const backend_follow& aFollow)
{
  Json::Value body(Json::objectValue);
  body["term"] = Json::UInt64(aFollow.mTerm);
  body["primary"] = ToJson(aFollow.mPrimary);
  return Post("/v1/follow", body);
}

bool
ReadNumber(const Json::Value& aObject, const char* aName, std::uint64_t& aOut)
{
  const Json::Value& value = aObject[aName];
  if (!value.isUInt64()) {
    return false;
  }
  aOut = value.asUInt64();
  return true;
}

absl::StatusOr<server_status>
ParseStatus(const std::string& aBody)
{
  const auto object = ParseJsonObject(aBody);
  if (!object.ok()) {
    return object.status();
  }
  server_status status;
  const Json::Value& name = (*object)["server"];
  const Json::Value& role = (*object)["role"];
  const bool numbers = ReadNumber(*object, "term", status.mTerm) &&
                       ReadNumber(*object, "log_term", status.mLogTerm) &&
                       ReadNumber(*object, "received", status.mReceived) &&
                       ReadNumber(*object, "applied", status.mApplied);
  if (!name.isString() || !role.isString() || !numbers ||
      status.mApplied > status.mReceived) {
    return absl::InvalidArgumentError("server status lacks a field");
  }
  status.mServer = name.asString();
  const auto known = ValueOf(kServerRoleNames, role.asString());
  if (!known || status.mServer.size() > kNameLimitBytes) {
    return absl::InvalidArgumentError("server status has an unknown role");
  }
  status.mRole = *known;
  return status;
}

absl::Status
ReadOutcome(const std::string& aBody, backend_reply& aReply)
{
  const auto object = ParseJsonObject(aBody);
  if (!object.ok()) {
    return object.status();
  }
  const Json::Value& state = (*object)["state"];
  aReply.mKeyState =
    state.isString() ? ValueOf(kKeyStateNames, state.asString()) : std::nullopt;
  if (!aReply.mKeyState) {
    return absl::InvalidArgumentError("outcome has an unknown state");
  }
  if (*aReply.mKeyState == key_state::Done) {
    const Json::Value& body = (*object)["body"];
    if (!ReadNumber(*object, "index", aReply.mIndex) || !body.isString()) {
      return absl::InvalidArgumentError("outcome lacks its index or body");
    }
    aReply.mBody = body.asString();
  }
  return absl::OkStatus();
}

// Reads an optional decimal header; false when it is present but malformed.
bool
ReadHeader(const http_headers& aHeaders,
           std::string_view aName,
           std::uint64_t& aOut)
{
  if (!aHeaders.Has(aName)) {
    return true;
  }
  const auto number = aHeaders.GetNumber(aName);
  aOut = number.value_or(0);
  return number.has_value();
}

absl::Status
ReadRefusal(const http_response& aResponse, backend_reply& aReply)
{
  if (aResponse.mStatus >= kStatusServerError) {
    aReply.mError = backend_error::Internal;
    return absl::OkStatus();
  }
  if (aResponse.mStatus != kStatusConflict) {
    aReply.mError = backend_error::Malformed;
    return absl::OkStatus();
  }
  const auto reason =
    ValueOf(kBackendErrorNames, aResponse.mHeaders.Get("Reason"));
  // A 409 promises that nothing was executed, and only for the reasons that
  // the protocol names.
  if (!reason || *reason == backend_error::None ||
      *reason == backend_error::Malformed ||
      *reason == backend_error::Internal) {
    return absl::InvalidArgumentError("refusal has an unknown reason");
  }
  if (!aResponse.mHeaders.Has("Term")) {
    return absl::InvalidArgumentError("refusal lacks the server's term");
  }
  aReply.mError = *reason;
  return absl::OkStatus();
}

absl::Status
ReadResult(backend_call aCall,
           const http_response& aResponse,
           backend_reply& aReply)
{
  if (aCall == backend_call::Statement || aCall == backend_call::Wait) {
    if (!aResponse.mHeaders.Has("Term") || !aResponse.mHeaders.Has("Index")) {
      return absl::InvalidArgumentError("reply lacks its term or index");
    }
    aReply.mBody = aResponse.mBody;
    return absl::OkStatus();
  }
  if (aCall == backend_call::Outcome) {
    return ReadOutcome(aResponse.mBody, aReply);
  }
  auto status = ParseStatus(aResponse.mBody);
  if (!status.ok()) {
    return status.status();
  }
  aReply.mTerm = status->mTerm;
  aReply.mStatus = *std::move(status);
  return absl::OkStatus();
}

} // namespace

backend_call
CallOf(const backend_request& aRequest)
{
  return std::visit(
    overloaded{
      [](const backend_statement&) { return backend_call::Statement; },
      [](const backend_wait&) { return backend_call::Wait; },
      [](const backend_status_query&) { return backend_call::Status; },
      [](const backend_outcome_query&) { return backend_call::Outcome; },
      [](const backend_fence&) { return backend_call::Fence; },
      [](const backend_promote&) { return backend_call::Promote; },
      [](const backend_follow&) { return backend_call::Follow; } },
    aRequest);
}

absl::StatusOr<std::string>
EncodeBackendRequest(const backend_request& aRequest, std::string_view aHost)
{
  const http_request request =
    std::visit([](const auto& aTyped) { return ToHttp(aTyped); }, aRequest);
  // A control character would end the header field.
  for (const auto& [name, value] : request.mHeaders) {
    if (!IsHeaderSafe(value)) {
      return absl::InvalidArgumentError(
        absl::StrCat("header ", name, " has control characters"));
    }
  }
  return WriteRequest(request, aHost);
}

absl::StatusOr<backend_reply>
DecodeBackendReply(backend_call aCall, const http_response& aResponse)
{
  backend_reply reply;
  const auto& headers = aResponse.mHeaders;
  reply.mRequestId = std::string(headers.Get("Request-Id"));
  if (!ReadHeader(headers, "Term", reply.mTerm) ||
      !ReadHeader(headers, "Index", reply.mIndex) ||
      reply.mRequestId.size() > kNameLimitBytes) {
    return absl::InvalidArgumentError("reply has a malformed header");
  }
  reply.mReplayed = headers.Get("Replayed") == "true";
  const absl::Status status = aResponse.mStatus == kStatusOk
                                ? ReadResult(aCall, aResponse, reply)
                                : ReadRefusal(aResponse, reply);
  if (!status.ok()) {
    return status;
  }
  if (reply.mBody.size() > http_limits().mBodyBytes) {
    return absl::ResourceExhaustedError("reply body is too large");
  }
  const bool orders = aCall == backend_call::Fence ||
                      aCall == backend_call::Promote ||
                      aCall == backend_call::Follow;
  if (orders && reply.mError != backend_error::None) {
    // A refusal may carry the status; it stays a refusal without.
    auto state = ParseStatus(aResponse.mBody);
    if (state.ok()) {
      reply.mStatus = *std::move(state);
    }
  }
  return reply;
}

} // namespace snipewalk
