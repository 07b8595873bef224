// Stand-in of the users' platform in one thread: the object store and the
// promotion call over HTTP, and the backend servers of one service, which speak
// the line protocol. Replicas receive commits at once unless they are paused or
// stopped.
#ifndef SNIPEWALK_STANDINS_PLATFORM_STANDIN_H_
#define SNIPEWALK_STANDINS_PLATFORM_STANDIN_H_

#include "snipewalk/connection/event_loop.h"
#include "snipewalk/connection/listener.h"
#include "snipewalk/connection/stream_connection.h"
#include "standins/http_service.h"

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <thread>
#include <vector>

#include <json/json.h>

namespace snipewalk::standins {

class platform_standin
{
public:
  static constexpr const char* kService = "ledger";

  // Starts servers "s1" (the primary) to "s<n>", and the desired state with the
  // databases "main" (primary) and "own" (read your writes).
  explicit platform_standin(int aServers);
  ~platform_standin();
  platform_standin(const platform_standin&) = delete;
  platform_standin& operator=(const platform_standin&) = delete;

  std::string StoreAddress() const;

  // Any thread; each waits until it is done.

  // Ends a server without a word: its connections are reset.
  void Crash(const std::string& aServer);
  // A server reports that it leaves soon.
  void Drain(const std::string& aServer);
  // The store refuses all calls.
  void SetStoreDown(bool aDown);
  // Server that leads, or empty.
  std::string Primary();
  // Promotions ordered so far.
  int Promotions();
  // Items with their values on the leading server.
  std::map<std::string, std::string> Items();

private:
  struct connection;

  struct server
  {
    std::string mId;
    std::unique_ptr<listener> mListener;
    std::string mAddress;
    bool mAlive = true;
    bool mPrimary = false;
    bool mDraining = false;
    std::uint64_t mTerm = 1;
    // Term of a pause; zero while the server receives.
    std::uint64_t mHeld = 0;
    std::uint64_t mNumber = 0;
    std::map<std::string, std::string> mItems;
    std::vector<std::shared_ptr<connection>> mConnections;
  };

  struct connection
  {
    std::unique_ptr<stream_connection> mStream;
    bool mOpen = false;
    bool mInTransaction = false;
    std::map<std::string, std::string> mWrites;
    std::map<std::string, std::string> mPrepared;
  };

  struct stored
  {
    std::uint64_t mRevision = 0;
    Json::Value mSpec;
  };

  struct waiting_watch
  {
    connection_number mConnection = 0;
    std::string mKind;
    std::uint64_t mFrom = 0;
  };

  void Run(const std::function<void()>& aTask);
  void StartServer(int aNumber);
  void Accept(server& aServer, const Poco::Net::StreamSocket& aSocket);
  void OnLine(server& aServer,
              connection& aConnection,
              const std::string& aLine);
  std::string Execute(server& aServer,
                      connection& aConnection,
                      const std::string& aText);
  std::string ControlRow(const server& aServer) const;
  std::string Position(const server& aServer) const;
  // False when no replica could receive the commit.
  bool Commit(server& aServer,
              const std::map<std::string, std::string>& aWrites);
  void PublishServer(const server& aServer);
  void Write(const std::string& aKind,
             const std::string& aName,
             const Json::Value& aSpec);
  void OnStoreCall(connection_number aConnection, const http_request& aRequest);
  void AnswerWatches();
  Json::Value ObjectJson(const std::string& aName, const stored& aObject) const;
  void Promote(const std::string& aServer);

  event_loop mLoop;
  http_service mHttp;
  std::uint16_t mHttpPort = 0;
  std::map<std::string, std::unique_ptr<server>> mServers;
  std::map<std::string, std::map<std::string, stored>> mObjects;
  std::uint64_t mRevision = 1;
  std::vector<waiting_watch> mWatches;
  bool mStoreDown = false;
  int mPromotions = 0;
  std::thread mThread;
};

} // namespace snipewalk::standins

#endif // SNIPEWALK_STANDINS_PLATFORM_STANDIN_H_
