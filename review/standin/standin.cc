// A small deployment on loopback for the review's scripts: the platform's store
// and promotion call, backend servers and clients, all as the users' pages
// describe them, in front of instances of snipewalk-sessions that this program
// starts as processes.
//
//   standin CASE RECORD   CASE: values, fence, entry; RECORD: file for the
//   record
//
// Exits with 1 if the rule was broken, 0 if it held, 2 if the case couldn't
// run. TROUBLE=0 in the environment leaves the disruption out.
#include <arpa/inet.h>
#include <dirent.h>
#include <fcntl.h>
#include <poll.h>
#include <signal.h>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

#include <json/json.h>

#include <algorithm>
#include <atomic>
#include <chrono>
#include <condition_variable>
#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <random>
#include <set>
#include <sstream>
#include <string>
#include <thread>
#include <utility>
#include <vector>

namespace {

using clock_type = std::chrono::steady_clock;
using namespace std::chrono_literals;
using values_map = std::map<std::string, std::string>;

const auto gStart = clock_type::now();
// Guards all state below but the sockets.
std::mutex gMutex;
std::condition_variable gChanged;
std::FILE* gRecord = nullptr;
std::atomic<bool> gStopping{ false };

double
Elapsed()
{
  return std::chrono::duration<double>(clock_type::now() - gStart).count();
}

std::mutex gWriting;

void
Record(const std::string& aLine)
{
  const std::lock_guard<std::mutex> lock(gWriting);
  std::fprintf(gRecord, "%8.3f %s\n", Elapsed(), aLine.c_str());
}

[[noreturn]] void
Abandon(const std::string& aReason);

// ---------------------------------------------------------------- sockets

int
ListenOnLoopback(int& aPort, int aBacklog = 128)
{
  const int fd = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  const int on = 1;
  ::setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on));
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  address.sin_port = htons(static_cast<std::uint16_t>(aPort));
  if (::bind(fd, reinterpret_cast<sockaddr*>(&address), sizeof(address)) != 0 ||
      ::listen(fd, aBacklog) != 0) {
    Abandon("cannot listen");
  }
  socklen_t length = sizeof(address);
  ::getsockname(fd, reinterpret_cast<sockaddr*>(&address), &length);
  aPort = ntohs(address.sin_port);
  return fd;
}

int
ConnectTo(int aPort, bool aBlocking = true)
{
  const int type = SOCK_STREAM | SOCK_CLOEXEC | (aBlocking ? 0 : SOCK_NONBLOCK);
  const int fd = ::socket(AF_INET, type, 0);
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  address.sin_port = htons(static_cast<std::uint16_t>(aPort));
  const int result =
    ::connect(fd, reinterpret_cast<sockaddr*>(&address), sizeof(address));
  if (result != 0 && aBlocking) {
    ::close(fd);
    return -1;
  }
  return fd;
}

// Ports that were free a moment ago.
int
FreePort()
{
  int port = 0;
  ::close(ListenOnLoopback(port));
  return port;
}

bool
SendAll(int aSocket, const std::string& aBytes)
{
  std::size_t sent = 0;
  while (sent < aBytes.size()) {
    const auto n =
      ::send(aSocket, aBytes.data() + sent, aBytes.size() - sent, MSG_NOSIGNAL);
    if (n <= 0) {
      return false;
    }
    sent += static_cast<std::size_t>(n);
  }
  return true;
}

// Reads from a socket by lines and by lengths.
class reader
{
public:
  explicit reader(int aSocket)
    : mSocket(aSocket)
  {
  }
  std::optional<std::string> Line()
  {
    while (true) {
      const auto end = mBuffer.find("\r\n");
      if (end != std::string::npos) {
        std::string line = mBuffer.substr(0, end);
        mBuffer.erase(0, end + 2);
        return line;
      }
      if (!Fill()) {
        return std::nullopt;
      }
    }
  }
  std::optional<std::string> Bytes(std::size_t aCount)
  {
    while (mBuffer.size() < aCount) {
      if (!Fill()) {
        return std::nullopt;
      }
    }
    std::string bytes = mBuffer.substr(0, aCount);
    mBuffer.erase(0, aCount);
    return bytes;
  }

private:
  bool Fill()
  {
    char chunk[8192];
    const auto n = ::recv(mSocket, chunk, sizeof(chunk), 0);
    if (n <= 0) {
      return false;
    }
    mBuffer.append(chunk, static_cast<std::size_t>(n));
    return true;
  }
  int mSocket;
  std::string mBuffer;
};

// Accepts until the program stops; a paused listener accepts nothing.
struct acceptor
{
  int mSocket = -1;
  int mPort = 0;
  std::atomic<bool> mPaused{ false };
  std::atomic<bool> mClosed{ false };

  void Start(std::function<void(int)> aServe)
  {
    mSocket = ListenOnLoopback(mPort);
    std::thread([this, aServe] {
      while (!gStopping && !mClosed) {
        pollfd waiting{ mSocket, POLLIN, 0 };
        if (mPaused || ::poll(&waiting, 1, 20) <= 0 || mPaused) {
          std::this_thread::sleep_for(1ms);
          continue;
        }
        const int fd = ::accept4(mSocket, nullptr, nullptr, SOCK_CLOEXEC);
        if (fd >= 0) {
          std::thread([aServe, fd] {
            aServe(fd);
            ::close(fd);
          }).detach();
        }
      }
    }).detach();
  }
};

