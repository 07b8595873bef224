// Test fixture: a session engine with recorded actions, driven by messages and
// a simulated clock.
#ifndef SNIPEWALK_TESTS_SESSION_ENGINE_FIXTURE_H_
#define SNIPEWALK_TESTS_SESSION_ENGINE_FIXTURE_H_

#include "snipewalk/session/session_engine.h"

#include <absl/status/statusor.h>
#include <gtest/gtest.h>

#include <algorithm>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace snipewalk {

// Records the connections, commands and replies that the engine requests.
class recorded_links : public session_links
{
public:
  struct recorded_connection
  {
    std::string mServer;
    // Client account that it was opened for.
    std::string mAccount;
    bool mClosed = false;
    std::vector<server_command> mCommands;
  };

  void AcceptSession(session_id aSession) override { mOpened.insert(aSession); }
  void SendReply(session_id aSession, const statement_reply& aReply) override
  {
    mReplies[aSession].push_back(aReply);
  }
  void RefuseSession(session_id aSession,
                     result_code aCode,
                     const std::string&) override
  {
    mRefused[aSession] = aCode;
  }
  void CloseCallerConnection(session_id aSession) override
  {
    mClosed.insert(aSession);
  }
  void OpenServerConnection(server_connection_id aConnection,
                            const registered_server& aServer,
                            const std::string& aAccount) override
  {
    mServers[aConnection].mServer = aServer.mId;
    mServers[aConnection].mAccount = aAccount;
  }
  void SendCommands(server_connection_id aConnection,
                    const std::vector<server_command>& aCommands) override
  {
    auto& commands = mServers[aConnection].mCommands;
    commands.insert(commands.end(), aCommands.begin(), aCommands.end());
  }
  void CloseServerConnection(server_connection_id aConnection) override
  {
    mServers[aConnection].mClosed = true;
  }

  std::set<session_id> mOpened;
  std::set<session_id> mClosed;
  std::map<session_id, result_code> mRefused;
  std::map<session_id, std::vector<statement_reply>> mReplies;
  std::map<server_connection_id, recorded_connection> mServers;
};

// Service "s" has the primary "p" and the replicas "a" and "b". The databases
// are "main" (primary reads), "old" (bounded staleness) and "own" (read your
// writes).
class SessionEngineTest : public testing::Test
{
protected:
  SessionEngineTest()
    : mEngine(HostedOptions(), mLinks)
  {
  }

  // Status rows in these tests contain role, term and index of the last log
  // entry.
  static session_engine_options Options()
  {
    session_engine_options options;
    options.mDataCentre = "dc1";
    options.mParseStatus =
      [](const statement_reply& aReply) -> absl::StatusOr<server_status> {
      if (aReply.mRows.size() != 3) {
        return absl::InvalidArgumentError("no status");
      }
      server_status status;
      status.mRole = aReply.mRows[0] == "primary" ? server_role::Primary
                                                  : server_role::Replica;
      status.mTerm = std::stoull(aReply.mRows[1]);
      status.mReceived = { status.mTerm, std::stoull(aReply.mRows[2]) };
      return status;
    };
    return options;
  }

  session_engine_options HostedOptions()
  {
    session_engine_options options = Options();
    options.mHostingOf = [this](const std::string&) { return mHosting; };
    return options;
  }

  void Configure()
  {
    mEngine.SetDesiredState(DesiredState(), mNow);
    for (const std::string id : { "p", "a", "b" }) {
      mEngine.PutServer(Server(id), mNow);
    }
    mEngine.SetPrimary("s", { "p", 0, true }, mNow);
    Confirm();
  }

