// Carries a stand-in replica's pulls to its primary over one connection.
#ifndef SNIPEWALK_STANDINS_BACKEND_REPLICATOR_H_
#define SNIPEWALK_STANDINS_BACKEND_REPLICATOR_H_

#include "snipewalk/connection/event_loop.h"
#include "snipewalk/connection/http_codec.h"
#include "snipewalk/connection/stream_connection.h"
#include "standins/backend_server.h"

#include <functional>
#include <memory>
#include <string>

namespace snipewalk::standins {

class backend_replicator
{
public:
  // `aChanged` runs after the server took a reply in.
  backend_replicator(event_loop& aLoop,
                     standin_server& aServer,
                     std::function<void(time_point)> aChanged);

  // Sends the next pull when one is due. Call after each change of the server.
  void Step(time_point aNow);

private:
  void Connect(const std::string& aAddress);
  void OnInput(std::string& aInput, time_point aNow);
  // Drops the connection; the next pull waits for the retry interval.
  void Fail(time_point aNow);
  void Disconnect();
  void ArmTimeout(time_point aNow);

  event_loop& mLoop;
  standin_server& mServer;
  std::function<void(time_point)> mChanged;
  std::unique_ptr<stream_connection> mStream;
  std::string mAddress;
  http_reader mReader;
  // Follow epoch of the outstanding pull.
  std::uint64_t mEpoch = 0;
  bool mOutstanding = false;
  time_point mNotBefore;
  event_loop::timer_id mTimeout = 0;
};

// Path of a pull and its answer; both bodies are msgpack.
inline constexpr const char* kPullPath = "/standin/pull";

} // namespace snipewalk::standins

#endif // SNIPEWALK_STANDINS_BACKEND_REPLICATOR_H_
