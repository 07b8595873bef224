// HTTP form of the stand-in backend server's requests and replies
// (docs/protocols.md).
#ifndef SNIPEWALK_STANDINS_BACKEND_HTTP_H_
#define SNIPEWALK_STANDINS_BACKEND_HTTP_H_

#include "snipewalk/base/json_text.h"
#include "snipewalk/connection/http_codec.h"
#include "snipewalk/messages/backend_messages.h"

#include <optional>
#include <string>
#include <vector>

#include <json/json.h>

namespace snipewalk::standins {

// Request of the path /v1/..., or nothing when it is malformed or unknown.
std::optional<backend_request>
ParseBackendRequest(const http_request& aRequest);

http_response
WriteBackendReply(const backend_request& aRequest, const backend_reply& aReply);

// Reads a whole number of at least zero into `aTarget` when the field exists.
// Returns false when it has another type.
bool
ReadNumber(const Json::Value& aObject,
           const char* aField,
           std::uint64_t& aTarget);

} // namespace snipewalk::standins

#endif // SNIPEWALK_STANDINS_BACKEND_HTTP_H_
