// Drives the callers of one thread of a load run over HTTP connections to the
// instances. A caller switches the instance at each request.
#ifndef SNIPEWALK_LOAD_LOAD_WORKER_H_
#define SNIPEWALK_LOAD_LOAD_WORKER_H_

#include "snipewalk/base/time.h"
#include "snipewalk/load/history_file.h"
#include "snipewalk/load/load_session.h"
#include "snipewalk/load/load_statistics.h"

#include <cstdint>
#include <memory>
#include <string>
#include <vector>

namespace snipewalk {

class tls_context;

struct load_options
{
  // "IP:port" of each instance.
  std::vector<std::string> mInstances;
  std::vector<std::string> mServices;
  std::vector<std::string> mAccounts;
  std::size_t mSessions = 1;
  // Connections that are opened and stay idle.
  std::size_t mIdleConnections = 0;
  // Requests a second of this worker; zero sends the next request as soon as
  // the last one was answered.
  double mRate = 0;
  milliseconds mDuration{ 10'000 };
  // Requests after which the load ends early; zero for no such bound.
  std::size_t mRequests = 0;
  // Bound of the time for unknown outcomes and last reads after mDuration.
  milliseconds mSettle{ 20'000 };
  milliseconds mTimeout{ 5'000 };
  load_profile mProfile;
  // Number of the worker's first session.
  std::size_t mFirstSession = 0;
  std::uint64_t mSeed = 1;
  // Null for plain HTTP.
  std::shared_ptr<const tls_context> mTls;
};

class load_worker_state;

class load_worker
{
public:
  load_worker(const load_options& aOptions, history_file& aHistory);
  ~load_worker();
  load_worker(const load_worker&) = delete;
  load_worker& operator=(const load_worker&) = delete;

  // Blocks for at most mDuration and mSettle together.
  void Run();

  // Ends the load early, as if mDuration were over. Any thread and signal
  // handlers; also before Run().
  void RequestStop();

  // Of the requests begun before StoppedAt(). Call after Run().
  const load_statistics& Statistics() const;
  // Microseconds on the records' clock. Call after Run().
  std::int64_t StartedAt() const;
  std::int64_t StoppedAt() const;

private:
  std::unique_ptr<load_worker_state> mState;
};

} // namespace snipewalk

#endif // SNIPEWALK_LOAD_LOAD_WORKER_H_
