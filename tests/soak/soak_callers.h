// Callers of a soak run: threads that write, read and run transactions in
// sessions with the instances, and report their observations to the checks.
#ifndef SNIPEWALK_SOAK_SOAK_CALLERS_H_
#define SNIPEWALK_SOAK_SOAK_CALLERS_H_

#include "soak/promise_checks.h"

#include <atomic>
#include <cstdint>
#include <memory>
#include <thread>
#include <vector>

namespace snipewalk::soak {

struct caller_options
{
  std::uint64_t mSeed = 1;
  std::size_t mCallers = 10;
  // Ports at which callers reach the instances.
  std::vector<std::uint16_t> mPorts;
  // Each request that an instance has read must get a complete reply.
  bool mRequireCompleteReplies = false;
};

class soak_callers
{
public:
  soak_callers(caller_options aOptions, promise_checks& aChecks);
  ~soak_callers();
  soak_callers(const soak_callers&) = delete;
  soak_callers& operator=(const soak_callers&) = delete;

  // Stops and joins all threads; each first completes its current operation.
  void Stop();

private:
  void Run(std::size_t aCaller);

  caller_options mOptions;
  promise_checks& mChecks;
  std::atomic<bool> mStopped{ false };
  std::vector<std::thread> mThreads;
};

} // namespace snipewalk::soak

#endif // SNIPEWALK_SOAK_SOAK_CALLERS_H_
