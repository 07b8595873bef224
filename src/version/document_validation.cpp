// Implementation of the parsing and validation of service documents.
#include "snipewalk/version/document_validation.h"

#include "snipewalk/base/json_reader.h"

#include <absl/strings/str_cat.h>
#include <absl/time/time.h>

#include <algorithm>
#include <set>
#include <utility>

namespace snipewalk {

namespace {

constexpr integer_range kSlotsRange{ 1, 64 };
constexpr integer_range kConnectionsRange{ 3, 100'000 };
constexpr integer_range kLagRangeMs{ 1, 3'600'000 };
constexpr integer_range kQueueRange{ 1, 1'000'000 };
constexpr integer_range kTimeoutRangeMs{ 1, 600'000 };
constexpr int kMaxServers = 64;
// Each holder of a slot needs one control, one acknowledgement and one
// statement connection to each server.
constexpr int kConnectionsPerSlot = 3;

server_entry
ReadServer(object_reader& aReader, const Json::Value& aValue)
{
  server_entry server;
  server.mName = aReader.RequiredString("name");
  if (!server.mName.empty() && !IsName(server.mName)) {
    aReader.Report(aValue["name"], "name", "bad_name", "is not a valid name");
  }
  server.mAddress = aReader.RequiredAddress("address");
  server.mDataCentre = aReader.RequiredString("data_centre");
  server.mState =
    aReader.OptionalEnum("state", kServerStateNames, server_state::Active);
  const std::string leaveBy = aReader.OptionalString("leave_by", "");
  if (leaveBy.empty()) {
    return server;
  }
  server.mLeaveBy = ParseTimestamp(leaveBy);
  if (!server.mLeaveBy) {
    aReader.Report(aValue["leave_by"],
                   "leave_by",
                   "bad_time",
                   "must be a time with an explicit UTC offset, such as "
                   "2026-12-06T23:59:00+01:00");
  }
  if (server.mState != server_state::Leaving) {
    aReader.Report(aValue["leave_by"],
                   "leave_by",
                   "contradiction",
                   "is only allowed when the state is \"leaving\"");
  }
  return server;
}

void
ReadServers(object_reader& aReader, service_document& aDocument)
{
  const Json::Value* array = aReader.Array("servers", true);
  if (!array) {
    return;
  }
  if (array->empty() || array->size() > kMaxServers) {
    aReader.Report(*array,
                   "servers",
                   "out_of_range",
                   absl::StrCat("must have 1 to ", kMaxServers, " entries"));
  }
  std::set<std::string> names;
  std::set<std::string> addresses;
  for (Json::ArrayIndex i = 0; i < array->size(); ++i) {
    const Json::Value& item = (*array)[i];
    object_reader entry(aReader.Text(),
                        item,
                        absl::StrCat("servers[", i, "]"),
                        aReader.Findings());
    server_entry server = ReadServer(entry, item);
    entry.Finish();
    if (!server.mName.empty() && !names.insert(server.mName).second) {
      entry.Report(item["name"], "name", "duplicate", "is used twice");
    }
    if (!server.mAddress.empty() && !addresses.insert(server.mAddress).second) {
      entry.Report(item["address"], "address", "duplicate", "is used twice");
    }
    aDocument.mServers.push_back(std::move(server));
  }
}

void
ReadPolicy(object_reader& aReader, service_document& aDocument)
{
  aDocument.mSlots = static_cast<int>(
    aReader.OptionalInteger("slots", aDocument.mSlots, kSlotsRange));
  aDocument.mConnectionsPerServer =
    static_cast<int>(aReader.OptionalInteger("connections_per_server",
                                             aDocument.mConnectionsPerServer,
                                             kConnectionsRange));
  aDocument.mAcknowledge = aReader.OptionalEnum(
    "acknowledge", kAcknowledgePolicyNames, aDocument.mAcknowledge);
  aDocument.mReads =
    aReader.OptionalEnum("reads", kReadPolicyNames, aDocument.mReads);
  aDocument.mMaxLag = milliseconds(aReader.OptionalInteger(
    "max_lag_ms", aDocument.mMaxLag.count(), kLagRangeMs));
  aDocument.mQueueLimit = static_cast<int>(
    aReader.OptionalInteger("queue_limit", aDocument.mQueueLimit, kQueueRange));
  aDocument.mStatementTimeout =
    milliseconds(aReader.OptionalInteger("statement_timeout_ms",
                                         aDocument.mStatementTimeout.count(),
                                         kTimeoutRangeMs));
  aDocument.mTransactionIdleLimit = milliseconds(
    aReader.OptionalInteger("transaction_idle_limit_ms",
                            aDocument.mTransactionIdleLimit.count(),
                            kTimeoutRangeMs));
  aDocument.mConfirm = aReader.OptionalStrings("confirm");
  const int needed = aDocument.mSlots * kConnectionsPerSlot;
  if (aDocument.mConnectionsPerServer < needed) {
    aReader.ReportHere(
      "connections_per_server",
      "contradiction",
      absl::StrCat("must be at least ",
                   needed,
                   ": each slot needs a control, an acknowledgement and a "
                   "statement connection to each server"));
  }
}

int
CountActiveServers(const service_document& aDocument)
{
  return static_cast<int>(std::count_if(aDocument.mServers.begin(),
                                        aDocument.mServers.end(),
                                        [](const server_entry& aServer) {
                                          return aServer.mState ==
                                                 server_state::Active;
                                        }));
}

// Adds findings about an edit, except for those that the document confirms.
class edit_check
{
public:
  edit_check(const service_document& aNext,
             std::string aSource,
             findings& aFindings)
    : mNext(aNext)
    , mSource(std::move(aSource))
    , mFindings(aFindings)
  {
  }

  void AddUnlessConfirmed(const std::string& aName, const std::string& aMessage)
  {
    const auto& confirmed = mNext.mConfirm;
    if (std::find(confirmed.begin(), confirmed.end(), aName) ==
        confirmed.end()) {
      mFindings.Add({ mSource, 0, 0, "", aName, aMessage, true });
    }
  }

private:
  const service_document& mNext;
  std::string mSource;
  findings& mFindings;
};

void
CheckServers(const service_document& aNext, wall_time aNow, edit_check& aCheck)
{
  const int staying = CountActiveServers(aNext);
  if (staying == 0) {
    aCheck.AddUnlessConfirmed(
      "all_servers_leaving", "all servers are leaving: the service would stop");
  } else if (staying < 2) {
    aCheck.AddUnlessConfirmed("fewer_than_two_staying",
                              "only one server stays: its failure would lose "
                              "acknowledged writes");
  }
  for (const auto& server : aNext.mServers) {
    if (server.mLeaveBy && *server.mLeaveBy <= aNow) {
      aCheck.AddUnlessConfirmed(
        "deadline_passed",
        absl::StrCat("server ",
                     server.mName,
                     " had to be empty by ",
                     FormatTimestamp(*server.mLeaveBy)));
    }
  }
}

void
CheckRemovals(const service_document& aNext,
              const edit_context& aContext,
              edit_check& aCheck)
{
  if (!aContext.mTerm) {
    return;
  }
  const term_record& term = *aContext.mTerm;
  if (!term.mPrimary.empty() && !aNext.Find(term.mPrimary)) {
    aCheck.AddUnlessConfirmed(
      "primary_removed",
      absl::StrCat("server ",
                   term.mPrimary,
                   " is the primary: set it to leaving and remove "
                   "it once it is empty"));
  }
  for (const auto& voter : term.mVoters) {
    if (voter != term.mPrimary && !aNext.Find(voter)) {
      aCheck.AddUnlessConfirmed(
        "voter_removed",
        absl::StrCat("server ",
                     voter,
                     " still holds acknowledged writes: set it to "
                     "leaving and remove it once it is empty"));
    }
  }
}

void
CheckCapacity(const service_document& aNext,
              const edit_context& aContext,
              edit_check& aCheck)
{
  if (!aContext.mPrevious) {
    return;
  }
  const service_document& previous = *aContext.mPrevious;
  if (aNext.mConnectionsPerServer * 2 <= previous.mConnectionsPerServer ||
      aNext.mSlots * 2 <= previous.mSlots) {
    aCheck.AddUnlessConfirmed("service_emptied",
                              "connections or slots are cut to half or less");
  }
}

} // namespace

std::optional<service_document>
ParseServiceDocument(const std::string& aText,
                     const std::string& aSource,
                     findings& aFindings)
{
  findings ownFindings;
  const auto text = json_text::Parse(aText, aSource, ownFindings);
  service_document document;
  if (text) {
    object_reader reader(*text, text->Root(), "", ownFindings);
    document.mService = reader.RequiredString("service");
    if (!document.mService.empty() && !IsName(document.mService)) {
      reader.Report(text->Root()["service"],
                    "service",
                    "bad_name",
                    "must have 1 to 64 letters, digits, '.', '-' or '_'");
    }
    ReadServers(reader, document);
    ReadPolicy(reader, document);
    reader.Finish();
  }
  for (const auto& found : ownFindings.All()) {
    aFindings.Add(found);
  }
  return ownFindings.empty() ? std::optional(document) : std::nullopt;
}

void
CheckEdit(const service_document& aNext,
          const edit_context& aContext,
          const std::string& aSource,
          wall_time aNow,
          findings& aFindings)
{
  edit_check check(aNext, aSource, aFindings);
  CheckServers(aNext, aNow, check);
  CheckRemovals(aNext, aContext, check);
  CheckCapacity(aNext, aContext, check);
}

std::string
DescribeEdit(const service_document& aNext, const edit_context& aContext)
{
  std::string text;
  const service_document noDocument;
  const service_document& previous =
    aContext.mPrevious ? *aContext.mPrevious : noDocument;
  for (const auto& server : aNext.mServers) {
    const server_entry* before = previous.Find(server.mName);
    const bool leaves = server.mState == server_state::Leaving;
    if (!before) {
      absl::StrAppend(&text, "adds server ", server.mName, "\n");
    } else if (before->mAddress != server.mAddress) {
      absl::StrAppend(&text, "moves server ", server.mName, "\n");
    }
    if (leaves && (!before || before->mState != server_state::Leaving)) {
      absl::StrAppend(&text, "drains server ", server.mName);
      if (aContext.mTerm && aContext.mTerm->mPrimary == server.mName) {
        absl::StrAppend(&text, " (the primary: writes move first)");
      }
      if (server.mLeaveBy) {
        absl::StrAppend(&text, " by ", FormatTimestamp(*server.mLeaveBy));
      }
      absl::StrAppend(&text, "\n");
    }
  }
  for (const auto& server : previous.mServers) {
    if (!aNext.Find(server.mName)) {
      absl::StrAppend(&text, "removes server ", server.mName, "\n");
    }
  }
  if (previous.mSlots != aNext.mSlots ||
      previous.mConnectionsPerServer != aNext.mConnectionsPerServer) {
    absl::StrAppend(&text,
                    "divides ",
                    aNext.mConnectionsPerServer,
                    " connections per server between ",
                    aNext.mSlots,
                    " slots\n");
  }
  return text.empty() ? "changes nothing about servers or connections\n" : text;
}

std::optional<wall_time>
ParseTimestamp(const std::string& aText)
{
  absl::Time time;
  std::string error;
  // %Ez requires an offset ("Z" or "+hh:mm").
  if (!absl::ParseTime("%Y-%m-%d%ET%H:%M:%E*S%Ez", aText, &time, &error)) {
    return std::nullopt;
  }
  return absl::ToChronoTime(time);
}

std::string
FormatTimestamp(wall_time aTime)
{
  return absl::FormatTime(
    "%Y-%m-%dT%H:%M:%SZ", absl::FromChrono(aTime), absl::UTCTimeZone());
}

} // namespace snipewalk
