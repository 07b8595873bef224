// HTTP form of a load run's requests and answers (docs/protocols.md, caller
// API).
#ifndef SNIPEWALK_LOAD_LOAD_HTTP_H_
#define SNIPEWALK_LOAD_LOAD_HTTP_H_

#include "snipewalk/connection/http_codec.h"
#include "snipewalk/load/load_session.h"

#include <string>

namespace snipewalk {

struct load_target
{
  std::string mService;
  std::string mAccount;
};

http_request
EncodeLoadRequest(const load_request& aRequest,
                  const load_target& aTarget,
                  const std::string& aRequestId,
                  milliseconds aTimeout);

load_answer
DecodeLoadAnswer(const load_request& aRequest,
                 const http_response& aResponse,
                 const std::string& aRequestId);

} // namespace snipewalk

#endif // SNIPEWALK_LOAD_LOAD_HTTP_H_
