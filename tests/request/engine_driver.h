// Drives a service engine by hand: submits requests, plays the servers and
// collects the actions. Shared by the engine's tests.
#ifndef SNIPEWALK_TESTS_REQUEST_ENGINE_DRIVER_H_
#define SNIPEWALK_TESTS_REQUEST_ENGINE_DRIVER_H_

#include "snipewalk/request/service_engine.h"
#include "snipewalk/request/session_token.h"

#include <map>
#include <optional>
#include <string>
#include <utility>
#include <vector>

namespace snipewalk {

class engine_driver
{
public:
  struct sent
  {
    connection_id mConnection = 0;
    std::string mServer;
    backend_request mRequest;
  };

  engine_driver()
    : mEngine("drums", { "i1", 7, "munich", 1 })
  {
    mView.mDocument.mService = "drums";
    mView.mDocument.mServers = { Server("a"), Server("b"), Server("c") };
    mView.mTerm.mTerm = 1;
    mView.mTerm.mPrimary = "a";
    mView.mTerm.mVoters = { "a", "b", "c" };
    mView.mConnectionShare = 6;
  }

  static server_entry Server(const std::string& aName)
  {
    server_entry entry;
    entry.mName = aName;
    entry.mAddress = "10.0.0." + aName + ":1";
    entry.mDataCentre = aName == "b" ? "munich" : "augsburg";
    return entry;
  }

  static std::vector<session_key> Keys()
  {
    return { { "k1", "secret", wall_time{} } };
  }

  // Publishes mView.
  void Publish()
  {
    Handle(view_changed{ std::make_shared<service_view>(mView), Keys() });
  }

  // Publishes mView, opens all connections and answers all status requests.
  void Start()
  {
    Publish();
    Settle();
  }

  // Opens connections and answers status requests until nothing is left. Waits
  // stay outstanding.
  void Settle()
  {
    bool progress = true;
    while (progress) {
      progress = false;
      while (!mOpening.empty()) {
        const auto id = mOpening.begin()->first;
        mOpening.erase(mOpening.begin());
        Handle(connection_opened{ id });
        progress = true;
      }
      for (std::size_t i = 0; i < mSent.size(); ++i) {
        if (std::holds_alternative<backend_status_query>(mSent[i].mRequest)) {
          const auto query = mSent[i];
          mSent.erase(mSent.begin() + static_cast<std::ptrdiff_t>(i));
          ReplyStatus(query);
          progress = true;
          break;
        }
      }
    }
  }

  void ReplyStatus(const sent& aSent)
  {
    backend_reply reply;
    reply.mTerm = mView.mTerm.mTerm;
    server_status status;
    status.mServer = aSent.mServer;
    status.mTerm = status.mLogTerm = reply.mTerm;
    status.mRole = aSent.mServer == mView.mTerm.mPrimary ? server_role::Primary
                                                         : server_role::Replica;
    status.mApplied = status.mReceived = mApplied[aSent.mServer];
    reply.mStatus = status;
    Handle(reply_received{ aSent.mConnection, reply });
  }

  void Handle(const engine_event& aEvent)
  {
    std::vector<engine_action> actions;
    mEngine.Handle(aEvent, mNow, mWall, actions);
    for (auto& action : actions) {
      if (const auto* open = std::get_if<open_connection>(&action)) {
        mOpening[open->mConnection] = open->mServer.mName;
        mServerOf[open->mConnection] = open->mServer.mName;
      } else if (const auto* close = std::get_if<close_connection>(&action)) {
        mOpening.erase(close->mConnection);
        mClosed.push_back(close->mConnection);
        std::erase_if(mSent, [&](const sent& aSent) {
          return aSent.mConnection == close->mConnection;
        });
        if (close->mAwaitEnd) {
          mEnding.push_back(close->mConnection);
        }
      } else if (auto* send = std::get_if<send_request>(&action)) {
        mSent.push_back({ send->mConnection,
                          mServerOf[send->mConnection],
                          std::move(send->mRequest) });
      } else if (auto* answer = std::get_if<answer_request>(&action)) {
        mAnswers.push_back(std::move(answer->mResponse));
      } else if (const auto* report = std::get_if<report_evidence>(&action)) {
        mEvidence.push_back(*report);
      }
    }
    // A server that is not silent notices each close.
    while (!mSilent && !mEnding.empty()) {
      const auto ended = mEnding.back();
      mEnding.pop_back();
      Handle(connection_ended{ ended });
    }
  }

