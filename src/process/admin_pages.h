// The JSON answers of the admin port.
#ifndef SNIPEWALK_PROCESS_ADMIN_PAGES_H_
#define SNIPEWALK_PROCESS_ADMIN_PAGES_H_

#include "snipewalk/process/admin_server.h"

#include <string>

namespace snipewalk {

struct admin_answer
{
  int mStatus = 200;
  std::string mBody;
};

// Answers a GET request; `aAuthorization` is the value of that header.
admin_answer
AnswerAdmin(const admin_sources& aSources,
            const std::string& aInstance,
            const std::string& aTarget,
            const std::string& aAuthorization);

} // namespace snipewalk

#endif // SNIPEWALK_PROCESS_ADMIN_PAGES_H_
