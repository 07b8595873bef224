// Graceful shutdown of an instance (docs/decisions.md, question 19). A state
// machine without I/O: it is told the load at each tick and says what to do.
#ifndef SNIPEWALK_DAEMON_SHUTDOWN_H_
#define SNIPEWALK_DAEMON_SHUTDOWN_H_

#include "snipewalk/base/name_table.h"
#include "snipewalk/base/time.h"

#include <cstddef>
#include <optional>
#include <vector>

namespace snipewalk {

enum class shutdown_phase
{
  Serving,
  // Health is negative; the load balancer redirects new callers.
  Announced,
  // No new callers; those connected are told to reconnect elsewhere.
  Finishing,
  // The slots are being released.
  Releasing,
  // Requests that peers sent before they learned of the release are answered.
  Settling,
  Leaving,
  Done
};

inline constexpr name_table<shutdown_phase, 7> kShutdownPhaseNames{ {
  { shutdown_phase::Serving, "serving" },
  { shutdown_phase::Announced, "announced" },
  { shutdown_phase::Finishing, "finishing" },
  { shutdown_phase::Releasing, "releasing" },
  { shutdown_phase::Settling, "settling" },
  { shutdown_phase::Leaving, "leaving" },
  { shutdown_phase::Done, "done" },
} };

enum class shutdown_action
{
  Announce,
  CloseCallers,
  DrainEngines,
  // Closes callers that sent nothing for mIdleGrace.
  CloseIdleCallers,
  ReleaseSlots,
  SendLeave,
  Exit
};

struct shutdown_limits
{
  milliseconds mNotice{ 3'000 };
  milliseconds mTransactions{ 30'000 };
  // Above the longest statement timeout, so that no request is cut.
  milliseconds mRequests{ 65'000 };
  // A caller that reuses its connection within this time gets a response that
  // tells it to reconnect; closing earlier could cut a request on its way.
  milliseconds mIdleGrace{ 5'000 };
  milliseconds mRelease{ 5'000 };
  // The traffic threads count transactions every 500 ms: one that began just
  // before the engines were told to begin none is counted after this time.
  milliseconds mCounting{ 1'000 };
  // Time without requests of peers after which none is expected any more.
  milliseconds mQuiet{ 500 };
};

struct shutdown_load
{
  std::size_t mCallers = 0;
  // Requests of callers and peers.
  std::size_t mInFlight = 0;
  std::size_t mTransactions = 0;
};

class shutdown_sequence
{
public:
  explicit shutdown_sequence(shutdown_limits aLimits = {})
    : mLimits(aLimits)
  {
  }

  // SIGTERM; further ones change nothing.
  void Request(time_point aNow, std::vector<shutdown_action>& aActions);

  // Called at least each 100 ms.
  void Tick(time_point aNow,
            const shutdown_load& aLoad,
            std::vector<shutdown_action>& aActions);

  // All slots are released, or there was none.
  void SlotsReleased(time_point aNow);

  shutdown_phase Phase() const { return mPhase; }

private:
  void Enter(shutdown_phase aPhase, time_point aNow);
  void Finish(time_point aNow,
              const shutdown_load& aLoad,
              std::vector<shutdown_action>& aActions);
  bool IsSettled(time_point aNow, const shutdown_load& aLoad);

  shutdown_limits mLimits;
  shutdown_phase mPhase = shutdown_phase::Serving;
  time_point mEntered;
  // Since when no request is in flight; only while settling.
  std::optional<time_point> mQuietSince;
};

} // namespace snipewalk

#endif // SNIPEWALK_DAEMON_SHUTDOWN_H_