// ------------------------------------------------------------------- HTTP

struct http_call
{
  std::string mMethod;
  std::string mPath;
  std::map<std::string, std::string> mQuery;
  std::map<std::string, std::string> mHeaders;
  std::string mBody;
};

std::optional<http_call>
ReadCall(reader& aReader)
{
  const auto first = aReader.Line();
  if (!first) {
    return std::nullopt;
  }
  http_call call;
  std::istringstream words(*first);
  std::string target;
  words >> call.mMethod >> target;
  const auto mark = target.find('?');
  call.mPath = target.substr(0, mark);
  if (mark != std::string::npos) {
    std::istringstream pairs(target.substr(mark + 1));
    for (std::string pair; std::getline(pairs, pair, '&');) {
      const auto equals = pair.find('=');
      call.mQuery[pair.substr(0, equals)] =
        equals == std::string::npos ? "" : pair.substr(equals + 1);
    }
  }
  std::size_t length = 0;
  while (true) {
    const auto line = aReader.Line();
    if (!line) {
      return std::nullopt;
    }
    if (line->empty()) {
      break;
    }
    const auto colon = line->find(':');
    std::string name = line->substr(0, colon);
    for (auto& letter : name) {
      letter = static_cast<char>(std::tolower(letter));
    }
    const auto value = line->find_first_not_of(' ', colon + 1);
    call.mHeaders[name] = value == std::string::npos ? "" : line->substr(value);
    if (name == "content-length") {
      length = std::stoul(call.mHeaders[name]);
    }
  }
  const auto body = aReader.Bytes(length);
  if (!body) {
    return std::nullopt;
  }
  call.mBody = *body;
  return call;
}

std::string
Text(const Json::Value& aValue)
{
  Json::StreamWriterBuilder builder;
  builder["indentation"] = "";
  return Json::writeString(builder, aValue);
}

Json::Value
Parse(const std::string& aText)
{
  Json::Value value;
  std::istringstream stream(aText);
  std::string errors;
  Json::parseFromStream(Json::CharReaderBuilder(), stream, &value, &errors);
  return value;
}

bool
Answer(int aSocket, int aStatus, const Json::Value& aBody)
{
  const std::string body = Text(aBody);
  return SendAll(aSocket,
                 "HTTP/1.1 " + std::to_string(aStatus) +
                   " -\r\nContent-Type: application/json\r\nContent-Length: " +
                   std::to_string(body.size()) + "\r\n\r\n" + body);
}

// ------------------------------------------------------------------ store

struct event
{
  std::uint64_t mRevision;
  std::string mKind;
  Json::Value mObject;
};

std::map<std::string, std::map<std::string, Json::Value>> gObjects;
std::vector<event> gEvents;
std::uint64_t gRevision = 100;

// With gMutex held.
Json::Value
PutObject(const std::string& aKind,
          const std::string& aName,
          const Json::Value& aSpec)
{
  Json::Value& object = gObjects[aKind][aName];
  if (!object.isNull() && object["spec"] == aSpec) {
    return object;
  }
  ++gRevision;
  if (object.isNull()) {
    object["meta"]["Name"] = aName;
    object["meta"]["Created"] = Json::UInt64{ gRevision };
    object["meta"]["Finalizers"] = Json::arrayValue;
    object["meta"]["Deleting"] = false;
    object["status"] = Json::objectValue;
  }
  object["meta"]["Revision"] = Json::UInt64{ gRevision };
  object["spec"] = aSpec;
  gEvents.push_back({ gRevision, aKind, object });
  gChanged.notify_all();
  return object;
}

bool
ServeWatch(int aSocket, const http_call& aCall, const std::string& aKind)
{
  const std::uint64_t from = std::stoull(aCall.mQuery.at("Watch"));
  const auto wait = std::chrono::milliseconds(
    std::stoul(aCall.mQuery.count("WaitMs") ? aCall.mQuery.at("WaitMs") : "0"));
  std::unique_lock<std::mutex> lock(gMutex);
  const auto found = [&] {
    return !gEvents.empty() &&
           std::any_of(
             gEvents.begin(), gEvents.end(), [&](const event& aEvent) {
               return aEvent.mRevision > from && aEvent.mKind == aKind;
             });
  };
  gChanged.wait_for(lock, wait, [&] { return gStopping || found(); });
  Json::Value body;
  body["events"] = Json::arrayValue;
  for (const auto& entry : gEvents) {
    if (entry.mRevision > from && entry.mKind == aKind) {
      Json::Value item;
      item["Object"] = entry.mObject;
      item["Deleted"] = false;
      body["events"].append(item);
    }
  }
  body["At"] = Json::UInt64{ gRevision };
  lock.unlock();
  return Answer(aSocket, 200, body);
}

