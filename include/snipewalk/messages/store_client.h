// Client of the platform's object store. Requests and replies are typed; the
// implementation speaks the store's HTTP API on an event loop.
#ifndef SNIPEWALK_MESSAGES_STORE_CLIENT_H_
#define SNIPEWALK_MESSAGES_STORE_CLIENT_H_

#include "snipewalk/base/name_table.h"
#include "snipewalk/base/time.h"

#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace snipewalk {

struct object_key
{
  std::string mKind;
  std::string mName;

  // NOLINTNEXTLINE(modernize-use-nullptr): misreads the defaulted operator.
  auto operator<=>(const object_key&) const = default;
};

// One version of an object. A deleted object has an empty value.
struct stored_object
{
  object_key mKey;
  // The store's revision at the change; grows over all objects.
  std::uint64_t mVersion = 0;
  bool mDeleted = false;
  std::string mValue;
};

struct store_get
{
  object_key mKey;
};

// Conditional update.
struct store_put
{
  object_key mKey;
  std::string mValue;
  // Zero: the object must not exist yet.
  std::uint64_t mExpectedVersion = 0;
};

// Waits for changes of a kind after `mFrom`; with mFrom = 0 returns all at
// once, or a page of them, which starts after the name `mAfter`.
struct store_watch
{
  std::string mKind;
  std::uint64_t mFrom = 0;
  milliseconds mWait{ 20'000 };
  std::string mAfter = {};
};

struct store_list_instances
{};

using store_request =
  std::variant<store_get, store_put, store_watch, store_list_instances>;

enum class store_status
{
  Ok,
  // The expected version is not the current one; mObjects holds the current.
  Conflict,
  NotFound,
  // Not sent in time because of the rate limits, or refused by the store's.
  RateLimited,
  // Certain that a put did not take effect.
  Refused,
  // No answer: a put may have taken effect. Read back before deciding.
  Unknown,
  // The store has dropped the changes that a watch asked for: list again.
  HistoryGone
};

inline constexpr name_table<store_status, 7> kStoreStatusNames{ {
  { store_status::Ok, "ok" },
  { store_status::Conflict, "conflict" },
  { store_status::NotFound, "not_found" },
  { store_status::RateLimited, "rate_limited" },
  { store_status::Refused, "refused" },
  { store_status::Unknown, "unknown" },
  { store_status::HistoryGone, "history_gone" },
} };

enum class platform_instance_state
{
  Live,
  Leaving
};

inline constexpr name_table<platform_instance_state, 2>
  kPlatformInstanceStateNames{ {
    { platform_instance_state::Live, "live" },
    { platform_instance_state::Leaving, "leaving" },
  } };

// Class of a call, from highest to lowest: what is sent first while calls wait,
// and what backs off least when the store refuses calls.
enum class store_priority
{
  Watch,
  // Changes of primary.
  Terms,
  // Documents, keys, slots of a service without a live holder, and a holder's
  // questions about its own slots.
  Urgent,
  // Other slots.
  Slots,
  // The platform's list.
  List,
  // Audit trail and status.
  Background
};

inline constexpr name_table<store_priority, 6> kStorePriorityNames{ {
  { store_priority::Watch, "watch" },
  { store_priority::Terms, "terms" },
  { store_priority::Urgent, "urgent" },
  { store_priority::Slots, "slots" },
  { store_priority::List, "list" },
  { store_priority::Background, "background" },
} };

struct platform_instance
{
  std::string mName;
  platform_instance_state mState = platform_instance_state::Live;
};

struct store_reply
{
  store_status mStatus = store_status::Unknown;
  // The object got or put, or all changes of a watch.
  std::vector<stored_object> mObjects;
  // Revision that the reply reflects; the next watch starts from it.
  std::uint64_t mRevision = 0;
  std::vector<platform_instance> mInstances = {};
  // The list goes on after the name of the last object.
  bool mMore = false;
};

// Identifies a call of one store client. Never zero.
using store_call_id = std::uint64_t;

// Loop thread only. Each request gets exactly one reply, from the loop, never
// from within Submit(). After Cancel() it may get none.
class store_client
{
public:
  using reply_handler =
    std::function<void(const store_reply& aReply, time_point aNow)>;

  virtual ~store_client() = default;
  virtual store_call_id Submit(store_request aRequest,
                               store_priority aPriority,
                               reply_handler aOnReply) = 0;
  // Gives up a call whose reply is not needed any more, so that it holds no
  // connection. The store may still execute it, and a reply that is already on
  // its way may still arrive. Does nothing if the call has been answered.
  virtual void Cancel(store_call_id aCall) = 0;
  // Whether a part of the call's reply has arrived and the rest is on its way.
  // False in clients that receive replies as a whole.
  virtual bool IsReplyArriving(store_call_id, time_point) const
  {
    return false;
  }
};

} // namespace snipewalk

#endif // SNIPEWALK_MESSAGES_STORE_CLIENT_H_