  // Delivers timers until aTime has passed.
  void Advance(duration aTime)
  {
    const auto end = mNow + aTime;
    while (const auto next = mEngine.NextTimer()) {
      if (*next > end) {
        break;
      }
      mNow = std::max(mNow, *next);
      Handle(timer_expired{});
    }
    mNow = end;
  }

  statement_request Request(statement_kind aKind)
  {
    statement_request request;
    request.mRequestId = "r" + std::to_string(++mRequests);
    request.mService = "drums";
    request.mAccount = "workshop";
    request.mKind = aKind;
    request.mBody = "body";
    request.mDeadline = mNow + seconds(5);
    if (aKind == statement_kind::Write || aKind == statement_kind::Commit) {
      request.mIdempotencyKey = "key" + std::to_string(mRequests);
    }
    return request;
  }

  void Submit(const statement_request& aRequest)
  {
    Handle(statement_submitted{ aRequest });
  }

  std::string Token(std::uint64_t aTerm, std::uint64_t aIndex) const
  {
    return *EncodeSession(
      { "drums", "workshop", { aTerm, aIndex } }, Keys(), mWall);
  }

  // Removes and returns the first outstanding request of type T.
  template<typename T>
  std::optional<std::pair<sent, T>> Take(const std::string& aServer = "")
  {
    for (std::size_t i = 0; i < mSent.size(); ++i) {
      const auto* typed = std::get_if<T>(&mSent[i].mRequest);
      if (typed && (aServer.empty() || mSent[i].mServer == aServer)) {
        std::pair<sent, T> found{ mSent[i], *typed };
        mSent.erase(mSent.begin() + static_cast<std::ptrdiff_t>(i));
        return found;
      }
    }
    return std::nullopt;
  }

  // Answers a statement as executed at an index.
  void Execute(const std::pair<sent, backend_statement>& aSent,
               std::uint64_t aIndex,
               const std::string& aBody = "result")
  {
    backend_reply reply;
    reply.mRequestId = aSent.second.mRequestId;
    reply.mTerm = aSent.second.mTerm;
    reply.mIndex = aIndex;
    reply.mBody = aBody;
    Handle(reply_received{ aSent.first.mConnection, reply });
  }

  void RefuseStatement(const std::pair<sent, backend_statement>& aSent,
                       backend_error aError)
  {
    backend_reply reply;
    reply.mRequestId = aSent.second.mRequestId;
    reply.mTerm = aSent.second.mTerm;
    reply.mError = aError;
    Handle(reply_received{ aSent.first.mConnection, reply });
  }

  // A voter answers its outstanding wait.
  bool Acknowledge(const std::string& aServer, std::uint64_t aIndex)
  {
    const auto wait = Take<backend_wait>(aServer);
    if (!wait) {
      return false;
    }
    backend_reply reply;
    reply.mTerm = wait->second.mTerm;
    reply.mIndex = aIndex;
    Handle(reply_received{ wait->first.mConnection, reply });
    return true;
  }

  void Lose(connection_id aConnection)
  {
    std::erase_if(mSent, [&](const sent& aSent) {
      return aSent.mConnection == aConnection;
    });
    Handle(connection_closed{ aConnection, false });
  }

  service_engine mEngine;
  service_view mView;
  time_point mNow{ seconds(100) };
  wall_time mWall{ seconds(1'800'000'000) };
  std::map<connection_id, std::string> mOpening;
  std::map<connection_id, std::string> mServerOf;
  std::map<std::string, std::uint64_t> mApplied;
  std::vector<sent> mSent;
  std::vector<connection_id> mClosed;
  std::vector<statement_response> mAnswers;
  std::vector<report_evidence> mEvidence;
  // Closed by the engine, but not by the servers.
  std::vector<connection_id> mEnding;
  // The servers learn of no close.
  bool mSilent = false;
  int mRequests = 0;
};

} // namespace snipewalk

#endif // SNIPEWALK_TESTS_REQUEST_ENGINE_DRIVER_H_
