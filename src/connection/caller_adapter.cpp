// Implementation of the callers' HTTP protocol.
#include "snipewalk/connection/caller_adapter.h"

#include "snipewalk/base/text.h"

#include <absl/strings/ascii.h>
#include <absl/strings/match.h>
#include <absl/strings/str_cat.h>
#include <algorithm>
#include <array>
#include <random>

namespace snipewalk {

namespace {

constexpr std::string_view kHeaderPrefix = "Snipewalk-";
constexpr std::size_t kTokenLimitBytes = 256;
constexpr std::size_t kTransactionLimitBytes = 1024;
constexpr std::uint64_t kMaxAgeLimitMs = 24ull * 3600 * 1000;

// Fields of the protocol. Other fields with the prefix are refused: a misspelt
// name would silently change the consistency that the caller asked for.
constexpr std::array<std::string_view, 8> kKnownHeaders = {
  "Snipewalk-Account",    "Snipewalk-Kind",       "Snipewalk-Session",
  "Snipewalk-Max-Age-Ms", "Snipewalk-Timeout-Ms", "Snipewalk-Transaction",
  "Snipewalk-Request-Id", "Idempotency-Key",
};

absl::string_view
Absl(std::string_view aText)
{
  return { aText.data(), aText.size() };
}

// Collects the first fault found in a request.
class checker
{
public:
  explicit checker(const http_headers& aHeaders)
    : mHeaders(aHeaders)
  {
  }

  void Require(bool aHolds, std::string_view aMessage)
  {
    if (!aHolds && mFault.empty()) {
      mFault = std::string(aMessage);
    }
  }

  // Value of a field, empty when absent; a fault when it is too long, not
  // UTF-8 or has control characters.
  std::string Text(std::string_view aName, std::size_t aLimit)
  {
    const std::string_view value = mHeaders.Get(aName);
    Require(value.empty() || IsName(value, aLimit),
            absl::StrCat(Absl(aName), " is malformed or too long"));
    return std::string(value);
  }

  std::optional<std::uint64_t> Number(std::string_view aName,
                                      std::uint64_t aLimit)
  {
    if (!mHeaders.Has(aName)) {
      return std::nullopt;
    }
    const auto number = mHeaders.GetNumber(aName);
    Require(number && *number <= aLimit,
            absl::StrCat(Absl(aName), " is not a number up to ", aLimit));
    return number;
  }

