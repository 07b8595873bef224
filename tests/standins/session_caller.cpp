// Implementation of a caller's session.
#include "standins/session_caller.h"

#include <Poco/Exception.h>
#include <Poco/Net/SocketAddress.h>
#include <absl/strings/match.h>
#include <absl/strings/str_cat.h>
#include <absl/strings/str_split.h>
#include <absl/strings/strip.h>

#include <array>
#include <utility>
#include <vector>

namespace snipewalk::standins {

namespace {

// True once a READY line, or the error that ends a session, is complete.
bool
IsWhole(const std::string& aText, bool aStarting)
{
  if (!absl::EndsWith(aText, "\r\n")) {
    return false;
  }
  const std::size_t ready = aText.rfind("READY ");
  const bool atLineStart =
    ready == 0 || (ready != std::string::npos && aText[ready - 1] == '\n');
  return atLineStart || (aStarting && absl::StartsWith(aText, "ERROR "));
}

session_answer
Parse(std::string aText, bool aStarting)
{
  session_answer answer;
  answer.mWhole = IsWhole(aText, aStarting);
  const std::vector<std::string> lines = absl::StrSplit(aText, "\r\n");
  for (const std::string& line : lines) {
    const std::vector<std::string> words =
      absl::StrSplit(line, absl::MaxSplits(' ', 2));
    absl::string_view row = line;
    if (absl::ConsumePrefix(&row, "DATAROW ")) {
      answer.mRow = std::string(row);
    } else if (words[0] == "ERROR" && words.size() > 1) {
      answer.mError = words[1];
    } else if (words[0] == "COMPLETE") {
      answer.mCompleted = true;
    }
  }
  answer.mText = std::move(aText);
  return answer;
}

} // namespace

session_caller::session_caller(std::uint16_t aPort,
                               milliseconds aTimeout,
                               std::string aIdPrefix)
  : mSocket(Poco::Net::SocketAddress("127.0.0.1", aPort))
  , mIdPrefix(std::move(aIdPrefix))
{
  mSocket.setReceiveTimeout(Poco::Timespan(aTimeout.count() * 1'000));
}

session_answer
session_caller::Start(const std::string& aDatabase)
{
  return Call(absl::StrCat("STARTUP ", aDatabase, " app"));
}

session_answer
session_caller::Query(const std::string& aText)
{
  const std::string id = NextId();
  ++mRequests;
  return Call(absl::StrCat("QUERY ", id, " ", aText));
}

std::string
session_caller::NextId() const
{
  return absl::StrCat(mIdPrefix, mRequests + 1);
}

session_answer
session_caller::Call(const std::string& aLine)
{
  const bool starting = absl::StartsWith(aLine, "STARTUP ");
  std::string text;
  try {
    const std::string bytes = aLine + "\r\n";
    mSocket.sendBytes(bytes.data(), static_cast<int>(bytes.size()));
    std::array<char, 4096> chunk{};
    while (!IsWhole(text, starting)) {
      const int received =
        mSocket.receiveBytes(chunk.data(), static_cast<int>(chunk.size()));
      if (received <= 0) {
        break;
      }
      text.append(chunk.data(), static_cast<std::size_t>(received));
    }
  } catch (const Poco::Exception&) {
    // Reset or silent: the answer stays as far as it came.
  }
  return Parse(std::move(text), starting);
}

} // namespace snipewalk::standins
