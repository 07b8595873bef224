// Interface between typed session messages and the bytes of a protocol. The
// present implementation is platform/line_protocol.
#ifndef SNIPEWALK_SESSION_SESSION_PROTOCOL_H_
#define SNIPEWALK_SESSION_SESSION_PROTOCOL_H_

#include "snipewalk/session/session_messages.h"

#include <optional>
#include <string>

#include <absl/status/statusor.h>

namespace snipewalk {

// Reading functions take one whole message off the front of the buffer, or
// return nothing while it is incomplete. Errors are final for the connection:
// InvalidArgument for malformed bytes, ResourceExhausted above the size limit.
class session_protocol
{
public:
  virtual ~session_protocol() = default;

  virtual absl::StatusOr<std::optional<caller_message>> ReadCaller(
    std::string& aBuffer) const = 0;
  // Answer to a statement.
  virtual std::string WriteReply(const statement_reply& aReply) const = 0;
  // Accepts a session.
  virtual std::string WriteOpened() const = 0;
  // Refuses a session that was not opened.
  virtual std::string WriteRefusal(result_code aCode,
                                   const std::string& aText) const = 0;

  // First message on a connection to a backend server, which refuses it unless
  // it is the named server of the named service.
  virtual std::string WriteOpen(const std::string& aService,
                                const std::string& aServer) const = 0;
  virtual std::string WriteCommand(const server_command& aCommand) const = 0;
  // Rows, result and state of one command, or of opening when `aOpening`.
  virtual absl::StatusOr<std::optional<statement_reply>> ReadReply(
    std::string& aBuffer,
    bool aOpening) const = 0;
  // The rows of the answer to status, pause, resume and step-down.
  virtual absl::StatusOr<server_status> ParseStatus(
    const statement_reply& aReply) const = 0;
};

} // namespace snipewalk

#endif // SNIPEWALK_SESSION_SESSION_PROTOCOL_H_
