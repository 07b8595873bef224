// Stand-in of the backend servers of one service: the line protocol, a
// replicated log with terms, entries in the store, and partitions. A server
// that starts again under its id holds nothing of before.
#ifndef SNIPEWALK_REVIEW_DATABASES_H_
#define SNIPEWALK_REVIEW_DATABASES_H_

#include "snipewalk/connection/event_loop.h"
#include "snipewalk/connection/listener.h"
#include "snipewalk/connection/stream_connection.h"
#include "snipewalk/session/log_position.h"

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include <json/json.h>

namespace snipewalk::review {

// An entry of a log, with those before it.
struct log_entry
{
  log_position mPosition;
  std::string mItem;
  std::string mValue;
  std::shared_ptr<const log_entry> mBefore;
};
// The newest entry; null for an empty log.
using log = std::shared_ptr<const log_entry>;

log_position
PositionOf(const log& aLog);
std::set<std::string>
ValuesOf(const log& aLog);

// A read or write that a server ran.
struct executed_statement
{
  std::string mServer;
  // The server's log when it ran the statement.
  log mLog;
};

// Loop thread only.
class databases
{
public:
  struct handlers
  {
    // Writes or, with null, deletes a server's entry.
    std::function<void(const std::string& aId, const Json::Value& aEntry)>
      mOnEntry;
    // Notes an event for the record.
    std::function<void(const std::string& aText)> mNote;
  };

  databases(event_loop& aLoop, std::string aService, handlers aHandlers);
  ~databases();
  databases(const databases&) = delete;
  databases& operator=(const databases&) = delete;

  // The first server is the primary; another one has the log of the server that
  // leads. It is reached at `aAddress`.
  void Add(const std::string& aId,
           const std::string& aListenOn,
           const std::string& aAddress);
  // Cuts a server off from the others and from the store, or ends that. Its
  // next heartbeat leaves `aNextBeat` after the end.
  void SetCutOff(const std::string& aId, bool aCutOff, milliseconds aNextBeat);
  // A server reports that it leaves soon.
  void Drain(const std::string& aId);
  // Ends a server for good; its entry goes at once.
  void Remove(const std::string& aId);
  // Ends the process of a server and starts it again under its id after
  // `aDown`, without anything that it held.
  void StartAnew(const std::string& aId, milliseconds aDown);
  // False if the server does not run. It leads a moment later.
  bool Promote(const std::string& aId);

  // Server that leads the newest term; empty without one.
  std::string Primary() const;
  // By request id.
  const std::map<std::string, executed_statement>& Executed() const
  {
    return mExecuted;
  }
  log LogOf(const std::string& aId) const { return mServers.at(aId).mLog; }

private:
  struct connection
  {
    std::unique_ptr<stream_connection> mStream;
    bool mOpen = false;
    // A write ran, and its answer waits for a replica.
    bool mWaits = false;
  };

  struct server
  {
    std::string mId;
    std::string mListenOn;
    std::string mAddress;
    std::unique_ptr<listener> mListener;
    bool mRunning = true;
    bool mCutOff = false;
    bool mDraining = false;
    bool mPrimary = false;
    bool mEntryPresent = false;
    std::uint64_t mTerm = 1;
    std::uint64_t mHeld = 0;
    std::uint64_t mBorn = 0;
    std::uint64_t mSeq = 0;
    time_point mLastBeat;
    log mLog;
    std::vector<std::shared_ptr<connection>> mConnections;
  };

  void Listen(server& aServer);
  void End(server& aServer);
  void Beat(const std::string& aId);
  void ScheduleBeat(const std::string& aId, milliseconds aDelay);
  void Publish(server& aServer);
  void ExpireEntries();
  bool Reaches(const server& aFrom, const server& aTo) const;
  void Accept(server& aServer, const Poco::Net::StreamSocket& aSocket);
  void OnLine(server& aServer,
              connection& aConnection,
              const std::string& aLine);
  // The answer without its last line; empty while it waits for a replica.
  std::string Execute(server& aServer,
                      connection& aConnection,
                      const std::string& aRequestId,
                      std::string aText);
  std::string Control(server& aServer,
                      const std::string& aVerb,
                      std::uint64_t aTerm);
  std::string Read(server& aServer,
                   const std::string& aRequestId,
                   const std::string& aText,
                   const std::string& aItem);
  std::string Write(server& aServer,
                    connection& aConnection,
                    const std::string& aRequestId,
                    const std::string& aText,
                    std::string aRest);
  void NoteExecuted(const server& aServer,
                    const std::string& aRequestId,
                    const std::string& aText);
  // Lets the replicas that a primary reaches receive its log, and answers the
  // writes that waited for it but the one of `aCurrent`, which is running.
  void Replicate(server& aPrimary, const connection* aCurrent = nullptr);
  void Lead(const std::string& aId);
  // Makes a replaced primary that reaches its successor follow it.
  void FollowSuccessor(const std::string& aId);
  server* Leading();

  event_loop& mLoop;
  std::string mService;
  handlers mHandlers;
  std::map<std::string, server> mServers;
  std::map<std::string, executed_statement> mExecuted;
};

} // namespace snipewalk::review

#endif // SNIPEWALK_REVIEW_DATABASES_H_
