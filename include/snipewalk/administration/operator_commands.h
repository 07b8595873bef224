// Commands of the operators' tool. Each writes its result to a stream and
// returns the exit code of the process.
#ifndef SNIPEWALK_ADMINISTRATION_OPERATOR_COMMANDS_H_
#define SNIPEWALK_ADMINISTRATION_OPERATOR_COMMANDS_H_

#include "snipewalk/administration/operator_store.h"
#include "snipewalk/base/time.h"

#include <cstdint>
#include <optional>
#include <ostream>
#include <string>
#include <vector>

namespace snipewalk {

// Exit codes of all commands.
inline constexpr int kExitDone = 0;
// Another operator was first, or a finding needs confirmation.
inline constexpr int kExitRefused = 1;
inline constexpr int kExitBadInput = 2;
inline constexpr int kExitUnreachable = 3;
// The update may have taken effect; read it back before trying again.
inline constexpr int kExitUnknown = 4;

struct put_options
{
  std::string mFile;
  // Version that the edit is based on; nothing for a new document.
  std::optional<std::uint64_t> mExpectedVersion;
  // Only checks and describes the edit.
  bool mDryRun = false;
  // Name written to the audit trail.
  std::string mOperator;
};

// Checks documents without a store.
int
ValidateFiles(const std::vector<std::string>& aFiles,
              wall_time aNow,
              std::ostream& aOut);

// Checks, describes and stores a document.
int
PutDocument(operator_store& aStore,
            const put_options& aOptions,
            wall_time aNow,
            std::ostream& aOut);

// Prints the document with its version as a comment in the first line.
int
GetDocument(operator_store& aStore,
            const std::string& aService,
            std::ostream& aOut);

// Prints an object of the store: audit trail, drain status, term, slots.
int
PrintObject(operator_store& aStore, const object_key& aKey, std::ostream& aOut);

// Prints the answer of each instance's admin port to `aTarget`.
int
AskInstances(const std::vector<std::string>& aAddresses,
             const std::string& aTarget,
             const std::string& aToken,
             milliseconds aTimeout,
             std::ostream& aOut);

} // namespace snipewalk

#endif // SNIPEWALK_ADMINISTRATION_OPERATOR_COMMANDS_H_
