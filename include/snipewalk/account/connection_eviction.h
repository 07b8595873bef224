// Chooses the idle connection to a backend server that is closed so that
// another client account can open one. A connection belongs to one account, and
// a server accepts fewer connections than there are accounts. An opening
// occupies the server like a statement does, so connections must not change
// accounts for each statement; but an account that is busy all the time must
// not keep them all.
#ifndef SNIPEWALK_ACCOUNT_CONNECTION_EVICTION_H_
#define SNIPEWALK_ACCOUNT_CONNECTION_EVICTION_H_

#include "snipewalk/base/time.h"

#include <cstddef>
#include <optional>
#include <span>
#include <string>

namespace snipewalk {

struct account_connection
{
  std::string mAccount;
  // Since when the connection has been idle; std::nullopt while it is in use.
  std::optional<time_point> mIdleSince;
};

// Returns the index of the connection to close for a statement of `aAccount`
// that has been waiting since `aWaitingSince`: the one that has been idle for
// longest. Returns std::nullopt if the statement has to wait longer.
std::optional<std::size_t>
ChooseEviction(std::span<const account_connection> aConnections,
               const std::string& aAccount,
               time_point aWaitingSince,
               time_point aNow);

} // namespace snipewalk

#endif // SNIPEWALK_ACCOUNT_CONNECTION_EVICTION_H_
