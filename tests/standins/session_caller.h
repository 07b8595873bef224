// A caller's session with the session front end over a blocking socket.
#ifndef SNIPEWALK_STANDINS_SESSION_CALLER_H_
#define SNIPEWALK_STANDINS_SESSION_CALLER_H_

#include "snipewalk/base/time.h"

#include <cstdint>
#include <string>

#include <Poco/Net/StreamSocket.h>

namespace snipewalk::standins {

// What a caller read in answer to one line.
struct session_answer
{
  // All lines as they came.
  std::string mText;
  // Value of the row; empty without one.
  std::string mRow;
  // Code of an error; empty without one.
  std::string mError;
  // A statement completed.
  bool mCompleted = false;
  // The answer came to its end.
  bool mWhole = false;
};

class session_caller
{
public:
  // Throws Poco::Exception when nothing listens. The ids of its requests begin
  // with `aIdPrefix`.
  explicit session_caller(std::uint16_t aPort,
                          milliseconds aTimeout = milliseconds(8'000),
                          std::string aIdPrefix = "q");

  session_answer Start(const std::string& aDatabase);
  session_answer Query(const std::string& aText);
  // Id of the next Query().
  std::string NextId() const;
  // Sends one line and reads until the answer ends, the connection does, or
  // nothing came for the time limit.
  session_answer Call(const std::string& aLine);

private:
  Poco::Net::StreamSocket mSocket;
  std::string mIdPrefix;
  int mRequests = 0;
};

} // namespace snipewalk::standins

#endif // SNIPEWALK_STANDINS_SESSION_CALLER_H_
