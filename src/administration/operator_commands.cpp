// Implementation of the commands of the operators' tool.
#include "snipewalk/administration/operator_commands.h"

#include "snipewalk/administration/http_fetch.h"
#include "snipewalk/base/findings.h"
#include "snipewalk/store/audit_trail.h"
#include "snipewalk/version/document_validation.h"
#include "snipewalk/version/term_record.h"

#include <absl/strings/str_cat.h>

#include <algorithm>
#include <fstream>
#include <sstream>

namespace snipewalk {

namespace {

std::optional<std::string>
ReadFile(const std::string& aPath)
{
  std::ifstream file(aPath);
  if (!file) {
    return std::nullopt;
  }
  std::ostringstream text;
  text << file.rdbuf();
  return text.str();
}

std::optional<service_document>
ReadDocument(const std::string& aPath, std::string& aText, findings& aFindings)
{
  auto text = ReadFile(aPath);
  if (!text) {
    aFindings.Add({ aPath, 0, 0, "", "unreadable", "cannot be read", false });
    return std::nullopt;
  }
  aText = *std::move(text);
  return ParseServiceDocument(aText, aPath, aFindings);
}

int
ExitCodeOf(const absl::Status& aStatus)
{
  switch (aStatus.code()) {
    case absl::StatusCode::kOk:
      return kExitDone;
    case absl::StatusCode::kAborted:
      return kExitRefused;
    case absl::StatusCode::kUnknown:
      return kExitUnknown;
    case absl::StatusCode::kInvalidArgument:
      return kExitBadInput;
    default:
      return kExitUnreachable;
  }
}

int
Fail(const absl::Status& aStatus, std::ostream& aOut)
{
  aOut << "error: " << aStatus.message() << "\n";
  return ExitCodeOf(aStatus);
}

// What the store holds about a service before an edit.
struct current_service
{
  std::uint64_t mVersion = 0;
  std::optional<service_document> mDocument;
  std::optional<term_record> mTerm;
};

absl::StatusOr<current_service>
ReadCurrent(operator_store& aStore, const std::string& aService)
{
  current_service current;
  const auto document = aStore.Get({ "services", aService });
  if (!document.ok()) {
    return document.status();
  }
  if (document->has_value()) {
    findings ignored;
    current.mVersion = (*document)->mVersion;
    current.mDocument =
      ParseServiceDocument((*document)->mValue, aService, ignored);
  }
  const auto term = aStore.Get({ "terms", aService });
  if (!term.ok()) {
    return term.status();
  }
  if (term->has_value()) {
    const auto record = DecodeTermRecord((*term)->mValue);
    if (record.ok()) {
      current.mTerm = *record;
    }
  }
  return current;
}

// The version the edit is based on must be the one in the store.
absl::Status
CheckExpectedVersion(const put_options& aOptions,
                     const current_service& aCurrent)
{
  const std::uint64_t expected = aOptions.mExpectedVersion.value_or(0);
  if (expected == aCurrent.mVersion) {
    return absl::OkStatus();
  }
  if (!aOptions.mExpectedVersion) {
    return absl::AbortedError(
      absl::StrCat("the document exists with version ",
                   aCurrent.mVersion,
                   ": get it, edit it and put it with --expected_version"));
  }
  return absl::AbortedError(absl::StrCat("the edit is based on version ",
                                         expected,
                                         " but the store holds version ",
                                         aCurrent.mVersion,
                                         ": get it and edit again"));
}

// Instances append to the same object, so that a conflict is likely.
constexpr int kAuditAttempts = 5;

absl::Status
TryAppendAudit(operator_store& aStore, const audit_entry& aEntry)
{
  const object_key key{ kAuditKind, aEntry.mService };
  const auto object = aStore.Get(key);
  if (!object.ok()) {
    return object.status();
  }
  std::vector<audit_entry> entries;
  if (object->has_value()) {
    auto ring = DecodeAuditRing((*object)->mValue);
    if (!ring.ok()) {
      return ring.status();
    }
    entries = *std::move(ring);
  }
  // An attempt whose answer was lost may have written the entry.
  if (std::any_of(entries.begin(), entries.end(), [&](const auto& aOther) {
        return aOther.mId == aEntry.mId;
      })) {
    return absl::OkStatus();
  }
  entries.push_back(aEntry);
  return aStore
    .Put(key,
         EncodeAuditRing(entries),
         object->has_value() ? (*object)->mVersion : 0)
    .status();
}

// The document is stored already: a failure is reported and changes nothing.
void
AppendAudit(operator_store& aStore,
            const audit_entry& aEntry,
            std::ostream& aOut)
{
  absl::Status status;
  for (int i = 0; i < kAuditAttempts; ++i) {
    status = TryAppendAudit(aStore, aEntry);
    if (status.ok()) {
      return;
    }
  }
  aOut << "warning: the audit trail lacks this edit: " << status.message()
       << "\n";
}

audit_entry
AuditOfPut(const put_options& aOptions,
           const std::string& aService,
           std::uint64_t aFrom,
           std::uint64_t aTo,
           wall_time aNow)
{
  audit_entry entry;
  // Versions are unique within a store.
  entry.mId = absl::StrCat("put/", aTo);
  entry.mWhen = aNow;
  entry.mWho = aOptions.mOperator.empty() ? "unnamed" : aOptions.mOperator;
  entry.mInstance = "snipewalkctl";
  entry.mService = aService;
  entry.mAction = "document_put";
  entry.mFrom = absl::StrCat(aFrom);
  entry.mTo = absl::StrCat(aTo);
  return entry;
}

} // namespace

int
ValidateFiles(const std::vector<std::string>& aFiles,
              wall_time aNow,
              std::ostream& aOut)
{
  findings found;
  for (const auto& file : aFiles) {
    std::string text;
    const auto document = ReadDocument(file, text, found);
    if (document) {
      CheckEdit(*document, {}, file, aNow, found);
    }
  }
  aOut << found.ToString();
  if (!found.empty()) {
    return kExitBadInput;
  }
  aOut << "valid\n";
  return kExitDone;
}

int
PutDocument(operator_store& aStore,
            const put_options& aOptions,
            wall_time aNow,
            std::ostream& aOut)
{
  findings found;
  std::string text;
  const auto document = ReadDocument(aOptions.mFile, text, found);
  if (!document) {
    aOut << found.ToString();
    return kExitBadInput;
  }
  const auto current = ReadCurrent(aStore, document->mService);
  if (!current.ok()) {
    return Fail(current.status(), aOut);
  }
  const edit_context context{ current->mDocument ? &*current->mDocument
                                                 : nullptr,
                              current->mTerm ? &*current->mTerm : nullptr };
  const std::string description = DescribeEdit(*document, context);
  aOut << description;
  const absl::Status expected = CheckExpectedVersion(aOptions, *current);
  if (!expected.ok()) {
    return Fail(expected, aOut);
  }
  CheckEdit(*document, context, aOptions.mFile, aNow, found);
  aOut << found.ToString();
  if (!found.empty()) {
    aOut << "add the names in brackets to \"confirm\" if this is intended\n";
    return kExitRefused;
  }
  if (aOptions.mDryRun) {
    aOut << "dry run: nothing was stored\n";
    return kExitDone;
  }
  const auto version =
    aStore.Put({ "services", document->mService }, text, current->mVersion);
  if (!version.ok()) {
    return Fail(version.status(), aOut);
  }
  aOut << "stored as version " << *version << "\n";
  audit_entry entry =
    AuditOfPut(aOptions, document->mService, current->mVersion, *version, aNow);
  entry.mReason = description;
  AppendAudit(aStore, entry, aOut);
  return kExitDone;
}

int
GetDocument(operator_store& aStore,
            const std::string& aService,
            std::ostream& aOut)
{
  const auto object = aStore.Get({ "services", aService });
  if (!object.ok()) {
    return Fail(object.status(), aOut);
  }
  if (!object->has_value()) {
    aOut << "error: there is no service " << aService << "\n";
    return kExitBadInput;
  }
  aOut << "// version " << (*object)->mVersion << "\n" << (*object)->mValue;
  return kExitDone;
}

int
PrintObject(operator_store& aStore, const object_key& aKey, std::ostream& aOut)
{
  const auto object = aStore.Get(aKey);
  if (!object.ok()) {
    return Fail(object.status(), aOut);
  }
  if (!object->has_value()) {
    aOut << "there is no object " << aKey.mKind << "/" << aKey.mName << "\n";
    return kExitDone;
  }
  aOut << (*object)->mValue << "\n";
  return kExitDone;
}

int
AskInstances(const std::vector<std::string>& aAddresses,
             const std::string& aTarget,
             const std::string& aToken,
             milliseconds aTimeout,
             std::ostream& aOut)
{
  int exitCode = kExitDone;
  for (const auto& address : aAddresses) {
    http_request request;
    request.mMethod = "GET";
    request.mTarget = aTarget;
    request.mKeepAlive = false;
    if (!aToken.empty()) {
      request.mHeaders.Add("Authorization", "Bearer " + aToken);
    }
    const auto response = HttpFetch(address, request, aTimeout);
    aOut << address << " ";
    if (!response.ok()) {
      aOut << "unreachable: " << response.status().message() << "\n";
      exitCode = kExitUnreachable;
      continue;
    }
    aOut << response->mBody << "\n";
    if (response->mStatus >= 400) {
      exitCode = kExitRefused;
    }
  }
  return exitCode;
}

} // namespace snipewalk
