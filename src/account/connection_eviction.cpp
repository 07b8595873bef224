// Implementation of the choice of connections to close.
#include "snipewalk/account/connection_eviction.h"

namespace snipewalk {

namespace {

// A connection that has been idle for less time is kept for the next statement
// of its account, unless another account has waited for kMaxWait.
constexpr milliseconds kMinIdle{ 20 };
constexpr milliseconds kMaxWait{ 30 };

} // namespace

std::optional<std::size_t>
ChooseEviction(std::span<const account_connection> aConnections,
               const std::string& aAccount,
               time_point aWaitingSince,
               time_point aNow)
{
  const bool waitedLong = aNow >= aWaitingSince + kMaxWait;
  std::optional<std::size_t> best;
  for (std::size_t index = 0; index < aConnections.size(); ++index) {
    const account_connection& connection = aConnections[index];
    const bool mayClose =
      connection.mIdleSince && connection.mAccount != aAccount &&
      (waitedLong || aNow >= *connection.mIdleSince + kMinIdle);
    if (mayClose &&
        (!best || connection.mIdleSince < aConnections[*best].mIdleSince)) {
      best = index;
    }
  }
  return best;
}

} // namespace snipewalk
