// The line protocol of the stand-ins of backend servers: statements and control
// commands, and their answers.
#include "standins/line_server_group.h"

#include <absl/strings/match.h>
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

// Items with this prefix stand for a number of long rows.
constexpr absl::string_view kRowsPrefix = "rows.";

// Removes and returns the text up to the next blank; the rest follows it.
std::string
TakeWord(std::string& aText)
{
  const std::size_t end = aText.find(' ');
  std::string word = aText.substr(0, end);
  aText.erase(0, end == std::string::npos ? end : end + 1);
  return word;
}

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
  const std::string answer = Execute(aServer, aConnection, parts[1], parts[2]);
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
                           const std::string& aRequestId,
                           std::string aText)
{
  if (absl::StartsWith(aText, "AFTERLSN ")) {
    TakeWord(aText);
    if (ParsePosition(Applied(aServer)) < ParsePosition(TakeWord(aText))) {
      return Refusal(aServer, "LAGGING");
    }
  }
  std::string rest = aText;
  const std::string verb = TakeWord(rest);
  if (verb == "STATUS" || verb == "PAUSE" || verb == "RESUME" ||
      verb == "STEPDOWN") {
    return ExecuteCommand(aServer, verb, rest);
  }
  const bool ends = verb == "COMMIT" || verb == "ROLLBACK";
  if (DrawsFailure(aServer)) {
    aConnection.mFailed = aConnection.mInTransaction && !ends;
    if (ends) {
      aConnection.mInTransaction = false;
      aConnection.mWrites.clear();
    }
    return Refusal(aServer, "FAILED");
  }
  if (aConnection.mFailed && verb != "ROLLBACK" && verb != "DISCARD") {
    return Refusal(aServer, "MALFORMED");
  }
  aConnection.mRunning = { aRequestId, aText, {}, aConnection.mValues };
  return ExecuteStatement(aServer, aConnection, verb, std::move(rest));
}

std::string
line_server_group::Refusal(const server& aServer, const char* aCode)
{
  return absl::StrCat("ERROR ", aCode, " ", aServer.mId, "\r\n");
}

bool
line_server_group::DrawsFailure(const server& aServer)
{
  return static_cast<int>(mRandom() % 100) < aServer.mFailedRequests;
}

std::string
line_server_group::ExecuteStatement(server& aServer,
                                    connection& aConnection,
                                    const std::string& aVerb,
                                    std::string aRest)
{
  if (aVerb == "BEGIN") {
    if (aRest.empty() && !aServer.mPrimary) {
      return Refusal(aServer, "READONLY");
    }
    aConnection.mInTransaction = true;
    return "COMPLETE -\r\n";
  }
  if (aVerb == "ROLLBACK" || aVerb == "DISCARD") {
    aConnection.mInTransaction = false;
    aConnection.mFailed = false;
    aConnection.mWrites.clear();
    if (aVerb == "DISCARD") {
      aConnection.mValues.clear();
      aConnection.mPrepared.clear();
    }
    return "COMPLETE -\r\n";
  }
  if (aVerb == "READ") {
    return ExecuteRead(aServer, aConnection, aRest);
  }
  if (aVerb == "WRITE") {
    return ExecuteWrite(aServer, aConnection, std::move(aRest));
  }
  if (aVerb == "COMMIT") {
    return ExecuteCommit(aServer, aConnection);
  }
  if (aVerb == "SET") {
    const std::string name = TakeWord(aRest);
    aConnection.mValues[name] = aRest;
    return "COMPLETE -\r\n";
  }
  if (aVerb == "PARSE") {
    return Prepare(aServer, aConnection, std::move(aRest));
  }
  if (aVerb == "EXECUTE") {
    return ExecutePrepared(aServer, aConnection, std::move(aRest));
  }
  if (aVerb == "CLOSE") {
    aConnection.mPrepared.erase(aRest);
    return "COMPLETE -\r\n";
  }
  return Refusal(aServer, "MALFORMED");
}

std::string
line_server_group::Prepare(const server& aServer,
                           connection& aConnection,
                           std::string aRest)
{
  const std::string name = TakeWord(aRest);
  const std::string access = TakeWord(aRest);
  if (name.empty() || aRest.empty() ||
      (access != "READ" && access != "WRITE")) {
    return Refusal(aServer, "MALFORMED");
  }
  aConnection.mPrepared[name] = absl::StrCat(access, " ", aRest);
  return "COMPLETE -\r\n";
}

std::string
line_server_group::ExecutePrepared(server& aServer,
                                   connection& aConnection,
                                   std::string aRest)
{
  const auto found = aConnection.mPrepared.find(TakeWord(aRest));
  if (found == aConnection.mPrepared.end()) {
    return Refusal(aServer, "NOSTMT");
  }
  aConnection.mRunning.mShape = found->second;
  return absl::StartsWith(found->second, "READ ")
           ? ExecuteRead(aServer, aConnection, aRest)
           : ExecuteWrite(aServer, aConnection, std::move(aRest));
}

std::string
line_server_group::ExecuteCommand(server& aServer,
                                  const std::string& aVerb,
                                  const std::string& aTerm)
{
  if (aVerb == "PAUSE") {
    const std::uint64_t term = std::stoull(aTerm);
    if (!aServer.mPrimary && term > aServer.mTerm) {
      aServer.mHeld = term;
    }
  } else if (aVerb == "RESUME") {
    aServer.mHeld = 0;
    CatchUp();
  } else if (aVerb == "STEPDOWN") {
    if (aServer.mPrimary && aServer.mTerm < std::stoull(aTerm)) {
      aServer.mPrimary = false;
      Publish(aServer);
    }
  }
  return StatusRow(aServer);
}

std::string
line_server_group::ExecuteRead(const server& aServer,
                               const connection& aConnection,
                               const std::string& aItem)
{
  mExecuted.push_back(aConnection.mRunning);
  absl::string_view name = aItem;
  if (absl::ConsumePrefix(&name, kRowsPrefix)) {
    const std::string row(kLongRowBytes, 'r');
    std::string rows;
    for (int i = std::stoi(std::string(name)); i > 0; --i) {
      absl::StrAppend(&rows, "DATAROW ", row, "\r\n");
    }
    return rows + Signature(aServer);
  }
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
line_server_group::RefuseAsReplica(const server& aServer,
                                   connection& aConnection)
{
  aConnection.mInTransaction = false;
  aConnection.mWrites.clear();
  return Refusal(aServer, "READONLY");
}

std::string
line_server_group::ExecuteWrite(server& aServer,
                                connection& aConnection,
                                std::string aRest)
{
  if (!aServer.mPrimary) {
    return RefuseAsReplica(aServer, aConnection);
  }
  mExecuted.push_back(aConnection.mRunning);
  const std::string item = TakeWord(aRest);
  aConnection.mWrites[item] = aRest;
  return aConnection.mInTransaction ? Signature(aServer)
                                    : CommitWrites(aServer, aConnection);
}

std::string
line_server_group::ExecuteCommit(server& aServer, connection& aConnection)
{
  if (!aServer.mPrimary && !aConnection.mWrites.empty()) {
    return RefuseAsReplica(aServer, aConnection);
  }
  mExecuted.push_back(aConnection.mRunning);
  return CommitWrites(aServer, aConnection);
}

std::string
line_server_group::CommitWrites(server& aServer, connection& aConnection)
{
  const item_map writes = std::exchange(aConnection.mWrites, {});
  aConnection.mInTransaction = false;
  if (!writes.empty()) {
    aConnection.mUnconfirmed = Commit(aServer, writes);
  }
  return Signature(aServer);
}

} // namespace snipewalk::standins
