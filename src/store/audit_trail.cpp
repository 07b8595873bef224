// Implementation of the audit trail.
#include "snipewalk/store/audit_trail.h"

#include "snipewalk/base/json_text.h"
#include "snipewalk/base/log.h"
#include "snipewalk/version/term_record.h"
#include "version/record_json.h"

#include <absl/strings/str_cat.h>

#include <algorithm>
#include <set>
#include <utility>

namespace snipewalk {

namespace {

constexpr milliseconds kFirstBackoff{ 200 };
constexpr milliseconds kLastBackoff{ 5'000 };

// Cuts a text at its limit, not within a UTF-8 sequence.
std::string
Cut(const std::string& aText)
{
  if (aText.size() <= kAuditTextBytes) {
    return aText;
  }
  std::size_t length = kAuditTextBytes;
  while (length > 0 &&
         (static_cast<unsigned char>(aText[length]) & 0xC0U) == 0x80U) {
    --length;
  }
  return aText.substr(0, length);
}

Json::Value
WriteEntry(const audit_entry& aEntry)
{
  Json::Value value;
  value["id"] = aEntry.mId;
  value["when_ms"] = Json::Int64(UnixMilliseconds(aEntry.mWhen));
  value["who"] = Cut(aEntry.mWho);
  value["instance"] = Cut(aEntry.mInstance);
  value["service"] = Cut(aEntry.mService);
  value["action"] = Cut(aEntry.mAction);
  value["from"] = Cut(aEntry.mFrom);
  value["to"] = Cut(aEntry.mTo);
  value["reason"] = Cut(aEntry.mReason);
  return value;
}

// Index of the oldest entry that fits into a ring together with all newer.
std::size_t
FirstFitting(const std::vector<audit_entry>& aEntries)
{
  // Frame of the array.
  std::size_t bytes = 16;
  std::size_t first = aEntries.size();
  while (first > 0 && aEntries.size() - first < kAuditEntries) {
    bytes += WriteJson(WriteEntry(aEntries[first - 1])).size() + 1;
    if (bytes > kAuditBytes) {
      break;
    }
    --first;
  }
  return first;
}

audit_entry
ReadEntry(record_reader& aReader)
{
  audit_entry entry;
  entry.mId = aReader.Text("id");
  entry.mWhen = aReader.Time("when_ms");
  entry.mWho = aReader.Text("who");
  entry.mInstance = aReader.Text("instance");
  entry.mService = aReader.Text("service");
  entry.mAction = aReader.Text("action");
  entry.mFrom = aReader.Text("from");
  entry.mTo = aReader.Text("to");
  entry.mReason = aReader.Text("reason");
  return entry;
}

} // namespace

std::string
EncodeAuditRing(const std::vector<audit_entry>& aEntries)
{
  std::string ring = "{\"entries\":[";
  const std::size_t first = FirstFitting(aEntries);
  for (std::size_t i = first; i < aEntries.size(); ++i) {
    absl::StrAppend(
      &ring, i == first ? "" : ",", WriteJson(WriteEntry(aEntries[i])));
  }
  return ring + "]}";
}

absl::StatusOr<std::vector<audit_entry>>
DecodeAuditRing(const std::string& aText)
{
  const auto value = ParseRecord(aText);
  if (!value.ok()) {
    return value.status();
  }
  record_reader reader(*value);
  std::vector<audit_entry> entries;
  reader.ForEach("entries", kAuditEntries, [&](record_reader& aEntry) {
    entries.push_back(ReadEntry(aEntry));
  });
  const absl::Status status = reader.Finish();
  if (!status.ok()) {
    return status;
  }
  return entries;
}

audit_trail::audit_trail(store_client& aStore, audit_options aOptions)
  : mStore(aStore)
  , mOptions(std::move(aOptions))
  , mRandom(static_cast<std::minstd_rand::result_type>(mOptions.mSeed))
{
}

audit_trail::~audit_trail() = default;

void
audit_trail::Append(audit_entry aEntry)
{
  ring& target = mRings[aEntry.mService];
  aEntry.mId = absl::StrCat(
    mOptions.mInstance, "/", mOptions.mIncarnation, "/", mNextId++);
  aEntry.mInstance = mOptions.mInstance;
  if (mWaiting >= mOptions.mMaxWaiting) {
    ++mDropped;
    ++target.mDropped;
    if (target.mWaiting.empty()) {
      return;
    }
    target.mWaiting.pop_front();
    --mWaiting;
  }
  target.mWaiting.push_back(std::move(aEntry));
  ++mWaiting;
}

bool
audit_trail::IsIdle() const
{
  return mWaiting == 0 &&
         std::none_of(mRings.begin(), mRings.end(), [](const auto& aIt) {
           return aIt.second.mCalling;
         });
}

void
audit_trail::Tick(time_point aNow)
{
  for (auto& [service, target] : mRings) {
    Advance(service, target, aNow);
  }
}

void
audit_trail::Advance(const std::string& aService, ring& aRing, time_point aNow)
{
  if (aRing.mCalling || aRing.mWaiting.empty() || aNow < aRing.mRetryAt) {
    return;
  }
  const object_key key{ kAuditKind, aService };
  aRing.mCalling = true;
  if (!aRing.mKnown) {
    Submit(aService, store_get{ key });
    return;
  }
  std::vector<audit_entry> fresh(aRing.mWaiting.begin(), aRing.mWaiting.end());
  // Entries that the ring cannot hold would be written again and again.
  const std::size_t first = FirstFitting(fresh);
  fresh.erase(fresh.begin(),
              fresh.begin() + static_cast<std::ptrdiff_t>(first));
  aRing.mWaiting.assign(fresh.begin(), fresh.end());
  mWaiting -= first;
  mDropped += first;
  aRing.mDropped += first;
  if (aRing.mDropped > 0) {
    fresh.push_back(DroppedNote(aRing));
  }
  std::vector<audit_entry> entries = aRing.mEntries;
  entries.insert(entries.end(), fresh.begin(), fresh.end());
  Submit(aService, store_put{ key, EncodeAuditRing(entries), aRing.mVersion });
}

audit_entry
audit_trail::DroppedNote(const ring& aRing) const
{
  audit_entry note = aRing.mWaiting.back();
  note.mId += "/dropped";
  note.mWho = mOptions.mInstance;
  note.mAction = "audit_dropped";
  note.mFrom.clear();
  note.mTo = absl::StrCat(aRing.mDropped);
  note.mReason = "the store was not reachable";
  return note;
}

void
audit_trail::Submit(const std::string& aService, store_request aRequest)
{
  mStore.Submit(std::move(aRequest),
                store_priority::Background,
                [this, aService, alive = std::weak_ptr<bool>(mAlive)](
                  const store_reply& aReply, time_point aNow) {
                  if (!alive.expired()) {
                    OnReply(aService, aReply, aNow);
                  }
                });
}

void
audit_trail::OnReply(const std::string& aService,
                     const store_reply& aReply,
                     time_point aNow)
{
  ring& target = mRings[aService];
  target.mCalling = false;
  switch (aReply.mStatus) {
    case store_status::Ok:
    case store_status::Conflict:
      if (aReply.mObjects.empty()) {
        // The object was deleted meanwhile.
        target.mKnown = false;
        RetryLater(target, aNow);
        return;
      }
      Learn(target, aReply.mObjects.front());
      target.mBackoff = milliseconds(0);
      Advance(aService, target, aNow);
      return;
    case store_status::NotFound:
      target.mKnown = true;
      target.mVersion = 0;
      target.mEntries.clear();
      Advance(aService, target, aNow);
      return;
    case store_status::RateLimited:
    case store_status::Refused:
      RetryLater(target, aNow);
      return;
    case store_status::Unknown:
    case store_status::HistoryGone:
      // The entries may be written: read before writing again.
      target.mKnown = false;
      RetryLater(target, aNow);
      return;
  }
}

void
audit_trail::Learn(ring& aRing, const stored_object& aObject)
{
  auto entries = DecodeAuditRing(aObject.mValue);
  if (!entries.ok()) {
    Log(log_level::Error,
        "audit",
        "audit object is not readable and will be replaced",
        { { "service", aObject.mKey.mName },
          { "fault",
            std::string_view(entries.status().message().data(),
                             entries.status().message().size()) } });
    entries = std::vector<audit_entry>();
  }
  aRing.mKnown = true;
  aRing.mVersion = aObject.mVersion;
  aRing.mEntries = *std::move(entries);
  DropWritten(aRing);
}

void
audit_trail::DropWritten(ring& aRing)
{
  std::set<std::string> written;
  for (const auto& entry : aRing.mEntries) {
    written.insert(entry.mId);
  }
  const std::size_t before = aRing.mWaiting.size();
  std::erase_if(aRing.mWaiting, [&](const auto& aEntry) {
    return written.count(aEntry.mId) > 0;
  });
  mWaiting -= before - aRing.mWaiting.size();
  if (before != aRing.mWaiting.size()) {
    aRing.mDropped = 0;
  }
}

void
audit_trail::RetryLater(ring& aRing, time_point aNow)
{
  aRing.mBackoff = std::clamp(2 * aRing.mBackoff, kFirstBackoff, kLastBackoff);
  std::uniform_int_distribution<std::int64_t> wait(aRing.mBackoff.count() / 2,
                                                   aRing.mBackoff.count());
  aRing.mRetryAt = aNow + milliseconds(wait(mRandom));
}

} // namespace snipewalk
