// Instance of the caller API on a thread of the test: executes statements on
// one map and can be told to break a guarantee.
#ifndef SNIPEWALK_LOAD_FAKE_INSTANCE_H_
#define SNIPEWALK_LOAD_FAKE_INSTANCE_H_

#include "standins/backend_transaction.h"
#include "standins/http_service.h"

#include <functional>
#include <map>
#include <string>
#include <thread>

namespace snipewalk {

class fake_instance
{
public:
  enum class fault
  {
    None,
    // Acknowledges writes without executing them.
    LoseWrites,
    // Executes writes that it refuses.
    LieAboutRefusals,
    // Executes repeated keys again after a lost answer.
    ForgetKeys,
    // Loses answers, but keeps the keys.
    LoseAnswers,
    // Answers with the value of another key.
    CrossAnswers
  };

  explicit fake_instance(fault aFault)
    : mFault(aFault)
    , mService(mLoop,
               { [this](standins::connection_number aConnection,
                        const http_request& aRequest,
                        time_point) { OnRequest(aConnection, aRequest); },
                 [](standins::connection_number) {},
                 {} })
    , mPort(mService.Listen(0))
    , mThread([this] { mLoop.Run(); })
  {
  }
  ~fake_instance()
  {
    mLoop.Stop();
    mThread.join();
  }
  fake_instance(const fake_instance&) = delete;
  fake_instance& operator=(const fake_instance&) = delete;

  std::string Address() const { return "127.0.0.1:" + std::to_string(mPort); }

private:
  void OnRequest(standins::connection_number aConnection,
                 const http_request& aRequest)
  {
    const std::string key(aRequest.mHeaders.Get("Idempotency-Key"));
    http_response response;
    response.mHeaders.Add(
      "Snipewalk-Request-Id",
      std::string(aRequest.mHeaders.Get("Snipewalk-Request-Id")));
    response.mHeaders.Add("Snipewalk-Server", "server-1");
    const auto parsed = standins::ParseCommand(aRequest.mBody);
    const bool isWrite =
      parsed && parsed->mVerb == standins::command_verb::Append;
    const bool strikes = isWrite && ++mWrites % 5 == 0;
    if (isWrite) {
      response.mBody = Write(*parsed, key, strikes);
    } else if (parsed) {
      response.mBody = mValues[parsed->mKey];
      if (mFault == fault::CrossAnswers && mLast != parsed->mKey) {
        response.mBody = mValues[mLast];
      }
    }
    const bool loses =
      strikes && (mFault == fault::ForgetKeys || mFault == fault::LoseAnswers);
    if (loses) {
      mService.Close(aConnection);
      return;
    }
    const bool refuses = strikes && mFault == fault::LieAboutRefusals;
    response.mHeaders.Add("Snipewalk-Outcome", refuses ? "not_run" : "done");
    if (refuses) {
      response.mStatus = 503;
      response.mBody = "{\"reason\":\"no_primary\",\"retry_after_ms\":1}";
    }
    mService.Answer(aConnection, response);
  }

  std::string Write(const standins::command& aCommand,
                    const std::string& aKey,
                    bool aStrikes)
  {
    std::string& value = mValues[aCommand.mKey];
    const auto done = mKeys.find(aKey);
    if (done != mKeys.end() && mFault != fault::ForgetKeys) {
      return done->second;
    }
    mLast = aCommand.mKey;
    if (aStrikes && mFault == fault::LoseWrites) {
      return value + aCommand.mArgument;
    }
    value += aCommand.mArgument;
    mKeys[aKey] = value;
    return value;
  }

  fault mFault;
  event_loop mLoop;
  standins::http_service mService;
  std::map<std::string, std::string> mValues;
  std::map<std::string, std::string> mKeys;
  std::string mLast;
  int mWrites = 0;
  std::uint16_t mPort;
  std::thread mThread;
};

} // namespace snipewalk

#endif // SNIPEWALK_LOAD_FAKE_INSTANCE_H_
