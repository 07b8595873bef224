// HTTP/1.1 messages (RFC 9112) with Content-Length bodies. Finds the end of a
// message in a byte buffer; POCO parses the head.
#ifndef SNIPEWALK_CONNECTION_HTTP_CODEC_H_
#define SNIPEWALK_CONNECTION_HTTP_CODEC_H_

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include <absl/status/statusor.h>

namespace snipewalk {

// Header fields in their order; names compare without case.
class http_headers
{
public:
  void Add(std::string aName, std::string aValue);
  // Value of the first field with this name, or an empty view.
  std::string_view Get(std::string_view aName) const;
  bool Has(std::string_view aName) const;
  // Unsigned decimal value; nothing when absent or malformed.
  std::optional<std::uint64_t> GetNumber(std::string_view aName) const;

  auto begin() const { return mFields.begin(); }
  auto end() const { return mFields.end(); }

private:
  std::vector<std::pair<std::string, std::string>> mFields;
};

struct http_request
{
  std::string mMethod;
  // Path with query, as received.
  std::string mTarget;
  http_headers mHeaders;
  std::string mBody;
  bool mKeepAlive = true;
};

struct http_response
{
  int mStatus = 200;
  http_headers mHeaders;
  std::string mBody;
  bool mKeepAlive = true;
};

struct http_limits
{
  std::size_t mHeadBytes = 16 * 1024;
  std::size_t mBodyBytes = 1024 * 1024;
};

// Reads messages of one connection. Both functions take one whole message off
// the front of the buffer, or return nothing while it is incomplete. An error
// is final for the connection:
//   InvalidArgument     malformed head, or a transfer coding in use
//   ResourceExhausted   head or body above its limit
class http_reader
{
public:
  explicit http_reader(http_limits aLimits = {})
    : mLimits(aLimits)
  {
  }

  absl::StatusOr<std::optional<http_request>> ReadRequest(std::string& aBuffer);
  absl::StatusOr<std::optional<http_response>> ReadResponse(
    std::string& aBuffer);

private:
  // Returns whether a whole head is in the buffer.
  absl::StatusOr<bool> FindHead(const std::string& aBuffer);
  absl::Status SetBodyLength(const http_headers& aHeaders);
  void Reset();

  http_limits mLimits;
  // Length of the head of the message being read; zero while unknown.
  std::size_t mHeadLength = 0;
  // Body length announced by the head; set together with mHeadLength.
  std::size_t mBodyLength = 0;
  std::optional<http_request> mRequest;
  std::optional<http_response> mResponse;
};

// Serialises with Content-Length and, unless keep-alive, `Connection: close`.
std::string
WriteRequest(const http_request& aRequest, std::string_view aHost);
std::string
WriteResponse(const http_response& aResponse);

// Decodes %XX sequences. Fails on truncated or non-hexadecimal ones.
absl::StatusOr<std::string>
DecodePercent(std::string_view aText);

// Encodes everything but unreserved characters (RFC 3986).
std::string
EncodePercent(std::string_view aText);

// Path of a target split at '/', each part decoded; the query is left out.
absl::StatusOr<std::vector<std::string>>
SplitPath(std::string_view aTarget);

// Decoded value of a query parameter, or nothing when it is absent.
std::optional<std::string>
QueryValue(std::string_view aTarget, std::string_view aName);

} // namespace snipewalk

#endif // SNIPEWALK_CONNECTION_HTTP_CODEC_H_
