// Replicas of a service whose entries have expired although they never said
// that they leave. Such a replica may only have lost its path to the store. It
// goes on receiving commits then, and can be the only one that confirms them.
#ifndef SNIPEWALK_SESSION_LAPSED_REPLICAS_H_
#define SNIPEWALK_SESSION_LAPSED_REPLICAS_H_

#include "snipewalk/base/time.h"
#include "snipewalk/session/desired_state.h"

#include <map>
#include <string>

namespace snipewalk {

class lapsed_replicas
{
public:
  // A replica whose entry has been missing for this long is regarded as gone.
  static constexpr milliseconds kAssumedGoneAfter{ 30'000 };

  // Handles the loss of an entry; `aLast` is what it said last.
  void OnEntryLost(const registered_server& aLast, time_point aNow);
  // Handles an entry of the service. It ends the lapse of its server, and shows
  // that no other server is running at its address any more.
  void OnEntry(const registered_server& aEntry);

  // Whether one of the replicas may still be running and confirm commits.
  bool MayConfirm(time_point aNow) const;

private:
  struct lapsed
  {
    std::string mAddress;
    time_point mSince;
  };

  // By server id.
  std::map<std::string, lapsed> mLapsed;
};

} // namespace snipewalk

#endif // SNIPEWALK_SESSION_LAPSED_REPLICAS_H_
