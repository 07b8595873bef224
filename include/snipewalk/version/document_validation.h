// Parses and validates service documents, and detects dangerous edits.
#ifndef SNIPEWALK_VERSION_DOCUMENT_VALIDATION_H_
#define SNIPEWALK_VERSION_DOCUMENT_VALIDATION_H_

#include "snipewalk/base/findings.h"
#include "snipewalk/base/time.h"
#include "snipewalk/messages/service_document.h"
#include "snipewalk/messages/service_view.h"

#include <optional>
#include <string>

namespace snipewalk {

// Parses and validates a document (JSON with comments). Adds all errors to
// `aFindings`; returns a document only if no error was added.
std::optional<service_document>
ParseServiceDocument(const std::string& aText,
                     const std::string& aSource,
                     findings& aFindings);

// State that an edit is checked against; each member may be null.
struct edit_context
{
  const service_document* mPrevious = nullptr;
  const term_record* mTerm = nullptr;
};

// Adds a finding for each dangerous consequence of putting `aNext` in force at
// `aNow`, unless the document's `confirm` list contains the finding's name:
//   all_servers_leaving      no server would remain
//   fewer_than_two_staying   acknowledged writes would have only one copy
//   deadline_passed          the deadline of a server is not after `aNow`
//   primary_removed          the primary is removed without leaving first
//   voter_removed            a voter is removed, which may hold acknowledged
//                            writes
//   service_emptied          the number of connections or slots is reduced to
//                            half or less
void
CheckEdit(const service_document& aNext,
          const edit_context& aContext,
          const std::string& aSource,
          wall_time aNow,
          findings& aFindings);

// Describes the effects of an edit for the operator, one effect per line.
std::string
DescribeEdit(const service_document& aNext, const edit_context& aContext);

// Parses RFC 3339 text with an explicit UTC offset. Returns nothing if the text
// is malformed or lacks the offset.
std::optional<wall_time>
ParseTimestamp(const std::string& aText);

// Formats a time as RFC 3339 text in UTC.
std::string
FormatTimestamp(wall_time aTime);

} // namespace snipewalk

#endif // SNIPEWALK_VERSION_DOCUMENT_VALIDATION_H_
