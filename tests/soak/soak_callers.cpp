// Implementation of the callers of a soak run.
#include "soak/soak_callers.h"

#include "standins/odd_texts.h"
#include "standins/session_caller.h"

#include <Poco/Exception.h>
#include <absl/strings/str_cat.h>

#include <chrono>
#include <random>
#include <set>
#include <string>

namespace snipewalk::soak {

namespace {

constexpr const char* kPrimaryDatabase = "main";
constexpr const char* kOwnWritesDatabase = "own";
// Staleness limit of reads in the stand-in's desired state.
constexpr milliseconds kMaxStaleness{ 2'500 };
constexpr milliseconds kAnswerTimeout{ 5'000 };
constexpr milliseconds kOperationPause{ 4 };
constexpr milliseconds kReconnectPause{ 50 };
constexpr int kMaxSessionOperations = 60;
// Names of the prepared statements of each session.
constexpr const char* kPreparedRead = "s1";
constexpr const char* kPreparedWrite = "s2";
// Session value that a server returns where none was set.
constexpr const char* kNoTenant = "none";
// An instance may close an idle session while a request is being sent. The
// caller sees this within this time; such a request counts as never read, not
// as a reply that was cut off.
constexpr milliseconds kIdleCloseDetectionTime{ 200 };

// Returns whether the error code guarantees that the request had no lasting
// effect.
bool
GuaranteesNothingKept(const std::string& aCode)
{
  static const std::set<std::string> kCodes{ "BUSY",      "ABORTED",
                                             "LAGGING",   "READONLY",
                                             "WRONGNODE", "TOOMANYCON" };
  return kCodes.contains(aCode);
}

time_point
Now()
{
  return std::chrono::steady_clock::now();
}

// One caller, which writes only keys of its own and opens one session after the
// other.
class soak_caller
{
public:
  soak_caller(const caller_options& aOptions,
              std::size_t aNumber,
              promise_checks& aChecks)
    : mOptions(aOptions)
    , mChecks(aChecks)
    , mNumber(aNumber)
    , mRandom(aOptions.mSeed * 1'000 + aNumber)
    , mTexts(aOptions.mSeed * 1'000 + aNumber)
  {
    StartNewKey();
  }

  // Runs one session. Returns false if no session could be opened or the
  // session was lost.
  bool RunSession(const std::atomic<bool>& aStopped)
  {
    const std::uint16_t port = mOptions.mPorts[Draw(mOptions.mPorts.size())];
    const bool primary = Draw(2) == 0;
    try {
      standins::session_caller session(
        port,
        kAnswerTimeout,
        absl::StrCat("c", mNumber, ".", ++mSessions, "."));
      mSetup = {};
      if (!session.Start(primary ? kPrimaryDatabase : kOwnWritesDatabase)
             .mError.empty()) {
        return false;
      }
      mOwnAcknowledged = 0;
      mOwnKey.clear();
      bool open = SetTenant(session) && SetOddValue(session) &&
                  Prepare(session, kPreparedRead, "READ") &&
                  Prepare(session, kPreparedWrite, "WRITE");
      for (int i = 0; open && i < kMaxSessionOperations && !aStopped; ++i) {
        open = RunOperation(session, primary);
        std::this_thread::sleep_for(kOperationPause);
      }
      return open;
    } catch (const Poco::Exception&) {
      return false;
    }
  }

private:
  std::size_t Draw(std::size_t aBelow) { return mRandom() % aBelow; }

  // Starts a new key. A write with an unknown outcome may still take effect
  // later, so its key is not written again.
  void StartNewKey()
  {
    mKey = absl::StrCat("c", mNumber, ".", ++mKeyCount);
    mNextNumber = 1;
  }

  standins::session_answer SendRequest(standins::session_caller& aSession,
                                       const std::string& aText)
  {
    mChecks.BeginStatement(aSession.NextId(), aText, mSetup);
    const time_point sent = Now();
    auto answer = aSession.Query(aText);
    if (mOptions.mRequireCompleteReplies && !answer.mWhole &&
        Now() > sent + kIdleCloseDetectionTime) {
      mChecks.AddViolation(absl::StrCat("reply was cut off: ", aText));
    }
    return answer;
  }

  // Runs one random operation. Returns false if the session was lost.
  bool RunOperation(standins::session_caller& aSession, bool aPrimary)
  {
    switch (Draw(8)) {
      case 0:
      case 1:
        return Write(aSession);
      case 2:
        return Transaction(aSession);
      case 3:
        return CheckTenant(aSession);
      default:
        return Read(aSession, aPrimary);
    }
  }

  bool Write(standins::session_caller& aSession)
  {
    const std::uint64_t number = mNextNumber++;
    mChecks.BeginWrite(mKey, number);
    return RecordOutcome(SendRequest(aSession, WriteText(number)), number);
  }

  // Records the outcome of a write or commit. Returns false if the session was
  // lost.
  bool RecordOutcome(const standins::session_answer& aAnswer,
                     std::uint64_t aNumber)
  {
    if (aAnswer.mWhole && aAnswer.mCompleted) {
      mChecks.EndWrite(mKey, aNumber, write_outcome::Acknowledged, Now());
      mOwnKey = mKey;
      mOwnAcknowledged = aNumber;
    } else if (aAnswer.mWhole && GuaranteesNothingKept(aAnswer.mError)) {
      mChecks.EndWrite(mKey, aNumber, write_outcome::NotRun, Now());
    } else {
      StartNewKey();
    }
    return aAnswer.mWhole;
  }

  bool Transaction(standins::session_caller& aSession)
  {
    const auto begun = SendRequest(aSession, "BEGIN");
    if (!begun.mWhole || !begun.mCompleted) {
      return begun.mWhole;
    }
    const std::uint64_t number = mNextNumber++;
    mChecks.BeginWrite(mKey, number);
    const auto written = SendRequest(aSession, WriteText(number));
    const bool sound =
      written.mWhole && written.mCompleted && CheckTenant(aSession);
    const bool rollBack = Draw(4) == 0;
    if (sound && !rollBack) {
      return RecordOutcome(SendRequest(aSession, "COMMIT"), number);
    }
    // No commit was requested, so the write must not be kept.
    mChecks.EndWrite(mKey, number, write_outcome::NotRun, Now());
    return written.mWhole && SendRequest(aSession, "ROLLBACK").mWhole;
  }

  // Sets a session value in half of the sessions. Returns false if the session
  // was lost.
  bool SetTenant(standins::session_caller& aSession)
  {
    mTenant = Draw(2) == 0 ? absl::StrCat("c", mNumber) : kNoTenant;
    if (mTenant == kNoTenant) {
      return true;
    }
    const bool set = SendRequest(aSession, "SET tenant " + mTenant).mCompleted;
    mSetup.mValues["tenant"] = mTenant;
    return set;
  }

  // Sets a value that other sessions have not set or set otherwise. Returns
  // false if the session was lost.
  bool SetOddValue(standins::session_caller& aSession)
  {
    const std::string name = mTexts.Word();
    const std::string value = mTexts.Text();
    const bool set =
      SendRequest(aSession, absl::StrCat("SET ", name, " ", value)).mCompleted;
    mSetup.mValues[name] = value;
    return set;
  }

  // Prepares a statement under the name. Other sessions give the same name to
  // other shapes, and some shapes contain those of others. Returns false if the
  // session was lost.
  bool Prepare(standins::session_caller& aSession,
               const std::string& aName,
               const std::string& aAccess)
  {
    const std::string shape = absl::StrCat(aAccess, " ", mTexts.Text());
    const bool prepared =
      SendRequest(aSession, absl::StrCat("PARSE ", aName, " ", shape))
        .mCompleted;
    mSetup.mPrepared[aName] = shape;
    return prepared;
  }

  // The word of a statement, or the execution of a prepared one in its place.
  std::string Verb(const std::string& aWord, const std::string& aPrepared)
  {
    return mTexts.Below(2) == 0 ? aWord + " "
                                : absl::StrCat("EXECUTE ", aPrepared, " ");
  }

  std::string WriteText(std::uint64_t aNumber)
  {
    return absl::StrCat(
      Verb("WRITE", kPreparedWrite), mKey, " ", ValueOf(mKey, aNumber));
  }

  // Checks the session value that a statement sees. Returns false if the
  // session was lost.
  bool CheckTenant(standins::session_caller& aSession)
  {
    const auto answer = SendRequest(aSession, "READ session.tenant");
    if (answer.mWhole && answer.mCompleted && answer.mRow != mTenant) {
      mChecks.AddViolation(
        absl::StrCat("session value of ", mTenant, " seen as ", answer.mRow));
    }
    return answer.mWhole;
  }

  bool Read(standins::session_caller& aSession, bool aPrimary)
  {
    const bool own = Draw(2) == 0 && !mOwnKey.empty();
    const std::string key =
      own ? mOwnKey : absl::StrCat("c", Draw(mOptions.mCallers), ".1");
    std::uint64_t floor =
      mChecks.Acknowledged(key, aPrimary ? Now() : Now() - kMaxStaleness);
    if (own) {
      floor = std::max(floor, mOwnAcknowledged);
    }
    const auto answer =
      SendRequest(aSession, Verb("READ", kPreparedRead) + key);
    if (answer.mWhole && answer.mCompleted) {
      mChecks.CheckRead(
        key, floor, answer.mRow, aPrimary ? "primary" : "own writes");
    }
    return answer.mWhole;
  }

  const caller_options& mOptions;
  promise_checks& mChecks;
  std::size_t mNumber;
  std::mt19937_64 mRandom;
  // Draws of its own, so that the operations do not depend on them.
  standins::odd_texts mTexts;
  std::size_t mSessions = 0;
  // What the current session has set up.
  standins::session_setup mSetup;
  std::string mKey;
  std::uint64_t mKeyCount = 0;
  std::uint64_t mNextNumber = 1;
  // Key of the newest acknowledged write of the current session; empty if there
  // is none.
  std::string mOwnKey;
  // Session value of the current session, or kNoTenant.
  std::string mTenant;
  // Number of the newest acknowledged write of the current session.
  std::uint64_t mOwnAcknowledged = 0;
};

} // namespace

soak_callers::soak_callers(caller_options aOptions, promise_checks& aChecks)
  : mOptions(std::move(aOptions))
  , mChecks(aChecks)
{
  for (std::size_t i = 0; i < mOptions.mCallers; ++i) {
    mThreads.emplace_back([this, i] { Run(i); });
  }
}

soak_callers::~soak_callers()
{
  Stop();
}

void
soak_callers::Run(std::size_t aCaller)
{
  soak_caller self(mOptions, aCaller, mChecks);
  while (!mStopped) {
    if (!self.RunSession(mStopped)) {
      std::this_thread::sleep_for(kReconnectPause);
    }
  }
}

void
soak_callers::Stop()
{
  mStopped = true;
  for (auto& thread : mThreads) {
    if (thread.joinable()) {
      thread.join();
    }
  }
}

} // namespace snipewalk::soak
