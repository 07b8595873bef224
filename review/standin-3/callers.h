// Callers of a case: sessions that write or read all the time, what was
// acknowledged to them, and the check that no read was stale.
#ifndef SNIPEWALK_REVIEW_CALLERS_H_
#define SNIPEWALK_REVIEW_CALLERS_H_

#include "case_system.h"

#include <atomic>
#include <map>
#include <mutex>
#include <set>
#include <string>
#include <thread>
#include <vector>

namespace snipewalk::review {

class callers
{
public:
  callers(case_record& aRecord, case_system& aSystem);
  ~callers();
  callers(const callers&) = delete;
  callers& operator=(const callers&) = delete;

  // Starts a session that writes a new value each time.
  void Write(const std::string& aInstance);
  // Time that the sessions started from now on wait after each answer.
  void SetPause(milliseconds aPause) { mPause = aPause; }
  // Starts a session that reads from a database.
  void Read(const std::string& aInstance, const std::string& aDatabase);
  // Ends all sessions.
  void Stop();

  // Counts the reads that were answered with success and ran on a log without a
  // commit that had been acknowledged more than `aMaxAge` before the read was
  // sent, and notes them. Reads of "main" may lack no commit that was
  // acknowledged before them. Only the values in `aKept` count: a promotion
  // has rolled back the others.
  int CountStale(const std::map<std::string, executed_statement>& aExecuted,
                 const std::set<std::string>& aKept);
  // Counts the writes that were acknowledged and are not in `aKept`, and notes
  // the first ones.
  int CountLost(const std::set<std::string>& aKept);
  int Acknowledged();
  int Reads();

private:
  struct acknowledged_write
  {
    std::string mValue;
    time_point mAt;
  };
  struct finished_read
  {
    std::string mId;
    std::string mDatabase;
    time_point mSent;
  };

  // Sends statements of a session, which is opened again when it ends.
  void Loop(const std::string& aInstance,
            const std::string& aDatabase,
            const std::string& aName,
            milliseconds aPause);

  case_record& mRecord;
  case_system& mSystem;
  milliseconds mPause{ 15 };
  std::atomic<bool> mStopped{ false };
  std::vector<std::thread> mThreads;
  std::mutex mMutex;
  std::vector<acknowledged_write> mWrites;
  std::vector<finished_read> mReads;
};

} // namespace snipewalk::review

#endif // SNIPEWALK_REVIEW_CALLERS_H_
