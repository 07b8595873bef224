// Implementation of reading HTTP heads.
#include "connection/http_head.h"

#include <absl/strings/ascii.h>
#include <absl/strings/match.h>
#include <absl/strings/numbers.h>
#include <absl/strings/str_split.h>
#include <absl/strings/string_view.h>
#include <absl/strings/strip.h>

#include <algorithm>
#include <string>
#include <utility>
#include <vector>

namespace snipewalk {

namespace {

constexpr absl::string_view kVersion = "HTTP/1.1";
constexpr absl::string_view kOldVersion = "HTTP/1.0";
constexpr absl::string_view kNoLineByte("\r\n\0", 3);
constexpr std::size_t kMaxFields = 100;
// Codes above 511 are not assigned.
constexpr int kLowestStatus = 100;
constexpr int kHighestStatus = 511;

// Whether all bytes may stand in a method or the name of a field (RFC 9110).
bool
IsToken(absl::string_view aText)
{
  constexpr absl::string_view kMarks = "!#$%&'*+-.^_`|~";
  return !aText.empty() &&
         std::all_of(aText.begin(), aText.end(), [&](char aChar) {
           return absl::ascii_isalnum(static_cast<unsigned char>(aChar)) ||
                  kMarks.find(aChar) != absl::string_view::npos;
         });
}

// Whether all bytes are visible: neither blanks nor control characters.
bool
IsTarget(absl::string_view aText)
{
  return !aText.empty() &&
         std::all_of(aText.begin(), aText.end(), [](char aChar) {
           const auto byte = static_cast<unsigned char>(aChar);
           return byte > 0x20 && byte != 0x7f;
         });
}

bool
IsVersion(absl::string_view aText)
{
  return aText == kVersion || aText == kOldVersion;
}

// Value without the blanks and tabs around it.
absl::string_view
Trim(absl::string_view aValue)
{
  constexpr absl::string_view kPadding = " \t";
  const std::size_t begin = aValue.find_first_not_of(kPadding);
  if (begin == absl::string_view::npos) {
    return {};
  }
  return aValue.substr(begin, aValue.find_last_not_of(kPadding) - begin + 1);
}

// Lines of a head without the empty one at its end; none if a byte of a line
// end stands inside a line.
std::vector<absl::string_view>
SplitHead(std::string_view aHead)
{
  absl::string_view text(aHead.data(), aHead.size());
  if (!absl::ConsumeSuffix(&text, "\r\n\r\n")) {
    return {};
  }
  std::vector<absl::string_view> lines = absl::StrSplit(text, "\r\n");
  for (const auto line : lines) {
    if (line.find_first_of(kNoLineByte) != absl::string_view::npos) {
      return {};
    }
  }
  return lines;
}

// Reads the fields behind the start line; false if one is malformed. A line
// that continues the one before it begins with a blank, which is no token.
bool
ReadFields(const std::vector<absl::string_view>& aLines, http_headers& aHeaders)
{
  if (aLines.size() > 1 + kMaxFields) {
    return false;
  }
  for (std::size_t i = 1; i < aLines.size(); ++i) {
    const std::size_t colon = aLines[i].find(':');
    const absl::string_view name = aLines[i].substr(0, colon);
    if (colon == absl::string_view::npos || !IsToken(name)) {
      return false;
    }
    const absl::string_view value = Trim(aLines[i].substr(colon + 1));
    aHeaders.Add(std::string(name), std::string(value));
  }
  return true;
}

// Whether the connection stays open for further messages.
bool
IsKeptAlive(const http_headers& aHeaders, absl::string_view aVersion)
{
  const std::string_view options = aHeaders.Get("Connection");
  const auto has = [&](absl::string_view aOption) {
    for (const auto option : absl::StrSplit(
           absl::string_view(options.data(), options.size()), ',')) {
      if (absl::EqualsIgnoreCase(Trim(option), aOption)) {
        return true;
      }
    }
    return false;
  };
  return !has("close") && (aVersion == kVersion || has("keep-alive"));
}

} // namespace

std::optional<http_request>
ParseRequestHead(std::string_view aHead)
{
  const auto lines = SplitHead(aHead);
  if (lines.empty()) {
    return std::nullopt;
  }
  const std::vector<absl::string_view> words = absl::StrSplit(lines[0], ' ');
  http_request request;
  if (words.size() != 3 || !IsToken(words[0]) || !IsTarget(words[1]) ||
      !IsVersion(words[2]) || !ReadFields(lines, request.mHeaders)) {
    return std::nullopt;
  }
  request.mMethod = std::string(words[0]);
  request.mTarget = std::string(words[1]);
  request.mKeepAlive = IsKeptAlive(request.mHeaders, words[2]);
  return request;
}

std::optional<http_response>
ParseResponseHead(std::string_view aHead)
{
  const auto lines = SplitHead(aHead);
  if (lines.empty()) {
    return std::nullopt;
  }
  // The reason at the end may be missing, and may contain blanks.
  const std::vector<absl::string_view> words =
    absl::StrSplit(lines[0], absl::MaxSplits(' ', 2));
  constexpr std::size_t kStatusDigits = 3;
  http_response response;
  if (words.size() < 2 || !IsVersion(words[0]) ||
      words[1].size() != kStatusDigits ||
      !absl::SimpleAtoi(words[1], &response.mStatus) ||
      response.mStatus < kLowestStatus || response.mStatus > kHighestStatus ||
      !ReadFields(lines, response.mHeaders)) {
    return std::nullopt;
  }
  response.mKeepAlive = IsKeptAlive(response.mHeaders, words[0]);
  return response;
}

} // namespace snipewalk
