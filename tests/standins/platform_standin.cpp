// Implementation of the stand-in of the users' platform.
#include "standins/platform_standin.h"

#include "snipewalk/base/json_text.h"

#include <absl/strings/str_cat.h>
#include <absl/strings/str_split.h>

#include <algorithm>
#include <future>

namespace snipewalk::standins {

namespace {

// From the order of a promotion until the server leads.
constexpr milliseconds kPromotionTime{ 100 };

http_response
JsonResponse(int aStatus, const Json::Value& aBody)
{
  http_response response;
  response.mStatus = aStatus;
  response.mHeaders.Add("Content-Type", "application/json");
  response.mBody = WriteJson(aBody);
  return response;
}

Json::Value
DesiredState()
{
  const char* const text =
    R"({"Version":3,"Routes":[)"
    R"({"Name":"a","DbName":"main","Kind":"primary","TimeoutMs":3000,)"
    R"("TargetLatencyMs":150,"Priority":1,"Service":"ledger"},)"
    R"({"Name":"b","DbName":"own","Kind":"read_your_writes","TimeoutMs":3000,)"
    R"("Priority":2,"Service":"ledger","MaxStalenessMs":2500}],)"
    R"("Services":[{"Name":"ledger","MaxConns":20,"SyncReplicas":1}],)"
    R"("Limits":{"TxIdleMs":3000}})";
  return *ParseJsonObject(text);
}

} // namespace

platform_standin::platform_standin(int aServers)
  : mHttp(mLoop,
          { [this](connection_number aConnection,
                   const http_request& aRequest,
                   time_point) { OnStoreCall(aConnection, aRequest); },
            [this](connection_number aConnection) {
              std::erase_if(mWatches, [&](const waiting_watch& aWatch) {
                return aWatch.mConnection == aConnection;
              });
            },
            {} })
{
  mHttpPort = mHttp.Listen(0);
  Write("config", "main", DesiredState());
  for (int i = 1; i <= aServers; ++i) {
    StartServer(i);
  }
  mThread = std::thread([this] { mLoop.Run(); });
}

platform_standin::~platform_standin()
{
  mLoop.Stop();
  mThread.join();
}

std::string
platform_standin::StoreAddress() const
{
  return absl::StrCat("127.0.0.1:", mHttpPort);
}

void
platform_standin::Run(const std::function<void()>& aTask)
{
  std::promise<void> done;
  mLoop.Post([&] {
    aTask();
    done.set_value();
  });
  done.get_future().wait();
}

void
platform_standin::StartServer(int aNumber)
{
  auto started = std::make_unique<server>();
  started->mId = absl::StrCat("s", aNumber);
  started->mPrimary = aNumber == 1;
  server& self = *started;
  auto opened =
    listener::Open(mLoop,
                   "127.0.0.1:0",
                   [this, &self](const Poco::Net::StreamSocket& aSocket,
                                 time_point) { Accept(self, aSocket); });
  started->mListener = *std::move(opened);
  started->mAddress = started->mListener->Address();
  mServers[started->mId] = std::move(started);
  PublishServer(self);
}

void
platform_standin::PublishServer(const server& aServer)
{
  Json::Value entry;
  entry["Service"] = kService;
  entry["Address"] = aServer.mAddress;
  entry["Zone"] = "dc1";
  entry["Phase"] = aServer.mDraining ? "draining" : "ready";
  entry["DbRole"] = aServer.mPrimary ? "primary" : "replica";
  entry["born"] = Json::UInt64{ 1'700'000'000'000 };
  Write("servers", aServer.mId, entry);
}

void
platform_standin::Accept(server& aServer,
                         const Poco::Net::StreamSocket& aSocket)
{
  const auto accepted = std::make_shared<connection>();
  aServer.mConnections.push_back(accepted);
  connection& self = *accepted;
  accepted->mStream = stream_connection::Adopt(
    mLoop,
    aSocket,
    { {},
      [this, &aServer, &self](std::string& aInput, time_point) {
        std::size_t end = 0;
        while ((end = aInput.find("\r\n")) != std::string::npos) {
          const std::string line = aInput.substr(0, end);
          aInput.erase(0, end + 2);
          OnLine(aServer, self, line);
        }
      },
      {} });
}

std::string
platform_standin::Position(const server& aServer) const
{
  return absl::StrCat(aServer.mTerm, ".", aServer.mNumber);
}

std::string
platform_standin::ControlRow(const server& aServer) const
{
  return absl::StrCat("DATAROW ",
                      aServer.mPrimary ? "primary" : "replica",
                      " ",
                      aServer.mTerm,
                      " ",
                      Position(aServer),
                      " ",
                      aServer.mHeld,
                      " 0 0 1\r\nCOMPLETE -\r\n");
}

void
platform_standin::OnLine(server& aServer,
                         connection& aConnection,
                         const std::string& aLine)
{
  if (!aServer.mAlive) {
    return;
  }
  if (!aConnection.mOpen) {
    aConnection.mOpen = true;
    aConnection.mStream->Send(
      absl::StrCat("READY I ", Position(aServer), "\r\n"));
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
  aConnection.mStream->Send(absl::StrCat(answer,
                                         "READY ",
                                         aConnection.mInTransaction ? "T" : "I",
                                         " ",
                                         Position(aServer),
                                         "\r\n"));
}

std::string
platform_standin::Execute(server& aServer,
                          connection& aConnection,
                          const std::string& aText)
{
  std::string refused = "ERROR READONLY " + aServer.mId + "\r\n";
  std::string signature =
    absl::StrCat("COMPLETE ", aServer.mId, ".", aServer.mNumber, "\r\n");
  std::vector<std::string> words = absl::StrSplit(aText, ' ');
  if (words[0] == "AFTERLSN") {
    const std::vector<std::string> position = absl::StrSplit(words[1], '.');
    const auto asked =
      std::make_pair(std::stoull(position[0]), std::stoull(position[1]));
    if (std::make_pair<unsigned long long, unsigned long long>(
          aServer.mTerm, aServer.mNumber) < asked) {
      return "ERROR LAGGING " + aServer.mId + "\r\n";
    }
    words.erase(words.begin(), words.begin() + 2);
  }
  const std::string& verb = words[0];
  if (verb == "STATUS") {
    return ControlRow(aServer);
  }
  if (verb == "PAUSE") {
    aServer.mHeld = std::stoull(words[1]);
    return ControlRow(aServer);
  }
  if (verb == "RESUME") {
    aServer.mHeld = 0;
    return ControlRow(aServer);
  }
  if (verb == "STEPDOWN") {
    aServer.mPrimary =
      aServer.mPrimary && aServer.mTerm >= std::stoull(words[1]);
    PublishServer(aServer);
    return ControlRow(aServer);
  }
  if (verb == "BEGIN") {
    if (words.size() == 1 && !aServer.mPrimary) {
      return refused;
    }
    aConnection.mInTransaction = true;
    return "COMPLETE -\r\n";
  }
  if (verb == "ROLLBACK" || verb == "DISCARD") {
    aConnection.mInTransaction = false;
    aConnection.mWrites.clear();
    return "COMPLETE -\r\n";
  }
  if (verb == "READ") {
    const auto own = aConnection.mWrites.find(words[1]);
    const auto held = aServer.mItems.find(words[1]);
    const std::string value = own != aConnection.mWrites.end() ? own->second
                              : held != aServer.mItems.end()   ? held->second
                                                               : "none";
    return absl::StrCat("DATAROW ", value, "\r\n", signature);
  }
  if (verb == "WRITE" || verb == "COMMIT") {
    if (!aServer.mPrimary) {
      aConnection.mInTransaction = false;
      aConnection.mWrites.clear();
      return refused;
    }
    if (verb == "WRITE") {
      aConnection.mWrites[words[1]] = words[2];
      if (aConnection.mInTransaction) {
        return signature;
      }
    }
    const auto writes = std::exchange(aConnection.mWrites, {});
    aConnection.mInTransaction = false;
    return Commit(aServer, writes) ? signature : "ERROR TIMEOUT sync\r\n";
  }
  // SET, PARSE and CLOSE.
  return "COMPLETE -\r\n";
}

bool
platform_standin::Commit(server& aServer,
                         const std::map<std::string, std::string>& aWrites)
{
  ++aServer.mNumber;
  for (const auto& [item, value] : aWrites) {
    aServer.mItems[item] = value;
  }
  bool received = false;
  for (const auto& [id, other] : mServers) {
    if (id != aServer.mId && other->mAlive && other->mHeld <= aServer.mTerm) {
      other->mTerm = aServer.mTerm;
      other->mNumber = aServer.mNumber;
      other->mItems = aServer.mItems;
      received = true;
    }
  }
  return received;
}

void
platform_standin::Promote(const std::string& aServer)
{
  ++mPromotions;
  server& next = *mServers.at(aServer);
  std::uint64_t term = 0;
  for (const auto& [id, other] : mServers) {
    term = std::max({ term, other->mTerm, other->mHeld });
  }
  next.mTerm = std::max(term, next.mTerm + 1);
  next.mHeld = 0;
  next.mPrimary = true;
  PublishServer(next);
}

void
platform_standin::Write(const std::string& aKind,
                        const std::string& aName,
                        const Json::Value& aSpec)
{
  mObjects[aKind][aName] = { ++mRevision, aSpec };
  AnswerWatches();
}

Json::Value
platform_standin::ObjectJson(const std::string& aName,
                             const stored& aObject) const
{
  Json::Value object;
  object["meta"]["Name"] = aName;
  object["meta"]["Revision"] = Json::UInt64{ aObject.mRevision };
  object["spec"] = aObject.mSpec;
  return object;
}

void
platform_standin::AnswerWatches()
{
  for (auto it = mWatches.begin(); it != mWatches.end();) {
    Json::Value body;
    body["events"] = Json::arrayValue;
    body["At"] = Json::UInt64{ mRevision };
    for (const auto& [name, object] : mObjects[it->mKind]) {
      if (object.mRevision > it->mFrom) {
        Json::Value event;
        event["Deleted"] = false;
        event["Object"] = ObjectJson(name, object);
        body["events"].append(event);
      }
    }
    if (body["events"].empty()) {
      ++it;
      continue;
    }
    mHttp.Answer(it->mConnection, JsonResponse(200, body));
    it = mWatches.erase(it);
  }
}

void
platform_standin::OnStoreCall(connection_number aConnection,
                              const http_request& aRequest)
{
  const auto path = SplitPath(aRequest.mTarget);
  if (path.ok() && path->size() == 1 && path->front() == "promote") {
    const std::string id = (*ParseJsonObject(aRequest.mBody))["Id"].asString();
    const bool runs = mServers.contains(id) && mServers.at(id)->mAlive;
    if (runs && !mServers.at(id)->mPrimary) {
      mLoop.RunAt(mLoop.Now() + kPromotionTime,
                  [this, id](time_point) { Promote(id); });
    }
    mHttp.Answer(aConnection,
                 JsonResponse(runs ? 200 : 409, Json::objectValue));
    return;
  }
  if (mStoreDown || !path.ok() || path->size() < 3) {
    mHttp.Answer(aConnection, JsonResponse(503, Json::objectValue));
    return;
  }
  const std::string& kind = (*path)[2];
  if (aRequest.mMethod == "GET") {
    const auto from = QueryValue(aRequest.mTarget, "Watch");
    if (from) {
      mWatches.push_back({ aConnection, kind, std::stoull(*from) });
      AnswerWatches();
      return;
    }
    Json::Value body;
    body["items"] = Json::arrayValue;
    body["More"] = false;
    body["At"] = Json::UInt64{ mRevision };
    for (const auto& [name, object] : mObjects[kind]) {
      body["items"].append(ObjectJson(name, object));
    }
    mHttp.Answer(aConnection, JsonResponse(200, body));
    return;
  }
  const Json::Value body = *ParseJsonObject(aRequest.mBody);
  const std::string name = body["meta"]["Name"].asString();
  const auto held = mObjects[kind].find(name);
  const std::uint64_t revision =
    held == mObjects[kind].end() ? 0 : held->second.mRevision;
  const std::uint64_t expected =
    aRequest.mMethod == "POST" ? 0 : body["meta"]["Revision"].asUInt64();
  const bool done = revision == expected;
  if (done) {
    Write(kind, name, body["spec"]);
  }
  mHttp.Answer(
    aConnection,
    JsonResponse(done ? 200 : 409, ObjectJson(name, mObjects[kind][name])));
}

void
platform_standin::Crash(const std::string& aServer)
{
  Run([&] {
    server& crashed = *mServers.at(aServer);
    crashed.mAlive = false;
    crashed.mPrimary = false;
    crashed.mListener->Close(mLoop.Now());
    for (const auto& open : crashed.mConnections) {
      open->mStream->Close();
    }
  });
}

void
platform_standin::Drain(const std::string& aServer)
{
  Run([&] {
    mServers.at(aServer)->mDraining = true;
    PublishServer(*mServers.at(aServer));
  });
}

void
platform_standin::SetStoreDown(bool aDown)
{
  Run([&] { mStoreDown = aDown; });
}

std::string
platform_standin::Primary()
{
  std::string primary;
  Run([&] {
    for (const auto& [id, one] : mServers) {
      if (one->mPrimary && one->mAlive) {
        primary = id;
      }
    }
  });
  return primary;
}

int
platform_standin::Promotions()
{
  int promotions = 0;
  Run([&] { promotions = mPromotions; });
  return promotions;
}

std::map<std::string, std::string>
platform_standin::Items()
{
  const std::string primary = Primary();
  std::map<std::string, std::string> items;
  Run([&] {
    if (!primary.empty()) {
      items = mServers.at(primary)->mItems;
    }
  });
  return items;
}

} // namespace snipewalk::standins