bool
ServeWrite(int aSocket,
           const http_call& aCall,
           const std::string& aKind,
           std::string aName)
{
  const Json::Value sent = Parse(aCall.mBody);
  if (aCall.mMethod == "POST") {
    aName = sent["meta"]["Name"].asString();
  }
  std::unique_lock<std::mutex> lock(gMutex);
  auto& objects = gObjects[aKind];
  const auto held = objects.find(aName);
  const bool exists = held != objects.end();
  if (aCall.mMethod == "PUT" && !exists) {
    lock.unlock();
    return Answer(aSocket, 404, Json::objectValue);
  }
  const Json::Value& expected = sent["meta"]["Revision"];
  const bool conflict =
    (aCall.mMethod == "POST" && exists) ||
    (exists && expected.isUInt64() &&
     expected.asUInt64() != held->second["meta"]["Revision"].asUInt64());
  const Json::Value object =
    conflict ? held->second : PutObject(aKind, aName, sent["spec"]);
  lock.unlock();
  return Answer(aSocket, conflict ? 409 : 200, object);
}

void
ServeStore(int aSocket)
{
  reader input(aSocket);
  while (const auto call = ReadCall(input)) {
    const std::string prefix = "/v1/objects/";
    if (call->mPath.rfind(prefix, 0) != 0) {
      Answer(aSocket, 404, Json::objectValue);
      return;
    }
    std::string kind = call->mPath.substr(prefix.size());
    std::string name;
    if (const auto slash = kind.find('/'); slash != std::string::npos) {
      name = kind.substr(slash + 1);
      kind = kind.substr(0, slash);
    }
    bool sent = false;
    if (call->mMethod != "GET") {
      sent = ServeWrite(aSocket, *call, kind, name);
    } else if (call->mQuery.count("Watch") != 0) {
      sent = ServeWatch(aSocket, *call, kind);
    } else {
      Json::Value body;
      int status = 200;
      {
        const std::lock_guard<std::mutex> lock(gMutex);
        auto& objects = gObjects[kind];
        if (name.empty()) {
          body["items"] = Json::arrayValue;
          for (const auto& [key, object] : objects) {
            body["items"].append(object);
          }
          body["More"] = false;
          body["At"] = Json::UInt64{ gRevision };
        } else if (objects.count(name) != 0) {
          body = objects.at(name);
        } else {
          status = 404;
          body = Json::objectValue;
        }
      }
      sent = Answer(aSocket, status, body);
    }
    if (!sent) {
      return;
    }
  }
}

// --------------------------------------------------------------- backends

struct commit
{
  std::string mItem;
  std::string mData;
};

struct backend
{
  std::string mId;
  acceptor mListener;
  bool mPrimary = false;
  std::uint64_t mTerm = 1;
  std::uint64_t mHeld = 0;
  std::vector<commit> mLog;
  int mConnections = 0;
  // Percent of the requests that fail; none while it is sound.
  std::atomic<int> mFailing{ 0 };
  bool mDraining = false;

  std::string Position() const
  {
    return std::to_string(mTerm) + "." + std::to_string(mLog.size());
  }
};

constexpr const char* kService = "ledger-1";
constexpr const char* kDatabase = "book";
constexpr int kMaxConnections = 23;
std::vector<std::unique_ptr<backend>> gBackends;
// Session values that were acknowledged to the client of a statement, by the
// statement's id.
std::map<std::string, values_map> gExpectedValues;
std::uint64_t gSignatures = 0;
int gWrongValues = 0;
int gRunStatements = 0;
// When each backend last ran a client's statement.
std::map<std::string, double> gLastRun;

// With gMutex held.
void
Publish(const backend& aBackend)
{
  Json::Value entry;
  entry["Service"] = kService;
  entry["Address"] = "127.0.0.1:" + std::to_string(aBackend.mListener.mPort);
  entry["Zone"] = "dc1";
  entry["Version"] = "1";
  entry["Slots"] = 3;
  entry["Phase"] = aBackend.mDraining ? "draining" : "ready";
  entry["ColdRemainingMs"] = 0;
  entry["Seq"] = 1;
  entry["DbRole"] = aBackend.mPrimary ? "primary" : "replica";
  PutObject("servers", aBackend.mId, entry);
}

// With gMutex held: the primary's log goes to each replica that receives.
// Returns how many have it.
int
Replicate(const backend& aPrimary)
{
  int received = 0;
  for (auto& other : gBackends) {
    if (other.get() != &aPrimary && !other->mPrimary && other->mHeld == 0 &&
        other->mTerm == aPrimary.mTerm) {
      other->mLog = aPrimary.mLog;
      ++received;
    }
  }
  return received;
}

void
Promote(const std::string& aId)
{
  const std::lock_guard<std::mutex> lock(gMutex);
  backend* chosen = nullptr;
  std::uint64_t term = 0;
  for (auto& candidate : gBackends) {
    term = std::max(term, candidate->mTerm);
    chosen = candidate->mId == aId ? candidate.get() : chosen;
  }
  if (chosen == nullptr || chosen->mPrimary) {
    return;
  }
  for (auto& other : gBackends) {
    other->mPrimary = other.get() == chosen;
    other->mTerm = term + 1;
    other->mHeld = 0;
  }
  Replicate(*chosen);
  Record("backend " + aId + " leads term " + std::to_string(term + 1));
  for (auto& other : gBackends) {
    Publish(*other);
  }
  gChanged.notify_all();
}

struct backend_session
{
  bool mInTransaction = false;
  bool mFailed = false;
  bool mPlain = false;
  std::uint64_t mTerm = 0;
  values_map mValues;
  std::map<std::string, std::string> mPrepared;
  std::vector<commit> mWrites;
};

