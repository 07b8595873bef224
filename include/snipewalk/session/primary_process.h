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
  // Handles the record of a process that was chosen for promotion.
  void OnChosen(const candidate_record& aChosen) { mChosen = aChosen; }
  // Handles a record of the service. `aEntry` is the entry of the server that
  // it names, if that is known. A record that follows from the last one, such
  // as the end of the same change, is about the same process.
  void OnRecord(const primary_record& aRecord,
                const std::optional<registered_server>& aEntry);
  // Handles an entry of a server of the service. Entries without a start time
  // say nothing.
  void OnEntry(const registered_server& aEntry);

  // Whether the server that the last record names has started again since it
  // was chosen, or since this instance first knew it under that record if the
  // chosen process is not known.
  bool HasRestarted(const std::string& aServer) const;

private:
  // Whether a record is about the process that mRecord is about.
  bool IsAboutSameProcess(const primary_record& aRecord) const;
  // Whether mChosen is about the process that mRecord is about.
  bool IsChosenKnown() const;

  std::optional<primary_record> mRecord;
  std::optional<candidate_record> mChosen;
  // Start times in Unix milliseconds of the first process of the server that
  // was known under mRecord, and of the latest one; zero if there was none.
  std::uint64_t mFirstStarted = 0;
  std::uint64_t mLastStarted = 0;
};

} // namespace snipewalk

#endif // SNIPEWALK_SESSION_PRIMARY_PROCESS_H_
