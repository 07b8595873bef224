// HTTP adapter of the stand-in for the platform's store (docs/protocols.md).
// Serves /standin/ also on a control port, which works during outages.
#ifndef SNIPEWALK_STANDINS_STORE_SERVICE_H_
#define SNIPEWALK_STANDINS_STORE_SERVICE_H_

#include "snipewalk/base/name_table.h"
#include "standins/http_service.h"
#include "standins/store_state.h"

#include <string>
#include <unordered_map>

namespace snipewalk::standins {

enum class store_outage
{
  None,
  // Connections are refused.
  Refuse,
  // Requests get no answer.
  Hang,
  // Requests are answered with 503.
  Unavailable
};

inline constexpr name_table<store_outage, 4> kStoreOutageNames{ {
  { store_outage::None, "none" },
  { store_outage::Refuse, "refuse" },
  { store_outage::Hang, "hang" },
  { store_outage::Unavailable, "503" },
} };

struct store_options
{
  std::uint16_t mPort = 0;
  std::uint16_t mControlPort = 0;
};

class store_service
{
public:
  store_service(event_loop& aLoop, const store_options& aOptions);

  std::uint16_t Port() const { return mPort; }
  std::uint16_t ControlPort() const { return mControlPort; }

private:
  struct pending_watch
  {
    std::string mKind;
    std::uint64_t mFrom = 0;
    event_loop::timer_id mTimer = 0;
  };

  void OnRequest(http_service& aFrom,
                 connection_number aConnection,
                 const http_request& aRequest,
                 time_point aNow);
  void Serve(connection_number aConnection,
             const http_request& aRequest,
             time_point aNow);
  void ServeObject(connection_number aConnection,
                   const http_request& aRequest,
                   const store_objects::object_name& aName,
                   time_point aNow);
  void ServeWatch(connection_number aConnection,
                  const std::string& aKind,
                  const std::string& aTarget,
                  time_point aNow);
  void ServeInstances(connection_number aConnection, time_point aNow);
  http_response Get(const store_objects::object_name& aName) const;
  // Carries out a PUT or DELETE.
  http_response Change(const http_request& aRequest,
                       const store_objects::object_name& aName);
  // Answers the watch, also without changes when `aMust` is set.
  bool AnswerWatch(connection_number aConnection,
                   const pending_watch& aWatch,
                   bool aMust);
  void WakeWatches();
  // Counts the call and refuses it when it is above the limit.
  bool Admit(connection_number aConnection,
             const std::string& aKind,
             call_meter::call_class aClass,
             time_point aNow);
  void EndWatch(connection_number aConnection);

  http_response Control(const http_request& aRequest, time_point aNow);
  http_response Stats() const;
  http_response SetFaults(const std::string& aBody);
  http_response SetInstances(const std::string& aBody, time_point aNow);
  void SetOutage(store_outage aOutage);

  event_loop& mLoop;
  http_service mHttp;
  http_service mControl;
  std::uint16_t mPort = 0;
  std::uint16_t mControlPort = 0;
  store_objects mObjects;
  instance_list mInstances;
  call_meter mMeter;
  std::unordered_map<connection_number, pending_watch> mWatches;
  store_outage mOutage = store_outage::None;
  milliseconds mSlow{ 0 };
  std::uint64_t mLoseAnswers = 0;
};

} // namespace snipewalk::standins

#endif // SNIPEWALK_STANDINS_STORE_SERVICE_H_
