// The backend servers' HTTP protocol (docs/protocols.md). The only
// part besides backend_connection that knows it.
#ifndef SNIPEWALK_CONNECTION_BACKEND_ADAPTER_H_
#define SNIPEWALK_CONNECTION_BACKEND_ADAPTER_H_

#include "snipewalk/connection/http_codec.h"
#include "snipewalk/messages/backend_messages.h"

#include <string>
#include <string_view>

#include <absl/status/statusor.h>

namespace snipewalk {

// What a reply has to be decoded as; the order is that of backend_request.
enum class backend_call
{
  Statement,
  Wait,
  Status,
  Outcome,
  Fence,
  Promote,
  Follow
};

// Limits of a server's answer. The outcome of a key carries a reply body, whose
// own limit is that of http_limits, as a JSON text with up to six bytes for
// each byte of the body.
inline constexpr http_limits kBackendReplyLimits{
  .mBodyBytes = 6 * http_limits().mBodyBytes + 1024
};

backend_call
CallOf(const backend_request& aRequest);

// HTTP request for `aRequest`; `aHost` is the server's "IP:port". Errors:
// InvalidArgument when a header value has control characters.
absl::StatusOr<std::string>
EncodeBackendRequest(const backend_request& aRequest, std::string_view aHost);

// Decodes the answer to a request of kind `aCall`. A refusal by the server is a
// reply with mError set. Errors: InvalidArgument when the answer does not
// follow the protocol, ResourceExhausted for a body above its limit; the
// connection must then be closed.
absl::StatusOr<backend_reply>
DecodeBackendReply(backend_call aCall, const http_response& aResponse);

} // namespace snipewalk

#endif // SNIPEWALK_CONNECTION_BACKEND_ADAPTER_H_
