// Tests of the release of slots to better candidates.
#include "snipewalk/version/slot_assignment.h"
#include "snipewalk/version/term_record.h"

#include <gtest/gtest.h>

#include <utility>

namespace snipewalk {
namespace {

// A stable fleet in which this instance always has a reason to release.
class uneven_fleet : public slot_fleet
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
  // The share was used again after it had been closed.
  bool mOpenedAgain = false;
  int mLastShare = 0;
};

// Two minutes of "b", which holds a service together with "a".
outcome
RunHolder(std::size_t aConnections,
          std::size_t aTransactions,
          store_status aStore,
          int aSlots = 2)
{
  const uneven_fleet fleet;
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

// Guards against a test setting in which nothing could move at all.
TEST(SlotRebalancingTest, ReleasesAnUnusedSlot)
{
  EXPECT_GT(RunHolder(0, 0, store_status::Ok).mPuts, 0);
}

// Guards against a slot that is vacated while connections of this holder are
// open, and against a share that stays closed when they do not end in time.
TEST(SlotRebalancingTest, KeepsTheSlotWhileConnectionsAreOpen)
{
  const outcome result = RunHolder(1, 0, store_status::Ok);
  EXPECT_EQ(result.mPuts, 0);
  EXPECT_TRUE(result.mClosedShare);
  EXPECT_TRUE(result.mOpenedAgain);
}

// Guards against a transaction that is lost with a slot that moves.
TEST(SlotRebalancingTest, KeepsTheSlotWhileATransactionIsOpen)
{
  const outcome result = RunHolder(1, 1, store_status::Ok);
  EXPECT_EQ(result.mPuts, 0);
  EXPECT_FALSE(result.mClosedShare);
}

// Guards against a share that is closed while the store cannot be reached.
TEST(SlotRebalancingTest, KeepsTheShareWhileTheStoreIsUnreachable)
{
  const outcome result = RunHolder(0, 0, store_status::Refused);
  EXPECT_EQ(result.mPuts, 0);
  EXPECT_FALSE(result.mClosedShare);
}

// Guards against a service without a holder while its only slot moves.
TEST(SlotRebalancingTest, KeepsTheOnlySlotOfAService)
{
  const outcome result = RunHolder(0, 0, store_status::Ok, 1);
  EXPECT_EQ(result.mPuts, 0);
  EXPECT_FALSE(result.mClosedShare);
}

} // namespace
} // namespace snipewalk
