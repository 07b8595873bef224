// Connections to one backend server that were closed without a sign that the
// server noticed, so that it may still count them. Decides without sockets.
#ifndef SNIPEWALK_REQUEST_HALF_CLOSED_CONNECTIONS_H_
#define SNIPEWALK_REQUEST_HALF_CLOSED_CONNECTIONS_H_

#include "snipewalk/base/time.h"
#include "snipewalk/request/service_engine.h"

#include <optional>
#include <vector>

namespace snipewalk {

// A half-closed connection is counted for this long; servers have to drop
// vanished clients earlier. When they do not, holders compete for the last
// places: with 10 s and a server that dropped none, reads and some writes
// stopped.
inline constexpr milliseconds kHalfClosedHold{ 30'000 };

class half_closed_connections
{
public:
  // The hold of a new connection begins with the next TakeExpired().
  void Add(connection_id aId);

  // The server closed its side, too. Unknown ids are ignored.
  void Ended(connection_id aId);

  // Removes and returns the connections whose hold is over.
  std::vector<connection_id> TakeExpired(time_point aNow);

  // Removes and returns all.
  std::vector<connection_id> TakeAll();

  // When the next hold ends; nothing while none has begun.
  std::optional<time_point> NextExpiry() const;

  std::size_t size() const { return mEntries.size(); }
  bool empty() const { return mEntries.empty(); }

private:
  struct held_connection
  {
    connection_id mId = 0;
    // Set by TakeExpired().
    std::optional<time_point> mUntil;
  };

  // In the order in which they were closed.
  std::vector<held_connection> mEntries;
};

} // namespace snipewalk

#endif // SNIPEWALK_REQUEST_HALF_CLOSED_CONNECTIONS_H_
