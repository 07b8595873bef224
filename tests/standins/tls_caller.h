// A caller with TLS: one blocking connection to 127.0.0.1.
#ifndef SNIPEWALK_STANDINS_TLS_CALLER_H_
#define SNIPEWALK_STANDINS_TLS_CALLER_H_

#include "snipewalk/connection/tls_session.h"
#include "standins/process_fleet.h"

#include <memory>
#include <string>

#include <Poco/Net/StreamSocket.h>
#include <absl/status/statusor.h>

namespace snipewalk::standins {

class tls_caller
{
public:
  // Connects and ends the handshake. Errors: Unavailable, or Unauthenticated
  // when the handshake failed.
  static absl::StatusOr<std::unique_ptr<tls_caller>> Connect(
    std::uint16_t aPort,
    std::shared_ptr<const tls_context> aContext,
    milliseconds aTimeout = milliseconds(5'000));

  // One request. Errors: Unauthenticated when the server ends the session by
  // an alert, Unavailable when the connection ends.
  absl::StatusOr<http_answer> Call(const http_request& aRequest);

private:
  explicit tls_caller(std::unique_ptr<tls_session> aSession);
  // Writes pending output and takes what comes next.
  absl::Status Exchange();

  Poco::Net::StreamSocket mSocket;
  std::unique_ptr<tls_session> mSession;
  http_reader mReader;
  std::string mInput;
  std::string mOutput;
};

} // namespace snipewalk::standins

#endif // SNIPEWALK_STANDINS_TLS_CALLER_H_
