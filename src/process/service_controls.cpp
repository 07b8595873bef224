// Implementation of the set of service controllers. The controllers join once
// their implementation is in the tree.
#include "service_controls.h"

#include <utility>

namespace snipewalk {

service_controls::service_controls(event_loop& aLoop,
                                   store_client& aStore,
                                   controller_options aOptions,
                                   controller_callbacks aCallbacks,
                                   lookup aLookup)
  : mLoop(aLoop)
  , mStore(aStore)
  , mOptions(std::move(aOptions))
  , mCallbacks(std::move(aCallbacks))
  , mLookup(std::move(aLookup))
{
}

service_controls::~service_controls() = default;

void
service_controls::Update(const std::string&, time_point)
{
}

void
service_controls::SetMembers(std::vector<live_instance> aMembers, time_point)
{
  mMembers = std::move(aMembers);
}

void
service_controls::OnEvidence(const std::string&,
                             const report_evidence&,
                             time_point)
{
}

void
service_controls::OnConnections(const std::string&,
                                const std::string&,
                                std::size_t,
                                time_point)
{
}

void
service_controls::OnPeerMessage(const std::string&,
                                const control_message&,
                                time_point)
{
}

void
service_controls::Tick(time_point, wall_time)
{
}

void
service_controls::Describe(const std::string&, service_view&) const
{
}

std::optional<drain_status>
service_controls::DrainStatus(const std::string&) const
{
  return std::nullopt;
}

} // namespace snipewalk