std::string
Show(const values_map& aValues)
{
  std::string text = "{";
  for (const auto& [name, value] : aValues) {
    text += (text.size() > 1 ? " " : "") + name + "=" + value;
  }
  return text + "}";
}

// With gMutex held: checks the rule on session values for a statement that runs
// and succeeds.
void
CheckValues(const backend& aBackend,
            const backend_session& aSession,
            const std::string& aRequest,
            const std::string& aText)
{
  const auto expected = gExpectedValues.find(aRequest);
  if (expected == gExpectedValues.end()) {
    return;
  }
  ++gRunStatements;
  gLastRun[aBackend.mId] = Elapsed();
  const bool wrong = expected->second != aSession.mValues;
  Record("run " + aRequest + " at " + aBackend.mId + ": " + aText + " values " +
         Show(aSession.mValues) +
         (wrong ? " PINNED: its client has " + Show(expected->second) : ""));
  gWrongValues += wrong ? 1 : 0;
}

std::string
Signed()
{
  return "COMPLETE sig." + std::to_string(++gSignatures) + "\r\n";
}

// Runs one statement with gMutex held through `aLock`; returns the answer
// without the closing line.
std::string
Run(backend& aBackend,
    backend_session& aSession,
    const std::string& aRequest,
    std::string aText,
    std::unique_lock<std::mutex>& aLock)
{
  std::istringstream words(aText);
  std::string verb;
  words >> verb;
  if (verb == "AFTERLSN") {
    std::string wanted;
    words >> wanted;
    std::uint64_t term = std::stoull(wanted);
    std::uint64_t number = std::stoull(wanted.substr(wanted.find('.') + 1));
    if (std::make_pair(aBackend.mTerm, std::uint64_t{ aBackend.mLog.size() }) <
        std::make_pair(term, number)) {
      return "ERROR LAGGING " + aBackend.mId + "\r\n";
    }
    aText = aText.substr(aText.find(wanted) + wanted.size() + 1);
    words >> verb;
  }
  std::string first;
  words >> first;
  std::string rest;
  std::getline(words >> std::ws, rest);
  if (verb == "STATUS" || verb == "PAUSE" || verb == "RESUME" ||
      verb == "STEPDOWN") {
    if (verb == "PAUSE" && !aBackend.mPrimary &&
        std::stoull(first) > aBackend.mTerm) {
      aBackend.mHeld = std::stoull(first);
    } else if (verb == "RESUME") {
      aBackend.mHeld = 0;
      for (auto& other : gBackends) {
        if (other->mPrimary) {
          Replicate(*other);
        }
      }
      gChanged.notify_all();
    } else if (verb == "STEPDOWN" && aBackend.mPrimary &&
               aBackend.mTerm < std::stoull(first)) {
      aBackend.mPrimary = false;
      Publish(aBackend);
    }
    return "DATAROW " + std::string(aBackend.mPrimary ? "primary" : "replica") +
           " " + std::to_string(aBackend.mTerm) + " " + aBackend.Position() +
           " " + std::to_string(aBackend.mHeld) + " 0 0 " +
           std::to_string(aBackend.mConnections) + "\r\nCOMPLETE -\r\n";
  }
  if (aBackend.mFailing > 0) {
    static std::mt19937 random(7);
    if (static_cast<int>(random() % 100) < aBackend.mFailing) {
      aSession.mFailed =
        aSession.mInTransaction && verb != "COMMIT" && verb != "ROLLBACK";
      if (verb == "COMMIT" || verb == "ROLLBACK") {
        aSession.mInTransaction = false;
        aSession.mWrites.clear();
      }
      Record("fail " + aRequest + " at " + aBackend.mId + ": " + aText);
      return "ERROR FAILED " + aBackend.mId + "\r\n";
    }
  }
  if (verb == "ROLLBACK" || verb == "DISCARD") {
    aSession.mInTransaction = false;
    aSession.mFailed = false;
    aSession.mWrites.clear();
    if (verb == "DISCARD") {
      aSession.mValues.clear();
      aSession.mPrepared.clear();
    }
    return "COMPLETE -\r\n";
  }
  if (aSession.mFailed) {
    if (verb == "COMMIT") {
      aSession.mInTransaction = false;
      aSession.mFailed = false;
      aSession.mWrites.clear();
      return "ERROR ABORTED " + aBackend.mId + "\r\n";
    }
    return "ERROR MALFORMED failed\r\n";
  }
  if (verb == "SET") {
    aSession.mValues[first] = rest;
    return "COMPLETE -\r\n";
  }
  if (verb == "PARSE") {
    aSession.mPrepared[first] = rest;
    return "COMPLETE -\r\n";
  }
  if (verb == "BEGIN") {
    aSession.mPlain = first.empty();
    if (aSession.mPlain && !aBackend.mPrimary) {
      return "ERROR READONLY " + aBackend.mId + "\r\n";
    }
    aSession.mInTransaction = true;
    aSession.mTerm = aBackend.mTerm;
    return "COMPLETE -\r\n";
  }
  const bool lostLead =
    aSession.mInTransaction && aSession.mPlain &&
    (!aBackend.mPrimary || aSession.mTerm != aBackend.mTerm);
  const bool emptyCommit = verb == "COMMIT" && aSession.mWrites.empty();
  if ((verb == "WRITE" && !aBackend.mPrimary) || (lostLead && !emptyCommit)) {
    aSession.mInTransaction = false;
    aSession.mWrites.clear();
    return "ERROR READONLY " + aBackend.mId + "\r\n";
  }
  if (verb == "READ") {
    CheckValues(aBackend, aSession, aRequest, aText);
    std::string row = "none";
    for (const auto& entry : aBackend.mLog) {
      row = entry.mItem == first ? entry.mData : row;
    }
    for (const auto& entry : aSession.mWrites) {
      row = entry.mItem == first ? entry.mData : row;
    }
    return "DATAROW " + row + "\r\n" + Signed();
  }
  if (verb == "WRITE") {
    CheckValues(aBackend, aSession, aRequest, aText);
    aSession.mWrites.push_back({ first, rest });
    if (aSession.mInTransaction) {
      return Signed();
    }
  } else if (verb != "COMMIT") {
    return "ERROR MALFORMED unknown\r\n";
  }
  aSession.mInTransaction = false;
  const auto writes = std::exchange(aSession.mWrites, {});
  if (!writes.empty()) {
    aBackend.mLog.insert(aBackend.mLog.end(), writes.begin(), writes.end());
    // Acknowledged once a replica has received it.
    if (!gChanged.wait_for(aLock, 5s, [&] {
          return gStopping || !aBackend.mPrimary || Replicate(aBackend) > 0;
        })) {
      return "ERROR TIMEOUT sync\r\n";
    }
  }
  return Signed();
}

