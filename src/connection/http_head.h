// Start line and header fields of an HTTP/1.1 message, read strictly: a head
// that another program could read as other fields, or with another end, is
// malformed. Values are taken byte for byte; POCO's reader, which is made for
// mail too, would decode them as RFC 2047 says.
#ifndef SNIPEWALK_CONNECTION_HTTP_HEAD_H_
#define SNIPEWALK_CONNECTION_HTTP_HEAD_H_

#include "snipewalk/connection/http_codec.h"

#include <optional>
#include <string_view>

namespace snipewalk {

// Parses a head with the empty line at its end. Returns a message without body,
// or nothing if the head is malformed.
std::optional<http_request>
ParseRequestHead(std::string_view aHead);

// The same for a response; its status must be from 100 to 511.
std::optional<http_response>
ParseResponseHead(std::string_view aHead);

} // namespace snipewalk

#endif // SNIPEWALK_CONNECTION_HTTP_HEAD_H_
