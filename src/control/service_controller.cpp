// Interface of the service controller: events of the control loop.
#include "snipewalk/control/service_controller.h"

#include "control/service_controller_state.h"
#include "snipewalk/base/log.h"
#include "snipewalk/version/term_record.h"

#include <algorithm>
#include <utility>

namespace snipewalk {

service_controller::service_controller(event_loop& aLoop,
                                       store_client& aStore,
                                       audit_trail& aAudit,
                                       std::string aService,
                                       controller_options aOptions,
                                       controller_callbacks aCallbacks)
  : mState(std::make_unique<service_controller_state>(aLoop,
                                                      aStore,
                                                      aAudit,
                                                      std::move(aService),
                                                      std::move(aOptions),
                                                      std::move(aCallbacks)))
{
}

service_controller::~service_controller() = default;

void
service_controller::OnDocument(const service_document& aDocument,
                               std::uint64_t aVersion,
                               time_point aNow)
{
  mState->mDocument = aDocument;
  mState->mDrain.Configure(aDocument, aVersion);
  mState->Configure(aNow);
}

void
service_controller::OnTermObject(const stored_object& aObject, time_point aNow)
{
  if (aObject.mDeleted) {
    mState->Feed(term_observed{ std::nullopt, aObject.mVersion }, aNow);
    return;
  }
  const auto record = DecodeTermRecord(aObject.mValue);
  if (!record.ok()) {
    Log(log_level::Error,
        "controller",
        "term object is not readable",
        { { "service", mState->mService },
          { "fault",
            std::string_view(record.status().message().data(),
                             record.status().message().size()) } });
    return;
  }
  mState->Feed(term_observed{ *record, aObject.mVersion }, aNow);
}

void
service_controller::OnSlots(const slot_record& aSlots, time_point aNow)
{
  mState->mSlots = aSlots;
  mState->Configure(aNow);
}

void
service_controller::OnMembers(const std::vector<live_instance>& aMembers,
                              time_point aNow)
{
  mState->mMembers = aMembers;
  mState->Configure(aNow);
}

void
service_controller::SetProbeSpacing(milliseconds aSpacing)
{
  mState->mDetector.SetProbeSpacing(aSpacing);
}

void
service_controller::OnEvidence(const report_evidence& aEvidence,
                               time_point aNow)
{
  mState->Feed(detector_event(aEvidence), aNow);
}

void
service_controller::OnConnections(const std::string& aServer,
                                  std::size_t aConnections,
                                  time_point)
{
  mState->mDrain.OnConnections(aServer, aConnections);
}

void
service_controller::OnPeerMessage(const std::string& aInstance,
                                  const control_message& aMessage,
                                  time_point aNow)
{
  if (const auto* open = std::get_if<transactions_report>(&aMessage)) {
    mState->mDrain.OnTransactions(aInstance, *open);
    return;
  }
  mState->Feed(detector_event(peer_message_received{ aInstance, aMessage }),
               aNow);
}

void
service_controller::Tick(time_point aNow, wall_time aWallNow)
{
  mState->Tick(aNow, aWallNow);
}

std::optional<term_record>
service_controller::Term() const
{
  return mState->mFailover.Term();
}

std::vector<std::string>
service_controller::Suspected() const
{
  return mState->mDetector.Suspected();
}

std::vector<std::string>
service_controller::PrimaryReachedBy() const
{
  const auto& holders = mState->mDetector.PrimaryReachedBy();
  return { holders.begin(), holders.end() };
}

drain_status
service_controller::DrainStatus() const
{
  drain_status status =
    mState->mDrain.Status(mState->mLoop.Now(), mState->mWallNow);
  status.mInstance = mState->mOptions.mInstance;
  return status;
}

} // namespace snipewalk
