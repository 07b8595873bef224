// Implementation of the event loop on Poco::Net::PollSet, which uses epoll.
#include "snipewalk/connection/event_loop.h"

#include <Poco/Net/PollSet.h>
#include <Poco/Net/Socket.h>
#include <Poco/Net/SocketImpl.h>

#include <sys/eventfd.h>
#include <unistd.h>

#include <algorithm>
#include <utility>

namespace snipewalk {

namespace {

// Bounds how late the loop notices a Stop() whose wake-up was lost.
constexpr milliseconds kMaxWait{ 100 };

const void*
KeyOf(const Poco::Net::Socket& aSocket)
{
  return aSocket.impl();
}

int
ModeOf(bool aWantRead, bool aWantWrite)
{
  using Poco::Net::PollSet;
  return PollSet::POLL_ERROR | (aWantRead ? PollSet::POLL_READ : 0) |
         (aWantWrite ? PollSet::POLL_WRITE : 0);
}

// Gives POCO an event descriptor to poll; PollSet only takes sockets.
class descriptor_impl : public Poco::Net::SocketImpl
{
public:
  explicit descriptor_impl(int aDescriptor)
    : SocketImpl(aDescriptor)
  {
  }
};

class descriptor_socket : public Poco::Net::Socket
{
public:
  explicit descriptor_socket(int aDescriptor)
    : Socket(new descriptor_impl(aDescriptor))
  {
  }
};

} // namespace

class event_loop::wake_up : public socket_handler
{
public:
  wake_up()
    : mDescriptor(::eventfd(0, EFD_NONBLOCK | EFD_CLOEXEC))
    , mSocket(mDescriptor)
  {
  }

  const Poco::Net::Socket& Socket() const { return mSocket; }

  void Signal()
  {
    const std::uint64_t one = 1;
    // A full counter already wakes the loop, so the result does not matter.
    [[maybe_unused]] const auto written =
      ::write(mDescriptor, &one, sizeof(one));
  }

