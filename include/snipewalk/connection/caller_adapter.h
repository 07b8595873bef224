// The callers' HTTP protocol (docs/protocols.md): HTTP requests
// become typed requests, typed responses become HTTP responses.
#ifndef SNIPEWALK_CONNECTION_CALLER_ADAPTER_H_
#define SNIPEWALK_CONNECTION_CALLER_ADAPTER_H_

#include "snipewalk/base/time.h"
#include "snipewalk/connection/http_codec.h"
#include "snipewalk/messages/statement.h"

#include <cstdint>
#include <functional>
#include <string>
#include <variant>

namespace snipewalk {

inline constexpr std::size_t kServiceNameLimitBytes = 64;
inline constexpr std::size_t kAccountNameLimitBytes = 64;
inline constexpr std::size_t kRequestIdLimitBytes = 128;
inline constexpr std::size_t kIdempotencyKeyLimitBytes = 128;
inline constexpr milliseconds kStatementTimeoutLimit{ 60'000 };
// In effect while the service's document is not known.
inline constexpr milliseconds kDefaultStatementTimeout{ 5'000 };

// Makes ids that no other thread or instance makes: 64 random bits and a
// counter. One per thread.
class id_source
{
public:
  id_source();
  // For tests: ids repeat with the seed.
  explicit id_source(std::uint64_t aPrefix)
    : mPrefix(aPrefix)
  {
  }

  std::string Next();

private:
  std::uint64_t mPrefix;
  std::uint64_t mCount = 0;
};

struct health_query
{};

// What a caller asked for, with the id that it wants to see in the response.
struct caller_request
{
  std::variant<statement_request, outcome_request, health_query> mBody;
  // The caller's own request id, else a generated one. The request carries a
  // generated id of its own, because callers may repeat theirs.
  std::string mCallerRequestId;
};

// A request that is refused before it reaches a service.
struct caller_refusal
{
  int mStatus = 400;
  refusal_reason mReason = refusal_reason::BadRequest;
  std::string mMessage;
  std::string mCallerRequestId;
};

struct caller_context
{
  time_point mNow;
  id_source& mIds;
  // Timeout of a service's statements when the caller names none.
  std::function<milliseconds(const std::string& aService)> mTimeout;
  // Client account that the caller's certificate proved; empty without TLS,
  // where the header Snipewalk-Account names it.
  std::string mVerifiedAccount{};
};

// A request that names another account than the verified one is refused with
// status 403.
std::variant<caller_request, caller_refusal>
DecodeCallerRequest(http_request aRequest, const caller_context& aContext);

// `aCallerRequestId` replaces the response's id.
http_response
EncodeCallerResponse(const statement_response& aResponse,
                     const std::string& aCallerRequestId);

http_response
EncodeCallerRefusal(const caller_refusal& aRefusal);

// `aServing` is false during a shutdown; the load balancer then sends callers
// elsewhere.
http_response
EncodeHealth(bool aServing);

// Idempotency keys are scoped to the client account on their way to a server:
// equal keys of two accounts must not share an outcome.
std::string
ScopedKey(const std::string& aAccount, const std::string& aKey);

// Status code of a response (200, 400, 404, 409, 429, 503 or 504).
int
StatusOf(const statement_response& aResponse);

} // namespace snipewalk

#endif // SNIPEWALK_CONNECTION_CALLER_ADAPTER_H_