void
ServeBackend(backend& aBackend, int aSocket)
{
  reader input(aSocket);
  const auto opening = input.Line();
  if (!opening) {
    return;
  }
  std::istringstream words(*opening);
  std::string startup;
  std::string service;
  std::string who;
  std::string id;
  words >> startup >> service >> who >> id;
  {
    std::unique_lock<std::mutex> lock(gMutex);
    if (service != kService || (!id.empty() && id != aBackend.mId)) {
      lock.unlock();
      SendAll(aSocket, "ERROR WRONGNODE " + aBackend.mId + "\r\n");
      return;
    }
    if (aBackend.mConnections >= kMaxConnections) {
      lock.unlock();
      SendAll(aSocket, "ERROR TOOMANYCON full\r\n");
      return;
    }
    ++aBackend.mConnections;
  }
  backend_session session;
  bool open = SendAll(aSocket, "READY I " + aBackend.Position() + "\r\n");
  while (open) {
    const auto line = input.Line();
    if (!line || line->rfind("QUERY ", 0) != 0) {
      break;
    }
    const auto blank = line->find(' ', 6);
    const std::string request = line->substr(6, blank - 6);
    const std::string text = line->substr(blank + 1);
    std::this_thread::sleep_for(2ms);
    std::unique_lock<std::mutex> lock(gMutex);
    std::string answer = Run(aBackend, session, request, text, lock);
    answer += std::string("READY ") +
              (session.mFailed          ? "E"
               : session.mInTransaction ? "T"
                                        : "I") +
              " " + aBackend.Position() + "\r\n";
    lock.unlock();
    open = SendAll(aSocket, answer);
  }
  const std::lock_guard<std::mutex> lock(gMutex);
  --aBackend.mConnections;
}

// -------------------------------------------------------------- promotion

struct promotion
{
  std::string mHolder;
  std::uint64_t mFence = 0;
};

acceptor gPromotion;
std::vector<promotion> gPromotions;

void
ServePromotion(int aSocket)
{
  reader input(aSocket);
  while (const auto call = ReadCall(input)) {
    const Json::Value body = Parse(call->mBody);
    const promotion order{ call->mHeaders.at("lease-holder"),
                           std::stoull(call->mHeaders.at("fencing-token")) };
    const std::string id = body["Id"].asString();
    {
      const std::lock_guard<std::mutex> lock(gMutex);
      Record("promote " + body["Service"].asString() + " " + id + " holder " +
             order.mHolder + " fence " + std::to_string(order.mFence));
      gPromotions.push_back(order);
      gChanged.notify_all();
    }
    std::thread([id] {
      std::this_thread::sleep_for(300ms);
      Promote(id);
    }).detach();
    if (!Answer(aSocket, 200, Json::objectValue)) {
      return;
    }
  }
}

// -------------------------------------------------------------- instances

struct instance
{
  std::string mName;
  pid_t mProcess = -1;
  int mCallers = 0;
  int mReady = 0;
};

std::vector<instance> gInstances;
std::string gFolder;

void
EndInstances()
{
  for (auto& ended : gInstances) {
    if (ended.mProcess > 0) {
      ::kill(ended.mProcess, SIGCONT);
      ::kill(ended.mProcess, SIGKILL);
      ::waitpid(ended.mProcess, nullptr, 0);
      ended.mProcess = -1;
    }
  }
  if (!gFolder.empty()) {
    for (const auto& ended : gInstances) {
      ::unlink((gFolder + "/" + ended.mName + ".json").c_str());
      ::unlink((gFolder + "/" + ended.mName + ".log").c_str());
    }
    ::rmdir(gFolder.c_str());
  }
}