  void OnReadable(time_point) override
  {
    std::uint64_t count = 0;
    [[maybe_unused]] const auto taken =
      ::read(mDescriptor, &count, sizeof(count));
  }
  void OnWritable(time_point) override {}
  void OnSocketError(time_point) override {}

private:
  int mDescriptor;
  descriptor_socket mSocket;
};

event_loop::event_loop()
  : mPollSet(std::make_unique<Poco::Net::PollSet>())
  , mWakeUp(std::make_unique<wake_up>())
  , mNow(std::chrono::steady_clock::now())
{
  Add(mWakeUp->Socket(), mWakeUp.get(), false);
}

event_loop::~event_loop() = default;

void
event_loop::Add(const Poco::Net::Socket& aSocket,
                socket_handler* aHandler,
                bool aWantWrite)
{
  mHandlers[KeyOf(aSocket)] = { aHandler, aWantWrite };
  mPollSet->add(aSocket, ModeOf(true, aWantWrite));
}

void
event_loop::SetWantWrite(const Poco::Net::Socket& aSocket, bool aWantWrite)
{
  const auto found = mHandlers.find(KeyOf(aSocket));
  if (found == mHandlers.end() || found->second.mWantWrite == aWantWrite) {
    return;
  }
  found->second.mWantWrite = aWantWrite;
  mPollSet->update(aSocket, ModeOf(found->second.mWantRead, aWantWrite));
}

void
event_loop::SetWantRead(const Poco::Net::Socket& aSocket, bool aWantRead)
{
  const auto found = mHandlers.find(KeyOf(aSocket));
  if (found == mHandlers.end() || found->second.mWantRead == aWantRead) {
    return;
  }
  found->second.mWantRead = aWantRead;
  mPollSet->update(aSocket, ModeOf(aWantRead, found->second.mWantWrite));
}

void
event_loop::Remove(const Poco::Net::Socket& aSocket)
{
  if (mHandlers.erase(KeyOf(aSocket)) > 0) {
    mPollSet->remove(aSocket);
  }
}

void
event_loop::Post(task aTask)
{
  bool wake = false;
  {
    const std::lock_guard<std::mutex> lock(mMutex);
    wake = mPosted.empty();
    mPosted.push_back(std::move(aTask));
  }
  if (wake) {
    mWakeUp->Signal();
  }
}

event_loop::timer_id
event_loop::RunAt(time_point aWhen, timer_task aTask)
{
  const timer_id timer = mNextTimer++;
  mTimers.emplace(aWhen, std::make_pair(timer, std::move(aTask)));
  mTimerDue.emplace(timer, aWhen);
  return timer;
}

void
event_loop::Cancel(timer_id aTimer)
{
  const auto due = mTimerDue.find(aTimer);
  if (due == mTimerDue.end()) {
    return;
  }
  auto [first, last] = mTimers.equal_range(due->second);
  const auto entry = std::find_if(first, last, [&](const auto& aEntry) {
    return aEntry.second.first == aTimer;
  });
  if (entry != last) {
    mTimers.erase(entry);
  }
  mTimerDue.erase(due);
}

void
event_loop::SetAfterRound(timer_task aTask)
{
  mAfterRound = std::move(aTask);
}

void
event_loop::RunOnce()
{
  Dispatch();
  RunPosted();
  RunTimers();
  if (mAfterRound) {
    mAfterRound(mNow);
  }
}

void
event_loop::Run()
{
  while (!mStopped.load()) {
    RunOnce();
  }
  // Tasks posted before Stop() run, such as a last message to the peers.
  RunPosted();
}

void
event_loop::Stop()
{
  mStopped.store(true);
  mWakeUp->Signal();
}

void
event_loop::Dispatch()
{
  const Poco::Timespan wait(0, static_cast<long>(WaitTime().count()) * 1000);
  const auto ready = mPollSet->poll(wait);
  ReadClock();
  for (const auto& [socket, mode] : ready) {
    // A handler may remove other sockets of the round, so look up each time.
    const void* key = KeyOf(socket);
    auto found = mHandlers.find(key);
    // The process may have been stopped in the middle of the round, and then
    // reads what arrived while it was.
    ReadClock();
    if (found != mHandlers.end() && (mode & Poco::Net::PollSet::POLL_READ)) {
      found->second.mHandler->OnReadable(mNow);
      found = mHandlers.find(key);
    }
    if (found != mHandlers.end() && (mode & Poco::Net::PollSet::POLL_WRITE)) {
      found->second.mHandler->OnWritable(mNow);
      found = mHandlers.find(key);
    }
    if (found != mHandlers.end() && (mode & Poco::Net::PollSet::POLL_ERROR)) {
      found->second.mHandler->OnSocketError(mNow);
    }
  }
}

void
event_loop::RunPosted()
{
  std::vector<task> posted;
  {
    const std::lock_guard<std::mutex> lock(mMutex);
    posted.swap(mPosted);
  }
  for (auto& work : posted) {
    ReadClock();
    work();
  }
}

void
event_loop::RunTimers()
{
  // Timers that become due in the meantime wait for the next round.
  const time_point due = mNow;
  while (!mTimers.empty() && mTimers.begin()->first <= due) {
    auto entry = mTimers.extract(mTimers.begin());
    mTimerDue.erase(entry.mapped().first);
    ReadClock();
    entry.mapped().second(mNow);
  }
}

void
event_loop::ReadClock()
{
  mNow = std::chrono::steady_clock::now();
}

milliseconds
event_loop::WaitTime() const
{
  if (mTimers.empty()) {
    return kMaxWait;
  }
  const duration left =
    mTimers.begin()->first - std::chrono::steady_clock::now();
  const auto rounded = std::chrono::ceil<milliseconds>(left);
  return std::clamp(rounded, milliseconds(0), kMaxWait);
}

} // namespace snipewalk
