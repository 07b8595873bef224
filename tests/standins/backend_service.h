// HTTP adapter of the stand-in backend server: connections and their limit,
// the control endpoint under /standin/, and replication.
#ifndef SNIPEWALK_STANDINS_BACKEND_SERVICE_H_
#define SNIPEWALK_STANDINS_BACKEND_SERVICE_H_

#include "standins/backend_replicator.h"
#include "standins/backend_server.h"
#include "standins/http_service.h"

#include <deque>
#include <string>
#include <unordered_map>

namespace snipewalk::standins {

struct backend_options
{
  std::string mName = "server";
  std::uint16_t mPort = 0;
  // Connections of callers beyond this are closed; replication and /standin/
  // requests do not count.
  std::size_t mMaxConnections = 20;
  milliseconds mSetUpDelay{ 10 };
  // A caller's connection from which nothing was received for this long is
  // dropped; zero: never. Stands for the TCP keep-alive or the idle limit of a
  // real server: a fault proxy in between would acknowledge keep-alive probes.
  milliseconds mKeepAlive{ 0 };
};

class backend_service
{
public:
  backend_service(event_loop& aLoop, const backend_options& aOptions);

  std::uint16_t Port() const { return mPort; }
  standin_server& Server() { return mServer; }

private:
  // A connection counts once its first request shows that it is a caller's, or
  // when it sent nothing for kClassifyAfter.
  enum class connection_class
  {
    New,
    Counted,
    Internal
  };
  struct open_request
  {
    connection_number mConnection = 0;
    // Empty for a pull.
    std::optional<backend_request> mRequest;
  };

  void OnOpened(connection_number aConnection);
  void OnClosed(connection_number aConnection);
  void OnRequest(connection_number aConnection,
                 http_request aRequest,
                 time_point aNow);
  // Returns false when the connection was closed because of the limit.
  bool Count(connection_number aConnection);
  void ServeCaller(connection_number aConnection,
                   const http_request& aRequest,
                   time_point aNow);
  void ServePull(connection_number aConnection,
                 const http_request& aRequest,
                 time_point aNow);
  void ServeControl(connection_number aConnection,
                    const http_request& aRequest);
  // Drops the connections of vanished callers, again and again.
  void DropVanished();
  http_response Stats() const;
  http_response LogPage(const std::string& aTarget) const;
  http_response SetFaults(const std::string& aBody);
  // Delivers the actions of a round of events and sets the timer.
  void AfterRound(time_point aNow);
  void Deliver(const server_action& aAction);

  event_loop& mLoop;
  backend_options mOptions;
  standin_server mServer;
  http_service mHttp;
  backend_replicator mReplicator;
  std::uint16_t mPort = 0;
  std::unordered_map<connection_number, connection_class> mClasses;
  // When something was received last.
  std::unordered_map<connection_number, time_point> mHeardAt;
  std::unordered_map<request_ticket, open_request> mOpen;
  request_ticket mNextTicket = 1;
  event_loop::timer_id mTimer = 0;
  std::optional<time_point> mTimerDue;
  // The server changed in this round of events.
  bool mChanged = false;
  // While paused nothing but /standin/ control requests is served.
  bool mPaused = false;
  std::deque<std::pair<connection_number, http_request>> mHeld;
  std::size_t mCounted = 0;
  std::size_t mMaxSeen = 0;
  std::uint64_t mRefused = 0;
};

} // namespace snipewalk::standins

#endif // SNIPEWALK_STANDINS_BACKEND_SERVICE_H_
