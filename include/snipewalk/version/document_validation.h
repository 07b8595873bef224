// Reads and checks service documents, and finds edits that would be dangerous.
#ifndef SNIPEWALK_VERSION_DOCUMENT_VALIDATION_H_
#define SNIPEWALK_VERSION_DOCUMENT_VALIDATION_H_

#include "snipewalk/base/findings.h"
#include "snipewalk/base/time.h"
#include "snipewalk/messages/service_document.h"
#include "snipewalk/messages/service_view.h"

#include <optional>
#include <string>

namespace snipewalk {

// Reads a document (JSON with comments). All problems are added to `aFindings`;
// the result is set exactly when none was added.
std::optional<service_document>
ParseServiceDocument(const std::string& aText,
                     const std::string& aSource,
                     findings& aFindings);

// What the check of an edit compares the new document with; each may be absent.
struct edit_context
{
  const service_document* mPrevious = nullptr;
  const term_record* mTerm = nullptr;
};

// Adds a confirmable finding for each dangerous consequence of putting `aNext`
// in force at `aNow`, unless the document confirms it by name:
//   all_servers_leaving      no server would stay
//   fewer_than_two_staying   acknowledged writes would have one copy
//   deadline_passed          a server had to be empty before now
//   primary_removed          the primary is dropped without leaving first
//   voter_removed            a server whose log counts is dropped
//   service_emptied          the number of connections or slots is cut by half
//                            or more
void
CheckEdit(const service_document& aNext,
          const edit_context& aContext,
          const std::string& aSource,
          wall_time aNow,
          findings& aFindings);

// Lines for people that say what an edit will do.
std::string
DescribeEdit(const service_document& aNext, const edit_context& aContext);

// Calendar time of RFC 3339 text with an explicit offset; nothing when the text
// is malformed or lacks the offset.
std::optional<wall_time>
ParseTimestamp(const std::string& aText);

// RFC 3339 text in UTC.
std::string
FormatTimestamp(wall_time aTime);

} // namespace snipewalk

#endif // SNIPEWALK_VERSION_DOCUMENT_VALIDATION_H_
