// A small model of three backend servers with asynchronous replication, terms,
// fencing and keys, and of the connections to them. It takes the protocol
// literally: a replica answers reads and waits by its positions alone, so the
// caller has to know whether its log is the primary's.
#ifndef SNIPEWALK_TESTS_REQUEST_BACKEND_MODEL_H_
#define SNIPEWALK_TESTS_REQUEST_BACKEND_MODEL_H_

#include "snipewalk/request/service_engine.h"

#include <deque>
#include <map>
#include <optional>
#include <random>
#include <string>
#include <vector>

namespace snipewalk {

struct model_entry
{
  std::uint64_t mTerm = 0;
  std::string mKey;
  int mRegister = -1;
  std::vector<int> mValues;
};

struct model_transaction
{
  std::uint64_t mTerm = 0;
  int mRegister = -1;
  std::vector<int> mValues;
  // Request ids of its statements without the attempt's suffix.
  std::string mOwner;
};

struct model_server
{
  std::string mName;
  std::uint64_t mTerm = 1;
  server_role mRole = server_role::Replica;
  std::vector<model_entry> mLog;
  std::uint64_t mApplied = 0;
  // New connections are accepted.
  bool mUp = true;
  // Reached by fencing and replication.
  bool mReachable = true;
};

struct model_link
{
  std::size_t mServer = 0;
  bool mOpen = false;
  // Neither requests nor replies pass any more.
  bool mSilent = false;
  std::optional<backend_request> mToServer;
  time_point mArrivedAt;
  std::deque<backend_reply> mToCaller;
  std::optional<model_transaction> mTransaction;
};

class backend_model
{
public:
  explicit backend_model(std::uint32_t aSeed);

  // Executes a request; nothing while a wait or a read has to wait on.
  std::optional<backend_reply> Execute(std::size_t aServer,
                                       const backend_request& aRequest,
                                       std::optional<model_transaction>& aOpen,
                                       bool aWaited);

  // Copies one entry from the primary of the replica's term.
  void Replicate(std::size_t aReplica);

  // Fences a majority of reachable servers and promotes the one with the
  // highest (log term, received) among them. Returns its number, or nothing.
  std::optional<std::size_t> Elect();
  // Makes a reachable server follow the primary of the newest term.
  void Follow(std::size_t aServer);

  // The client's side is gone; the server may still process what it received.
  void Close(connection_id aId);
  // Processes one request whose connection is gone already.
  void RunOrphan();

  std::size_t IndexOf(const std::string& aName) const;
  const model_entry* Find(std::size_t aServer, const std::string& aKey) const;

  std::vector<model_server> mServers;
  std::map<connection_id, model_link> mLinks;
  std::uint64_t mNewestTerm = 1;
  std::optional<std::size_t> mPrimary;

private:
  struct orphan
  {
    std::size_t mServer = 0;
    backend_request mRequest;
    std::optional<model_transaction> mTransaction;
  };

  backend_reply ExecuteStatement(model_server& aServer,
                                 const backend_statement& aStatement,
                                 std::optional<model_transaction>& aOpen);
  static backend_reply ExecuteRead(const model_server& aServer,
                                   const backend_statement& aStatement,
                                   backend_reply aReply);
  backend_reply ExecuteEffect(model_server& aServer,
                              const backend_statement& aStatement,
                              std::optional<model_transaction>& aOpen,
                              backend_reply aReply);
  void Append(model_server& aServer, model_entry aEntry);

  std::vector<orphan> mOrphans;
  std::mt19937 mRandom;
};

} // namespace snipewalk

#endif // SNIPEWALK_TESTS_REQUEST_BACKEND_MODEL_H_
