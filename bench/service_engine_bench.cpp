// Time of the service engine for one statement: its events and actions, without
// sockets and HTTP. Heap allocations are counted by a replaced operator new;
// they include those of the request, the replies and the actions.
#include "snipewalk/request/service_engine.h"
#include "snipewalk/request/session_token.h"

#include <benchmark/benchmark.h>

#include <cstdlib>
#include <deque>
#include <map>
#include <new>

namespace {

std::size_t allocations = 0;

} // namespace

[[gnu::noinline]] void*
operator new(std::size_t aSize)
{
  ++allocations;
  if (void* memory = std::malloc(aSize)) {
    return memory;
  }
  throw std::bad_alloc();
}

[[gnu::noinline]] void
operator delete(void* aMemory) noexcept
{
  std::free(aMemory);
}

[[gnu::noinline]] void
operator delete(void* aMemory, std::size_t) noexcept
{
  std::free(aMemory);
}

namespace snipewalk {
namespace {

const wall_time kWall{ seconds(1'800'000'000) };

// Three servers that answer each request at once.
class instant_servers
{
public:
  instant_servers()
    : mEngine("drums", { "i1", 1, "munich", 1 })
  {
    auto view = std::make_shared<service_view>();
    for (const char* name : { "a", "b", "c" }) {
      server_entry entry;
      entry.mName = name;
      entry.mAddress = std::string("10.0.0.1:") + name;
      entry.mDataCentre = "munich";
      view->mDocument.mServers.push_back(entry);
      view->mTerm.mVoters.emplace_back(name);
    }
    view->mTerm.mTerm = 1;
    view->mTerm.mPrimary = "a";
    view->mConnectionShare = 7;
    view->mDocument.mQueueLimit = 10'000;
    Handle(view_changed{ view, { { "k1", "secret", wall_time{} } } });
    Run();
  }

  void Submit(statement_kind aKind, bool aSession)
  {
    statement_request request;
    request.mRequestId = "instance-1-" + std::to_string(++mRequests);
    request.mService = "drums";
    request.mAccount = "workshop-7";
    request.mKind = aKind;
    request.mBody = "SELECT approval FROM drums WHERE id = 4711";
    request.mDeadline = mNow + seconds(5);
    if (aKind == statement_kind::Write) {
      request.mIdempotencyKey = "key-" + request.mRequestId;
    }
    if (aSession) {
      request.mSession = mToken;
    }
    Handle(statement_submitted{ std::move(request) });
  }

  // Answers requests until none is left.
  void Run()
  {
    while (!mPending.empty()) {
      auto action = std::move(mPending.front());
      mPending.pop_front();
      if (const auto* open = std::get_if<open_connection>(&action)) {
        mServerOf[open->mConnection] = open->mServer.mName;
        Handle(connection_opened{ open->mConnection });
      } else if (const auto* send = std::get_if<send_request>(&action)) {
        Handle(reply_received{ send->mConnection, Reply(*send) });
      } else if (auto* answer = std::get_if<answer_request>(&action)) {
        auto& response = answer->mResponse;
        mDone += response.mOutcome == statement_outcome::Done ? 1 : 0;
        if (!response.mSession.empty()) {
          mToken = response.mSession;
        }
      }
    }
    mNow += std::chrono::microseconds(20);
    const auto timer = mEngine.NextTimer();
    if (timer && *timer <= mNow) {
      Handle(timer_expired{});
    }
  }

  std::uint64_t Done() const { return mDone; }

private:
  backend_reply Reply(const send_request& aSend)
  {
    backend_reply reply;
    reply.mTerm = 1;
    reply.mIndex = mIndex;
    if (const auto* statement =
          std::get_if<backend_statement>(&aSend.mRequest)) {
      reply.mRequestId = statement->mRequestId;
      reply.mBody = "approved";
      if (statement->mKind == statement_kind::Write) {
        reply.mIndex = ++mIndex;
      }
    } else if (std::holds_alternative<backend_status_query>(aSend.mRequest)) {
      server_status status;
      status.mServer = mServerOf[aSend.mConnection];
      status.mTerm = status.mLogTerm = 1;
      status.mRole =
        status.mServer == "a" ? server_role::Primary : server_role::Replica;
      status.mReceived = status.mApplied = mIndex;
      reply.mStatus = status;
    }
    return reply;
  }

  void Handle(const engine_event& aEvent)
  {
    mActions.clear();
    mEngine.Handle(aEvent, mNow, kWall, mActions);
    for (auto& action : mActions) {
      mPending.push_back(std::move(action));
    }
  }

  service_engine mEngine;
  time_point mNow{ seconds(1'000) };
  std::vector<engine_action> mActions;
  std::deque<engine_action> mPending;
  std::map<connection_id, std::string> mServerOf;
  std::string mToken;
  std::uint64_t mIndex = 1;
  std::uint64_t mRequests = 0;
  std::uint64_t mDone = 0;
};

// Argument: statements submitted before any is answered.
void
RunStatements(benchmark::State& aState, statement_kind aKind, bool aSession)
{
  instant_servers servers;
  servers.Submit(statement_kind::Write, false);
  servers.Run();
  const auto batch = aState.range(0);
  const std::size_t before = allocations;
  std::uint64_t submitted = 1;
  for (auto step : aState) {
    (void)step;
    for (std::int64_t i = 0; i < batch; ++i) {
      servers.Submit(aKind, aSession);
    }
    servers.Run();
    submitted += static_cast<std::uint64_t>(batch);
  }
  if (servers.Done() != submitted) {
    aState.SkipWithError("not all statements are done");
  }
  aState.SetItemsProcessed(static_cast<std::int64_t>(submitted - 1));
  aState.counters["allocations"] =
    benchmark::Counter(static_cast<double>(allocations - before) /
                       static_cast<double>(submitted - 1));
}

BENCHMARK_CAPTURE(RunStatements, Read, statement_kind::Read, false)
  ->Arg(1)
  ->Arg(64)
  ->Arg(1'000);
BENCHMARK_CAPTURE(RunStatements, SessionRead, statement_kind::Read, true)
  ->Arg(1)
  ->Arg(64);
BENCHMARK_CAPTURE(RunStatements, Write, statement_kind::Write, false)
  ->Arg(1)
  ->Arg(64)
  ->Arg(1'000);

} // namespace
} // namespace snipewalk

BENCHMARK_MAIN();
