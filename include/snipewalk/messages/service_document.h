// The document by which operators describe a service, in typed form.
#ifndef SNIPEWALK_MESSAGES_SERVICE_DOCUMENT_H_
#define SNIPEWALK_MESSAGES_SERVICE_DOCUMENT_H_

#include "snipewalk/base/name_table.h"
#include "snipewalk/base/time.h"

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace snipewalk {

enum class server_state
{
  Active,
  Leaving
};

inline constexpr name_table<server_state, 2> kServerStateNames{ {
  { server_state::Active, "active" },
  { server_state::Leaving, "leaving" },
} };

enum class acknowledge_policy
{
  // A write is acknowledged once a majority of voters holds it.
  Replicated,
  // A write is acknowledged by the primary alone and can be lost with it.
  Primary
};

inline constexpr name_table<acknowledge_policy, 2> kAcknowledgePolicyNames{ {
  { acknowledge_policy::Replicated, "replicated" },
  { acknowledge_policy::Primary, "primary" },
} };

enum class read_policy
{
  // Reads go to a replica that is far enough, and to the primary only when
  // none is.
  Replicas,
  // Reads that state no age go to the primary.
  Primary
};

inline constexpr name_table<read_policy, 2> kReadPolicyNames{ {
  { read_policy::Replicas, "replicas" },
  { read_policy::Primary, "primary" },
} };

struct server_entry
{
  std::string mName;
  std::string mAddress;
  std::string mDataCentre;
  server_state mState = server_state::Active;
  // Set exactly when the server is leaving and the document gives a deadline.
  std::optional<wall_time> mLeaveBy;
};

struct service_document
{
  std::string mService;
  // Names and addresses are unique.
  std::vector<server_entry> mServers;
  // Number of instances that hold connections to the servers; at least 1.
  int mSlots = 3;
  // Connections that all instances together may open to one server.
  int mConnectionsPerServer = 20;
  acknowledge_policy mAcknowledge = acknowledge_policy::Replicated;
  read_policy mReads = read_policy::Replicas;
  // New writes are refused while every replica lags further behind.
  milliseconds mMaxLag{ 10'000 };
  // Waiting requests of the service on one holder.
  int mQueueLimit = 1'000;
  milliseconds mStatementTimeout{ 5'000 };
  milliseconds mTransactionIdleLimit{ 30'000 };
  // Findings that the operators accept by name (see docs/documents.md).
  std::vector<std::string> mConfirm;

  const server_entry* Find(const std::string& aName) const
  {
    for (const auto& server : mServers) {
      if (server.mName == aName) {
        return &server;
      }
    }
    return nullptr;
  }
};

} // namespace snipewalk

#endif // SNIPEWALK_MESSAGES_SERVICE_DOCUMENT_H_