[[noreturn]] void
End(int aCode)
{
  gStopping = true;
  gChanged.notify_all();
  EndInstances();
  // Kept locked: other threads go on until the process has ended.
  gWriting.lock();
  std::fflush(gRecord);
  std::fflush(stdout);
  std::_Exit(aCode);
}

void
Abandon(const std::string& aReason)
{
  Record("could not run: " + aReason);
  std::fprintf(stderr, "could not run: %s\n", aReason.c_str());
  End(2);
}

void
StartInstance(const std::string& aName, int aStorePort)
{
  instance started;
  started.mName = aName;
  started.mCallers = FreePort();
  started.mReady = FreePort();
  const auto address = [](int aPort) {
    return "\"127.0.0.1:" + std::to_string(aPort) + "\"";
  };
  const std::string path = gFolder + "/" + aName + ".json";
  std::FILE* file = std::fopen(path.c_str(), "w");
  std::fprintf(
    file,
    "{ \"instance\": \"%s\", \"data_centre\": \"dc1\",\n"
    "  \"caller_address\": %s, \"ready_address\": %s, \"peer_address\": %s,\n"
    "  \"metrics_address\": %s, \"store_address\": %s,\n"
    "  \"promotion_address\": %s, \"shutdown_grace_seconds\": 6 }\n",
    aName.c_str(),
    address(started.mCallers).c_str(),
    address(started.mReady).c_str(),
    address(FreePort()).c_str(),
    address(FreePort()).c_str(),
    address(aStorePort).c_str(),
    address(gPromotion.mPort).c_str());
  std::fclose(file);
  const std::string log = gFolder + "/" + aName + ".log";
  const pid_t child = ::fork();
  if (child == 0) {
    // No instance outlives this program.
    ::prctl(PR_SET_PDEATHSIG, SIGKILL);
    const int out = ::open(log.c_str(), O_CREAT | O_WRONLY | O_TRUNC, 0600);
    ::dup2(out, 1);
    ::dup2(out, 2);
    ::setenv("SNIPEWALK_BOOT", path.c_str(), 1);
    ::execl("target/snipewalk-sessions", "target/snipewalk-sessions", nullptr);
    ::_exit(127);
  }
  started.mProcess = child;
  gInstances.push_back(started);
}

bool
IsReady(const instance& aInstance)
{
  const int fd = ConnectTo(aInstance.mReady);
  if (fd < 0) {
    return false;
  }
  SendAll(fd, "GET /v1/readyz HTTP/1.1\r\nHost: ready\r\n\r\n");
  const auto line = reader(fd).Line();
  ::close(fd);
  return line && line->find(" 200") != std::string::npos;
}

void
StartDeployment(int aInstances)
{
  char folder[] = "/tmp/review-XXXXXX";
  gFolder = ::mkdtemp(folder);
  auto* store = new acceptor;
  store->Start(ServeStore);
  gPromotion.Start(ServePromotion);
  for (int i = 1; i <= 3; ++i) {
    auto started = std::make_unique<backend>();
    started->mId = "i-" + std::to_string(i);
    started->mPrimary = i == 1;
    backend* served = started.get();
    started->mListener.Start([served](int aFd) { ServeBackend(*served, aFd); });
    gBackends.push_back(std::move(started));
  }
  {
    const std::lock_guard<std::mutex> lock(gMutex);
    PutObject("config",
              "main",
              Parse(std::string(R"({"Version":3,"Routes":[{"Name":"r1",)") +
                    R"("DbName":")" + kDatabase + R"(","Kind":"primary",)" +
                    R"("TimeoutMs":800,"TargetLatencyMs":150,"Priority":1,)" +
                    R"("Service":")" + kService +
                    R"("}],"Services":[{"Name":")" + kService +
                    R"(","SyncReplicas":1,"MaxConns":)" +
                    std::to_string(kMaxConnections) +
                    R"(}],"Limits":{"TxIdleMs":3000}})"));
    for (const auto& started : gBackends) {
      Publish(*started);
    }
  }
  for (int i = 1; i <= aInstances; ++i) {
    StartInstance("front-" + std::to_string(i), store->mPort);
  }
  const auto limit = clock_type::now() + 20s;
  for (const auto& started : gInstances) {
    while (!IsReady(started)) {
      if (clock_type::now() > limit) {
        Abandon("an instance isn't ready");
      }
      std::this_thread::sleep_for(50ms);
    }
  }
  std::this_thread::sleep_for(3s);
}

// ---------------------------------------------------------------- clients

std::atomic<std::uint64_t> gRequests{ 0 };
std::atomic<int> gSucceeded{ 0 };

struct client_answer
{
  bool mWhole = false;
  std::string mError;
  std::string mState;
};

client_answer
ReadAnswer(reader& aReader)
{
  client_answer answer;
  while (const auto line = aReader.Line()) {
    if (line->rfind("ERROR ", 0) == 0) {
      answer.mError = line->substr(6, line->find(' ', 6) - 6);
    } else if (line->rfind("READY ", 0) == 0) {
      answer.mState = line->substr(6, 1);
      answer.mWhole = true;
      return answer;
    }
  }
  return answer;
}

