// Tests of the JSON encoding of store objects.
#include "snipewalk/version/term_record.h"

#include <gtest/gtest.h>

namespace snipewalk {
namespace {

const term_record kRecord{ 7,        "b", { "a", "b", "c" }, term_phase::Stable,
                           "i1/3/9", "i1" };

// Guards against a field of a term record that is not encoded or decoded.
TEST(TermRecordTest, KeepsAllFields)
{
  const auto decoded = DecodeTermRecord(EncodeTermRecord(kRecord));
  ASSERT_TRUE(decoded.ok()) << decoded.status();
  EXPECT_EQ(decoded->mTerm, kRecord.mTerm);
  EXPECT_EQ(decoded->mPrimary, kRecord.mPrimary);
  EXPECT_EQ(decoded->mVoters, kRecord.mVoters);
  EXPECT_EQ(decoded->mPhase, kRecord.mPhase);
  EXPECT_EQ(decoded->mOperation, kRecord.mOperation);
  EXPECT_EQ(decoded->mOrderedBy, kRecord.mOrderedBy);
}

// Guards against accepting malformed term records, which instances could
// interpret differently.
TEST(TermRecordTest, RejectsMalformedRecords)
{
  const std::string good = EncodeTermRecord(kRecord);
  const auto with = [&](const std::string& aFrom, const std::string& aTo) {
    std::string text = good;
    text.replace(text.find(aFrom), aFrom.size(), aTo);
    return text;
  };
  for (const auto& text : { std::string(),
                            std::string("[]"),
                            std::string("{}"),
                            good + "x",
                            with("\"term\":7", "\"term\":0"),
                            with("\"term\":7", "\"term\":-1"),
                            with("\"term\":7", "\"term\":7.0"),
                            with("\"term\":7", "\"term\":\"7\""),
                            with("\"term\":7", "\"term\":7,\"term\":8"),
                            with("\"term\":7", "\"term\":7,\"extra\":1"),
                            with("\"term\":7", "/* */\"term\":7"),
                            with("\"primary\":\"b\"", "\"primary\":\"d\""),
                            with("\"primary\":\"b\"", "\"primary\":\"\""),
                            with("\"stable\"", "\"electing\""),
                            with("\"stable\"", "\"other\""),
                            with("\"c\"", "\"a\"") }) {
    EXPECT_FALSE(DecodeTermRecord(text).ok()) << text;
  }
}

// Guards against a slot record that loses vacant slots or the incarnation of a
// holder, so that a restarted instance is taken for the earlier one.
TEST(SlotRecordTest, KeepsHoldersAndVacantSlots)
{
  slot_record record;
  record.mHolders = { { "i1", 1'764'826'000'123 }, { "", 0 } };
  const auto decoded = DecodeSlotRecord(EncodeSlotRecord(record));
  ASSERT_TRUE(decoded.ok()) << decoded.status();
  ASSERT_EQ(decoded->mHolders.size(), 2U);
  EXPECT_EQ(decoded->mHolders[0].mIncarnation, 1'764'826'000'123U);
  EXPECT_TRUE(decoded->mHolders[1].mInstance.empty());
  EXPECT_FALSE(decoded->mInitial);
  record.mInitial = true;
  EXPECT_TRUE(DecodeSlotRecord(EncodeSlotRecord(record))->mInitial);
}

// Guards against a drain status field that is not encoded or decoded, so that
// operators see other progress than the planner reported.
TEST(DrainStatusTest, KeepsAllFields)
{
  const drain_status status{
    "ledger",
    "i1",
    9,
    wall_time(milliseconds(1'800'000'000'000)),
    { { "a",
        drain_state::Blocked,
        true,
        true,
        4,
        milliseconds(1'500),
        wall_time(milliseconds(1'800'000'060'000)),
        true,
        { "b is behind the primary" } },
      { "b", drain_state::Complete, false, false, 0, {}, {}, false, {} } }
  };
  const auto decoded = DecodeDrainStatus(EncodeDrainStatus(status));
  ASSERT_TRUE(decoded.ok()) << decoded.status();
  EXPECT_EQ(*decoded, status);
}

} // namespace
} // namespace snipewalk
