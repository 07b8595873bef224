// Implementation of the child processes of tests.
#include "standins/process_fleet.h"

#include "standins/backend_http.h"

#include <Poco/Exception.h>
#include <Poco/Net/HTTPClientSession.h>
#include <Poco/Net/HTTPRequest.h>
#include <Poco/Net/HTTPResponse.h>
#include <Poco/Net/SocketAddress.h>
#include <Poco/StreamCopier.h>

#include <absl/strings/str_cat.h>

#include <fcntl.h>
#include <poll.h>
#include <spawn.h>
#include <sys/wait.h>
#include <unistd.h>

#include <algorithm>
#include <array>
#include <csignal>
#include <thread>
#include <utility>

namespace snipewalk::standins {

namespace {

// Pause between two looks at a condition.
constexpr milliseconds kPollInterval{ 5 };
constexpr milliseconds kFirstLineTimeout{ 10'000 };

time_point
Now()
{
  return std::chrono::steady_clock::now();
}

int
ExitCode(int aStatus)
{
  return WIFSIGNALED(aStatus) ? 128 + WTERMSIG(aStatus) : WEXITSTATUS(aStatus);
}

} // namespace

child_process::child_process(pid_t aId, int aOutput)
  : mId(aId)
  , mOutput(aOutput)
{
}

child_process::child_process(child_process&& aOther) noexcept
  : mId(std::exchange(aOther.mId, 0))
  , mOutput(std::exchange(aOther.mOutput, -1))
  , mRead(std::move(aOther.mRead))
  , mExit(aOther.mExit)
{
}

child_process&
child_process::operator=(child_process&& aOther) noexcept
{
  std::swap(mId, aOther.mId);
  std::swap(mOutput, aOther.mOutput);
  std::swap(mRead, aOther.mRead);
  std::swap(mExit, aOther.mExit);
  return *this;
}

child_process::~child_process()
{
  Kill();
  if (mOutput >= 0) {
    ::close(mOutput);
  }
}

absl::StatusOr<child_process>
child_process::Start(const std::string& aProgram,
                     const std::vector<std::string>& aArguments,
                     const std::string& aLogPath)
{
  std::array<int, 2> output{};
  if (::pipe2(output.data(), O_CLOEXEC) != 0) {
    return absl::InternalError("pipe failed");
  }
  posix_spawn_file_actions_t actions;
  posix_spawn_file_actions_init(&actions);
  posix_spawn_file_actions_adddup2(&actions, output[1], STDOUT_FILENO);
  if (!aLogPath.empty()) {
    posix_spawn_file_actions_addopen(&actions,
                                     STDERR_FILENO,
                                     aLogPath.c_str(),
                                     O_WRONLY | O_CREAT | O_APPEND,
                                     0644);
  }
  std::vector<std::string> words{ aProgram };
  words.insert(words.end(), aArguments.begin(), aArguments.end());
  std::vector<char*> pointers;
  pointers.reserve(words.size() + 1);
  for (std::string& word : words) {
    pointers.push_back(word.data());
  }
  pointers.push_back(nullptr);
  pid_t id = 0;
  // A socket of this process that a child inherits stays open when it is closed
  // here, and the other end learns nothing of it.
  posix_spawn_file_actions_addclosefrom_np(&actions, STDERR_FILENO + 1);
  const int failure = ::posix_spawn(
    &id, aProgram.c_str(), &actions, nullptr, pointers.data(), environ);
  posix_spawn_file_actions_destroy(&actions);
  ::close(output[1]);
  if (failure != 0) {
    ::close(output[0]);
    return absl::NotFoundError(absl::StrCat("cannot start ", aProgram));
  }
  return child_process(id, output[0]);
}

std::optional<std::string>
child_process::ReadLine(milliseconds aTimeout)
{
  const time_point deadline = Now() + aTimeout;
  while (true) {
    const std::size_t end = mRead.find('\n');
    if (end != std::string::npos) {
      std::string line = mRead.substr(0, end);
      mRead.erase(0, end + 1);
      return line;
    }
    const auto left = ToMilliseconds(deadline - Now());
    pollfd waiting{ mOutput, POLLIN, 0 };
    const auto wait = static_cast<int>(std::max<std::int64_t>(left, 0));
    if (::poll(&waiting, 1, wait) <= 0) {
      return std::nullopt;
    }
    std::array<char, 4096> chunk{};
    const ssize_t count = ::read(mOutput, chunk.data(), chunk.size());
    if (count <= 0) {
      return std::nullopt;
    }
    mRead.append(chunk.data(), static_cast<std::size_t>(count));
  }
}

bool
child_process::Reap(int aOptions)
{
  if (mId == 0 || mExit) {
    return true;
  }
  int status = 0;
  if (::waitpid(mId, &status, aOptions) != mId) {
    return false;
  }
  mExit = ExitCode(status);
  return true;
}

void
child_process::Signal(int aSignal) const
{
  // After the reaping the id may belong to another process.
  if (mId != 0 && !mExit) {
    ::kill(mId, aSignal);
  }
}

void
child_process::Pause() const
{
  Signal(SIGSTOP);
}

void
child_process::Resume() const
{
  Signal(SIGCONT);
}

void
child_process::Terminate() const
{
  Signal(SIGTERM);
}

void
child_process::Kill()
{
  Signal(SIGKILL);
  Reap(0);
}

std::optional<int>
child_process::Wait(milliseconds aTimeout)
{
  WaitFor([this] { return Reap(WNOHANG); }, aTimeout);
  return mExit;
}

bool
child_process::IsRunning()
{
  return !Reap(WNOHANG);
}

Json::Value
http_answer::Json() const
{
  return ParseJsonObject(mBody).value_or(Json::Value());
}

absl::StatusOr<http_answer>
HttpCall(std::uint16_t aPort,
         const std::string& aMethod,
         const std::string& aTarget,
         const std::string& aBody,
         const std::map<std::string, std::string>& aHeaders,
         milliseconds aTimeout)
{
  try {
    Poco::Net::HTTPClientSession session("127.0.0.1", aPort);
    session.setTimeout(Poco::Timespan(aTimeout.count() * 1000));
    Poco::Net::HTTPRequest request(
      aMethod, aTarget, Poco::Net::HTTPMessage::HTTP_1_1);
    for (const auto& [name, value] : aHeaders) {
      request.set(name, value);
    }
    request.setContentLength(static_cast<std::streamsize>(aBody.size()));
    session.sendRequest(request) << aBody;
    Poco::Net::HTTPResponse response;
    std::istream& stream = session.receiveResponse(response);
    http_answer answer;
    answer.mStatus = static_cast<int>(response.getStatus());
    for (const auto& [name, value] : response) {
      answer.mHeaders.Add(name, value);
    }
    Poco::StreamCopier::copyToString(stream, answer.mBody);
    return answer;
  } catch (const Poco::Exception& error) {
    return absl::UnavailableError(error.displayText());
  }
}

bool
WaitFor(const std::function<bool()>& aCondition, milliseconds aTimeout)
{
  const time_point deadline = Now() + aTimeout;
  while (!aCondition()) {
    if (Now() >= deadline) {
      return aCondition();
    }
    std::this_thread::sleep_for(kPollInterval);
  }
  return true;
}

process_fleet::process_fleet(std::string aBinaryDir)
  : mBinaryDir(std::move(aBinaryDir))
{
}

absl::StatusOr<Json::Value>
process_fleet::StartStandin(const std::string& aName,
                            const std::string& aProgram,
                            const std::vector<std::string>& aArguments)
{
  const absl::Status started = Start(aName, aProgram, aArguments);
  if (!started.ok()) {
    return started;
  }
  const auto line = At(aName).ReadLine(kFirstLineTimeout);
  if (!line) {
    return absl::UnavailableError(absl::StrCat(aProgram, " printed nothing"));
  }
  return ParseJsonObject(*line);
}

absl::Status
process_fleet::Start(const std::string& aName,
                     const std::string& aProgram,
                     const std::vector<std::string>& aArguments,
                     const std::string& aLogPath)
{
  auto child =
    child_process::Start(mBinaryDir + "/" + aProgram, aArguments, aLogPath);
  if (!child.ok()) {
    return child.status();
  }
  mProcesses.erase(aName);
  mProcesses.emplace(aName, *std::move(child));
  return absl::OkStatus();
}

child_process&
process_fleet::At(const std::string& aName)
{
  return mProcesses.at(aName);
}

bool
process_fleet::Has(const std::string& aName) const
{
  return mProcesses.count(aName) > 0;
}

void
process_fleet::Remove(const std::string& aName)
{
  mProcesses.erase(aName);
}

} // namespace snipewalk::standins
