// Plan of a soak run: which faults begin when, drawn from a seed. Faults come
// in series and overlap.
#ifndef SNIPEWALK_SOAK_FAULT_PLAN_H_
#define SNIPEWALK_SOAK_FAULT_PLAN_H_

#include "snipewalk/base/name_table.h"
#include "snipewalk/base/time.h"
#include "standins/fault_link.h"

#include <cstdint>
#include <vector>

namespace snipewalk::soak {

enum class fault_kind
{
  // Of an instance.
  Kill,
  Pause,
  Terminate,
  HangUp,
  // Of a link: from callers to an instance, from an instance to the store, or
  // from all instances to a server.
  Cut,
  Freeze,
  Delay,
  Reset,
  Silence,
  // Of a server.
  Crash,
  Replace,
  Lag,
  LoseAnswers,
  // Of the store.
  StoreDown,
  StoreLosesAnswers,
  StoreCompacts
};

inline constexpr name_table<fault_kind, 16> kFaultKindNames{ {
  { fault_kind::Kill, "kill" },
  { fault_kind::Pause, "pause" },
  { fault_kind::Terminate, "terminate" },
  { fault_kind::HangUp, "hang_up" },
  { fault_kind::Cut, "cut" },
  { fault_kind::Freeze, "freeze" },
  { fault_kind::Delay, "delay" },
  { fault_kind::Reset, "reset" },
  { fault_kind::Silence, "silence" },
  { fault_kind::Crash, "crash" },
  { fault_kind::Replace, "replace" },
  { fault_kind::Lag, "lag" },
  { fault_kind::LoseAnswers, "lose_answers" },
  { fault_kind::StoreDown, "store_down" },
  { fault_kind::StoreLosesAnswers, "store_loses_answers" },
  { fault_kind::StoreCompacts, "store_compacts" },
} };

// Faults that are planned work: no answer may be cut by them.
inline constexpr fault_kind kPlannedWork[] = { fault_kind::Terminate,
                                               fault_kind::HangUp,
                                               fault_kind::Replace };

struct fault_step
{
  // From the start of the run.
  milliseconds mAt{ 0 };
  fault_kind mKind = fault_kind::Kill;
  // Which instance, link or server: taken modulo their number.
  std::size_t mTarget = 0;
  // How long; zero where a fault has no length.
  milliseconds mFor{ 0 };
  // Direction of a cut.
  standins::link_cut mCut = standins::link_cut::Both;
};

struct fault_plan_options
{
  std::uint64_t mSeed = 1;
  // Faults begin in the first `mLength` of the run.
  milliseconds mLength{ 12'000 };
  bool mPlannedWorkOnly = false;
};

// In order of their begin.
std::vector<fault_step>
DrawFaults(const fault_plan_options& aOptions);

} // namespace snipewalk::soak

#endif // SNIPEWALK_SOAK_FAULT_PLAN_H_
