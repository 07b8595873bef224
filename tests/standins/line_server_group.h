// Backend servers of one service that speak the platform's line protocol, on
// one event loop. Replicas receive a commit at once and apply it after their
// lag. A read of the item "session.NAME" returns the session value NAME of the
// connection that it runs on, so that callers see whose values are in force. A
// read of "rows.COUNT" returns that many rows of kLongRowBytes.
#ifndef SNIPEWALK_STANDINS_LINE_SERVER_GROUP_H_
#define SNIPEWALK_STANDINS_LINE_SERVER_GROUP_H_

#include "snipewalk/connection/event_loop.h"
#include "snipewalk/connection/listener.h"
#include "snipewalk/connection/stream_connection.h"

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <random>
#include <set>
#include <string>
#include <vector>

#include <json/json.h>

namespace snipewalk::standins {

class line_server_group
{
public:
  using item_map = std::map<std::string, std::string>;

  static constexpr std::size_t kLongRowBytes = 64 * 1024;

  // A read, write or commit as a server ran it.
  struct executed_statement
  {
    std::string mRequestId;
    // As received, without the position that the instance requires.
    std::string mText;
    // Access kind and shape of the prepared statement that it executed; empty
    // for other statements.
    std::string mShape;
    // Session values of its connection.
    item_map mValues;
  };

  struct handlers
  {
    // A server's entry changed; null when the entry lapsed.
    std::function<void(const std::string& aId, const Json::Value& aEntry)>
      mOnEntry;
    // Address at which callers reach the server that listens on `aAddress`.
    // Empty: the same.
    std::function<std::string(const std::string& aAddress)> mAddress;
  };

  line_server_group(event_loop& aLoop,
                    std::string aService,
                    int aMaxConnections,
                    handlers aHandlers);
  line_server_group(const line_server_group&) = delete;
  line_server_group& operator=(const line_server_group&) = delete;

  // Starts a server with the log of the present primary; the first one is the
  // primary. Returns its id: "s1", "s2" and so on.
  std::string Add();
  // Ends without a word: connections are closed, the entry lapses later.
  void Crash(const std::string& aId);
  // Starts again with the log it had, as a replica if another was promoted.
  void Restart(const std::string& aId);
  // Reports that the server leaves soon.
  void Drain(const std::string& aId);
  // Ends for good; the entry goes at once.
  void Remove(const std::string& aId);
  void SetLag(const std::string& aId, milliseconds aLag);
  // A deaf replica receives nothing, and gets all it missed afterwards.
  void SetDeaf(const std::string& aId, bool aDeaf);
  // Of the requests that a server ran, how many percent lose their answer with
  // their connection.
  void SetLostAnswers(const std::string& aId, int aPercent);
  // Of the statements sent to a server, including the setup of a connection,
  // how many percent fail without an effect. Control commands never fail.
  void SetFailedRequests(const std::string& aId, int aPercent);
  // The server leads the next term with what it received. False when it does
  // not run.
  bool Promote(const std::string& aId);

  // Servers that run.
  std::vector<std::string> Running() const;
  // Servers that run and lead; more than one only until the former primary
  // has learnt of its successor.
  std::vector<std::string> Leading() const;
  int Promotions() const { return mPromotions; }
  // Items as the leading server has them; empty without one.
  item_map Items() const;
  // Values in the log of the leading server; empty without one.
  std::set<std::string> LoggedValues() const;
  // Position that a server's log has reached.
  std::string Position(const std::string& aId) { return Received(At(aId)); }
  // Reads, writes and commits that any server ran, in their order. Instances
  // send none of their own.
  const std::vector<executed_statement>& Executed() const { return mExecuted; }
  // How often each value was committed on any server.
  const std::map<std::string, int>& Commits() const { return mCommits; }

private:
  struct commit
  {
    std::uint64_t mTerm = 0;
    std::uint64_t mNumber = 0;
    item_map mWrites;
  };
  // Entries are shared by the logs that hold them.
  using log = std::vector<std::shared_ptr<const commit>>;

