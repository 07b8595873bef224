// The line protocol of the stand-ins of backend servers: statements and control
// commands, and their answers.
#include "standins/line_server_group.h"

#include <absl/strings/str_cat.h>
#include <absl/strings/str_split.h>
#include <absl/strings/string_view.h>
#include <absl/strings/strip.h>

#include <algorithm>
#include <utility>

namespace snipewalk::standins {

namespace {

// Multiplier of a sequence that spreads lost answers evenly over requests.
constexpr std::uint64_t kSpread = 37;
// Items with this prefix stand for session values of the connection.
constexpr absl::string_view kSessionValuePrefix = "session.";

// "TERM.NUMBER" as a pair that compares like a position.
std::pair<std::uint64_t, std::uint64_t>
ParsePosition(const std::string& aText)
{
  const std::vector<std::string> parts = absl::StrSplit(aText, '.');
  return { std::stoull(parts.at(0)), std::stoull(parts.at(1)) };
}

} // namespace

std::string
line_server_group::Received(const server& aServer)
{
  return absl::StrCat(aServer.mTerm,
                      ".",
                      aServer.mLog.empty() ? 0 : aServer.mLog.back()->mNumber);
}

std::string
line_server_group::Applied(const server& aServer)
{
  if (aServer.mApplied == aServer.mLog.size()) {
    return Received(aServer);
  }
  if (aServer.mApplied == 0) {
    return "0.0";
  }
  const commit& last = *aServer.mLog[aServer.mApplied - 1];
  return absl::StrCat(last.mTerm, ".", last.mNumber);
}

std::string
line_server_group::Signature(const server& aServer)
{
  return absl::StrCat("COMPLETE ", aServer.mId, ".", Applied(aServer), "\r\n");
}

std::string
line_server_group::StatusRow(const server& aServer) const
{
  return absl::StrCat("DATAROW ",
                      aServer.mPrimary ? "primary" : "replica",
                      " ",
                      aServer.mTerm,
                      " ",
                      Received(aServer),
                      " ",
                      aServer.mHeld,
                      " 0 0 1\r\nCOMPLETE -\r\n");
}

void
line_server_group::OnLine(server& aServer,
                          connection& aConnection,
                          const std::string& aLine)
{
  if (!aServer.mAlive) {
    return;
  }
  if (!aConnection.mOpen) {
    const auto open = std::count_if(
      aServer.mConnections.begin(),
      aServer.mConnections.end(),
      [](const auto& aOther) { return aOther->mStream->IsOpen(); });
    if (open > mMaxConnections) {
      aConnection.mStream->Send("ERROR TOOMANYCON full\r\n");
      aConnection.mStream->CloseAfterOutput();
      return;
    }
    aConnection.mOpen = true;
    aConnection.mStream->Send(
      absl::StrCat("READY I ", Applied(aServer), "\r\n"));
    return;
  }
  // "QUERY id text"
  const std::vector<std::string> parts =
    absl::StrSplit(aLine, absl::MaxSplits(' ', 2));
  if (parts.size() < 3) {
    aConnection.mStream->Close();
    return;
  }
  const std::string answer = Execute(aServer, aConnection, parts[2]);
  const auto draw = static_cast<int>(++mRequests * kSpread % 100);
  if (draw < aServer.mLostAnswers) {
    aConnection.mStream->Close();
    return;
  }
  if (aConnection.mUnconfirmed == 0) {
    aConnection.mStream->Send(
      absl::StrCat(answer, ReadyLine(aServer, aConnection)));
  }
}

std::string
line_server_group::ReadyLine(const server& aServer,
                             const connection& aConnection) const
{
  const char* const state = aConnection.mFailed          ? "E"
                            : aConnection.mInTransaction ? "T"
                                                         : "I";
  return absl::StrCat("READY ", state, " ", Applied(aServer), "\r\n");
}

std::string
line_server_group::Execute(server& aServer,
                           connection& aConnection,
                           const std::string& aText)
{
  std::vector<std::string> words = absl::StrSplit(aText, ' ');
  if (words[0] == "AFTERLSN") {
    if (ParsePosition(Applied(aServer)) < ParsePosition(words[1])) {
      return absl::StrCat("ERROR LAGGING ", aServer.mId, "\r\n");
    }
    words.erase(words.begin(), words.begin() + 2);
  }
  const std::string& verb = words[0];
  if (verb == "STATUS" || verb == "PAUSE" || verb == "RESUME" ||
      verb == "STEPDOWN") {
    return ExecuteCommand(aServer, words);
  }
  const bool ends = verb == "COMMIT" || verb == "ROLLBACK";
  if (DrawsFailure(aServer)) {
    aConnection.mFailed = aConnection.mInTransaction && !ends;
    if (ends) {
      aConnection.mInTransaction = false;
      aConnection.mWrites.clear();
    }
    return absl::StrCat("ERROR FAILED ", aServer.mId, "\r\n");
  }
  if (aConnection.mFailed && verb != "ROLLBACK" && verb != "DISCARD") {
    return absl::StrCat("ERROR MALFORMED ", aServer.mId, "\r\n");
  }
  return ExecuteStatement(aServer, aConnection, words);
}

bool
line_server_group::DrawsFailure(const server& aServer)
{
  return static_cast<int>(mRandom() % 100) < aServer.mFailedRequests;
}

std::string
line_server_group::ExecuteStatement(server& aServer,
                                    connection& aConnection,
                                    const std::vector<std::string>& aWords)
{
  const std::string& verb = aWords[0];
  if (verb == "BEGIN") {
    if (aWords.size() == 1 && !aServer.mPrimary) {
      return absl::StrCat("ERROR READONLY ", aServer.mId, "\r\n");
    }
    aConnection.mInTransaction = true;
    return "COMPLETE -\r\n";
  }
  if (verb == "ROLLBACK" || verb == "DISCARD") {
    aConnection.mInTransaction = false;
    aConnection.mFailed = false;
    aConnection.mWrites.clear();
    if (verb == "DISCARD") {
      aConnection.mValues.clear();
    }
    return "COMPLETE -\r\n";
  }
  if (verb == "READ") {
    return ExecuteRead(aServer, aConnection, aWords[1]);
  }
  if (verb == "WRITE" || verb == "COMMIT") {
    return ExecuteWrite(aServer, aConnection, aWords);
  }
  if (verb == "SET") {
    aConnection.mValues[aWords[1]] = aWords[2];
  }
  // PARSE and CLOSE have no effect.
  return "COMPLETE -\r\n";
}

std::string
line_server_group::ExecuteCommand(server& aServer,
                                  const std::vector<std::string>& aWords)
{
  if (aWords[0] == "PAUSE") {
    const std::uint64_t term = std::stoull(aWords[1]);
    if (!aServer.mPrimary && term > aServer.mTerm) {
      aServer.mHeld = term;
    }
  } else if (aWords[0] == "RESUME") {
    aServer.mHeld = 0;
    CatchUp();
  } else if (aWords[0] == "STEPDOWN") {
    if (aServer.mPrimary && aServer.mTerm < std::stoull(aWords[1])) {
      aServer.mPrimary = false;
      Publish(aServer);
    }
  }
  return StatusRow(aServer);
}

std::string
line_server_group::ExecuteRead(const server& aServer,
                               const connection& aConnection,
                               const std::string& aItem) const
{
  absl::string_view name = aItem;
  const bool session = absl::ConsumePrefix(&name, kSessionValuePrefix);
  const item_map& first = session ? aConnection.mValues : aConnection.mWrites;
  const auto own = first.find(std::string(name));
  const auto held = aServer.mItems.find(aItem);
  const std::string value = own != first.end()             ? own->second
                            : held != aServer.mItems.end() ? held->second
                                                           : "none";
  return absl::StrCat("DATAROW ", value, "\r\n", Signature(aServer));
}

std::string
line_server_group::ExecuteWrite(server& aServer,
                                connection& aConnection,
                                const std::vector<std::string>& aWords)
{
  const bool readOnly = aWords[0] == "COMMIT" && aConnection.mWrites.empty();
  if (!aServer.mPrimary && !readOnly) {
    aConnection.mInTransaction = false;
    aConnection.mWrites.clear();
    return absl::StrCat("ERROR READONLY ", aServer.mId, "\r\n");
  }
  if (aWords[0] == "WRITE") {
    aConnection.mWrites[aWords[1]] = aWords[2];
    if (aConnection.mInTransaction) {
      return Signature(aServer);
    }
  }
  const item_map writes = std::exchange(aConnection.mWrites, {});
  aConnection.mInTransaction = false;
  if (!writes.empty()) {
    aConnection.mUnconfirmed = Commit(aServer, writes);
  }
  return Signature(aServer);
}

} // namespace snipewalk::standins