  static std::shared_ptr<const desired_state> DesiredState()
  {
    auto state = std::make_shared<desired_state>();
    state->mServices["s"] = { 23, 1 };
    const auto add = [&](const std::string& aDatabase,
                         read_consistency aConsistency,
                         int aStalenessMs) {
      database_route route;
      route.mName = "r-" + aDatabase;
      route.mDatabase = aDatabase;
      route.mService = "s";
      route.mConsistency = aConsistency;
      route.mStatementTimeout = milliseconds(800);
      route.mMaxStaleness = milliseconds(aStalenessMs);
      state->mRoutes[aDatabase] = route;
    };
    add("main", read_consistency::Primary, 0);
    add("old", read_consistency::BoundedStaleness, 1'500);
    add("own", read_consistency::ReadYourWrites, 2'500);
    return state;
  }

  static registered_server Server(const std::string& aId)
  {
    registered_server entry;
    entry.mId = aId;
    entry.mService = "s";
    entry.mAddress = "10.0.0.1:1";
    entry.mDataCentre = "dc1";
    entry.mPrimary = aId == "p";
    return entry;
  }

  // The replicas are about to leave and get no reads.
  void LeaveOnlyThePrimary()
  {
    for (const std::string id : { "a", "b" }) {
      registered_server entry = Server(id);
      entry.mDraining = true;
      mEngine.PutServer(entry, mNow);
    }
  }

  void Confirm(milliseconds aFor = milliseconds(3'000))
  {
    mEngine.SetPrimariesConfirmed(mNow + aFor, mNow);
  }

  // Advances the clock in steps of 20 ms with a tick after each, as the daemon
  // does.
  void AdvanceClock(int aMs)
  {
    for (int ms = 0; ms < aMs; ms += 20) {
      mNow += milliseconds(20);
      mEngine.OnTick(mNow);
    }
  }

  session_id Open(const std::string& aDatabase, const std::string& aKey = {})
  {
    const session_id id = mNextSession++;
    mEngine.OnCallerMessage(id, open_session{ aDatabase, aKey }, mNow);
    return id;
  }

  void SendStatement(session_id aSession, session_statement aStatement)
  {
    mEngine.OnCallerMessage(
      aSession,
      statement_message{ "q" + std::to_string(++mRequests),
                         std::move(aStatement) },
      mNow);
  }

  // Returns the connections to a server that the engine has not closed.
  std::vector<server_connection_id> Connections(
    const std::string& aServer) const
  {
    std::vector<server_connection_id> open;
    for (const auto& [id, server] : mLinks.mServers) {
      if (server.mServer == aServer && !server.mClosed) {
        open.push_back(id);
      }
    }
    return open;
  }

  // Accepts all connections that are being opened.
  void AcceptConnections()
  {
    bool more = true;
    while (more) {
      more = false;
      for (const auto& [id, server] : mLinks.mServers) {
        if (!server.mClosed && mAccepted.insert(id).second) {
          more = true;
          mEngine.OnServerReply(id, {}, mNow);
          break;
        }
      }
    }
  }

  // Answers a status request that is the latest command on a connection to the
  // server; returns false if there is none.
  bool AnswerStatus(const std::string& aServer,
                    const std::string& aRole,
                    int aTerm,
                    int aNumber)
  {
    for (const auto id : Connections(aServer)) {
      auto& commands = mLinks.mServers.at(id).mCommands;
      if (!commands.empty() &&
          std::holds_alternative<status_command>(commands.back())) {
        commands.pop_back();
        statement_reply reply;
        reply.mRows = { aRole, std::to_string(aTerm), std::to_string(aNumber) };
        Answer(id, reply);
        return true;
      }
    }
    return false;
  }

  // Returns the open connection on which the request was sent, if any.
  std::optional<server_connection_id> ConnectionOf(
    const std::string& aRequestId) const
  {
    std::optional<server_connection_id> connection;
    for (const auto& [id, server] : mLinks.mServers) {
      for (const auto& command : server.mCommands) {
        const auto* statement = std::get_if<statement_command>(&command);
        if (statement != nullptr && statement->mRequestId == aRequestId &&
            !server.mClosed) {
          connection = id;
        }
      }
    }
    return connection;
  }
  // Returns a connection on which the request was sent since the last call.
  std::optional<server_connection_id> NextConnectionOf(
    const std::string& aRequestId)
  {
    for (const auto& [id, server] : mLinks.mServers) {
      for (std::size_t i = mExamined[id]; i < server.mCommands.size(); ++i) {
        const auto* statement =
          std::get_if<statement_command>(&server.mCommands[i]);
        if (statement != nullptr && statement->mRequestId == aRequestId) {
          mExamined[id] = i + 1;
          return id;
        }
      }
    }
    return std::nullopt;
  }
  std::optional<server_connection_id> LastRequestConnection() const
  {
    return ConnectionOf("q" + std::to_string(mRequests));
  }
  // Log position that the last command requires on the connection of the last
  // request.
  std::optional<log_position> LastMinPosition() const
  {
    return std::get<statement_command>(
             mLinks.mServers.at(*LastRequestConnection()).mCommands.back())
      .mMinPosition;
  }
  const std::string& ServerOf(server_connection_id aConnection) const
  {
    return mLinks.mServers.at(aConnection).mServer;
  }

  static statement_reply Done(std::uint64_t aNumber,
                              session_state aState = session_state::Idle)
  {
    statement_reply reply;
    reply.mSignature = "signed";
    reply.mState = aState;
    reply.mPosition = log_position{ 1, aNumber };
    return reply;
  }
  static statement_reply Error(result_code aCode,
                               session_state aState = session_state::Idle)
  {
    statement_reply reply;
    reply.mError = aCode;
    reply.mErrorCode = std::string(NameOf(kResultCodeNames, aCode));
    reply.mState = aState;
    return reply;
  }

  // Replies to the oldest unanswered command on the connection.
  void Answer(server_connection_id aConnection, const statement_reply& aReply)
  {
    mEngine.OnServerReply(aConnection, aReply, mNow);
  }

  const statement_reply& LastReply(session_id aSession)
  {
    return mLinks.mReplies.at(aSession).back();
  }

  // How the connections of all services are divided between instances.
  service_hosting mHosting;
  recorded_links mLinks;
  session_engine mEngine;
  time_point mNow = time_point() + std::chrono::hours(1);
  session_id mNextSession = 1;
  int mRequests = 0;
  std::set<server_connection_id> mAccepted;
  // Number of commands on each connection that NextConnectionOf() has already
  // examined.
  std::map<server_connection_id, std::size_t> mExamined;
};

} // namespace snipewalk

#endif // SNIPEWALK_TESTS_SESSION_ENGINE_FIXTURE_H_