client_answer
Ask(int aSocket,
    reader& aReader,
    const std::string& aText,
    const values_map& aValues)
{
  char id[24];
  std::snprintf(id,
                sizeof(id),
                "%016llx",
                static_cast<unsigned long long>(0xa000000000 + ++gRequests));
  {
    const std::lock_guard<std::mutex> lock(gMutex);
    gExpectedValues[id] = aValues;
  }
  Record(std::string("send ") + id + ": " + aText);
  if (!SendAll(aSocket, std::string("QUERY ") + id + " " + aText + "\r\n")) {
    return {};
  }
  const client_answer answer = ReadAnswer(aReader);
  Record(std::string("answer ") + id + ": " +
         (!answer.mWhole          ? "none"
          : answer.mError.empty() ? "done"
                                  : answer.mError));
  gSucceeded += answer.mWhole && answer.mError.empty() ? 1 : 0;
  return answer;
}

// One session: it sets its own value, then reads, and writes in transactions.
void
RunSession(const instance& aInstance, int aNumber)
{
  const int fd = ConnectTo(aInstance.mCallers);
  if (fd < 0) {
    return;
  }
  const timeval limit{ 3, 0 };
  ::setsockopt(fd, SOL_SOCKET, SO_RCVTIMEO, &limit, sizeof(limit));
  reader input(fd);
  SendAll(fd,
          std::string("STARTUP ") + kDatabase + " c" + std::to_string(aNumber) +
            "\r\n");
  bool open = ReadAnswer(input).mWhole;
  values_map values;
  const std::string name = "tenant";
  const std::string own = "t" + std::to_string(aNumber);
  if (open &&
      Ask(fd, input, "SET " + name + " " + own, values).mError.empty()) {
    values[name] = own;
  } else {
    open = false;
  }
  std::mt19937 random(static_cast<unsigned>(aNumber));
  while (open && !gStopping) {
    const std::string item = "k" + std::to_string(random() % 20);
    if (random() % 4 != 0) {
      open = Ask(fd, input, "READ " + item, values).mWhole;
    } else {
      bool good = true;
      for (const std::string& text :
           { std::string("BEGIN"),
             "READ " + item,
             "WRITE " + item + " " + own + "." + std::to_string(random()) }) {
        if (good && open) {
          const auto answer = Ask(fd, input, text, values);
          open = answer.mWhole;
          good = answer.mError.empty();
        }
      }
      open =
        open && Ask(fd, input, good ? "COMMIT" : "ROLLBACK", values).mWhole;
    }
    std::this_thread::sleep_for(std::chrono::milliseconds(5 + random() % 30));
  }
  ::close(fd);
}

void
StartClients(int aPerInstance)
{
  for (std::size_t i = 0; i < gInstances.size() * aPerInstance; ++i) {
    std::thread([i] {
      const instance& used = gInstances[i % gInstances.size()];
      while (!gStopping) {
        RunSession(used, static_cast<int>(i));
        std::this_thread::sleep_for(100ms);
      }
    }).detach();
  }
}

// ------------------------------------------------------------------ cases

// A backend fails part of its requests for some seconds. Rule PINNED: no
// statement runs where the session values differ from its client's.
int
RunValues(bool aTrouble)
{
  StartDeployment(3);
  StartClients(14);
  std::this_thread::sleep_for(3s);
  if (aTrouble) {
    Record("trouble: the primary fails 45 of 100 requests for 6 s");
    gBackends.front()->mFailing = 45;
  }
  std::this_thread::sleep_for(6s);
  gBackends.front()->mFailing = 0;
  Record("trouble ends");
  std::this_thread::sleep_for(2s);
  const std::lock_guard<std::mutex> lock(gMutex);
  std::printf("%d statements succeeded at clients, %d ran, %d of them with "
              "other session values than their client's\n",
              gSucceeded.load(),
              gRunStatements,
              gWrongValues);
  if (gSucceeded < 200) {
    return 2;
  }
  return gWrongValues > 0 ? 1 : 0;
}

// The process that has a connection to the port that isn't established yet.
instance*
FindConnecting(int aPort)
{
  std::FILE* table = std::fopen("/proc/net/tcp", "r");
  char line[512];
  std::set<std::string> sockets;
  while (table != nullptr && std::fgets(line, sizeof(line), table) != nullptr) {
    unsigned local = 0;
    unsigned remote = 0;
    unsigned state = 0;
    unsigned long inode = 0;
    const int read =
      std::sscanf(line,
                  " %*d: %*x:%x %*x:%x %x %*x:%*x %*x:%*x %*x %*d %*d %lu",
                  &local,
                  &remote,
                  &state,
                  &inode);
    if (read == 4 && remote == static_cast<unsigned>(aPort) && state == 2) {
      sockets.insert("socket:[" + std::to_string(inode) + "]");
    }
  }
  if (table != nullptr) {
    std::fclose(table);
  }
  for (auto& candidate : gInstances) {
    const std::string folder =
      "/proc/" + std::to_string(candidate.mProcess) + "/fd";
    DIR* entries = sockets.empty() ? nullptr : ::opendir(folder.c_str());
    bool found = false;
    for (dirent* entry = nullptr;
         entries != nullptr && (entry = ::readdir(entries)) != nullptr;) {
      char target[64] = {};
      const std::string path = folder + "/" + entry->d_name;
      if (::readlink(path.c_str(), target, sizeof(target) - 1) > 0) {
        found = found || sockets.count(target) != 0;
      }
    }
    if (entries != nullptr) {
      ::closedir(entries);
    }
    if (found) {
      return &candidate;
    }
  }
  return nullptr;
}

