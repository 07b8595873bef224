// The engines of a traffic thread, and the tasks that other threads post to it.
#include "snipewalk/traffic/traffic_thread.h"

#include "snipewalk/connection/listener.h"

#include <algorithm>
#include <utility>

namespace snipewalk {

namespace {

bool
HoldsSlot(const service_view& aView, const std::string& aInstance)
{
  const auto& holders = aView.mSlots.mHolders;
  return aView.mConnectionShare > 0 &&
         std::any_of(holders.begin(), holders.end(), [&](const auto& aHolder) {
           return aHolder.mInstance == aInstance;
         });
}

statement_response
NoHolderResponse(const forwarded_request& aRequest)
{
  statement_response response;
  response.mRequestId = RequestIdOf(aRequest);
  response.mReason = refusal_reason::NoHolder;
  response.mMessage = "this instance holds no slot of the service";
  return response;
}

} // namespace

void
traffic_thread::Serve(forwarded_request aRequest, responder aRespond)
{
  traffic_thread& owner = mDirectory.OwnerOf(ServiceOf(aRequest));
  if (&owner == this) {
    ServeHere(std::move(aRequest), aRespond);
    return;
  }
  // The response returns to this thread, which owns the route.
  auto respond = [this, back = std::move(aRespond)](
                   statement_response aResponse, time_point) {
    Post([this, back, response = std::move(aResponse)]() mutable {
      back(std::move(response), mLoop.Now());
    });
  };
  owner.Post([&owner,
              request = std::move(aRequest),
              respond = std::move(respond)]() mutable {
    owner.ServeHere(std::move(request), respond);
  });
}

void
traffic_thread::ServeHere(forwarded_request aRequest, const responder& aRespond)
{
  const auto engine = mEngines.find(ServiceOf(aRequest));
  if (engine == mEngines.end()) {
    aRespond(NoHolderResponse(aRequest), mLoop.Now());
    return;
  }
  // An engine that lost its slot still finishes its transactions.
  const auto* statement = std::get_if<statement_request>(&aRequest);
  const bool inTransaction = statement && !statement->mTransaction.empty();
  const auto view = mSnapshot->mServices.find(ServiceOf(aRequest));
  const bool holds = view != mSnapshot->mServices.end() &&
                     HoldsSlot(*view->second, mOptions.mInstance);
  if (!holds && !inTransaction) {
    aRespond(NoHolderResponse(aRequest), mLoop.Now());
    return;
  }
  engine->second->Submit(std::move(aRequest), aRespond);
}

engine_host&
traffic_thread::EngineOf(const std::string& aService)
{
  auto& entry = mEngines[aService];
  if (!entry) {
    engine_options options;
    options.mInstance = mOptions.mInstance;
    options.mIncarnation = mOptions.mIncarnation;
    options.mDataCentre = mOptions.mDataCentre;
    options.mSeed = mOptions.mIncarnation + std::hash<std::string>()(aService);
    entry = std::make_unique<engine_host>(
      mLoop,
      aService,
      options,
      mOptions.mAddressTranslation,
      [this, aService](const report_evidence& aWhat) {
        if (mCallbacks.mOnEvidence) {
          mCallbacks.mOnEvidence(aService, aWhat);
        }
      });
    if (mDraining) {
      entry->Handle(drain_requested());
    }
  }
  return *entry;
}

void
traffic_thread::SetSnapshot(std::shared_ptr<const routing_snapshot> aSnapshot)
{
  mSnapshot = std::move(aSnapshot);
  for (const auto& [service, view] : mSnapshot->mServices) {
    if (&mDirectory.OwnerOf(service) == this) {
      UpdateEngine(service, view);
    }
  }
  std::vector<forwarder_action> actions;
  mForwarder.SetSnapshot(mSnapshot, mLoop.Now(), actions);
  Apply(std::move(actions));
}

void
traffic_thread::UpdateEngine(const std::string& aService,
                             const std::shared_ptr<const service_view>& aView)
{
  const bool exists = mEngines.count(aService) > 0;
  if (!exists && !HoldsSlot(*aView, mOptions.mInstance)) {
    return;
  }
  EngineOf(aService).Handle(view_changed{ aView, mSnapshot->mSessionKeys });
}

void
traffic_thread::DropIdleEngines()
{
  for (auto entry = mEngines.begin(); entry != mEngines.end();) {
    const auto view = mSnapshot->mServices.find(entry->first);
    const bool holds = view != mSnapshot->mServices.end() &&
                       HoldsSlot(*view->second, mOptions.mInstance);
    const bool unused = !holds && entry->second->InFlight() == 0 &&
                        entry->second->Connections() == 0;
    entry = unused ? mEngines.erase(entry) : std::next(entry);
  }
}

void
traffic_thread::SetFleetKeys(std::vector<std::string> aFleetKeys)
{
  mHub.SetFleetKeys(std::move(aFleetKeys));
}

void
traffic_thread::Observe(const std::string& aService,
                        const status_observed& aStatus)
{
  const auto engine = mEngines.find(aService);
  if (engine != mEngines.end()) {
    engine->second->Handle(aStatus);
  }
}

std::size_t
traffic_thread::HoldBegins(const std::string& aService,
                           const std::string& aServer,
                           std::uint64_t aTerm)
{
  const auto engine = mEngines.find(aService);
  if (engine == mEngines.end()) {
    return 0;
  }
  engine->second->Handle(begins_held{ aTerm });
  for (const auto& server : engine->second->Status().mServers) {
    if (server.mName == aServer) {
      return server.mTransactions;
    }
  }
  return 0;
}

void
traffic_thread::CloseCallers()
{
  mClosing = true;
  if (mCallerListener) {
    mCallerListener->Close(mLoop.Now());
  }
}

void
traffic_thread::CloseIdleCallers(milliseconds aFor)
{
  const time_point since = mLoop.Now() - aFor;
  for (auto entry = mCallers.begin(); entry != mCallers.end();) {
    const auto current = entry++;
    current->second->CloseIfIdleSince(since);
  }
}

void
traffic_thread::DrainEngines()
{
  mDraining = true;
  for (auto& [service, engine] : mEngines) {
    engine->Handle(drain_requested());
  }
}

std::string
traffic_thread::Explain(const statement_request& aRequest) const
{
  const auto engine = mEngines.find(aRequest.mService);
  return engine == mEngines.end()
           ? std::string("this instance holds no slot of the service")
           : engine->second->Explain(aRequest);
}

} // namespace snipewalk
