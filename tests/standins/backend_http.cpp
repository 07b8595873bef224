// Implementation of the stand-in backend server's HTTP form.
#include "standins/backend_http.h"

#include <absl/strings/numbers.h>
#include <absl/strings/str_cat.h>

#include <memory>

namespace snipewalk::standins {

namespace {

std::uint64_t
QueryNumber(const std::string& aTarget, std::string_view aName)
{
  std::uint64_t number = 0;
  const auto value = QueryValue(aTarget, aName);
  return value && absl::SimpleAtoi(*value, &number) ? number : 0;
}

std::optional<backend_request>
ParseStatement(const http_request& aRequest)
{
  const http_headers& headers = aRequest.mHeaders;
  const auto kind = ValueOf(kStatementKindNames, headers.Get("Kind"));
  const auto term = headers.GetNumber("Term");
  if (!kind || !term) {
    return std::nullopt;
  }
  backend_statement statement;
  statement.mRequestId = headers.Get("Request-Id");
  statement.mTerm = *term;
  statement.mKind = *kind;
  statement.mIdempotencyKey = headers.Get("Idempotency-Key");
  statement.mMinIndex = headers.GetNumber("Min-Index").value_or(0);
  statement.mWait = milliseconds(headers.GetNumber("Wait-Ms").value_or(0));
  statement.mBody = aRequest.mBody;
  return statement;
}

std::optional<server_endpoint>
ParseEndpoint(const Json::Value& aValue)
{
  if (!aValue.isObject() || !aValue["name"].isString() ||
      !aValue["address"].isString()) {
    return std::nullopt;
  }
  return server_endpoint{ aValue["name"].asString(),
                          aValue["address"].asString() };
}

std::optional<backend_request>
ParseTermRequest(const std::string& aName, const std::string& aBody)
{
  const auto body = ParseJsonObject(aBody);
  if (!body.ok() || !(*body)["term"].isUInt64()) {
    return std::nullopt;
  }
  const std::uint64_t term = (*body)["term"].asUInt64();
  if (aName == "fence") {
    return backend_fence{ term };
  }
  if (aName == "follow") {
    const auto primary = ParseEndpoint((*body)["primary"]);
    return primary
             ? std::optional<backend_request>(backend_follow{ term, *primary })
             : std::nullopt;
  }
  backend_promote promote{ term, {} };
  const Json::Value& members = (*body)["members"];
  if (!members.isNull() && !members.isArray()) {
    return std::nullopt;
  }
  for (const Json::Value& member : members) {
    const auto endpoint = ParseEndpoint(member);
    if (!endpoint) {
      return std::nullopt;
    }
    promote.mMembers.push_back(*endpoint);
  }
  return promote;
}

std::optional<backend_request>
ParseGet(const std::vector<std::string>& aPath, const std::string& aTarget)
{
  if (aPath[1] == "status" && aPath.size() == 2) {
    return backend_status_query{};
  }
  if (aPath[1] == "wait" && aPath.size() == 2) {
    return backend_wait{ QueryNumber(aTarget, "term"),
                         QueryNumber(aTarget, "index"),
                         milliseconds(QueryNumber(aTarget, "wait_ms")) };
  }
  if (aPath[1] == "outcomes" && aPath.size() == 3) {
    return backend_outcome_query{ aPath[2] };
  }
  return std::nullopt;
}

std::string
StatusBody(const server_status& aStatus)
{
  Json::Value body;
  body["server"] = aStatus.mServer;
  body["term"] = Json::UInt64(aStatus.mTerm);
  body["role"] = std::string(NameOf(kServerRoleNames, aStatus.mRole));
  body["log_term"] = Json::UInt64(aStatus.mLogTerm);
  body["received"] = Json::UInt64(aStatus.mReceived);
  body["applied"] = Json::UInt64(aStatus.mApplied);
  return WriteJson(body);
}

std::string
BodyOf(const backend_reply& aReply)
{
  if (aReply.mStatus) {
    return StatusBody(*aReply.mStatus);
  }
  if (aReply.mKeyState) {
    Json::Value body;
    body["state"] = std::string(NameOf(kKeyStateNames, *aReply.mKeyState));
    body["index"] = Json::UInt64(aReply.mIndex);
    body["body"] = aReply.mBody;
    return WriteJson(body);
  }
  return aReply.mBody;
}

int
StatusCode(backend_error aError)
{
  switch (aError) {
    case backend_error::None:
      return 200;
    case backend_error::Malformed:
      return 400;
    case backend_error::Internal:
      return 500;
    default:
      return 409;
  }
}

} // namespace

std::optional<backend_request>
ParseBackendRequest(const http_request& aRequest)
{
  const auto path = SplitPath(aRequest.mTarget);
  if (!path.ok() || path->size() < 2 || path->front() != "v1") {
    return std::nullopt;
  }
  const std::string& name = (*path)[1];
  if (aRequest.mMethod == "GET") {
    return ParseGet(*path, aRequest.mTarget);
  }
  if (aRequest.mMethod != "POST" || path->size() != 2) {
    return std::nullopt;
  }
  if (name == "statements") {
    return ParseStatement(aRequest);
  }
  if (name == "fence" || name == "promote" || name == "follow") {
    return ParseTermRequest(name, aRequest.mBody);
  }
  return std::nullopt;
}

http_response
WriteBackendReply(const backend_request& aRequest, const backend_reply& aReply)
{
  http_response response;
  response.mStatus = StatusCode(aReply.mError);
  const auto* statement = std::get_if<backend_statement>(&aRequest);
  if (statement != nullptr && !statement->mRequestId.empty()) {
    response.mHeaders.Add("Request-Id", statement->mRequestId);
  }
  response.mHeaders.Add("Term", absl::StrCat(aReply.mTerm));
  response.mHeaders.Add("Index", absl::StrCat(aReply.mIndex));
  if (aReply.mReplayed) {
    response.mHeaders.Add("Replayed", "true");
  }
  if (aReply.mError != backend_error::None) {
    response.mHeaders.Add(
      "Reason", std::string(NameOf(kBackendErrorNames, aReply.mError)));
  }
  response.mBody = BodyOf(aReply);
  return response;
}

bool
ReadNumber(const Json::Value& aObject,
           const char* aField,
           std::uint64_t& aTarget)
{
  if (!aObject.isMember(aField)) {
    return true;
  }
  if (!aObject[aField].isUInt64()) {
    return false;
  }
  aTarget = aObject[aField].asUInt64();
  return true;
}

} // namespace snipewalk::standins
