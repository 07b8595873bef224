// One blocking HTTP exchange, for the command-line tools. Instances never use
// it: their sockets do not block.
#ifndef SNIPEWALK_ADMINISTRATION_HTTP_FETCH_H_
#define SNIPEWALK_ADMINISTRATION_HTTP_FETCH_H_

#include "snipewalk/base/time.h"
#include "snipewalk/connection/http_codec.h"

#include <string>

#include <absl/status/statusor.h>

namespace snipewalk {

// Sends the request to `aAddress` ("IP:port") on a new connection and waits for
// the whole response. Errors: Unavailable when the connection was refused, so
// that the request certainly had no effect; Unknown when no whole response
// came, so that it may have had one; InvalidArgument for a malformed address.
absl::StatusOr<http_response>
HttpFetch(const std::string& aAddress,
          const http_request& aRequest,
          milliseconds aTimeout);

} // namespace snipewalk

#endif // SNIPEWALK_ADMINISTRATION_HTTP_FETCH_H_