  struct connection
  {
    std::unique_ptr<stream_connection> mStream;
    bool mOpen = false;
    bool mInTransaction = false;
    // Number of the commit whose answer waits for a replica; zero without one.
    std::uint64_t mUnconfirmed = 0;
    // A statement of the transaction failed; only its end is accepted.
    bool mFailed = false;
    item_map mWrites;
    // Session values by name.
    item_map mValues;
    // Access kind and shape of prepared statements by name.
    item_map mPrepared;
    executed_statement mRunning;
  };

  struct server
  {
    std::string mId;
    std::unique_ptr<listener> mListener;
    // Kept over restarts.
    std::string mAddress;
    bool mAlive = true;
    bool mPrimary = false;
    bool mDraining = false;
    bool mDeaf = false;
    std::uint64_t mTerm = 1;
    // Term of a pause; zero while the server receives.
    std::uint64_t mHeld = 0;
    milliseconds mLag{ 0 };
    int mLostAnswers = 0;
    int mFailedRequests = 0;
    log mLog;
    // Entries of mLog that mItems holds.
    std::size_t mApplied = 0;
    item_map mItems;
    std::vector<std::shared_ptr<connection>> mConnections;
  };

  server& At(const std::string& aId) { return *mServers.at(aId); }
  server* Primary();
  void Listen(server& aServer);
  void Publish(const server& aServer);
  void Accept(server& aServer, const Poco::Net::StreamSocket& aSocket);
  void OnLine(server& aServer,
              connection& aConnection,
              const std::string& aLine);
  std::string Execute(server& aServer,
                      connection& aConnection,
                      const std::string& aRequestId,
                      std::string aText);
  std::string ExecuteCommand(server& aServer,
                             const std::string& aVerb,
                             const std::string& aTerm);
  // `aRest` is the text after the verb.
  std::string ExecuteStatement(server& aServer,
                               connection& aConnection,
                               const std::string& aVerb,
                               std::string aRest);
  static std::string Refusal(const server& aServer, const char* aCode);
  static std::string RefuseAsReplica(const server& aServer,
                                     connection& aConnection);
  // Whether the next request to the server fails.
  bool DrawsFailure(const server& aServer);
  static std::string Prepare(const server& aServer,
                             connection& aConnection,
                             std::string aRest);
  std::string ExecutePrepared(server& aServer,
                              connection& aConnection,
                              std::string aRest);
  std::string ExecuteRead(const server& aServer,
                          const connection& aConnection,
                          const std::string& aItem);
  std::string ExecuteWrite(server& aServer,
                           connection& aConnection,
                           std::string aRest);
  std::string ExecuteCommit(server& aServer, connection& aConnection);
  std::string CommitWrites(server& aServer, connection& aConnection);
  std::string StatusRow(const server& aServer) const;
  static std::string Received(const server& aServer);
  static std::string Applied(const server& aServer);
  static std::string Signature(const server& aServer);
  // Commits, and returns the number of the commit if no replica has received it
  // yet, otherwise zero.
  std::uint64_t Commit(server& aServer, const item_map& aWrites);
  // Answers the commits of a primary that a replica has received by now.
  void ConfirmCommits(server& aPrimary);
  std::string ReadyLine(const server& aServer,
                        const connection& aConnection) const;
  // True when the replica has the primary's log afterwards.
  bool Receive(const server& aPrimary, server& aReplica);
  void Apply(server& aServer, std::size_t aEntries);
  // All replicas receive what the primary has.
  void CatchUp();

  event_loop& mLoop;
  std::string mService;
  // Further connections to a server are refused.
  int mMaxConnections;
  handlers mHandlers;
  std::map<std::string, std::unique_ptr<server>> mServers;
  std::map<std::string, int> mCommits;
  std::vector<executed_statement> mExecuted;
  int mStarted = 0;
  int mPromotions = 0;
  std::uint64_t mRequests = 0;
  std::minstd_rand mRandom;
};

} // namespace snipewalk::standins

#endif // SNIPEWALK_STANDINS_LINE_SERVER_GROUP_H_