  const std::string& Fault() const { return mFault; }

private:
  const http_headers& mHeaders;
  std::string mFault;
};

void
CheckFields(const http_headers& aHeaders, checker& aChecker)
{
  std::array<int, kKnownHeaders.size()> seen{};
  for (const auto& [name, value] : aHeaders) {
    const auto known =
      std::find_if(kKnownHeaders.begin(),
                   kKnownHeaders.end(),
                   [&field = name](std::string_view aKnown) {
                     return absl::EqualsIgnoreCase(field, Absl(aKnown));
                   });
    if (known != kKnownHeaders.end()) {
      const auto index =
        static_cast<std::size_t>(known - kKnownHeaders.begin());
      aChecker.Require(++seen[index] == 1, "a header field is repeated");
      continue;
    }
    aChecker.Require(!absl::StartsWithIgnoreCase(name, Absl(kHeaderPrefix)),
                     "a header field with the prefix Snipewalk- is unknown");
  }
}

void
ReadKind(const http_headers& aHeaders,
         checker& aChecker,
         statement_request& aStatement)
{
  const auto kind =
    ValueOf(kStatementKindNames, aHeaders.Get("Snipewalk-Kind"));
  aChecker.Require(kind.has_value(), "Snipewalk-Kind is missing or unknown");
  aStatement.mKind = kind.value_or(statement_kind::Read);
  const bool inside = !aStatement.mTransaction.empty();
  switch (aStatement.mKind) {
    case statement_kind::Begin:
      aChecker.Require(!inside, "a transaction cannot begin inside another");
      break;
    case statement_kind::Commit:
    case statement_kind::Rollback:
      aChecker.Require(inside, "Snipewalk-Transaction is missing");
      break;
    default:
      break;
  }
  aChecker.Require(!aStatement.mMaxAge ||
                     aStatement.mKind == statement_kind::Read,
                   "Snipewalk-Max-Age-Ms is for reads only");
}

statement_request
ReadStatement(http_request& aRequest,
              const caller_context& aContext,
              checker& aChecker)
{
  statement_request statement;
  const auto& headers = aRequest.mHeaders;
  statement.mAccount =
    aChecker.Text("Snipewalk-Account", kAccountNameLimitBytes);
  statement.mSession = aChecker.Text("Snipewalk-Session", kTokenLimitBytes);
  statement.mTransaction =
    aChecker.Text("Snipewalk-Transaction", kTransactionLimitBytes);
  const auto age = aChecker.Number("Snipewalk-Max-Age-Ms", kMaxAgeLimitMs);
  if (age) {
    statement.mMaxAge = milliseconds(*age);
  }
  ReadKind(headers, aChecker, statement);
  std::string key = aChecker.Text("Idempotency-Key", kIdempotencyKeyLimitBytes);
  const bool keyed = statement.mKind == statement_kind::Write ||
                     statement.mKind == statement_kind::Commit;
  if (keyed) {
    statement.mIdempotencyKey =
      ScopedKey(statement.mAccount, key.empty() ? aContext.mIds.Next() : key);
  }
  statement.mBody = std::move(aRequest.mBody);
  return statement;
}

// A request refused before decoding its fields.
caller_refusal
Refusal(int aStatus, refusal_reason aReason, std::string aMessage)
{
  caller_refusal refusal;
  refusal.mStatus = aStatus;
  refusal.mReason = aReason;
  refusal.mMessage = std::move(aMessage);
  return refusal;
}

// Gives the request the account of the caller's certificate. False when the
// request names another one.
bool
ApplyVerifiedAccount(http_headers& aHeaders, const std::string& aAccount)
{
  constexpr std::string_view kField = "Snipewalk-Account";
  if (aAccount.empty()) {
    return true;
  }
  if (!aHeaders.Has(kField)) {
    aHeaders.Add(std::string(kField), aAccount);
  }
  // A repeated field is refused with the other fields.
  return aHeaders.Get(kField) == aAccount;
}

caller_refusal
AccountRefusal(const http_headers& aHeaders)
{
  auto refusal =
    Refusal(403,
            refusal_reason::BadRequest,
            "Snipewalk-Account names another account than the certificate");
  const std::string_view callerId = aHeaders.Get("Snipewalk-Request-Id");
  if (IsName(callerId, kRequestIdLimitBytes)) {
    refusal.mCallerRequestId = std::string(callerId);
  }
  return refusal;
}

bool
IsPath(const std::vector<std::string>& aPath, std::string_view aLast)
{
  return aPath.size() >= 4 && aPath[0] == "v1" && aPath[1] == "services" &&
         aPath[3] == aLast;
}

template<typename Request>
std::variant<caller_request, caller_refusal>
Finish(Request aRequest,
       const http_headers& aHeaders,
       const caller_context& aContext,
       checker& aChecker)
{
  aChecker.Require(IsName(aRequest.mService, kServiceNameLimitBytes),
                   "service name is malformed or too long");
  aChecker.Require(!aRequest.mAccount.empty(), "Snipewalk-Account is missing");
  CheckFields(aHeaders, aChecker);
  const auto timeout =
    aChecker.Number("Snipewalk-Timeout-Ms",
                    static_cast<std::uint64_t>(kStatementTimeoutLimit.count()));
  std::string callerId =
    aChecker.Text("Snipewalk-Request-Id", kRequestIdLimitBytes);
  aRequest.mRequestId = aContext.mIds.Next();
  if (!aChecker.Fault().empty()) {
    auto refusal = Refusal(400, refusal_reason::BadRequest, aChecker.Fault());
    if (IsName(callerId, kRequestIdLimitBytes)) {
      refusal.mCallerRequestId = std::move(callerId);
    }
    return refusal;
  }
  aRequest.mDeadline =
    aContext.mNow +
    (timeout ? milliseconds(*timeout) : aContext.mTimeout(aRequest.mService));
  caller_request request;
  request.mCallerRequestId =
    callerId.empty() ? aRequest.mRequestId : std::move(callerId);
  request.mBody = std::move(aRequest);
  return request;
}

} // namespace

id_source::id_source()
  : mPrefix(0)
{
  std::random_device device;
  mPrefix = (static_cast<std::uint64_t>(device()) << 32) | device();
}

std::string
id_source::Next()
{
  return absl::StrCat(
    absl::Hex(mPrefix, absl::kZeroPad16), "-", absl::Hex(++mCount));
}

std::string
ScopedKey(const std::string& aAccount, const std::string& aKey)
{
  // The encoded account has no slash, so the first one separates the two.
  return absl::StrCat(EncodePercent(aAccount), "/", aKey);
}

std::variant<caller_request, caller_refusal>
DecodeCallerRequest(http_request aRequest, const caller_context& aContext)
{
  const auto path = SplitPath(aRequest.mTarget);
  if (!path.ok()) {
    return Refusal(400, refusal_reason::BadRequest, "malformed path");
  }
  if (path->size() == 2 && (*path)[0] == "v1" && (*path)[1] == "health" &&
      aRequest.mMethod == "GET") {
    return caller_request{ health_query(), {} };
  }
  if (!ApplyVerifiedAccount(aRequest.mHeaders, aContext.mVerifiedAccount)) {
    return AccountRefusal(aRequest.mHeaders);
  }
  checker fields(aRequest.mHeaders);
  if (IsPath(*path, "statements") && path->size() == 4 &&
      aRequest.mMethod == "POST") {
    auto statement = ReadStatement(aRequest, aContext, fields);
    statement.mService = (*path)[2];
    return Finish(std::move(statement), aRequest.mHeaders, aContext, fields);
  }
  if (IsPath(*path, "outcomes") && path->size() == 5 &&
      aRequest.mMethod == "GET") {
    outcome_request outcome;
    outcome.mService = (*path)[2];
    outcome.mAccount = fields.Text("Snipewalk-Account", kAccountNameLimitBytes);
    fields.Require(IsName((*path)[4], kIdempotencyKeyLimitBytes),
                   "idempotency key is malformed or too long");
    outcome.mIdempotencyKey = ScopedKey(outcome.mAccount, (*path)[4]);
    return Finish(std::move(outcome), aRequest.mHeaders, aContext, fields);
  }
  return Refusal(404, refusal_reason::BadRequest, "no such resource or method");
}

} // namespace snipewalk
