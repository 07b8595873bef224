// Decides when a log with acknowledged commits is given up. Servers that crash
// return with their logs, so changes of primary that find no server with the
// log fail for a while and are tried again.
#ifndef SNIPEWALK_SESSION_LOST_LOG_SEARCH_H_
#define SNIPEWALK_SESSION_LOST_LOG_SEARCH_H_

#include "snipewalk/base/time.h"

#include <optional>

namespace snipewalk {

class lost_log_search
{
public:
  // A log that has been searched for this long is taken to be lost for good.
  static constexpr milliseconds kTimeout{ 30'000 };
  // Changes that fail for want of the log follow one another more closely than
  // this. After a longer break the search begins anew: the service had a
  // primary in between, or this process did not know.
  static constexpr milliseconds kLongestBreak{ 5'000 };

  // Handles a change that failed because no server that answered had the log.
  void OnMissing(time_point aNow);
  bool IsLost(time_point aNow) const;
  void Reset() { mBeganAt.reset(); }

private:
  bool IsInterrupted(time_point aNow) const;

  std::optional<time_point> mBeganAt;
  time_point mMissedAt;
};

} // namespace snipewalk

#endif // SNIPEWALK_SESSION_LOST_LOG_SEARCH_H_
