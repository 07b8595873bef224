// Implementation of the HTTP/1.1 codec.
#include "snipewalk/connection/http_codec.h"

#include "connection/http_head.h"

#include <Poco/Net/HTTPResponse.h>

#include <absl/strings/ascii.h>
#include <absl/strings/escaping.h>
#include <absl/strings/match.h>
#include <absl/strings/numbers.h>
#include <absl/strings/str_cat.h>
#include <absl/strings/str_split.h>

#include <algorithm>
#include <utility>

namespace snipewalk {

namespace {

constexpr std::string_view kLineEnd = "\r\n";
constexpr std::string_view kHeadEnd = "\r\n\r\n";

absl::string_view
Absl(std::string_view aText)
{
  return { aText.data(), aText.size() };
}

// Removes the empty lines that may precede a request (RFC 9112).
void
SkipEmptyLines(std::string& aBuffer)
{
  std::size_t skipped = 0;
  while (aBuffer.compare(skipped, kLineEnd.size(), kLineEnd) == 0) {
    skipped += kLineEnd.size();
  }
  aBuffer.erase(0, skipped);
}

void
AppendHeaders(std::string& aOut,
              const http_headers& aHeaders,
              std::size_t aBodyBytes,
              bool aKeepAlive)
{
  for (const auto& [name, value] : aHeaders) {
    absl::StrAppend(&aOut, name, ": ", value, "\r\n");
  }
  absl::StrAppend(&aOut, "Content-Length: ", aBodyBytes, "\r\n");
  if (!aKeepAlive) {
    absl::StrAppend(&aOut, "Connection: close\r\n");
  }
  absl::StrAppend(&aOut, "\r\n");
}

int
HexValue(char aDigit)
{
  if (aDigit >= '0' && aDigit <= '9') {
    return aDigit - '0';
  }
  const char lower = absl::ascii_tolower(static_cast<unsigned char>(aDigit));
  return lower >= 'a' && lower <= 'f' ? lower - 'a' + 10 : -1;
}

std::string_view
ReasonOf(int aStatus)
{
  const auto& reason = Poco::Net::HTTPResponse::getReasonForStatus(
    static_cast<Poco::Net::HTTPResponse::HTTPStatus>(aStatus));
  return reason;
}

} // namespace

void
http_headers::Add(std::string aName, std::string aValue)
{
  mFields.emplace_back(std::move(aName), std::move(aValue));
}

std::string_view
http_headers::Get(std::string_view aName) const
{
  for (const auto& [name, value] : mFields) {
    if (absl::EqualsIgnoreCase(Absl(name), Absl(aName))) {
      return value;
    }
  }
  return {};
}

bool
http_headers::Has(std::string_view aName) const
{
  return std::any_of(mFields.begin(), mFields.end(), [&](const auto& aField) {
    return absl::EqualsIgnoreCase(Absl(aField.first), Absl(aName));
  });
}

std::optional<std::uint64_t>
http_headers::GetNumber(std::string_view aName) const
{
  const std::string_view text = Get(aName);
  std::uint64_t number = 0;
  const bool digits =
    !text.empty() && std::all_of(text.begin(), text.end(), [](char aChar) {
      return aChar >= '0' && aChar <= '9';
    });
  if (!digits || !absl::SimpleAtoi(Absl(text), &number)) {
    return std::nullopt;
  }
  return number;
}

void
http_reader::Reset()
{
  mHeadLength = 0;
  mBodyLength = 0;
  mRequest.reset();
  mResponse.reset();
}

absl::StatusOr<bool>
http_reader::FindHead(const std::string& aBuffer)
{
  const std::size_t end = aBuffer.find(kHeadEnd);
  if (end == std::string::npos) {
    if (aBuffer.size() > mLimits.mHeadBytes) {
      return absl::ResourceExhaustedError("message head is too large");
    }
    return false;
  }
  if (end + kHeadEnd.size() > mLimits.mHeadBytes) {
    return absl::ResourceExhaustedError("message head is too large");
  }
  mHeadLength = end + kHeadEnd.size();
  return true;
}

absl::Status
http_reader::SetBodyLength(const http_headers& aHeaders)
{
  if (aHeaders.Has("Transfer-Encoding")) {
    return absl::InvalidArgumentError("transfer codings are not supported");
  }
  mBodyLength = 0;
  if (!aHeaders.Has("Content-Length")) {
    return absl::OkStatus();
  }
  const auto length = aHeaders.GetNumber("Content-Length");
  const auto fields =
    std::count_if(aHeaders.begin(), aHeaders.end(), [](const auto& aField) {
      return absl::EqualsIgnoreCase(aField.first, "Content-Length");
    });
  if (!length || fields > 1) {
    return absl::InvalidArgumentError("malformed Content-Length");
  }
  if (*length > mLimits.mBodyBytes) {
    return absl::ResourceExhaustedError("message body is too large");
  }
  mBodyLength = *length;
  return absl::OkStatus();
}

absl::StatusOr<std::optional<http_request>>
http_reader::ReadRequest(std::string& aBuffer)
{
  if (!mRequest) {
    SkipEmptyLines(aBuffer);
    const auto found = FindHead(aBuffer);
    if (!found.ok() || !*found) {
      return found.ok() ? absl::StatusOr<std::optional<http_request>>(
                            std::optional<http_request>())
                        : found.status();
    }
    auto request =
      ParseRequestHead(std::string_view(aBuffer).substr(0, mHeadLength));
    if (!request) {
      return absl::InvalidArgumentError("malformed request head");
    }
    const absl::Status status = SetBodyLength(request->mHeaders);
    if (!status.ok()) {
      return status;
    }
    mRequest = std::move(request);
  }
  if (aBuffer.size() < mHeadLength + mBodyLength) {
    return std::optional<http_request>();
  }
  mRequest->mBody = aBuffer.substr(mHeadLength, mBodyLength);
  aBuffer.erase(0, mHeadLength + mBodyLength);
  std::optional<http_request> whole = std::move(mRequest);
  Reset();
  return whole;
}

absl::StatusOr<std::optional<http_response>>
http_reader::ReadResponse(std::string& aBuffer)
{
  if (!mResponse) {
    const auto found = FindHead(aBuffer);
    if (!found.ok() || !*found) {
      return found.ok() ? absl::StatusOr<std::optional<http_response>>(
                            std::optional<http_response>())
                        : found.status();
    }
    auto response =
      ParseResponseHead(std::string_view(aBuffer).substr(0, mHeadLength));
    if (!response) {
      return absl::InvalidArgumentError("malformed response head");
    }
    const absl::Status status = SetBodyLength(response->mHeaders);
    if (!status.ok()) {
      return status;
    }
    mResponse = std::move(response);
  }
  if (aBuffer.size() < mHeadLength + mBodyLength) {
    return std::optional<http_response>();
  }
  mResponse->mBody = aBuffer.substr(mHeadLength, mBodyLength);
  aBuffer.erase(0, mHeadLength + mBodyLength);
  std::optional<http_response> whole = std::move(mResponse);
  Reset();
  return whole;
}

std::string
WriteRequest(const http_request& aRequest, std::string_view aHost)
{
  std::string out;
  out.reserve(256 + aRequest.mBody.size());
  absl::StrAppend(&out,
                  aRequest.mMethod,
                  " ",
                  aRequest.mTarget,
                  " HTTP/1.1\r\nHost: ",
                  Absl(aHost),
                  "\r\n");
  AppendHeaders(
    out, aRequest.mHeaders, aRequest.mBody.size(), aRequest.mKeepAlive);
  out.append(aRequest.mBody);
  return out;
}

std::string
WriteResponse(const http_response& aResponse)
{
  std::string out;
  out.reserve(256 + aResponse.mBody.size());
  absl::StrAppend(&out,
                  "HTTP/1.1 ",
                  aResponse.mStatus,
                  " ",
                  Absl(ReasonOf(aResponse.mStatus)),
                  "\r\n");
  AppendHeaders(
    out, aResponse.mHeaders, aResponse.mBody.size(), aResponse.mKeepAlive);
  out.append(aResponse.mBody);
  return out;
}

absl::StatusOr<std::string>
DecodePercent(std::string_view aText)
{
  std::string decoded;
  decoded.reserve(aText.size());
  for (std::size_t i = 0; i < aText.size(); ++i) {
    if (aText[i] != '%') {
      decoded.push_back(aText[i]);
      continue;
    }
    const int high = i + 2 < aText.size() ? HexValue(aText[i + 1]) : -1;
    const int low = i + 2 < aText.size() ? HexValue(aText[i + 2]) : -1;
    if (high < 0 || low < 0) {
      return absl::InvalidArgumentError("malformed percent encoding");
    }
    decoded.push_back(static_cast<char>(high * 16 + low));
    i += 2;
  }
  return decoded;
}

std::string
EncodePercent(std::string_view aText)
{
  constexpr std::string_view kHexDigits = "0123456789ABCDEF";
  std::string encoded;
  encoded.reserve(aText.size());
  for (const char character : aText) {
    const auto byte = static_cast<unsigned char>(character);
    if (absl::ascii_isalnum(byte) || character == '-' || character == '.' ||
        character == '_' || character == '~') {
      encoded.push_back(character);
      continue;
    }
    encoded.push_back('%');
    encoded.push_back(kHexDigits[byte >> 4]);
    encoded.push_back(kHexDigits[byte & 15]);
  }
  return encoded;
}

absl::StatusOr<std::vector<std::string>>
SplitPath(std::string_view aTarget)
{
  const std::string_view path = aTarget.substr(0, aTarget.find('?'));
  std::vector<std::string> parts;
  for (const auto part : absl::StrSplit(Absl(path), '/', absl::SkipEmpty())) {
    auto decoded = DecodePercent({ part.data(), part.size() });
    if (!decoded.ok()) {
      return decoded.status();
    }
    parts.push_back(*std::move(decoded));
  }
  return parts;
}

std::optional<std::string>
QueryValue(std::string_view aTarget, std::string_view aName)
{
  const std::size_t question = aTarget.find('?');
  if (question == std::string_view::npos) {
    return std::nullopt;
  }
  const std::string_view query = aTarget.substr(question + 1);
  for (const auto pair : absl::StrSplit(Absl(query), '&')) {
    const std::pair<absl::string_view, absl::string_view> parts =
      absl::StrSplit(pair, absl::MaxSplits('=', 1));
    if (parts.first == Absl(aName)) {
      auto decoded =
        DecodePercent({ parts.second.data(), parts.second.size() });
      return decoded.ok() ? std::optional<std::string>(*decoded) : std::nullopt;
    }
  }
  return std::nullopt;
}

} // namespace snipewalk
