// Control endpoint of the fault-injecting TCP proxy: adds links and sets their
// faults.
#ifndef SNIPEWALK_STANDINS_FAULT_SERVICE_H_
#define SNIPEWALK_STANDINS_FAULT_SERVICE_H_

#include "standins/fault_link.h"
#include "standins/http_service.h"

#include <map>
#include <memory>
#include <string>

#include <json/json.h>

namespace snipewalk::standins {

// Requests:
//   POST /standin/links  {"name","target","port"} answers {"port"}
//   POST /standin/faults {"link":"<name>|*","cut","frozen","delay_ms","refuse",
//                         "drop_percent"}; fields left out stay as they are
//   POST /standin/reset   {"link"}  resets all present connections
//   POST /standin/silence {"link"}  silences all present connections
//   GET  /standin/stats
class fault_service
{
public:
  fault_service(event_loop& aLoop, std::uint16_t aPort, std::uint64_t aSeed);

  std::uint16_t Port() const { return mPort; }
  // Throws Poco::Exception when the port is taken. Port 0 takes a free one.
  std::uint16_t AddLink(const std::string& aName,
                        const std::string& aTarget,
                        std::uint16_t aPort);

private:
  http_response Control(const http_request& aRequest, time_point aNow);
  http_response AddLink(const Json::Value& aBody);
  // Applies a request that names a link or, with "*", all of them.
  http_response Apply(const std::string& aName,
                      const Json::Value& aBody,
                      time_point aNow);
  http_response Stats() const;

  event_loop& mLoop;
  std::uint64_t mSeed;
  http_service mHttp;
  std::uint16_t mPort = 0;
  std::map<std::string, std::unique_ptr<fault_link>> mLinks;
};

} // namespace snipewalk::standins

#endif // SNIPEWALK_STANDINS_FAULT_SERVICE_H_
