// Implementation of the admin page of the control thread.
#include "control_page.h"

#include "version/record_json.h"

#include <json/value.h>

namespace snipewalk {

namespace {

Json::Value
ServiceEntry(const service_status& aService)
{
  Json::Value entry(Json::objectValue);
  entry["service"] = aService.mService;
  entry["document_version"] = Json::UInt64(aService.mDocumentVersion);
  entry["invalid_document"] = aService.mInvalidDocument;
  entry["share"] = aService.mShare;
  entry["term"] = Json::UInt64(aService.mTerm.mTerm);
  entry["primary"] = aService.mTerm.mPrimary;
  return entry;
}

} // namespace

std::string
ControlPage(const control_status& aStatus)
{
  Json::Value page(Json::objectValue);
  page["instance"] = aStatus.mInstance;
  page["incarnation"] = Json::UInt64(aStatus.mIncarnation);
  page["live_members"] = Json::UInt64(aStatus.mLiveMembers);
  page["known_members"] = Json::UInt64(aStatus.mMembers.size());
  page["revision"] = Json::UInt64(aStatus.mRevision);
  page["watches_store"] = aStatus.mIsWatcher;
  page["watch_age_ms"] = Json::Int64(aStatus.mWatchAge.count());
  page["store_unreachable_for_ms"] =
    Json::Int64(aStatus.mStoreUnreachableFor.value_or(milliseconds(0)).count());
  page["control_bytes_sent"] = Json::UInt64(aStatus.mControlBytesSent);
  page["slots_held"] = Json::UInt64(aStatus.mSlotsHeld);
  page["services"] = Json::Value(Json::arrayValue);
  for (const auto& service : aStatus.mServices) {
    page["services"].append(ServiceEntry(service));
  }
  return WriteRecord(page);
}

} // namespace snipewalk
