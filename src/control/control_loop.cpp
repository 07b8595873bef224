// Implementation of the control loop: the thread and the functions that other
// threads call.
#include "snipewalk/control/control_loop.h"

#include "control_state.h"

#include <utility>

namespace snipewalk {

control_loop::control_loop(control_loop_options aOptions,
                           control_loop_callbacks aCallbacks,
                           store_factory aMakeStore)
  : mOptions(std::move(aOptions))
  , mCallbacks(std::move(aCallbacks))
  , mMakeStore(std::move(aMakeStore))
  , mLoop(std::make_unique<event_loop>())
{
}

control_loop::~control_loop()
{
  Stop();
}

absl::Status
control_loop::Start()
{
  mState = std::make_unique<control_state>(
    *mLoop,
    mOptions,
    mCallbacks,
    mMakeStore(*mLoop),
    [this](std::shared_ptr<const control_status> aStatus) {
      PublishStatus(std::move(aStatus));
    });
  absl::Status opened = mState->Open();
  if (!opened.ok()) {
    mState.reset();
    return opened;
  }
  mAddress = mState->Address();
  mState->Begin();
  mThread = std::thread([this] { mLoop->Run(); });
  return absl::OkStatus();
}

void
control_loop::Stop()
{
  if (mThread.joinable()) {
    mLoop->Stop();
    mThread.join();
  }
  mState.reset();
}

void
control_loop::ReportEvidence(const std::string& aService,
                             const report_evidence& aEvidence)
{
  mLoop->Post(
    [this, aService, aEvidence] { mState->OnEvidence(aService, aEvidence); });
}

void
control_loop::ReportUse(const std::string& aService,
                        std::size_t aConnections,
                        std::size_t aTransactions)
{
  mLoop->Post([this, aService, aConnections, aTransactions] {
    mState->OnUse({ aService, aConnections, aTransactions });
  });
}

void
control_loop::ReportConnections(const std::string& aService,
                                const std::string& aServer,
                                std::size_t aConnections)
{
  mLoop->Post([this, aService, aServer, aConnections] {
    mState->OnConnections(aService, aServer, aConnections);
  });
}

void
control_loop::ReportTransactions(const std::string& aAsker,
                                 const transactions_query& aQuery,
                                 std::size_t aOpen)
{
  mLoop->Post([this, aAsker, aQuery, aOpen] {
    mState->OnTransactions(aAsker, aQuery, aOpen);
  });
}

void
control_loop::SetFleetKeys(std::vector<std::string> aKeys)
{
  mLoop->Post([this, keys = std::move(aKeys)] { mState->SetKeys(keys); });
}

void
control_loop::ReleaseSlots(milliseconds aLimit, std::function<void()> aDone)
{
  mLoop->Post([this, aLimit, done = std::move(aDone)] {
    mState->ReleaseSlots(aLimit, done);
  });
}

void
control_loop::Leave()
{
  mLoop->Post([this] { mState->Leave(); });
}

std::shared_ptr<const control_status>
control_loop::Status() const
{
  const std::lock_guard<std::mutex> lock(mMutex);
  return mStatus;
}

void
control_loop::PublishStatus(std::shared_ptr<const control_status> aStatus)
{
  if (mCallbacks.mStatus) {
    mCallbacks.mStatus(aStatus);
  }
  const std::lock_guard<std::mutex> lock(mMutex);
  mStatus = std::move(aStatus);
}

} // namespace snipewalk
