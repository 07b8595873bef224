// Starts and ends the child processes of a test and talks HTTP to them. Child
// processes are only ever addressed by the id that posix_spawn returned.
#ifndef SNIPEWALK_STANDINS_PROCESS_FLEET_H_
#define SNIPEWALK_STANDINS_PROCESS_FLEET_H_

#include "snipewalk/base/time.h"
#include "snipewalk/connection/http_codec.h"

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include <absl/status/statusor.h>
#include <json/json.h>
#include <sys/types.h>

namespace snipewalk::standins {

// Ends a child process at the end of its life. Its standard output is read
// line by line; its standard error goes to a file or is shared.
class child_process
{
public:
  // An empty log path leaves the standard error as it is.
  static absl::StatusOr<child_process> Start(
    const std::string& aProgram,
    const std::vector<std::string>& aArguments,
    const std::string& aLogPath = {});

  child_process(child_process&& aOther) noexcept;
  child_process& operator=(child_process&& aOther) noexcept;
  // SIGKILL, then reaps.
  ~child_process();

  pid_t Id() const { return mId; }
  // Next line of standard output without its end; nothing at the time limit
  // or at the end of the output.
  std::optional<std::string> ReadLine(milliseconds aTimeout);

  // Each of them does nothing once the process was reaped.
  void Signal(int aSignal) const;
  void Pause() const;
  void Resume() const;
  void Terminate() const;
  // SIGKILL and wait.
  void Kill();
  // Waits for the end; the exit code, or 128 plus the signal. Nothing at the
  // time limit.
  std::optional<int> Wait(milliseconds aTimeout);
  bool IsRunning();

private:
  child_process(pid_t aId, int aOutput);
  bool Reap(int aOptions);

  pid_t mId = 0;
  int mOutput = -1;
  std::string mRead;
  std::optional<int> mExit;
};

struct http_answer
{
  int mStatus = 0;
  http_headers mHeaders;
  std::string mBody;

  // Null when the body is no JSON.
  Json::Value Json() const;
};

// One blocking request over a new connection to 127.0.0.1.
absl::StatusOr<http_answer>
HttpCall(std::uint16_t aPort,
         const std::string& aMethod,
         const std::string& aTarget,
         const std::string& aBody = {},
         const std::map<std::string, std::string>& aHeaders = {},
         milliseconds aTimeout = milliseconds(5'000));

// Calls `aCondition` until it holds or the time is over; returns its last
// result.
bool
WaitFor(const std::function<bool()>& aCondition,
        milliseconds aTimeout = milliseconds(10'000));

// The processes of one test, by name.
class process_fleet
{
public:
  // `aBinaryDir` holds the programs.
  explicit process_fleet(std::string aBinaryDir);

  // Starts a program and reads the JSON object of its first output line.
  absl::StatusOr<Json::Value> StartStandin(
    const std::string& aName,
    const std::string& aProgram,
    const std::vector<std::string>& aArguments = {});
  // Starts a program that prints nothing.
  absl::Status Start(const std::string& aName,
                     const std::string& aProgram,
                     const std::vector<std::string>& aArguments,
                     const std::string& aLogPath = {});

  // The process must have been started.
  child_process& At(const std::string& aName);
  bool Has(const std::string& aName) const;
  void Remove(const std::string& aName);

private:
  std::string mBinaryDir;
  std::map<std::string, child_process> mProcesses;
};

// A group of stand-in backend servers.
class backend_group
{
public:
  struct server
  {
    std::string mName;
    std::uint16_t mPort = 0;
    // "IP:port"
    std::string mAddress;
  };

  // Starts servers called `<prefix><number>` from 1.
  static absl::StatusOr<backend_group> Start(
    process_fleet& aFleet,
    const std::string& aPrefix,
    int aServers,
    const std::vector<std::string>& aArguments = {});

  // Fences all reachable servers, promotes one and lets the others follow.
  absl::Status Promote(std::uint64_t aTerm, std::size_t aPrimary) const;
  // Sends a statement to one server.
  absl::StatusOr<http_answer> Statement(
    std::size_t aServer,
    std::uint64_t aTerm,
    const std::string& aKind,
    const std::string& aBody,
    std::map<std::string, std::string> aHeaders = {}) const;
  absl::StatusOr<http_answer> SetFaults(std::size_t aServer,
                                        const std::string& aJson) const;
  Json::Value Stats(std::size_t aServer) const;
  // The whole log as entries of /standin/log.
  Json::Value Log(std::size_t aServer) const;
  const std::vector<server>& Servers() const { return mServers; }

private:
  std::vector<server> mServers;
};

} // namespace snipewalk::standins

#endif // SNIPEWALK_STANDINS_PROCESS_FLEET_H_
