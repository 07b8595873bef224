// Callers and connections of one thread of a load run.
#ifndef SNIPEWALK_LOAD_LOAD_WORKER_STATE_H_
#define SNIPEWALK_LOAD_LOAD_WORKER_STATE_H_

#include "load/load_http.h"
#include "snipewalk/connection/event_loop.h"
#include "snipewalk/connection/stream_connection.h"
#include "snipewalk/load/load_worker.h"

#include <atomic>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

namespace snipewalk {

class load_worker_state
{
public:
  load_worker_state(const load_options& aOptions, history_file& aHistory);
  void Run();

  load_statistics mStatistics;
  std::int64_t mStartedAt = 0;
  std::int64_t mStoppedAt = 0;
  std::atomic<bool> mStopRequested{ false };

private:
  using link_number = std::uint64_t;
  struct caller
  {
    std::unique_ptr<load_session> mSession;
    load_target mTarget;
    std::size_t mInstance = 0;
    // When the next request is due at the given rate.
    time_point mDue;
    std::uint64_t mRequests = 0;
    bool mFinished = false;
  };
  struct exchange
  {
    std::size_t mCaller = 0;
    load_request mRequest;
    std::string mRequestId;
    time_point mStart;
    event_loop::timer_id mTimer = 0;
  };
  struct link
  {
    std::unique_ptr<stream_connection> mStream;
    http_reader mReader;
    std::size_t mInstance = 0;
    std::optional<exchange> mExchange;
  };

  void AddCaller(std::size_t aNumber);
  std::unique_ptr<stream_connection> Connect(
    const std::string& aAddress,
    stream_connection::handlers aHandlers);
  void OpenIdleConnections();
  void Schedule(std::size_t aCaller, time_point aNow);
  void Send(std::size_t aCaller, time_point aNow);
  link_number TakeLink(std::size_t aInstance);
  void OnInput(link_number aLink, std::string& aInput);
  void OnClosed(link_number aLink, close_cause aCause);
  void OnTimeout(link_number aLink);
  // Gives the answer to the link's caller.
  void Complete(const exchange& aExchange,
                std::size_t aInstance,
                const load_answer& aAnswer);
  void Record(const exchange& aExchange,
              std::size_t aInstance,
              const load_answer& aAnswer,
              time_point aEnd);
  void CloseLink(link_number aLink);
  // Ends the load; what is unknown is still settled.
  void FinishCallers();
  void WatchStopRequest(time_point aNow);
  void FlushHistory();

  load_options mOptions;
  history_file& mHistory;
  event_loop mLoop;
  std::map<std::string, load_key_pool> mPools;
  std::vector<caller> mCallers;
  std::vector<std::unique_ptr<stream_connection>> mIdle;
  std::unordered_map<link_number, link> mLinks;
  std::vector<std::vector<link_number>> mIdleLinks;
  link_number mNextLink = 1;
  duration mInterval{ 0 };
  std::size_t mFinishedCallers = 0;
  std::size_t mSent = 0;
  bool mFinishing = false;
  std::string mLines;
};

} // namespace snipewalk

#endif // SNIPEWALK_LOAD_LOAD_WORKER_STATE_H_
