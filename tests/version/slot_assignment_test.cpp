// Tests of slot assignment.
#include "snipewalk/version/slot_assignment.h"

#include "snipewalk/version/term_record.h"
#include "version/slot_model.h"

#include <gtest/gtest.h>

namespace snipewalk {
namespace {

constexpr int kSteps = 100'000;
constexpr int kMaxRecoverySteps = 6'000;

void
RunModel(slot_model_options aOptions)
{
  slot_model model(aOptions);
  int fullSteps = 0;
  for (int step = 0; step < kSteps; ++step) {
    model.Step();
    for (std::size_t i = 0; i < aOptions.mServices; ++i) {
      ASSERT_LE(model.OpenConnections(i), model.Limit(i))
        << "seed " << aOptions.mSeed << ", step " << step << ", service " << i;
    }
    fullSteps += model.AllSlotsHeld() ? 1 : 0;
  }
  // The run must have included crashes, take-overs, claims and steps at which
  // all slots were held.
  EXPECT_GT(model.Crashes(), 50U);
  EXPECT_GT(model.TakeOvers(), 20U);
  EXPECT_GT(model.Claims(), 10U);
  EXPECT_GT(fullSteps, kSteps / 100);
  model.SetFaultInjection(false);
  bool full = false;
  for (int step = 0; step < kMaxRecoverySteps && !full; ++step) {
    model.Step();
    full = model.AllSlotsHeld();
  }
  EXPECT_TRUE(full) << "slots remain vacant, seed " << aOptions.mSeed;
}

// Guards against shares that add up to more than the limit while membership
// views differ, the store loses answers and instances crash, and against slots
// that stay vacant after the faults have ended.
TEST(SlotAssignmentTest, SumOfSharesNeverExceedsTheLimit)
{
  for (std::uint64_t seed = 1; seed <= 6; ++seed) {
    slot_model_options options;
    options.mSeed = seed;
    RunModel(options);
  }
}

// Guards against shares that are based on two document versions and add up to
// more than the limit of either version.
TEST(SlotAssignmentTest, SumStaysWithinTheLimitWhileDocumentsChange)
{
  for (std::uint64_t seed = 11; seed <= 16; ++seed) {
    slot_model_options options;
    options.mSeed = seed;
    options.mChangeDocuments = true;
    RunModel(options);
  }
}

// Guards against the replacement of the only live holder without the agreement
// of another one, and against services of one or two slots whose slots stay
// vacant.
TEST(SlotAssignmentTest, SmallServicesStayWithinTheLimit)
{
  for (std::uint64_t seed = 21; seed <= 24; ++seed) {
    slot_model_options options;
    options.mSeed = seed;
    options.mSlots = static_cast<int>(1 + seed % 2);
    options.mInstances = 4;
    options.mServices = 4;
    RunModel(options);
  }
}

// Guards against a slot that moves to a better candidate while its former
// holder still has connections open, and against moves that never end. After
// the faults have ended, the holders of a service are moved to different data
// centres; then no slot moves for about an hour.
TEST(SlotAssignmentTest, MovesKeepTheLimitAndComeToAnEnd)
{
  std::uint64_t movesDuringFaults = 0;
  for (std::uint64_t seed = 31; seed <= 34; ++seed) {
    slot_model_options options;
    options.mSeed = seed;
    options.mInstances = 9;
    options.mServices = 5;
    options.mDataCentres = 3;
    slot_model model(options);
    const auto step = [&] {
      model.Step();
      for (std::size_t i = 0; i < options.mServices; ++i) {
        ASSERT_LE(model.OpenConnections(i), model.Limit(i)) << "seed " << seed;
      }
    };
    std::uint64_t before = 0;
    for (int i = 0; i < 20'000; ++i) {
      step();
      const std::uint64_t now = model.Moves();
      movesDuringFaults += now > before ? now - before : 0;
      before = now;
    }
    model.SetFaultInjection(false);
    for (int i = 0; i < 72'000; ++i) {
      step();
    }
    EXPECT_EQ(model.HoldersSharingDataCentre(), 0U) << "seed " << seed;
    EXPECT_TRUE(model.AllSlotsHeld()) << "seed " << seed;
    const std::uint64_t moves = model.Moves();
    for (int i = 0; i < 72'000; ++i) {
      step();
    }
    EXPECT_EQ(model.Moves(), moves) << "seed " << seed;
  }
  EXPECT_GT(movesDuringFaults, 20U);
}

// Guards against moves without benefit: each of three instances already holds a
// slot of each of three services.
TEST(SlotAssignmentTest, NothingMovesAtThreeInstances)
{
  slot_model_options options;
  options.mInstances = 3;
  options.mServices = 3;
  options.mDataCentres = 2;
  slot_model model(options);
  model.SetFaultInjection(false);
  for (int i = 0; i < 72'000; ++i) {
    model.Step();
  }
  EXPECT_TRUE(model.AllSlotsHeld());
  EXPECT_EQ(model.Moves(), 0U);
}

// A fleet in which all instances are alive.
class live_fleet : public slot_fleet
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
  std::string AddressOf(const std::string& aInstance) const override
  {
    return aInstance;
  }
};

// Returns the time until "b" opens connections after it first receives a slots
// object with the holders "a" and "b". "a" confirms each query immediately.
milliseconds
TimeUntilShare(bool aInitial)
{
  const live_fleet fleet;
  slot_options options;
  options.mInstance = "b";
  options.mLife = 1;
  slot_assignment assignment(options, fleet);
  std::vector<slot_action> actions;
  const time_point start{ seconds(100) };
  assignment.Handle(slots_configured{ "ledger", 2, 20, 5 }, start, actions);
  slot_record record;
  record.mHolders = { { "a", 1 }, { "b", 1 } };
  record.mInitial = aInitial;
  assignment.Handle(
    slots_recorded{
      { { "slots", "ledger" }, 7, false, EncodeSlotRecord(record) } },
    start,
    actions);
  time_point now = start;
  while (assignment.Share("ledger") == 0 && now < start + seconds(20)) {
    actions.clear();
    assignment.Handle(slot_timer{}, now, actions);
    for (const auto& action : std::vector<slot_action>(actions)) {
      if (const auto* sent = std::get_if<send_slot_message>(&action)) {
        slot_message reply = sent->mMessage;
        reply.mKind = slot_message_kind::HoldReply;
        reply.mSender = "a";
        reply.mSenderLife = 1;
        reply.mGranted = true;
        assignment.Handle(slot_message_received{ "a", reply }, now, actions);
      }
    }
    now += milliseconds(100);
  }
  return milliseconds(ToMilliseconds(now - start));
}

// Guards against a delay at the first start of a service, which has no former
// holders, and against a holder that opens connections without waiting although
// the slots object may have had other holders before.
TEST(SlotAssignmentTest, WaitsOnlyWhenFormerHoldersMayExist)
{
  EXPECT_LE(TimeUntilShare(true), milliseconds(1'200));
  EXPECT_GE(TimeUntilShare(false), kTakeOverDelay);
}

// Guards against shares that do not add up to the limit, and against a
// remainder that is not given to the lowest slots.
TEST(SlotAssignmentTest, GivesTheRemainderToLowerSlots)
{
  EXPECT_EQ(SlotShare(20, 3, 0), 7);
  EXPECT_EQ(SlotShare(20, 3, 1), 7);
  EXPECT_EQ(SlotShare(20, 3, 2), 6);
  EXPECT_EQ(SlotShare(20, 3, 3), 0);
  EXPECT_EQ(SlotShare(20, 0, 0), 0);
}

// Guards against reserves that exceed the shares or a tenth of the limit, or
// that leave no control or statement connection.
TEST(SlotAssignmentTest, DividesTheReserveInsideTheShares)
{
  EXPECT_EQ(SlotReserve(20, 3, 0), 1);
  EXPECT_EQ(SlotReserve(20, 3, 1), 1);
  EXPECT_EQ(SlotReserve(20, 3, 2), 0);
  EXPECT_EQ(SlotReserve(40, 3, 0), 2);
  EXPECT_EQ(SlotReserve(40, 3, 1), 1);
  EXPECT_EQ(SlotReserve(40, 3, 2), 1);
  for (int connections = 0; connections < 200; ++connections) {
    for (int slots = 1; slots < 12; ++slots) {
      int shares = 0;
      int reserves = 0;
      for (std::size_t i = 0; i < static_cast<std::size_t>(slots); ++i) {
        const int share = SlotShare(connections, slots, i);
        const int reserve = SlotReserve(connections, slots, i);
        EXPECT_GE(reserve, 0);
        EXPECT_TRUE(reserve == 0 || share - reserve >= 2);
        shares += share;
        reserves += reserve;
      }
      EXPECT_EQ(shares, connections);
      EXPECT_LE(reserves * 10, connections);
    }
  }
}

} // namespace
} // namespace snipewalk
