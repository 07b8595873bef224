// Stand-in of the platform's object store: objects by kind and name with
// revisions, lists, and watches that wait for the next change.
#ifndef SNIPEWALK_STANDINS_PLATFORM_STORE_H_
#define SNIPEWALK_STANDINS_PLATFORM_STORE_H_

#include "snipewalk/connection/event_loop.h"
#include "standins/http_service.h"

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include <json/json.h>

namespace snipewalk::standins {

class platform_store
{
public:
  explicit platform_store(http_service& aHttp);

  // Writes without a condition, as the platform and its operators do.
  void Write(const std::string& aKind,
             const std::string& aName,
             const Json::Value& aSpec);
  void Delete(const std::string& aKind, const std::string& aName);
  // What an object holds; null if there is none.
  Json::Value Spec(const std::string& aKind, const std::string& aName) const;

  // Answers a call of an instance, at once or later.
  void OnCall(connection_number aConnection, const http_request& aRequest);
  void OnClosed(connection_number aConnection);

  // Refuses all calls.
  void SetDown(bool aDown) { mDown = aDown; }
  // Of the writes, how many percent are done and not answered.
  void SetLostAnswers(int aPercent) { mLostAnswers = aPercent; }
  // Drops the history: watches from before get 410.
  void Compact();

  // Remembers the present state for ReturnFromCopy().
  void TakeCopy();
  // The store has the state of the copy again, if there is one that it has not
  // returned from yet, and its era rises by one: what
  // the instances wrote since is gone, revisions are given out again, and
  // waiting watches are cut off. What others wrote since is missing until
  // WriteLostAgain().
  void ReturnFromCopy();
  // Objects that others than the instances wrote after the copy and that are
  // missing since the return, by kind and name.
  std::vector<std::pair<std::string, std::string>> LostWrites() const;
  // Its writer writes such an object again. Ignored for others.
  void WriteLostAgain(const std::string& aKind, const std::string& aName);

private:
  struct stored
  {
    std::uint64_t mRevision = 0;
    Json::Value mSpec;
    // The name stays with its revision so that watches see the deletion.
    bool mDeleted = false;
  };

  using object_map = std::map<std::string, std::map<std::string, stored>>;
  // By kind and name.
  using external_writes = std::map<std::pair<std::string, std::string>, stored>;

  struct store_copy
  {
    object_map mObjects;
    std::uint64_t mRevision = 0;
  };

  struct waiting_watch
  {
    connection_number mConnection = 0;
    std::string mKind;
    std::uint64_t mFrom = 0;
  };

  // A write of others than the instances.
  void ChangeExternally(const std::string& aKind,
                        const std::string& aName,
                        const stored& aObject);
  // Answers with the store's era.
  void Answer(connection_number aConnection, http_response aResponse);
  void Change(const std::string& aKind,
              const std::string& aName,
              stored aObject);
  void OnRead(connection_number aConnection,
              const http_request& aRequest,
              const std::string& aKind);
  void OnWrite(connection_number aConnection,
               const http_request& aRequest,
               const std::string& aKind);
  void AnswerWatches();
  Json::Value List(const std::string& aKind) const;

  http_service& mHttp;
  object_map mObjects;
  std::uint64_t mRevision = 1;
  std::uint64_t mEra = 1;
  std::optional<store_copy> mCopy;
  // Since the copy.
  external_writes mWrittenSinceCopy;
  // Missing since the return.
  external_writes mLostWrites;
  std::uint64_t mOldestRevision = 0;
  std::uint64_t mWrites = 0;
  std::vector<waiting_watch> mWatches;
  bool mDown = false;
  int mLostAnswers = 0;
};

} // namespace snipewalk::standins

#endif // SNIPEWALK_STANDINS_PLATFORM_STORE_H_
