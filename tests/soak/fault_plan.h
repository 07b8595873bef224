// Fault plan of a soak run: which faults begin at which time, generated from a
// seed. Faults come in bursts and may overlap.
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
  // Faults of an instance.
  Kill,
  Pause,
  Terminate,
  HangUp,
  // Faults of a link between callers and an instance, an instance and the
  // store, or all instances and a server.
  Cut,
  Freeze,
  Delay,
  Reset,
  Silence,
  // Faults of a server.
  Crash,
  Replace,
  Lag,
  LoseAnswers,
  // Faults of the store.
  StoreDown,
  StoreLosesAnswers,
  StoreCompacts,
  // A server fails a part of its requests. Only in plans with mFailRequests.
  FailRequests,
  // A replica receives nothing. This one and the next only in plans of
  // hand-overs.
  Deaf,
  // The platform carries out promotions late.
  DelayPromotions,
  // The store comes back from a copy that it took at the start of the fault.
  // Only in plans with mStoreReturns.
  StoreReturns
};

inline constexpr name_table<fault_kind, 20> kFaultKindNames{ {
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
  { fault_kind::FailRequests, "fail_requests" },
  { fault_kind::Deaf, "deaf" },
  { fault_kind::DelayPromotions, "delay_promotions" },
  { fault_kind::StoreReturns, "store_returns" },
} };

// Faults that represent planned work, which must not interrupt any reply.
inline constexpr fault_kind kPlannedWork[] = { fault_kind::Terminate,
                                               fault_kind::HangUp,
                                               fault_kind::Replace };

// What a fault hits.
enum class fault_target
{
  // The one that mTarget selects.
  Selected,
  // The instance that holds the failover duty; of links, those to the store and
  // the promotion call.
  Holder,
  // The link of that instance to the promotion call alone.
  HolderPromotions,
  // The server that leads.
  Primary
};

struct fault_step
{
  // Start time, relative to the start of the run.
  milliseconds mStartOffset{ 0 };
  fault_kind mKind = fault_kind::Kill;
  fault_target mHits = fault_target::Selected;
  // Index of the instance, link or server, modulo their number.
  std::size_t mTarget = 0;
  // Begins when the next promotion order arrives, instead of at its start time.
  bool mAwaitsOrder = false;
  // Duration; ignored by faults that have none.
  milliseconds mDuration{ 0 };
  // Direction of the traffic that a cut blocks.
  standins::link_cut mCut = standins::link_cut::Both;
};

struct fault_plan_options
{
  std::uint64_t mSeed = 1;
  // Time from the start of the run during which faults begin.
  milliseconds mFaultPeriod{ 12'000 };
  bool mPlannedWorkOnly = false;
  // Adds servers that fail requests; the other faults of a seed do not change.
  bool mFailRequests = false;
  // Adds returns of the store from older copies; the other faults of a seed do
  // not change.
  bool mStoreReturns = false;
  // Only faults around hand-overs of the failover duty: in each burst a primary
  // is to be replaced, and the holder of the duty fails meanwhile.
  bool mHandovers = false;
};

// Returns the faults in the order of their start times.
std::vector<fault_step>
DrawFaults(const fault_plan_options& aOptions);

// The plan of DrawFaults() with mHandovers.
std::vector<fault_step>
DrawHandoverFaults(const fault_plan_options& aOptions);

} // namespace snipewalk::soak

#endif // SNIPEWALK_SOAK_FAULT_PLAN_H_
