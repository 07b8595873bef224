// Implementation of a load run's HTTP form.
#include "load/load_http.h"

#include "snipewalk/base/json_text.h"

#include <absl/strings/str_cat.h>

namespace snipewalk {

namespace {

void
AddText(http_headers& aHeaders, const char* aName, const std::string& aValue)
{
  if (!aValue.empty()) {
    aHeaders.Add(aName, aValue);
  }
}

// Reads reason and waiting time from a refusal's body.
void
ReadRefusal(const std::string& aBody, load_answer& aAnswer)
{
  const auto value = ParseJsonObject(aBody);
  if (!value.ok() || !(*value)["reason"].isString()) {
    aAnswer.mReason = "malformed_refusal";
    return;
  }
  aAnswer.mReason = (*value)["reason"].asString();
  if ((*value)["retry_after_ms"].isUInt64()) {
    aAnswer.mRetryAfter = milliseconds((*value)["retry_after_ms"].asUInt64());
  }
}

} // namespace

http_request
EncodeLoadRequest(const load_request& aRequest,
                  const load_target& aTarget,
                  const std::string& aRequestId,
                  milliseconds aTimeout)
{
  http_request http;
  http_headers& headers = http.mHeaders;
  const std::string base =
    absl::StrCat("/v1/services/", EncodePercent(aTarget.mService));
  headers.Add("Snipewalk-Account", aTarget.mAccount);
  headers.Add("Snipewalk-Request-Id", aRequestId);
  headers.Add("Snipewalk-Timeout-Ms", absl::StrCat(aTimeout.count()));
  if (aRequest.mKind == history_kind::Outcome) {
    http.mMethod = "GET";
    http.mTarget =
      absl::StrCat(base, "/outcomes/", EncodePercent(aRequest.mIdempotencyKey));
    return http;
  }
  http.mMethod = "POST";
  http.mTarget = base + "/statements";
  http.mBody = aRequest.mBody;
  headers.Add("Snipewalk-Kind",
              std::string(NameOf(kHistoryKindNames, aRequest.mKind)));
  AddText(headers, "Snipewalk-Session", aRequest.mSessionToken);
  AddText(headers, "Snipewalk-Transaction", aRequest.mTransaction);
  AddText(headers, "Idempotency-Key", aRequest.mIdempotencyKey);
  if (aRequest.mMaxAge) {
    headers.Add("Snipewalk-Max-Age-Ms",
                absl::StrCat(aRequest.mMaxAge->count()));
  }
  return http;
}

load_answer
DecodeLoadAnswer(const load_request& aRequest,
                 const http_response& aResponse,
                 const std::string& aRequestId)
{
  const http_headers& headers = aResponse.mHeaders;
  load_answer answer;
  answer.mOutcome =
    ValueOf(kStatementOutcomeNames, headers.Get("Snipewalk-Outcome"))
      .value_or(statement_outcome::Unknown);
  answer.mIdMatched = headers.Get("Snipewalk-Request-Id") == aRequestId;
  answer.mSessionToken = headers.Get("Snipewalk-Session");
  answer.mTransaction = headers.Get("Snipewalk-Transaction");
  answer.mServer = headers.Get("Snipewalk-Server");
  const auto age = headers.GetNumber("Snipewalk-Data-Age-Ms");
  if (age) {
    answer.mDataAgeMs = static_cast<std::int64_t>(*age);
  }
  if (answer.mOutcome == statement_outcome::Done) {
    answer.mBody = aResponse.mBody;
    return answer;
  }
  ReadRefusal(aResponse.mBody, answer);
  // A refused query says nothing about the request that it asks for.
  if (aRequest.mKind == history_kind::Outcome) {
    answer.mOutcome = statement_outcome::Unknown;
  }
  return answer;
}

} // namespace snipewalk
