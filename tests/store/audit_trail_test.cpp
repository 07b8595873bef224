// Tests of the audit trail against a store in memory.
#include "snipewalk/store/audit_trail.h"

#include <gtest/gtest.h>

#include <random>

namespace snipewalk {
namespace {

// Answers when told to; loses answers on request.
class memory_store : public store_client
{
public:
  store_call_id Submit(store_request aRequest,
                       store_priority,
                       reply_handler aOnReply) override
  {
    mCalls.emplace_back(std::move(aRequest), std::move(aOnReply));
    return mCalls.size();
  }
  void Cancel(store_call_id) override {}

  void AnswerAll(time_point aNow)
  {
    for (auto& [request, handler] : std::exchange(mCalls, {})) {
      ++mAnswered;
      const store_reply reply = mUp ? Execute(request) : store_reply{};
      handler(mLoseAnswers ? store_reply{} : reply, aNow);
    }
  }

  store_reply Execute(const store_request& aRequest)
  {
    const object_key key{ "audit", "ledger" };
    if (const auto* put = std::get_if<store_put>(&aRequest)) {
      const bool current = put->mExpectedVersion == mVersion;
      if (current) {
        ++mVersion;
        mValue = put->mValue;
      }
      return { current ? store_status::Ok : store_status::Conflict,
               { { key, mVersion, false, mValue } },
               mVersion,
               {} };
    }
    if (mVersion == 0) {
      return { store_status::NotFound, {}, 0, {} };
    }
    return {
      store_status::Ok, { { key, mVersion, false, mValue } }, mVersion, {}
    };
  }

  std::vector<std::pair<store_request, reply_handler>> mCalls;
  bool mUp = true;
  bool mLoseAnswers = false;
  std::uint64_t mVersion = 0;
  std::string mValue;
  int mAnswered = 0;
};

class AuditTrailTest : public testing::Test
{
protected:
  void Append(audit_trail& aTrail, const std::string& aAction)
  {
    audit_entry entry;
    entry.mService = "ledger";
    entry.mAction = aAction;
    aTrail.Append(entry);
  }

  void Run(const std::vector<audit_trail*>& aTrails, int aRounds)
  {
    for (int i = 0; i < aRounds; ++i) {
      mNow += milliseconds(100);
      for (auto* trail : aTrails) {
        trail->Tick(mNow);
      }
      mStore.AnswerAll(mNow);
    }
  }

  std::vector<std::string> Actions()
  {
    std::vector<std::string> actions;
    const auto entries = DecodeAuditRing(mStore.mValue);
    EXPECT_TRUE(entries.ok());
    for (const auto& entry : *entries) {
      actions.push_back(entry.mAction);
    }
    return actions;
  }

  memory_store mStore;
  time_point mNow = time_point(seconds(10));
};

// Guards against a store call for each entry.
TEST_F(AuditTrailTest, WritesEntriesOfOneTickTogether)
{
  audit_trail trail(mStore, { "i1", 1, 1'000, 1 });
  for (const std::string action : { "x", "y", "z" }) {
    Append(trail, action);
  }
  Run({ &trail }, 3);
  EXPECT_EQ(Actions(), (std::vector<std::string>{ "x", "y", "z" }));
  EXPECT_EQ(mStore.mAnswered, 2);
  EXPECT_TRUE(trail.IsIdle());
}

// Guards against entries lost or repeated through conflicts, lost answers and
// outages, with two instances that write the same object.
TEST_F(AuditTrailTest, LosesAndRepeatsNothing)
{
  audit_trail first(mStore, { "i1", 1, 1'000, 1 });
  audit_trail second(mStore, { "i2", 1, 1'000, 2 });
  std::mt19937_64 random(3);
  for (int i = 0; i < 100; ++i) {
    mStore.mUp = random() % 4 != 0;
    mStore.mLoseAnswers = random() % 4 == 0;
    Append(i % 2 == 0 ? first : second, std::to_string(i));
    Run({ &first, &second }, 1);
  }
  mStore.mUp = true;
  mStore.mLoseAnswers = false;
  Run({ &first, &second }, 200);
  auto actions = Actions();
  ASSERT_EQ(actions.size(), 100U);
  std::sort(actions.begin(), actions.end());
  EXPECT_EQ(std::unique(actions.begin(), actions.end()), actions.end());
}

// Guards against memory that grows while the store is down, and against
// dropped entries that nobody learns of.
TEST_F(AuditTrailTest, BoundsWaitingEntriesAndReportsDroppedOnes)
{
  audit_trail trail(mStore, { "i1", 1, 10, 1 });
  mStore.mUp = false;
  for (int i = 0; i < 30; ++i) {
    Append(trail, std::to_string(i));
  }
  Run({ &trail }, 20);
  EXPECT_EQ(trail.Waiting(), 10U);
  EXPECT_EQ(trail.Dropped(), 20U);
  mStore.mUp = true;
  Run({ &trail }, 100);
  const auto actions = Actions();
  ASSERT_EQ(actions.size(), 11U);
  EXPECT_EQ(actions.front(), "20");
  EXPECT_EQ(actions.back(), "audit_dropped");
}

// Guards against an object that outgrows 256 entries or 256 KB.
TEST_F(AuditTrailTest, KeepsRingWithinItsLimits)
{
  audit_trail trail(mStore, { "i1", 1, 1'000, 1 });
  for (int i = 0; i < 600; ++i) {
    Append(trail, std::to_string(i));
    Run({ &trail }, i % 50 == 0 ? 2 : 0);
  }
  Run({ &trail }, 10);
  EXPECT_EQ(Actions().size(), kAuditEntries);
  EXPECT_TRUE(trail.IsIdle());
  for (int i = 0; i < 300; ++i) {
    Append(trail, std::string(5'000, 'x'));
  }
  Run({ &trail }, 10);
  EXPECT_LE(mStore.mValue.size(), kAuditBytes);
  EXPECT_TRUE(trail.IsIdle());
}

} // namespace
} // namespace snipewalk
