// Stand-in of the platform's store for a few instances: objects with revisions,
// conditional writes, lists, and watches that wait for the next change.
#ifndef SNIPEWALK_REVIEW_OBJECT_STORE_H_
#define SNIPEWALK_REVIEW_OBJECT_STORE_H_

#include "snipewalk/connection/event_loop.h"
#include "standins/http_service.h"

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include <json/json.h>

namespace snipewalk::review {

// Loop thread only.
class object_store
{
public:
  // Handles a call that is not one of the store's.
  using other_handler =
    std::function<http_response(const http_request& aRequest)>;

  object_store(event_loop& aLoop, other_handler aOnOther);
  object_store(const object_store&) = delete;
  object_store& operator=(const object_store&) = delete;

  // Opens an address for one instance. To it, each address in `aSeenAs` is
  // another one, as where a relay stands between two programs.
  void Listen(std::uint16_t aPort, std::map<std::string, std::string> aSeenAs);

  // Writes of the operator and of servers.
  void Write(const std::string& aKind,
             const std::string& aName,
             const Json::Value& aSpec);
  void Delete(const std::string& aKind, const std::string& aName);
  // What an object holds; null if there is none.
  Json::Value Spec(const std::string& aKind, const std::string& aName) const;

private:
  struct stored
  {
    std::uint64_t mRevision = 0;
    Json::Value mSpec;
    bool mDeleted = false;
  };

  struct waiting_watch
  {
    std::string mKind;
    std::uint64_t mFrom = 0;
  };

  struct port
  {
    std::unique_ptr<standins::http_service> mHttp;
    std::map<std::string, std::string> mSeenAs;
    std::map<standins::connection_number, waiting_watch> mWatches;
  };

  void OnCall(port& aPort,
              standins::connection_number aConnection,
              const http_request& aRequest);
  http_response OnWrite(const http_request& aRequest, const std::string& aKind);
  http_response List(const std::string& aKind) const;
  void Answer(port& aPort,
              standins::connection_number aConnection,
              http_response aResponse);
  void AnswerWatches(port& aPort);
  void AnswerWatch(port& aPort,
                   standins::connection_number aConnection,
                   bool aAlsoEmpty);
  void Change(const std::string& aKind,
              const std::string& aName,
              stored aObject);

  event_loop& mLoop;
  other_handler mOnOther;
  std::uint64_t mRevision = 1;
  std::map<std::string, std::map<std::string, stored>> mObjects;
  std::vector<std::unique_ptr<port>> mPorts;
};

} // namespace snipewalk::review

#endif // SNIPEWALK_REVIEW_OBJECT_STORE_H_
