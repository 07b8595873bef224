// Implementation of the blocking caller with TLS.
#include "standins/tls_caller.h"

#include <Poco/Exception.h>
#include <Poco/Net/SocketAddress.h>

#include <array>
#include <utility>

namespace snipewalk::standins {

tls_caller::tls_caller(std::unique_ptr<tls_session> aSession)
  : mSession(std::move(aSession))
{
}

absl::StatusOr<std::unique_ptr<tls_caller>>
tls_caller::Connect(std::uint16_t aPort,
                    std::shared_ptr<const tls_context> aContext,
                    milliseconds aTimeout)
{
  const std::string host = "127.0.0.1";
  std::unique_ptr<tls_caller> caller(
    new tls_caller(tls_session::Client(std::move(aContext), host)));
  const Poco::Timespan limit(0, static_cast<long>(aTimeout.count()) * 1'000);
  try {
    caller->mSocket.connect(Poco::Net::SocketAddress(host, aPort), limit);
    caller->mSocket.setReceiveTimeout(limit);
    caller->mSocket.setNoDelay(true);
  } catch (const Poco::Exception& exception) {
    return absl::UnavailableError(exception.displayText());
  }
  caller->mSession->Start(caller->mOutput);
  while (caller->mSession->State() == tls_state::Handshaking) {
    const absl::Status status = caller->Exchange();
    if (!status.ok()) {
      return status;
    }
  }
  return caller;
}

absl::Status
tls_caller::Exchange()
{
  std::array<char, 16 * 1024> chunk;
  int count = 0;
  try {
    const std::string output = std::exchange(mOutput, {});
    if (!output.empty()) {
      mSocket.sendBytes(output.data(), static_cast<int>(output.size()));
    }
    count = mSocket.receiveBytes(chunk.data(), static_cast<int>(chunk.size()));
  } catch (const Poco::Exception& exception) {
    return absl::UnavailableError(exception.displayText());
  }
  if (count <= 0) {
    return absl::UnavailableError("the connection ended");
  }
  const tls_state state = mSession->Receive(
    { chunk.data(), static_cast<std::size_t>(count) }, mInput, mOutput);
  if (state == tls_state::Failed) {
    return absl::UnauthenticatedError(mSession->Failure());
  }
  if (state == tls_state::Closed && mInput.empty()) {
    return absl::UnavailableError("the server closed the session");
  }
  return absl::OkStatus();
}

absl::StatusOr<http_answer>
tls_caller::Call(const http_request& aRequest)
{
  mSession->Send(WriteRequest(aRequest, "127.0.0.1"), mOutput);
  for (;;) {
    auto response = mReader.ReadResponse(mInput);
    if (!response.ok()) {
      return absl::InternalError("malformed response");
    }
    if (response->has_value()) {
      http_response& read = **response;
      return http_answer{ read.mStatus,
                          std::move(read.mHeaders),
                          std::move(read.mBody) };
    }
    const absl::Status status = Exchange();
    if (!status.ok()) {
      return status;
    }
  }
}

} // namespace snipewalk::standins
