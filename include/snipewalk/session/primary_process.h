// The server process that the record of a primary is about. The record names a
// server by its id. A server may start again under its id without its log; then
// the record says nothing about the new process.
#ifndef SNIPEWALK_SESSION_PRIMARY_PROCESS_H_
#define SNIPEWALK_SESSION_PRIMARY_PROCESS_H_

#include "snipewalk/session/desired_state.h"
#include "snipewalk/session/fleet_records.h"

#include <cstdint>
#include <optional>
#include <string>

namespace snipewalk {

class primary_process
{
public:
  // Handles a record of the service. `aEntry` is the entry of the server that
  // it names, if that is known. A record that follows from the last one, such
  // as the end of the same change, is about the same process.
  void OnRecord(const primary_record& aRecord,
                const std::optional<registered_server>& aEntry);
  // Handles an entry of a server of the service. Entries without a start time
  // say nothing.
  void OnEntry(const registered_server& aEntry);

  // Whether the server that the last record names has started again since.
  bool HasRestarted(const std::string& aServer) const
  {
    return mRestarted && mRecord && mRecord->mPrimary == aServer;
  }

private:
  // Whether a record is about the process that mRecord is about.
  bool IsAboutSameProcess(const primary_record& aRecord) const;

  std::optional<primary_record> mRecord;
  // Start time of the process in Unix milliseconds; std::nullopt until an entry
  // of the server is known.
  std::optional<std::uint64_t> mStarted;
  bool mRestarted = false;
};

} // namespace snipewalk

#endif // SNIPEWALK_SESSION_PRIMARY_PROCESS_H_
