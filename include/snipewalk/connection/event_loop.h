// Single-threaded event loop over epoll: sockets, timers and tasks posted by
// other threads. Each control or traffic thread runs one.
#ifndef SNIPEWALK_CONNECTION_EVENT_LOOP_H_
#define SNIPEWALK_CONNECTION_EVENT_LOOP_H_

#include "snipewalk/base/time.h"

#include <atomic>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <unordered_map>
#include <vector>

namespace Poco::Net {
class PollSet;
class Socket;
} // namespace Poco::Net

namespace snipewalk {

// Receives the readiness of one registered socket.
class socket_handler
{
public:
  virtual ~socket_handler() = default;
  virtual void OnReadable(time_point aNow) = 0;
  virtual void OnWritable(time_point aNow) = 0;
  virtual void OnSocketError(time_point aNow) = 0;
};

class event_loop
{
public:
  using task = std::function<void()>;
  using timer_task = std::function<void(time_point aNow)>;
  using timer_id = std::uint64_t;

  event_loop();
  ~event_loop();
  event_loop(const event_loop&) = delete;
  event_loop& operator=(const event_loop&) = delete;

  // Registers a socket for reading and, if asked, writing. The handler must
  // stay alive until Remove() returned. Loop thread only.
  void Add(const Poco::Net::Socket& aSocket,
           socket_handler* aHandler,
           bool aWantWrite);
  void SetWantWrite(const Poco::Net::Socket& aSocket, bool aWantWrite);
  // Sockets are polled for reading until this is called with false.
  void SetWantRead(const Poco::Net::Socket& aSocket, bool aWantRead);
  void Remove(const Poco::Net::Socket& aSocket);

  // Runs the task on the loop thread. Any thread; also before Run().
  void Post(task aTask);

  // Runs the task at or soon after `aWhen`. Loop thread only.
  timer_id RunAt(time_point aWhen, timer_task aTask);
  void Cancel(timer_id aTimer);

  // Runs `aTask` after each round of events, before the loop blocks again.
  // Used to hand over work collected during the round. Loop thread only.
  void SetAfterRound(timer_task aTask);

  // Waits for one round of events, 100 ms at most, and handles it.
  void RunOnce();

  // Blocks until Stop(). Tasks posted before Stop() still run.
  void Run();

  // Any thread.
  void Stop();

  // Time at which the current handler was called. Loop thread only.
  time_point Now() const { return mNow; }

private:
  class wake_up;

  struct registration
  {
    socket_handler* mHandler;
    bool mWantWrite;
    bool mWantRead = true;
  };

  void ReadClock();
  void RunPosted();
  void RunTimers();
  void Dispatch();
  // Milliseconds until the next timer, at most kMaxWait.
  milliseconds WaitTime() const;

  std::unique_ptr<Poco::Net::PollSet> mPollSet;
  // Ends a blocking poll from another thread.
  std::unique_ptr<wake_up> mWakeUp;
  // Keyed by the socket's implementation, which identifies it for its life.
  std::unordered_map<const void*, registration> mHandlers;
  std::multimap<time_point, std::pair<timer_id, timer_task>> mTimers;
  std::unordered_map<timer_id, time_point> mTimerDue;
  timer_id mNextTimer = 1;
  timer_task mAfterRound;
  time_point mNow;
  std::atomic<bool> mStopped{ false };
  std::mutex mMutex;
  // Guarded by mMutex.
  std::vector<task> mPosted;
};

} // namespace snipewalk

#endif // SNIPEWALK_CONNECTION_EVENT_LOOP_H_
