// Encodes responses to callers; the decoding half is in caller_adapter.cpp.
#include "snipewalk/connection/caller_adapter.h"

#include "snipewalk/base/json_text.h"
#include "snipewalk/base/text.h"

#include <absl/strings/str_cat.h>
#include <json/json.h>

namespace snipewalk {

namespace {

std::string
RefusalBody(statement_outcome aOutcome,
            refusal_reason aReason,
            const std::string& aMessage,
            std::int64_t aRetryAfterMs,
            const std::string& aRequestId)
{
  Json::Value body(Json::objectValue);
  body["outcome"] = std::string(NameOf(kStatementOutcomeNames, aOutcome));
  body["reason"] = std::string(NameOf(kRefusalReasonNames, aReason));
  body["message"] = IsUtf8(aMessage) ? aMessage : std::string();
  body["retry_after_ms"] = Json::Int64(aRetryAfterMs);
  body["request_id"] = aRequestId;
  return WriteJson(body);
}

// Adds a field unless it is empty. Values from servers and peers that would
// break the header are left out.
void
AddText(http_headers& aHeaders, const char* aName, std::string_view aValue)
{
  if (!aValue.empty() && IsHeaderSafe(aValue)) {
    aHeaders.Add(aName, std::string(aValue));
  }
}

// Whole seconds, rounded up, as RFC 9110 requires.
std::string
RetryAfterSeconds(milliseconds aDelay)
{
  return absl::StrCat((aDelay.count() + 999) / 1000);
}

} // namespace

int
StatusOf(const statement_response& aResponse)
{
  if (aResponse.mOutcome == statement_outcome::Done) {
    return 200;
  }
  if (aResponse.mOutcome == statement_outcome::Unknown) {
    return 504;
  }
  switch (aResponse.mReason) {
    case refusal_reason::BadRequest:
    case refusal_reason::BadSession:
      return 400;
    case refusal_reason::UnknownService:
      return 404;
    case refusal_reason::UnknownTransaction:
    case refusal_reason::TransactionLost:
    case refusal_reason::Conflict:
      return 409;
    case refusal_reason::Overloaded:
      return 429;
    default:
      return 503;
  }
}

http_response
EncodeCallerResponse(const statement_response& aResponse,
                     const std::string& aCallerRequestId)
{
  http_response http;
  http.mStatus = StatusOf(aResponse);
  auto& headers = http.mHeaders;
  headers.Add("Snipewalk-Outcome",
              std::string(NameOf(kStatementOutcomeNames, aResponse.mOutcome)));
  AddText(headers, "Snipewalk-Request-Id", aCallerRequestId);
  AddText(headers, "Snipewalk-Session", aResponse.mSession);
  AddText(headers, "Snipewalk-Server", aResponse.mServer);
  AddText(headers, "Snipewalk-Transaction", aResponse.mTransaction);
  const auto& key = aResponse.mIdempotencyKey;
  AddText(headers, "Idempotency-Key", key.substr(key.find('/') + 1));
  if (aResponse.mDataAge) {
    headers.Add("Snipewalk-Data-Age-Ms",
                absl::StrCat(aResponse.mDataAge->count()));
  }
  if (aResponse.mOutcome == statement_outcome::Done) {
    headers.Add("Content-Type", "application/octet-stream");
    http.mBody = aResponse.mBody;
    return http;
  }
  if (aResponse.mRetryAfter.count() > 0) {
    headers.Add("Retry-After", RetryAfterSeconds(aResponse.mRetryAfter));
  }
  headers.Add("Content-Type", "application/json");
  http.mBody = RefusalBody(aResponse.mOutcome,
                           aResponse.mReason,
                           aResponse.mMessage,
                           aResponse.mRetryAfter.count(),
                           aCallerRequestId);
  return http;
}

http_response
EncodeCallerRefusal(const caller_refusal& aRefusal)
{
  http_response http;
  http.mStatus = aRefusal.mStatus;
  http.mHeaders.Add("Snipewalk-Outcome", "not_run");
  AddText(http.mHeaders, "Snipewalk-Request-Id", aRefusal.mCallerRequestId);
  http.mHeaders.Add("Content-Type", "application/json");
  http.mBody = RefusalBody(statement_outcome::NotRun,
                           aRefusal.mReason,
                           aRefusal.mMessage,
                           0,
                           aRefusal.mCallerRequestId);
  return http;
}

http_response
EncodeHealth(bool aServing)
{
  http_response http;
  http.mStatus = aServing ? 200 : 503;
  http.mHeaders.Add("Content-Type", "application/json");
  http.mBody =
    aServing ? R"({"state":"serving"})" : R"({"state":"shutting_down"})";
  return http;
}

} // namespace snipewalk
