// Implementation of the callers of a case.
#include "callers.h"

#include "standins/session_caller.h"

#include <Poco/Exception.h>
#include <absl/strings/str_cat.h>

namespace snipewalk::review {

namespace {

constexpr milliseconds kPauseAfterFailure{ 60 };
constexpr milliseconds kAnswerTimeout{ 4'000 };
constexpr const char* kWriting = "";
constexpr int kNotedCases = 5;

} // namespace

callers::callers(case_record& aRecord, case_system& aSystem)
  : mRecord(aRecord)
  , mSystem(aSystem)
{
}

callers::~callers()
{
  Stop();
}

void
callers::Write(const std::string& aInstance)
{
  const std::string name = absl::StrCat("w", mThreads.size(), "n");
  mThreads.emplace_back([this, aInstance, name, pause = mPause] {
    Loop(aInstance, kWriting, name, pause);
  });
}

void
callers::Read(const std::string& aInstance, const std::string& aDatabase)
{
  const std::string name = absl::StrCat("r", mThreads.size(), "n");
  mThreads.emplace_back([this, aInstance, aDatabase, name, pause = mPause] {
    Loop(aInstance, aDatabase, name, pause);
  });
}

void
callers::Stop()
{
  mStopped.store(true);
  for (auto& thread : mThreads) {
    thread.join();
  }
  mThreads.clear();
}

void
callers::Loop(const std::string& aInstance,
              const std::string& aDatabase,
              const std::string& aName,
              milliseconds aPause)
{
  const bool writes = aDatabase == kWriting;
  int session = 0;
  while (!mStopped.load()) {
    try {
      standins::session_caller caller(mSystem.CallerPort(aInstance),
                                      kAnswerTimeout,
                                      absl::StrCat(aName, ++session, "q"));
      bool open = caller.Start(writes ? "main" : aDatabase).mError.empty();
      while (open && !mStopped.load()) {
        const std::string id = caller.NextId();
        const std::string value = "v" + id;
        const std::string text = writes ? "WRITE k " + value : "READ k";
        const time_point sent = Now();
        const auto answer = caller.Query(text);
        const bool done = answer.mWhole && answer.mCompleted;
        mRecord.Note(absl::StrCat(aInstance,
                                  " ",
                                  aDatabase,
                                  " ",
                                  id,
                                  " ",
                                  text,
                                  " -> ",
                                  done            ? "done " + answer.mRow
                                  : answer.mWhole ? answer.mError
                                                  : "no answer",
                                  " after ",
                                  ToMilliseconds(Now() - sent),
                                  " ms"));
        if (done) {
          const std::lock_guard<std::mutex> lock(mMutex);
          if (writes) {
            mWrites.push_back({ value, Now() });
          } else {
            mReads.push_back({ id, aDatabase, sent });
          }
        }
        open = answer.mWhole;
        std::this_thread::sleep_for(done ? aPause : kPauseAfterFailure);
      }
    } catch (const Poco::Exception&) {
      std::this_thread::sleep_for(kPauseAfterFailure);
    }
  }
}

int
callers::CountStale(const std::map<std::string, executed_statement>& aExecuted,
                    const std::set<std::string>& aKept)
{
  const std::lock_guard<std::mutex> lock(mMutex);
  int stale = 0;
  std::map<log, std::set<std::string>> values;
  for (const auto& read : mReads) {
    const auto ran = aExecuted.find(read.mId);
    if (ran == aExecuted.end()) {
      continue;
    }
    const duration age = read.mDatabase == "main"
                           ? duration(0)
                           : duration(case_system::kMaxStaleness);
    const auto logged = values.try_emplace(ran->second.mLog);
    if (logged.second) {
      logged.first->second = ValuesOf(ran->second.mLog);
    }
    const acknowledged_write* missing = nullptr;
    for (const auto& write : mWrites) {
      const bool needed =
        write.mAt + age < read.mSent && aKept.contains(write.mValue);
      if (needed && !logged.first->second.contains(write.mValue)) {
        missing = &write;
      }
    }
    if (missing == nullptr) {
      continue;
    }
    if (++stale <= kNotedCases) {
      mRecord.Note(absl::StrCat("STALE: read ",
                                read.mId,
                                " of ",
                                read.mDatabase,
                                " ran at ",
                                ran->second.mServer,
                                ", whose log stood at ",
                                PositionOf(ran->second.mLog).ToString(),
                                " and lacked ",
                                missing->mValue,
                                ", acknowledged ",
                                ToMilliseconds(read.mSent - missing->mAt),
                                " ms before the read was sent"));
    }
  }
  return stale;
}

int
callers::CountLost(const std::set<std::string>& aKept)
{
  const std::lock_guard<std::mutex> lock(mMutex);
  int lost = 0;
  for (const auto& write : mWrites) {
    if (!aKept.contains(write.mValue) && ++lost <= kNotedCases) {
      mRecord.Note("LOST: " + write.mValue + " was acknowledged");
    }
  }
  return lost;
}

int
callers::Acknowledged()
{
  const std::lock_guard<std::mutex> lock(mMutex);
  return static_cast<int>(mWrites.size());
}

int
callers::Reads()
{
  const std::lock_guard<std::mutex> lock(mMutex);
  return static_cast<int>(mReads.size());
}

} // namespace snipewalk::review
