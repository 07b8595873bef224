// Implementation of the stand-in of the backend servers of one service.
#include "databases.h"

#include <absl/strings/match.h>
#include <absl/strings/numbers.h>
#include <absl/strings/str_cat.h>
#include <absl/strings/str_split.h>

#include <algorithm>

namespace snipewalk::review {

namespace {

constexpr milliseconds kHeartbeatInterval{ 1'200 };
constexpr milliseconds kEntryLifetime{ 3 * kHeartbeatInterval };
constexpr milliseconds kExpiryCheckInterval{ 100 };
// From the order of a promotion until the server leads.
constexpr milliseconds kPromotionTime{ 300 };
// A replaced primary follows its successor this long after it can reach it.
constexpr milliseconds kSuccessorKnown{ 1'000 };
constexpr const char* kCompleteOwn = "COMPLETE -\r\n";

// Removes and returns the text up to the next blank; the rest follows it.
std::string
TakeWord(std::string& aText)
{
  const std::size_t end = aText.find(' ');
  std::string word = aText.substr(0, end);
  aText.erase(0, end == std::string::npos ? end : end + 1);
  return word;
}

log_position
ParsePosition(const std::string& aText)
{
  const std::vector<std::string> parts = absl::StrSplit(aText, '.');
  log_position position;
  const bool valid = parts.size() == 2 &&
                     absl::SimpleAtoi(parts[0], &position.mTerm) &&
                     absl::SimpleAtoi(parts[1], &position.mIndex);
  return valid ? position : log_position{};
}

std::uint64_t
UnixMilliseconds()
{
  const auto now = std::chrono::system_clock::now().time_since_epoch();
  return static_cast<std::uint64_t>(
    std::chrono::duration_cast<milliseconds>(now).count());
}

} // namespace

log_position
PositionOf(const log& aLog)
{
  return aLog ? aLog->mPosition : log_position{};
}

std::set<std::string>
ValuesOf(const log& aLog)
{
  std::set<std::string> values;
  for (const log_entry* entry = aLog.get(); entry != nullptr;
       entry = entry->mBefore.get()) {
    values.insert(entry->mValue);
  }
  return values;
}

databases::databases(event_loop& aLoop,
                     std::string aService,
                     handlers aHandlers)
  : mLoop(aLoop)
  , mService(std::move(aService))
  , mHandlers(std::move(aHandlers))
{
  ExpireEntries();
}

databases::~databases() = default;

void
databases::Add(const std::string& aId,
               const std::string& aListenOn,
               const std::string& aAddress)
{
  const bool first = mServers.empty();
  const server* leading = Leading();
  server& added = mServers[aId];
  if (leading != nullptr) {
    added.mTerm = leading->mTerm;
    added.mLog = leading->mLog;
  }
  added.mId = aId;
  added.mListenOn = aListenOn;
  added.mAddress = aAddress;
  added.mPrimary = first;
  added.mBorn = UnixMilliseconds();
  Listen(added);
  Beat(aId);
}

void
databases::Listen(server& aServer)
{
  auto opened =
    listener::Open(mLoop,
                   aServer.mListenOn,
                   [this, &aServer](const Poco::Net::StreamSocket& aSocket,
                                    time_point) { Accept(aServer, aSocket); });
  aServer.mListener = *std::move(opened);
}

void
databases::Beat(const std::string& aId)
{
  server& beating = mServers.at(aId);
  ++beating.mSeq;
  if (beating.mRunning && !beating.mCutOff) {
    beating.mLastBeat = mLoop.Now();
    // Only Seq has changed otherwise, of which the store tells nobody.
    if (!beating.mEntryPresent) {
      Publish(beating);
    }
  }
  ScheduleBeat(aId, kHeartbeatInterval);
}

void
databases::ScheduleBeat(const std::string& aId, milliseconds aDelay)
{
  const std::uint64_t number = mServers.at(aId).mSeq;
  mLoop.RunAt(mLoop.Now() + aDelay, [this, aId, number](time_point) {
    if (mServers.at(aId).mSeq == number) {
      Beat(aId);
    }
  });
}

void
databases::Publish(server& aServer)
{
  if (!aServer.mRunning || aServer.mCutOff) {
    return;
  }
  Json::Value entry;
  entry["Service"] = mService;
  entry["Address"] = aServer.mAddress;
  entry["Zone"] = "dc1";
  entry["Version"] = "v1";
  entry["Slots"] = 3;
  entry["Phase"] = aServer.mDraining ? "draining" : "ready";
  entry["ColdRemainingMs"] = 0;
  entry["Seq"] = Json::UInt64{ aServer.mSeq };
  entry["DbRole"] = aServer.mPrimary ? "primary" : "replica";
  entry["born"] = Json::UInt64{ aServer.mBorn };
  aServer.mEntryPresent = true;
  mHandlers.mNote(absl::StrCat("entry of ",
                               aServer.mId,
                               ": ",
                               entry["DbRole"].asString(),
                               ", ",
                               entry["Phase"].asString(),
                               ", born ",
                               aServer.mBorn));
  mHandlers.mOnEntry(aServer.mId, entry);
}

void
databases::ExpireEntries()
{
  const time_point now = mLoop.Now();
  for (auto& [id, one] : mServers) {
    if (one.mEntryPresent && now >= one.mLastBeat + kEntryLifetime) {
      one.mEntryPresent = false;
      mHandlers.mNote(absl::StrCat("entry of ", id, " has expired"));
      mHandlers.mOnEntry(id, {});
    }
  }
  mLoop.RunAt(now + kExpiryCheckInterval,
              [this](time_point) { ExpireEntries(); });
}

bool
databases::Reaches(const server& aFrom, const server& aTo) const
{
  return aFrom.mRunning && aTo.mRunning && !aFrom.mCutOff && !aTo.mCutOff;
}

void
databases::SetCutOff(const std::string& aId,
                     bool aCutOff,
                     milliseconds aNextBeat)
{
  mServers.at(aId).mCutOff = aCutOff;
  if (aCutOff) {
    return;
  }
  ++mServers.at(aId).mSeq;
  ScheduleBeat(aId, aNextBeat);
  FollowSuccessor(aId);
}

void
databases::FollowSuccessor(const std::string& aId)
{
  mLoop.RunAt(mLoop.Now() + kSuccessorKnown, [this, aId](time_point) {
    server* leading = Leading();
    server& old = mServers.at(aId);
    if (leading == nullptr || leading->mId == aId || !Reaches(old, *leading)) {
      return;
    }
    if (old.mPrimary) {
      old.mPrimary = false;
      Publish(old);
    }
    Replicate(*leading);
  });
}

void
databases::Drain(const std::string& aId)
{
  mServers.at(aId).mDraining = true;
  Publish(mServers.at(aId));
}

void
databases::End(server& aServer)
{
  aServer.mRunning = false;
  aServer.mListener.reset();
  for (const auto& open : aServer.mConnections) {
    open->mStream->Close();
  }
  mHandlers.mNote(absl::StrCat("process of ", aServer.mId, " ends"));
}

void
databases::Remove(const std::string& aId)
{
  server& removed = mServers.at(aId);
  End(removed);
  removed.mPrimary = false;
  removed.mEntryPresent = false;
  mHandlers.mOnEntry(aId, {});
}

void
databases::StartAnew(const std::string& aId, milliseconds aDown)
{
  End(mServers.at(aId));
  mLoop.RunAt(mLoop.Now() + aDown, [this, aId](time_point) {
    server& started = mServers.at(aId);
    started.mConnections.clear();
    started.mRunning = true;
    started.mPrimary = false;
    started.mTerm = 0;
    started.mHeld = 0;
    started.mLog.reset();
    started.mBorn = UnixMilliseconds();
    started.mSeq = 0;
    mHandlers.mNote(absl::StrCat("process of ", aId, " starts, with no log"));
    Listen(started);
    started.mEntryPresent = false;
    Beat(aId);
    if (server* leading = Leading()) {
      Replicate(*leading);
    }
  });
}

bool
databases::Promote(const std::string& aId)
{
  const auto found = mServers.find(aId);
  if (found == mServers.end() || !found->second.mRunning) {
    return false;
  }
  mLoop.RunAt(mLoop.Now() + kPromotionTime,
              [this, aId](time_point) { Lead(aId); });
  return true;
}

void
databases::Lead(const std::string& aId)
{
  server& next = mServers.at(aId);
  if (!next.mRunning || next.mPrimary) {
    return;
  }
  for (const auto& [id, other] : mServers) {
    next.mTerm = std::max({ next.mTerm, other.mTerm + 1, other.mHeld });
  }
  next.mHeld = 0;
  next.mPrimary = true;
  mHandlers.mNote(absl::StrCat(aId, " leads term ", next.mTerm));
  Publish(next);
  Replicate(next);
  for (const auto& [id, other] : mServers) {
    if (id != aId) {
      FollowSuccessor(id);
    }
  }
}

databases::server*
databases::Leading()
{
  server* leading = nullptr;
  for (auto& [id, one] : mServers) {
    if (one.mRunning && one.mPrimary &&
        (leading == nullptr || one.mTerm > leading->mTerm)) {
      leading = &one;
    }
  }
  return leading;
}

std::string
databases::Primary() const
{
  std::string primary;
  std::uint64_t newest = 0;
  for (const auto& [id, one] : mServers) {
    if (one.mRunning && one.mPrimary && one.mTerm > newest) {
      primary = id;
      newest = one.mTerm;
    }
  }
  return primary;
}

void
databases::Accept(server& aServer, const Poco::Net::StreamSocket& aSocket)
{
  std::erase_if(aServer.mConnections, [](const auto& aConnection) {
    return !aConnection->mStream->IsOpen();
  });
  const auto accepted = std::make_shared<connection>();
  aServer.mConnections.push_back(accepted);
  connection& self = *accepted;
  accepted->mStream = stream_connection::Adopt(
    mLoop,
    aSocket,
    { {},
      [this, &aServer, &self](std::string& aInput, time_point) {
        std::size_t end = 0;
        while (self.mStream->IsOpen() &&
               (end = aInput.find("\r\n")) != std::string::npos) {
          const std::string line = aInput.substr(0, end);
          aInput.erase(0, end + 2);
          OnLine(aServer, self, line);
        }
      },
      {} });
}

void
databases::OnLine(server& aServer,
                  connection& aConnection,
                  const std::string& aLine)
{
  std::string rest = aLine;
  const std::string word = TakeWord(rest);
  std::string answer;
  if (!aConnection.mOpen) {
    // "STARTUP service who id"
    const std::vector<std::string> fields = absl::StrSplit(rest, ' ');
    const bool named =
      fields[0] == mService && (fields.size() < 3 || fields[2] == aServer.mId);
    if (!named) {
      aConnection.mStream->Send("ERROR WRONGNODE\r\n");
      aConnection.mStream->CloseAfterOutput();
      return;
    }
    aConnection.mOpen = true;
  } else if (word == "QUERY") {
    const std::string id = TakeWord(rest);
    answer = Execute(aServer, aConnection, id, rest);
    if (aConnection.mWaits) {
      return;
    }
  } else {
    aConnection.mStream->CloseAfterOutput();
    return;
  }
  aConnection.mStream->Send(absl::StrCat(
    answer, "READY I ", PositionOf(aServer.mLog).ToString(), "\r\n"));
}

std::string
databases::Execute(server& aServer,
                   connection& aConnection,
                   const std::string& aRequestId,
                   std::string aText)
{
  if (absl::StartsWith(aText, "AFTERLSN ")) {
    TakeWord(aText);
    if (PositionOf(aServer.mLog) < ParsePosition(TakeWord(aText))) {
      return absl::StrCat("ERROR LAGGING ", aServer.mId, "\r\n");
    }
  }
  std::string rest = aText;
  const std::string verb = TakeWord(rest);
  if (verb == "READ") {
    return Read(aServer, aRequestId, aText, rest);
  }
  if (verb == "WRITE") {
    return Write(aServer, aConnection, aRequestId, aText, rest);
  }
  if (verb == "DISCARD" || verb == "ROLLBACK") {
    return kCompleteOwn;
  }
  std::uint64_t term = 0;
  const bool numbered = absl::SimpleAtoi(rest, &term);
  if (verb == "STATUS" || verb == "RESUME" || numbered) {
    return Control(aServer, verb, term);
  }
  return absl::StrCat("ERROR MALFORMED ", aServer.mId, "\r\n");
}

std::string
databases::Control(server& aServer,
                   const std::string& aVerb,
                   std::uint64_t aTerm)
{
  if (aVerb == "PAUSE" && !aServer.mPrimary && aTerm > aServer.mTerm) {
    aServer.mHeld = aTerm;
  } else if (aVerb == "RESUME") {
    aServer.mHeld = 0;
    if (server* leading = Leading()) {
      Replicate(*leading);
    }
  } else if (aVerb == "STEPDOWN" && aServer.mPrimary && aServer.mTerm < aTerm) {
    aServer.mPrimary = false;
    Publish(aServer);
  }
  return absl::StrCat("DATAROW ",
                      aServer.mPrimary ? "primary " : "replica ",
                      aServer.mTerm,
                      " ",
                      PositionOf(aServer.mLog).ToString(),
                      " ",
                      aServer.mHeld,
                      " 0 0 1\r\n",
                      kCompleteOwn);
}

void
databases::NoteExecuted(const server& aServer,
                        const std::string& aRequestId,
                        const std::string& aText)
{
  mExecuted[aRequestId] = { aServer.mId, aServer.mLog };
  mHandlers.mNote(absl::StrCat(aServer.mId,
                               " at ",
                               PositionOf(aServer.mLog).ToString(),
                               " runs ",
                               aRequestId,
                               " ",
                               aText));
}

std::string
databases::Read(server& aServer,
                const std::string& aRequestId,
                const std::string& aText,
                const std::string& aItem)
{
  NoteExecuted(aServer, aRequestId, aText);
  std::string value = "none";
  for (const log_entry* entry = aServer.mLog.get();
       entry != nullptr && value == "none";
       entry = entry->mBefore.get()) {
    value = entry->mItem == aItem ? entry->mValue : value;
  }
  return absl::StrCat(
    "DATAROW ", value, "\r\nCOMPLETE ", aServer.mId, ".", aRequestId, "\r\n");
}

std::string
databases::Write(server& aServer,
                 connection& aConnection,
                 const std::string& aRequestId,
                 const std::string& aText,
                 std::string aRest)
{
  if (!aServer.mPrimary) {
    return absl::StrCat("ERROR READONLY ", aServer.mId, "\r\n");
  }
  const std::string item = TakeWord(aRest);
  const log_position next{ aServer.mTerm, PositionOf(aServer.mLog).mIndex + 1 };
  aServer.mLog = std::make_shared<const log_entry>(
    log_entry{ next, item, aRest, aServer.mLog });
  NoteExecuted(aServer, aRequestId, aText);
  aConnection.mWaits = true;
  Replicate(aServer, &aConnection);
  if (aConnection.mWaits) {
    return {};
  }
  return absl::StrCat("COMPLETE ", aServer.mId, ".", aRequestId, "\r\n");
}

void
databases::Replicate(server& aPrimary, const connection* aCurrent)
{
  bool received = false;
  for (auto& [id, replica] : mServers) {
    const bool follows =
      id != aPrimary.mId && !replica.mPrimary && Reaches(aPrimary, replica) &&
      replica.mHeld <= aPrimary.mTerm && replica.mTerm <= aPrimary.mTerm;
    if (follows) {
      replica.mTerm = aPrimary.mTerm;
      replica.mLog = aPrimary.mLog;
      received = true;
    }
  }
  if (!received) {
    return;
  }
  for (const auto& open : aPrimary.mConnections) {
    const bool waited = std::exchange(open->mWaits, false);
    if (waited && open.get() != aCurrent && open->mStream->IsOpen()) {
      // An earlier write, whose answer was held back.
      open->mStream->Send(absl::StrCat("COMPLETE ",
                                       aPrimary.mId,
                                       ".late\r\nREADY I ",
                                       PositionOf(aPrimary.mLog).ToString(),
                                       "\r\n"));
    }
  }
}

} // namespace snipewalk::review
