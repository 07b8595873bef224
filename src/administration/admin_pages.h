// The JSON answers of the admin port.
#ifndef SNIPEWALK_ADMINISTRATION_ADMIN_PAGES_H_
#define SNIPEWALK_ADMINISTRATION_ADMIN_PAGES_H_

#include "snipewalk/administration/admin_server.h"

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

#endif // SNIPEWALK_ADMINISTRATION_ADMIN_PAGES_H_