bool
FenceFell()
{
  std::uint64_t seen = 0;
  for (const auto& order : gPromotions) {
    if (order.mFence < seen) {
      return true;
    }
    seen = std::max(seen, order.mFence);
  }
  return false;
}

// A primary is to be replaced while the platform takes no new connection of the
// promotion call for a moment, and the duty's holder freezes. Rule ONE: no
// order with a lower fence than the platform has seen.
int
RunFence(bool aTrouble)
{
  constexpr auto kFreeze = 4200ms;
  StartDeployment(4);
  StartClients(2);
  std::this_thread::sleep_for(4s);
  std::vector<int> fillers;
  if (aTrouble) {
    Record("trouble: the promotion call takes no connection");
    gPromotion.mPaused = true;
    std::this_thread::sleep_for(100ms);
    ::listen(gPromotion.mSocket, 0);
    for (int i = 0; i < 3; ++i) {
      fillers.push_back(ConnectTo(gPromotion.mPort, false));
    }
    std::this_thread::sleep_for(100ms);
  }
  {
    const std::lock_guard<std::mutex> lock(gMutex);
    gBackends.front()->mDraining = true;
    Publish(*gBackends.front());
    Record("backend i-1 is leaving");
  }
  if (aTrouble) {
    instance* holder = nullptr;
    for (int i = 0; i < 2000 && holder == nullptr; ++i) {
      holder = FindConnecting(gPromotion.mPort);
      std::this_thread::sleep_for(2ms);
    }
    if (holder == nullptr) {
      Abandon("no order was seen on its way");
    }
    ::kill(holder->mProcess, SIGSTOP);
    const auto frozen = clock_type::now();
    Record("trouble: " + holder->mName + " freezes");
    for (const int filler : fillers) {
      ::close(filler);
    }
    ::listen(gPromotion.mSocket, 128);
    gPromotion.mPaused = false;
    Record("the promotion call takes connections again");
    {
      std::unique_lock<std::mutex> lock(gMutex);
      gChanged.wait_until(
        lock, frozen + kFreeze, [] { return !gPromotions.empty(); });
    }
    std::this_thread::sleep_for(50ms);
    const auto length = std::chrono::duration_cast<std::chrono::milliseconds>(
      clock_type::now() - frozen);
    ::kill(holder->mProcess, SIGCONT);
    Record(holder->mName + " wakes after " + std::to_string(length.count()) +
           " ms");
  }
  std::this_thread::sleep_for(5s);
  const std::lock_guard<std::mutex> lock(gMutex);
  std::printf("%zu orders:", gPromotions.size());
  for (const auto& order : gPromotions) {
    std::printf(" %s/%llu",
                order.mHolder.c_str(),
                static_cast<unsigned long long>(order.mFence));
  }
  std::printf("\n");
  if (gPromotions.empty()) {
    return 2;
  }
  return FenceFell() ? 1 : 0;
}

// An entry without one of its fields stands in the store, and the primary is to
// be replaced. Rule DRAIN: no statement reaches a backend later than DrainMs
// after the store has acknowledged that it leaves.
int
RunEntry(bool aTrouble)
{
  constexpr double kDrainSeconds = 7.0;
  StartDeployment(3);
  StartClients(3);
  std::this_thread::sleep_for(2s);
  int silent = 0;
  ListenOnLoopback(silent);
  double left = 0;
  {
    const std::lock_guard<std::mutex> lock(gMutex);
    if (aTrouble) {
      Json::Value entry;
      entry["Service"] = kService;
      entry["Address"] = "127.0.0.1:" + std::to_string(silent);
      entry["Zone"] = "dc1";
      entry["Phase"] = "ready";
      entry["DbRole"] = "replica";
      PutObject("servers", "i-odd", entry);
      Record("trouble: an entry without Slots, Version, Seq, ColdRemainingMs");
    }
    gBackends.front()->mDraining = true;
    Publish(*gBackends.front());
    left = Elapsed();
    Record("backend i-1 is leaving");
  }
  std::this_thread::sleep_for(10s);
  const std::lock_guard<std::mutex> lock(gMutex);
  const double late = gLastRun["i-1"] - left;
  std::printf("%zu orders; last statement at the leaving backend %.1f s after "
              "its report\n",
              gPromotions.size(),
              late);
  return late > kDrainSeconds ? 1 : 0;
}

} // namespace

int
main(int argc, char** argv)
{
  ::signal(SIGPIPE, SIG_IGN);
  gRecord = std::fopen(argc > 2 ? argv[2] : "/dev/null", "w");
  if (argc < 3 || gRecord == nullptr) {
    std::fprintf(stderr, "usage: standin values|fence|entry RECORD\n");
    return 2;
  }
  std::thread([] {
    std::this_thread::sleep_for(100s);
    Abandon("it took too long");
  }).detach();
  const char* set = std::getenv("TROUBLE");
  const bool trouble = set == nullptr || std::strcmp(set, "0") != 0;
  const std::string name = argv[1];
  const int code = name == "values"  ? RunValues(trouble)
                   : name == "fence" ? RunFence(trouble)
                   : name == "entry" ? RunEntry(trouble)
                                     : 2;
  Record("result " + std::to_string(code));
  End(code);
}
