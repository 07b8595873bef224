// Interface that translates between typed session messages and the bytes of a
// wire protocol. platform/line_protocol implements it.
#ifndef SNIPEWALK_SESSION_SESSION_PROTOCOL_H_
#define SNIPEWALK_SESSION_SESSION_PROTOCOL_H_

#include "snipewalk/session/desired_state.h"
#include "snipewalk/session/session_messages.h"

#include <optional>
#include <string>

#include <absl/status/statusor.h>

namespace snipewalk {

// Translates session messages to and from the bytes of a protocol. The Read
// functions remove one complete message from the front of the buffer; they
// return std::nullopt and leave the buffer unchanged while the message is
// incomplete. After an error the connection cannot be used any more. Errors:
// InvalidArgument for malformed bytes, ResourceExhausted for a message above
// the size limit.
class session_protocol
{
public:
  virtual ~session_protocol() = default;

  virtual absl::StatusOr<std::optional<caller_message>> ReadCallerMessage(
    std::string& aBuffer) const = 0;
  // Encodes the reply to a caller's statement.
  virtual std::string WriteReply(const statement_reply& aReply) const = 0;
  // Encodes the reply that accepts a session.
  virtual std::string WriteSessionOpened() const = 0;
  // Encodes the reply that refuses to open a session.
  virtual std::string WriteRefusal(result_code aCode,
                                   const std::string& aText) const = 0;

  // Encodes the first message on a connection to a backend server. The server
  // refuses the connection unless it is the named server of the named service.
  // The connection is opened for a client account, or for the instance itself
  // if `aAccount` is empty.
  virtual std::string WriteServerOpening(const registered_server& aServer,
                                         const std::string& aAccount) const = 0;
  virtual std::string WriteCommand(const server_command& aCommand) const = 0;
  // Reads the rows, result and session state of one reply: the reply to the
  // opening message if `aOpening` is set, else the reply to a command.
  virtual absl::StatusOr<std::optional<statement_reply>> ReadReply(
    std::string& aBuffer,
    bool aOpening) const = 0;
  // Parses the rows of a reply to a status, pause, resume or step-down command.
  virtual absl::StatusOr<server_status> ParseStatus(
    const statement_reply& aReply) const = 0;
};

} // namespace snipewalk

#endif // SNIPEWALK_SESSION_SESSION_PROTOCOL_H_
