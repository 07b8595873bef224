// Tests of which process of a server a primary's record is about.
#include "snipewalk/session/primary_process.h"

#include <gtest/gtest.h>

namespace snipewalk {
namespace {

constexpr std::uint64_t kBefore = 100;
constexpr std::uint64_t kAfter = 200;

registered_server
Entry(std::uint64_t aStarted, const std::string& aId = "r")
{
  registered_server entry;
  entry.mId = aId;
  entry.mService = "s";
  entry.mStarted = aStarted;
  return entry;
}

primary_record
Record(primary_phase aPhase,
       std::uint64_t aTerm,
       std::uint64_t aLeadTerm,
       const std::string& aPrimary = "r")
{
  return { "s", aPrimary, aTerm, aLeadTerm, aPhase, 1 };
}

TEST(PrimaryProcessTest, NoticesThatARecordedPrimaryStartsAgain)
{
  primary_process process;
  process.OnRecord(Record(primary_phase::Stable, 2, 2), Entry(kBefore));
  process.OnEntry(Entry(kBefore));
  EXPECT_FALSE(process.HasRestarted("r"));
  process.OnEntry(Entry(kAfter));
  EXPECT_TRUE(process.HasRestarted("r"));
  EXPECT_FALSE(process.HasRestarted("a"));
}

TEST(PrimaryProcessTest, IgnoresRestartsOfOtherServers)
{
  primary_process process;
  process.OnRecord(Record(primary_phase::Stable, 2, 2), Entry(kBefore));
  process.OnEntry(Entry(kBefore, "a"));
  process.OnEntry(Entry(kAfter, "a"));
  EXPECT_FALSE(process.HasRestarted("r"));
  EXPECT_FALSE(process.HasRestarted("a"));
}

// The record can be read before the entry, and an entry without a start time
// does not show another process.
TEST(PrimaryProcessTest, TakesTheFirstKnownStartTime)
{
  primary_process process;
  process.OnRecord(Record(primary_phase::Stable, 2, 2), std::nullopt);
  process.OnEntry(Entry(0));
  process.OnEntry(Entry(kBefore));
  process.OnEntry(Entry(0));
  EXPECT_FALSE(process.HasRestarted("r"));
  process.OnEntry(Entry(kAfter));
  EXPECT_TRUE(process.HasRestarted("r"));
}

// Guards against an order for a candidate without its log: the later records of
// a change are about the process that was chosen, even if the entry of the next
// one is known before them.
TEST(PrimaryProcessTest, KeepsTheProcessThatWasChosen)
{
  primary_process process;
  const auto promoting = Record(primary_phase::Promoting, 2, 1);
  process.OnRecord(promoting, Entry(kBefore));
  process.OnRecord(promoting, Entry(kAfter));
  EXPECT_TRUE(process.HasRestarted("r"));
  process.OnRecord(Record(primary_phase::Stable, 2, 2), Entry(kAfter));
  EXPECT_TRUE(process.HasRestarted("r"));
}

// Guards against an order by an instance that reads the records after the entry
// of the next process.
TEST(PrimaryProcessTest, KnowsTheChosenProcessFromItsRecord)
{
  primary_process process;
  process.OnChosen({ "s", "r", 2, kBefore });
  process.OnRecord(Record(primary_phase::Promoting, 2, 1), Entry(kAfter));
  EXPECT_TRUE(process.HasRestarted("r"));
  process.OnRecord(Record(primary_phase::Stable, 2, 2), Entry(kAfter));
  EXPECT_TRUE(process.HasRestarted("r"));
  process.OnRecord(Record(primary_phase::Changing, 5, 2), Entry(kAfter));
  EXPECT_TRUE(process.HasRestarted("r"));
}

// Guards against a service without a primary: earlier builds promote a server
// without a record of its process.
TEST(PrimaryProcessTest, IgnoresTheProcessThatAnotherChangeChose)
{
  primary_process process;
  process.OnChosen({ "s", "r", 2, kBefore });
  process.OnRecord(Record(primary_phase::Promoting, 4, 3), Entry(kAfter));
  EXPECT_FALSE(process.HasRestarted("r"));
  process.OnChosen({ "s", "a", 4, kBefore });
  EXPECT_FALSE(process.HasRestarted("r"));
}

// Guards against reads from a server without its log after a change that was
// abandoned.
TEST(PrimaryProcessTest, KeepsTheProcessOverAChangeThatIsReverted)
{
  primary_process process;
  process.OnRecord(Record(primary_phase::Stable, 2, 2), Entry(kBefore));
  process.OnEntry(Entry(kAfter));
  process.OnRecord(Record(primary_phase::Changing, 3, 2), Entry(kAfter));
  EXPECT_TRUE(process.HasRestarted("r"));
  process.OnRecord(Record(primary_phase::Stable, 3, 2), Entry(kAfter));
  EXPECT_TRUE(process.HasRestarted("r"));
}

// Guards against a service without a primary: a server that has started again
// can be chosen later.
TEST(PrimaryProcessTest, TakesTheNewProcessOnceItIsChosen)
{
  primary_process process;
  process.OnRecord(Record(primary_phase::Stable, 2, 2), Entry(kBefore));
  process.OnEntry(Entry(kAfter));
  process.OnRecord(Record(primary_phase::Changing, 3, 2), Entry(kAfter));
  process.OnRecord(Record(primary_phase::Promoting, 3, 2), Entry(kAfter));
  EXPECT_FALSE(process.HasRestarted("r"));
}

// As above, if only the last record of the change is read.
TEST(PrimaryProcessTest, TakesTheNewProcessOnceItLeadsInAnotherTerm)
{
  primary_process process;
  process.OnRecord(Record(primary_phase::Stable, 2, 2), Entry(kBefore));
  process.OnEntry(Entry(kAfter));
  process.OnRecord(Record(primary_phase::Stable, 3, 3), Entry(kAfter));
  EXPECT_FALSE(process.HasRestarted("r"));
}

} // namespace
} // namespace snipewalk
