// Carries out the actions of the service controller's state machines.
#include "control/service_controller_state.h"

#include "snipewalk/base/log.h"
#include "snipewalk/version/term_record.h"

#include <absl/strings/str_cat.h>

#include <utility>

namespace snipewalk {

void
service_controller_state::Perform(const failover_action& aAction,
                                  time_point aNow)
{
  std::visit([&](const auto& aTyped) { Do(aTyped, aNow); }, aAction);
}

void
service_controller_state::Perform(const detector_action& aAction,
                                  time_point aNow)
{
  std::visit([&](const auto& aTyped) { Do(aTyped, aNow); }, aAction);
}

void
service_controller_state::Do(const read_term& aAction, time_point)
{
  SubmitTermCall(aAction.mCall, store_get{ { kTermsKind, mService } });
}

void
service_controller_state::Do(const write_term& aAction, time_point)
{
  SubmitTermCall(aAction.mCall,
                 store_put{ { kTermsKind, mService },
                            EncodeTermRecord(aAction.mRecord),
                            aAction.mExpectedVersion });
}

void
service_controller_state::SubmitTermCall(failover_call_id aCall,
                                         store_request aRequest)
{
  const bool isWrite = std::holds_alternative<store_put>(aRequest);
  mStore.Submit(std::move(aRequest),
                store_priority::Terms,
                [this, aCall, isWrite, alive = std::weak_ptr<bool>(mAlive)](
                  const store_reply& aReply, time_point aNow) {
                  if (!alive.expired()) {
                    OnTermReply(aCall, isWrite, aReply, aNow);
                  }
                });
}

void
service_controller_state::OnTermReply(failover_call_id aCall,
                                      bool aIsWrite,
                                      const store_reply& aReply,
                                      time_point aNow)
{
  term_call_done done{ aCall, aReply.mStatus, std::nullopt, 0 };
  if (!aReply.mObjects.empty()) {
    const auto record = DecodeTermRecord(aReply.mObjects.front().mValue);
    if (record.ok()) {
      done.mRecord = *record;
      done.mVersion = aReply.mObjects.front().mVersion;
    } else if (aReply.mStatus == store_status::Ok) {
      // Not a record of this project: never overwrite it.
      done.mStatus = store_status::Unknown;
    }
  } else if (aReply.mStatus == store_status::Ok) {
    done.mStatus = store_status::Unknown;
  }
  const bool wrote = aIsWrite && done.mStatus == store_status::Ok;
  if (wrote && mCallbacks.mStored) {
    mCallbacks.mStored(aReply.mObjects.front());
  }
  Feed(failover_event(done), aNow);
}

void
service_controller_state::Do(const send_to_server& aAction, time_point aNow)
{
  link_request request;
  request.mRequest = aAction.mRequest;
  request.mTimeout = aAction.mTimeout;
  request.mOnDone = [this, call = aAction.mCall](const link_reply& aReply,
                                                 time_point aThen) {
    Feed(failover_event(server_call_done{ call, aReply.mReply }), aThen);
  };
  LinkTo(aAction.mServer).Submit(std::move(request), aNow);
}

void
service_controller_state::Do(const term_changed&, time_point aNow)
{
  const auto term = mFailover.Term();
  if (term) {
    mDrain.OnTerm(*term, aNow);
  }
  if (mDocument) {
    mDetectorEvents.emplace_back(DetectorConfig());
  }
}

void
service_controller_state::Do(const term_recorded& aAction, time_point)
{
  const auto describe = [](const term_record& aRecord) {
    return absl::StrCat("term ", aRecord.mTerm, " ", aRecord.mPrimary);
  };
  const std::string phase(NameOf(kTermPhaseNames, aAction.mTo.mPhase));
  Log(log_level::Info,
      "failover",
      "term recorded",
      { { "service", mService },
        { "term", static_cast<std::int64_t>(aAction.mTo.mTerm) },
        { "phase", phase },
        { "primary", aAction.mTo.mPrimary },
        { "reason", aAction.mReason } });
  mAudit.Append({ {},
                  mWallNow,
                  mOptions.mInstance,
                  {},
                  mService,
                  absl::StrCat("term_", phase),
                  aAction.mFrom ? describe(*aAction.mFrom) : std::string(),
                  describe(aAction.mTo),
                  aAction.mReason });
}

void
service_controller_state::Do(const send_probe& aAction, time_point aNow)
{
  const server_entry* entry =
    mDocument ? mDocument->Find(aAction.mServer) : nullptr;
  const std::string address = entry != nullptr && aAction.mAddress.empty()
                                ? entry->mAddress
                                : aAction.mAddress;
  if (!OwnSlot()) {
    mForeignLinks.insert(aAction.mServer);
  }
  link_request request;
  request.mRequest = backend_status_query{};
  request.mTimeout = aAction.mTimeout;
  request.mNewConnection = aAction.mNewConnection;
  request.mIsProbe = true;
  request.mOnDone = [this, aAction](const link_reply& aReply,
                                    time_point aThen) {
    OnProbed(aAction, aReply, aThen);
  };
  LinkTo({ aAction.mServer, address }).Submit(std::move(request), aNow);
}

void
service_controller_state::OnProbed(const send_probe& aProbe,
                                   const link_reply& aReply,
                                   time_point aNow)
{
  if (aReply.mReply && aReply.mReply->mStatus) {
    server_status status = *aReply.mReply->mStatus;
    status.mServer = aProbe.mServer;
    mDrain.OnStatus(status, aReply.mSentAt);
    mFailoverEvents.emplace_back(server_observed{ status, aReply.mSentAt });
    if (mCallbacks.mObserved) {
      mCallbacks.mObserved(
        mService, status_observed{ aProbe.mServer, status, aReply.mSentAt });
    }
  }
  const probe_result result =
    aReply.mResult == link_result::Answered  ? probe_result::Answered
    : aReply.mResult == link_result::Refused ? probe_result::Refused
    : aReply.mResult == link_result::Full    ? probe_result::Full
                                             : probe_result::Lost;
  Feed(detector_event(probe_done{ aProbe.mProbe, result, aReply.mConnection }),
       aNow);
  if (mForeignLinks.erase(aProbe.mServer) > 0) {
    // This instance holds no slot: its connection must not stay open.
    mLoop.Post([this, alive = std::weak_ptr<bool>(mAlive)] {
      if (!alive.expired()) {
        CloseUnusedLinks();
      }
    });
  }
}

void
service_controller_state::Do(const send_peer_message& aAction, time_point)
{
  if (mCallbacks.mSendPeer) {
    mCallbacks.mSendPeer(aAction.mInstance, aAction.mMessage);
  }
}

void
service_controller_state::Do(const suspicion_changed&, time_point)
{
  const auto suspected = mDetector.Suspected();
  std::string names;
  for (const auto& name : suspected) {
    absl::StrAppend(&names, names.empty() ? "" : ",", name);
  }
  std::string reachedBy;
  for (const auto& name : mDetector.PrimaryReachedBy()) {
    absl::StrAppend(&reachedBy, reachedBy.empty() ? "" : ",", name);
  }
  Log(log_level::Info,
      "detector",
      "suspected servers changed",
      { { "service", mService },
        { "suspected", names },
        { "primary_reached_by", reachedBy } });
}

void
service_controller_state::Do(const verdict_changed& aAction, time_point)
{
  mFailoverEvents.emplace_back(
    primary_failed{ aAction.mTerm, aAction.mFailed });
}

server_link&
service_controller_state::LinkTo(const server_endpoint& aServer)
{
  auto& link = mLinks[aServer.mName];
  const server_endpoint target =
    Translate(mOptions.mAddressTranslation, aServer);
  if (link && link->Server().mAddress != target.mAddress) {
    Retire(*link);
    // One of its handlers may be running.
    mLoop.Post(
      [old = std::shared_ptr<server_link>(std::exchange(link, nullptr))] {});
  }
  if (!link) {
    link = std::make_unique<server_link>(
      mLoop, target, [this, name = aServer.mName](time_point aNow) {
        // The detector probes again over a new connection.
        const report_evidence lost{ name, server_evidence::Silent, 0 };
        Feed(detector_event(lost), aNow);
      });
  }
  return *link;
}

} // namespace snipewalk
