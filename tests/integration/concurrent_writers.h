// Callers that write at the same time as a test injects failures, and the
// check of their answers against what the service holds in the end.
#ifndef SNIPEWALK_INTEGRATION_CONCURRENT_WRITERS_H_
#define SNIPEWALK_INTEGRATION_CONCURRENT_WRITERS_H_

#include "standins/system_fleet.h"

#include <atomic>
#include <string>
#include <thread>
#include <vector>

namespace snipewalk::standins {

// One thread per instance; each sends writes with different keys.
class concurrent_writers
{
public:
  explicit concurrent_writers(const system_fleet& aFleet);
  ~concurrent_writers();
  concurrent_writers(const concurrent_writers&) = delete;
  concurrent_writers& operator=(const concurrent_writers&) = delete;

  // Writes acknowledged so far.
  int Acknowledged() const { return mAcknowledged; }
  // Ends the threads after their current request.
  void Stop();
  // Expects, after Stop, that the service holds each acknowledged write and no
  // write that was answered with "not run".
  void ExpectTruthful() const;

private:
  struct sent_write
  {
    std::string mKey;
    caller_answer mAnswer;
  };

  void Run(int aInstance);

  const system_fleet& mFleet;
  std::atomic<bool> mStopped{ false };
  std::atomic<int> mAcknowledged{ 0 };
  // One list per thread.
  std::vector<std::vector<sent_write>> mSent;
  std::vector<std::thread> mThreads;
};

} // namespace snipewalk::standins

#endif // SNIPEWALK_INTEGRATION_CONCURRENT_WRITERS_H_
