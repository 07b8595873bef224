// Implementation of the stand-ins of the platform's backend servers.
#include "standins/line_server_group.h"

#include "standins/free_ports.h"

#include <absl/strings/str_cat.h>

#include <algorithm>
#include <utility>

namespace snipewalk::standins {

namespace {

// From a promotion until the former primary and the replicas learn of it.
constexpr milliseconds kSuccessorKnown{ 1'000 };
// Three intervals of heartbeats.
constexpr milliseconds kEntryLifetime{ 3'600 };

} // namespace

line_server_group::line_server_group(event_loop& aLoop,
                                     std::string aService,
                                     int aMaxConnections,
                                     handlers aHandlers)
  : mLoop(aLoop)
  , mService(std::move(aService))
  , mMaxConnections(aMaxConnections)
  , mHandlers(std::move(aHandlers))
{
}

line_server_group::server*
line_server_group::Primary()
{
  server* newest = nullptr;
  for (const auto& [id, one] : mServers) {
    if (one->mAlive && one->mPrimary &&
        (newest == nullptr || one->mTerm > newest->mTerm)) {
      newest = one.get();
    }
  }
  return newest;
}

std::string
line_server_group::Add()
{
  auto started = std::make_unique<server>();
  started->mId = absl::StrCat("s", ++mStarted);
  server& self = *started;
  const server* primary = Primary();
  self.mPrimary = mServers.empty();
  if (primary != nullptr) {
    self.mTerm = primary->mTerm;
    self.mLog = primary->mLog;
    Apply(self, self.mLog.size());
  }
  // Not a port of the system's choice: it could be taken when the server
  // starts again.
  self.mAddress = absl::StrCat("127.0.0.1:", FreePorts(1).at(0));
  mServers[self.mId] = std::move(started);
  Listen(self);
  Publish(self);
  return self.mId;
}

void
line_server_group::Listen(server& aServer)
{
  auto opened =
    listener::Open(mLoop,
                   aServer.mAddress,
                   [this, &aServer](const Poco::Net::StreamSocket& aSocket,
                                    time_point) { Accept(aServer, aSocket); });
  aServer.mListener = *std::move(opened);
  aServer.mAddress = aServer.mListener->Address();
}

void
line_server_group::Publish(const server& aServer)
{
  Json::Value entry;
  entry["Service"] = mService;
  entry["Address"] = mHandlers.mAddress ? mHandlers.mAddress(aServer.mAddress)
                                        : aServer.mAddress;
  entry["Zone"] = "dc1";
  entry["Phase"] = aServer.mDraining ? "draining" : "ready";
  entry["DbRole"] = aServer.mPrimary ? "primary" : "replica";
  entry["born"] = Json::UInt64{ 1'700'000'000'000 };
  mHandlers.mOnEntry(aServer.mId, entry);
}

void
line_server_group::Accept(server& aServer,
                          const Poco::Net::StreamSocket& aSocket)
{
  std::erase_if(aServer.mConnections, [](const auto& aConnection) {
    return !aConnection->mStream->IsOpen();
  });
  const auto accepted = std::make_shared<connection>();
  aServer.mConnections.push_back(accepted);
  connection& self = *accepted;
  accepted->mStream = stream_connection::Adopt(
    mLoop,
    aSocket,
    { {},
      [this, &aServer, &self](std::string& aInput, time_point) {
        std::size_t end = 0;
        while (self.mStream->IsOpen() &&
               (end = aInput.find("\r\n")) != std::string::npos) {
          const std::string line = aInput.substr(0, end);
          aInput.erase(0, end + 2);
          OnLine(aServer, self, line);
        }
      },
      {} });
}

std::uint64_t
line_server_group::Commit(server& aServer, const item_map& aWrites)
{
  const std::uint64_t number =
    aServer.mLog.empty() ? 1 : aServer.mLog.back()->mNumber + 1;
  aServer.mLog.push_back(
    std::make_shared<const commit>(commit{ aServer.mTerm, number, aWrites }));
  Apply(aServer, aServer.mLog.size());
  for (const auto& [item, value] : aWrites) {
    ++mCommits[value];
  }
  bool received = false;
  for (const auto& [id, other] : mServers) {
    if (id != aServer.mId && !other->mPrimary) {
      received = Receive(aServer, *other) || received;
    }
  }
  if (received) {
    ConfirmCommits(aServer);
  }
  return received ? 0 : number;
}

void
line_server_group::ConfirmCommits(server& aPrimary)
{
  for (const auto& open : aPrimary.mConnections) {
    if (open->mUnconfirmed != 0 && open->mStream->IsOpen()) {
      open->mUnconfirmed = 0;
      open->mStream->Send(
        absl::StrCat(Signature(aPrimary), ReadyLine(aPrimary, *open)));
    }
  }
}

bool
line_server_group::Receive(const server& aPrimary, server& aReplica)
{
  const bool follows = aReplica.mAlive && !aReplica.mDeaf &&
                       aReplica.mHeld <= aPrimary.mTerm &&
                       aReplica.mTerm <= aPrimary.mTerm;
  if (!follows) {
    return false;
  }
  const log& source = aPrimary.mLog;
  log& target = aReplica.mLog;
  const auto [end, ignored] =
    std::mismatch(target.begin(), target.end(), source.begin(), source.end());
  const auto common = static_cast<std::size_t>(end - target.begin());
  if (common < target.size()) {
    target.resize(common);
  }
  if (aReplica.mApplied > common) {
    aReplica.mApplied = 0;
    aReplica.mItems.clear();
    Apply(aReplica, common);
  }
  target.insert(target.end(),
                source.begin() + static_cast<std::ptrdiff_t>(common),
                source.end());
  aReplica.mTerm = aPrimary.mTerm;
  if (aReplica.mLag == milliseconds(0)) {
    Apply(aReplica, target.size());
    return true;
  }
  mLoop.RunAt(
    mLoop.Now() + aReplica.mLag,
    [this, id = aReplica.mId, entry = target.back()](time_point) {
      const auto found = mServers.find(id);
      if (found == mServers.end()) {
        return;
      }
      server& self = *found->second;
      const auto held = std::find(self.mLog.begin(), self.mLog.end(), entry);
      if (held != self.mLog.end()) {
        Apply(self, static_cast<std::size_t>(held - self.mLog.begin()) + 1);
      }
    });
  return true;
}

void
line_server_group::Apply(server& aServer, std::size_t aEntries)
{
  for (; aServer.mApplied < aEntries; ++aServer.mApplied) {
    for (const auto& [item, value] : aServer.mLog[aServer.mApplied]->mWrites) {
      aServer.mItems[item] = value;
    }
  }
}

void
line_server_group::CatchUp()
{
  server* primary = Primary();
  if (primary == nullptr || primary->mLog.empty()) {
    return;
  }
  bool received = false;
  for (const auto& [id, other] : mServers) {
    if (!other->mPrimary) {
      received = Receive(*primary, *other) || received;
    }
  }
  if (received) {
    ConfirmCommits(*primary);
  }
}

void
line_server_group::Crash(const std::string& aId)
{
  server& crashed = At(aId);
  crashed.mAlive = false;
  crashed.mListener->Close(mLoop.Now());
  for (const auto& open : crashed.mConnections) {
    open->mStream->Close();
  }
  crashed.mConnections.clear();
  mLoop.RunAt(mLoop.Now() + kEntryLifetime, [this, aId](time_point) {
    const auto found = mServers.find(aId);
    if (found != mServers.end() && !found->second->mAlive) {
      mHandlers.mOnEntry(aId, {});
    }
  });
}

void
line_server_group::Restart(const std::string& aId)
{
  server& restarted = At(aId);
  if (restarted.mAlive) {
    return;
  }
  restarted.mAlive = true;
  restarted.mHeld = 0;
  const server* primary = Primary();
  restarted.mPrimary = restarted.mPrimary && primary == &restarted;
  Listen(restarted);
  Publish(restarted);
  CatchUp();
}

void
line_server_group::Drain(const std::string& aId)
{
  At(aId).mDraining = true;
  Publish(At(aId));
}

void
line_server_group::Remove(const std::string& aId)
{
  server& removed = At(aId);
  if (removed.mAlive) {
    removed.mListener->Close(mLoop.Now());
    for (const auto& open : removed.mConnections) {
      open->mStream->Close();
    }
  }
  // Handlers of its connections may be running; the object stays.
  removed.mAlive = false;
  removed.mPrimary = false;
  mHandlers.mOnEntry(aId, {});
}

void
line_server_group::SetLag(const std::string& aId, milliseconds aLag)
{
  At(aId).mLag = aLag;
  if (aLag == milliseconds(0)) {
    Apply(At(aId), At(aId).mLog.size());
  }
}

void
line_server_group::SetDeaf(const std::string& aId, bool aDeaf)
{
  At(aId).mDeaf = aDeaf;
  if (!aDeaf) {
    CatchUp();
  }
}

void
line_server_group::SetLostAnswers(const std::string& aId, int aPercent)
{
  At(aId).mLostAnswers = aPercent;
}

void
line_server_group::SetFailedRequests(const std::string& aId, int aPercent)
{
  At(aId).mFailedRequests = aPercent;
}

bool
line_server_group::Promote(const std::string& aId)
{
  const auto found = mServers.find(aId);
  if (found == mServers.end() || !found->second->mAlive) {
    return false;
  }
  server& next = *found->second;
  if (next.mPrimary) {
    return true;
  }
  ++mPromotions;
  for (const auto& [id, other] : mServers) {
    next.mTerm = std::max({ next.mTerm, other->mTerm + 1, other->mHeld });
  }
  next.mHeld = 0;
  next.mPrimary = true;
  Apply(next, next.mLog.size());
  Publish(next);
  mLoop.RunAt(mLoop.Now() + kSuccessorKnown, [this](time_point) {
    const server* leader = Primary();
    for (const auto& [id, other] : mServers) {
      if (other.get() != leader && other->mPrimary && other->mAlive) {
        other->mPrimary = false;
        Publish(*other);
      }
    }
    CatchUp();
  });
  return true;
}

std::vector<std::string>
line_server_group::Running() const
{
  std::vector<std::string> running;
  for (const auto& [id, one] : mServers) {
    if (one->mAlive) {
      running.push_back(id);
    }
  }
  return running;
}

std::vector<std::string>
line_server_group::Leading() const
{
  std::vector<std::string> leading;
  for (const auto& [id, one] : mServers) {
    if (one->mAlive && one->mPrimary) {
      leading.push_back(id);
    }
  }
  return leading;
}

line_server_group::item_map
line_server_group::Items() const
{
  item_map items;
  std::uint64_t newest = 0;
  for (const auto& [id, one] : mServers) {
    if (one->mAlive && one->mPrimary && one->mTerm > newest) {
      newest = one->mTerm;
      items = one->mItems;
    }
  }
  return items;
}

std::set<std::string>
line_server_group::LoggedValues() const
{
  const server* leading = nullptr;
  for (const auto& [id, one] : mServers) {
    if (one->mAlive && one->mPrimary &&
        (leading == nullptr || one->mTerm > leading->mTerm)) {
      leading = one.get();
    }
  }
  std::set<std::string> values;
  if (leading != nullptr) {
    for (const auto& entry : leading->mLog) {
      for (const auto& [item, value] : entry->mWrites) {
        values.insert(value);
      }
    }
  }
  return values;
}

} // namespace snipewalk::standins
