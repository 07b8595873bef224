// Properties of requests that decide where they may go.
#ifndef SNIPEWALK_REQUEST_FORWARDER_REQUESTS_H_
#define SNIPEWALK_REQUEST_FORWARDER_REQUESTS_H_

#include "snipewalk/request/forwarder.h"

namespace snipewalk {

// Null for an outcome request.
inline const statement_request*
StatementOf(const forwarded_request& aRequest)
{
  return std::get_if<statement_request>(&aRequest);
}

inline bool
IsInTransaction(const forwarded_request& aRequest)
{
  const auto* statement = StatementOf(aRequest);
  return statement && !statement->mTransaction.empty();
}

// Whether no replica can serve it. Reads may need the primary, too: the engine
// finds that out.
inline bool
NeedsPrimary(const forwarded_request& aRequest)
{
  const auto* statement = StatementOf(aRequest);
  return !statement || statement->mKind != statement_kind::Read;
}

} // namespace snipewalk

#endif // SNIPEWALK_REQUEST_FORWARDER_REQUESTS_H_
