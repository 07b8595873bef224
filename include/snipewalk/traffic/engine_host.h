// Connects one service_engine with the event loop: timers, connections to
// backend servers and the routes that responses take back.
#ifndef SNIPEWALK_TRAFFIC_ENGINE_HOST_H_
#define SNIPEWALK_TRAFFIC_ENGINE_HOST_H_

#include "snipewalk/base/time.h"
#include "snipewalk/connection/address_translation.h"
#include "snipewalk/connection/event_loop.h"
#include "snipewalk/request/forwarder.h"
#include "snipewalk/request/service_engine.h"

#include <deque>
#include <functional>
#include <memory>
#include <string>
#include <unordered_map>
#include <vector>

namespace snipewalk {

class backend_connection;

// Takes the response of one request; called exactly once.
using responder = std::function<void(statement_response, time_point)>;

// Loop thread only.
class engine_host
{
public:
  using evidence_handler = std::function<void(const report_evidence&)>;

  engine_host(event_loop& aLoop,
              std::string aService,
              const engine_options& aOptions,
              const address_translation& aTranslation,
              evidence_handler aOnEvidence);
  ~engine_host();
  engine_host(const engine_host&) = delete;
  engine_host& operator=(const engine_host&) = delete;

  void Handle(engine_event aEvent);

  // A request whose id is in flight already is refused as not run.
  void Submit(forwarded_request aRequest, const responder& aRespond);

  // Sets the loop's timer for the engine. Called after each round.
  void ArmTimer();

  engine_status Status() const { return mEngine.Status(); }
  std::string Explain(const statement_request& aRequest) const;
  std::size_t InFlight() const { return mResponders.size(); }
  std::size_t Connections() const { return mConnections.size(); }

private:
  void Apply(engine_action& aAction);
  void Open(const open_connection& aAction);
  void CloseConnection(connection_id aConnection);
  void AwaitEnd(connection_id aConnection);
  void Send(const send_request& aAction);
  void Answer(statement_response aResponse);
  void OnClosed(connection_id aConnection, bool aRefused);
  // Destroys a connection once its callbacks have returned.
  void Discard(std::shared_ptr<backend_connection> aConnection);

  event_loop& mLoop;
  std::string mService;
  service_engine mEngine;
  const address_translation& mTranslation;
  evidence_handler mOnEvidence;
  std::unordered_map<connection_id, std::shared_ptr<backend_connection>>
    mConnections;
  // Closed on this side; the server has not closed them yet.
  std::unordered_map<connection_id, std::shared_ptr<backend_connection>>
    mEnding;
  // Routes of the requests in flight, by request id.
  std::unordered_map<std::string, responder> mResponders;
  // Events that arose while the engine handled another one.
  std::deque<engine_event> mEvents;
  bool mHandling = false;
  std::vector<engine_action> mActions;
  event_loop::timer_id mTimer = 0;
  time_point mTimerDue;
};

} // namespace snipewalk

#endif // SNIPEWALK_TRAFFIC_ENGINE_HOST_H_
