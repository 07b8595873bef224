// Tests of the release of slots to better candidates.
#include "snipewalk/version/slot_assignment.h"
#include "snipewalk/version/term_record.h"

#include <gtest/gtest.h>

#include <utility>

namespace snipewalk {
namespace {

// A stable fleet in which the instance under test always has a reason to
// release its slot.
class releasing_fleet : public slot_fleet
{
public:
  holder_liveness Liveness(const slot_record::holder&) const override
  {
    return holder_liveness::Live;
  }
  std::size_t Rank(const std::string&,
                   const std::vector<std::string>&) const override
  {
    return 0;
  }
  std::optional<release_reason> ReasonToRelease(
    const std::string&,
    const std::vector<std::string>&) const override
  {
    return release_reason::Balance;
  }
  std::optional<time_point> StableSince() const override
  {
    return time_point{};
  }
  std::string AddressOf(const std::string& aInstance) const override
  {
    return aInstance;
  }
};

struct outcome
{
  int mPuts = 0;
  bool mClosedShare = false;
  // Whether the share became positive again after it had been set to zero.
  bool mOpenedAgain = false;
  int mLastShare = 0;
};

// Simulates two minutes of "b", which holds a slot of a service. "a" holds the
// other slot if there are two. `aStore` is the outcome of store reads; updates
// are refused.
outcome
RunHolder(std::size_t aConnections,
          std::size_t aTransactions,
          store_status aStore,
          int aSlots = 2)
{
  const releasing_fleet fleet;
  slot_options options;
  options.mInstance = "b";
  options.mLife = 1;
  slot_assignment subject(options, fleet);
  std::vector<slot_action> actions;
  time_point now{ seconds(100) };
  slot_record record{ { { "a", 1 }, { "b", 1 } }, true };
  if (aSlots == 1) {
    record.mHolders.erase(record.mHolders.begin());
  }
  const stored_object object{
    { "slots", "ledger" }, 7, false, EncodeSlotRecord(record)
  };
  subject.Handle(slots_configured{ "ledger", aSlots, 20, 5 }, now, actions);
  subject.Handle(slots_recorded{ object }, now, actions);
  outcome result;
  for (const time_point end = now + seconds(120); now < end;
       now += milliseconds(100)) {
    subject.Handle(slot_timer{}, now, actions);
    const int share = subject.Share("ledger");
    result.mClosedShare |= result.mLastShare > 0 && share == 0;
    result.mOpenedAgain |=
      result.mClosedShare && result.mLastShare == 0 && share > 0;
    result.mLastShare = share;
    for (const auto& action : std::exchange(actions, {})) {
      if (const auto* sent = std::get_if<send_slot_message>(&action)) {
        slot_message message = sent->mMessage;
        message.mSender = "a";
        message.mKind = slot_message_kind::HoldReply;
        message.mGranted = true;
        subject.Handle(slot_message_received{ "a", message }, now, actions);
        message.mKind = slot_message_kind::HoldQuery;
        subject.Handle(slot_message_received{ "a", message }, now, actions);
      } else if (const auto* call = std::get_if<slot_store_call>(&action)) {
        const bool put = std::holds_alternative<store_put>(call->mRequest);
        result.mPuts += put ? 1 : 0;
        const store_status status = put ? store_status::Refused : aStore;
        subject.Handle(slot_store_answered{ call->mOperation,
                                            { status, { object }, 7, {} } },
                       now,
                       actions);
      }
    }
    subject.Handle(
      slot_use_reported{ "ledger", aConnections, aTransactions }, now, actions);
  }
  return result;
}

// Shows that the slot is released if nothing prevents it, which the other tests
// rely on.
TEST(SlotRebalancingTest, ReleasesAnUnusedSlot)
{
  EXPECT_GT(RunHolder(0, 0, store_status::Ok).mPuts, 0);
}

// Guards against a slot that is vacated while its holder has connections open,
// and against a share that stays at zero after the move was cancelled because
// the connections did not close in time.
TEST(SlotRebalancingTest, KeepsTheSlotWhileConnectionsAreOpen)
{
  const outcome result = RunHolder(1, 0, store_status::Ok);
  EXPECT_EQ(result.mPuts, 0);
  EXPECT_TRUE(result.mClosedShare);
  EXPECT_TRUE(result.mOpenedAgain);
}

// Guards against the loss of an open transaction by the move of a slot.
TEST(SlotRebalancingTest, KeepsTheSlotWhileATransactionIsOpen)
{
  const outcome result = RunHolder(1, 1, store_status::Ok);
  EXPECT_EQ(result.mPuts, 0);
  EXPECT_FALSE(result.mClosedShare);
}

// Guards against a share that is set to zero while the store is unreachable and
// the slot cannot be vacated.
TEST(SlotRebalancingTest, KeepsTheShareWhileTheStoreIsUnreachable)
{
  const outcome result = RunHolder(0, 0, store_status::Refused);
  EXPECT_EQ(result.mPuts, 0);
  EXPECT_FALSE(result.mClosedShare);
}

// Guards against a service that has no holder while its only slot moves.
TEST(SlotRebalancingTest, KeepsTheOnlySlotOfAService)
{
  const outcome result = RunHolder(0, 0, store_status::Ok, 1);
  EXPECT_EQ(result.mPuts, 0);
  EXPECT_FALSE(result.mClosedShare);
}

} // namespace
} // namespace snipewalk
