// Implementation of the blocking HTTP exchange on POCO sockets.
#include "snipewalk/administration/http_fetch.h"

#include <Poco/Exception.h>
#include <Poco/Net/NetException.h>
#include <Poco/Net/SocketAddress.h>
#include <Poco/Net/StreamSocket.h>
#include <Poco/Timespan.h>

#include <array>

namespace snipewalk {

namespace {

constexpr std::size_t kReadChunkBytes = 16 * 1024;
// Status pages of large fleets exceed the limit for statements.
constexpr http_limits kLimits{ 16 * 1024, 64 * 1024 * 1024 };

Poco::Timespan
TimespanOf(milliseconds aTime)
{
  return Poco::Timespan(0, static_cast<long>(aTime.count()) * 1000);
}

absl::StatusOr<http_response>
Exchange(Poco::Net::StreamSocket& aSocket, const std::string& aBytes)
{
  aSocket.sendBytes(aBytes.data(), static_cast<int>(aBytes.size()));
  http_reader reader(kLimits);
  std::string input;
  std::array<char, kReadChunkBytes> chunk;
  while (true) {
    const int received =
      aSocket.receiveBytes(chunk.data(), static_cast<int>(chunk.size()));
    if (received <= 0) {
      return absl::UnknownError("the connection closed before the response");
    }
    input.append(chunk.data(), static_cast<std::size_t>(received));
    auto response = reader.ReadResponse(input);
    if (!response.ok()) {
      return absl::UnknownError(std::string(response.status().message()));
    }
    if (response->has_value()) {
      return **std::move(response);
    }
  }
}

} // namespace

absl::StatusOr<http_response>
HttpFetch(const std::string& aAddress,
          const http_request& aRequest,
          milliseconds aTimeout)
{
  Poco::Net::StreamSocket socket;
  try {
    socket.connect(Poco::Net::SocketAddress(aAddress), TimespanOf(aTimeout));
    socket.setSendTimeout(TimespanOf(aTimeout));
    socket.setReceiveTimeout(TimespanOf(aTimeout));
  } catch (const Poco::Net::InvalidAddressException& exception) {
    return absl::InvalidArgumentError(exception.displayText());
  } catch (const Poco::Exception& exception) {
    return absl::UnavailableError(aAddress + ": " + exception.displayText());
  }
  try {
    return Exchange(socket, WriteRequest(aRequest, aAddress));
  } catch (const Poco::Exception& exception) {
    return absl::UnknownError(aAddress + ": " + exception.displayText());
  }
}

} // namespace snipewalk
