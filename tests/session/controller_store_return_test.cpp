// Tests of the session controller over returns of the store from an older copy.
#include "session/controller_fixture.h"

namespace snipewalk {
namespace {

const primary_record kFirst{ "s", "p", 1, 1, primary_phase::Stable, 1 };
const primary_record kSecond{ "s", "r", 2, 2, primary_phase::Stable, 1 };

class StoreReturnTest : public SessionControllerTest
{
protected:
  void Record(const primary_record& aRecord)
  {
    mStore.Write(
      kFleetKind, FleetRecordName(aRecord), EncodeFleetRecord(aRecord));
  }

  std::string RecordedPrimary() const
  {
    const std::string name = PrimaryRecordName("s");
    const auto record = DecodeFleetRecord(name, mStore.Value(kFleetKind, name));
    return record.ok() ? std::get<primary_record>(*record).mPrimary : "";
  }
};

TEST_F(StoreReturnTest, AForgottenRecordIsWrittenAgain)
{
  mStore.Write("servers", "r", "replica");
  Record(kFirst);
  Run(500);
  mStore.TakeCopy();
  Record(kSecond);
  Run(100);
  mStore.ReturnFromCopy();
  ASSERT_EQ(RecordedPrimary(), "p");
  Run(1'500);
  EXPECT_EQ(RecordedPrimary(), "r");
}

// The first change of a service may be forgotten as a whole.
TEST_F(StoreReturnTest, AForgottenFirstRecordIsWrittenAgain)
{
  mStore.Write("servers", "r", "replica");
  Run(500);
  mStore.TakeCopy();
  Record(kSecond);
  Run(100);
  mStore.ReturnFromCopy();
  ASSERT_EQ(RecordedPrimary(), "");
  Run(1'500);
  EXPECT_EQ(RecordedPrimary(), "r");
}

// An instance that knows of the change tells it to one that does not.
TEST_F(StoreReturnTest, TheOthersLearnOfAForgottenRecord)
{
  mStore.Write("servers", "r", "replica");
  Record(kFirst);
  Run(500);
  mStore.TakeCopy();
  instance& uninformed = *mInstances[2];
  uninformed.mPartitioned = true;
  uninformed.mStore.mRefuses = true;
  Record(kSecond);
  Run(2'500);
  ASSERT_FALSE(IsConfirmed(uninformed));
  // The others can't write it again for now.
  mInstances[0]->mStore.mRefuses = true;
  mInstances[1]->mStore.mRefuses = true;
  mStore.ReturnFromCopy();
  uninformed.mStore.mRefuses = false;
  uninformed.SendRead("k");
  Run(1'500);
  uninformed.AcceptConnections();
  EXPECT_EQ(uninformed.ServerOfRead("k"), "");
  uninformed.mPartitioned = false;
  for (const auto& each : mInstances) {
    each->mStore.mRefuses = false;
  }
  Run(4'000);
  uninformed.AcceptConnections();
  EXPECT_EQ(uninformed.ServerOfRead("k"), "r");
}

TEST_F(StoreReturnTest, InstancesRegisterAgain)
{
  mStore.TakeCopy();
  Run(1'000);
  ASSERT_EQ(Confirmed(), 3);
  mStore.ReturnFromCopy();
  Run(1'000);
  for (const auto& each : mInstances) {
    EXPECT_EQ(RecordedState(each->mName), instance_state::Live);
  }
  EXPECT_EQ(Confirmed(), 3);
}

// The state that the operator wrote last stays in force until it is written
// again, and a later one replaces it although its number is lower.
TEST_F(StoreReturnTest, TheDesiredStateNeverGoesBack)
{
  mStore.Write("config", "main", "2");
  Run(300);
  mStore.TakeCopy();
  for (int i = 0; i < 50; ++i) {
    mStore.Write("other", "o", std::to_string(i));
  }
  mStore.Write("config", "main", "5");
  Run(300);
  mStore.ReturnFromCopy();
  Run(300);
  const session_controller& controller = mInstances[0]->mController;
  EXPECT_EQ(controller.DesiredVersion(), 5U);
  mStore.Write("config", "main", "4");
  Run(300);
  EXPECT_EQ(controller.DesiredVersion(), 5U);
  mStore.Write("config", "main", "6");
  Run(300);
  EXPECT_EQ(controller.DesiredVersion(), 6U);
}

TEST_F(StoreReturnTest, CountsReturns)
{
  Run(300);
  mStore.TakeCopy();
  const session_controller& controller = mInstances[0]->mController;
  EXPECT_EQ(controller.StoreReturns(), 0U);
  mStore.ReturnFromCopy();
  Run(300);
  EXPECT_EQ(controller.StoreReturns(), 1U);
  EXPECT_EQ(controller.StoreEra(), 1U);
}

// One holder for each of two returns close together.
TEST_F(StoreReturnTest, TheDutyIsHeldAgainAfterTwoReturns)
{
  Run(1'500);
  ASSERT_EQ(Holders(), 1);
  mStore.TakeCopy();
  mStore.ReturnFromCopy();
  Run(300);
  EXPECT_EQ(Holders(), 0);
  mStore.TakeCopy();
  mStore.ReturnFromCopy();
  Run(4'000);
  EXPECT_EQ(Holders(), 1);
}

} // namespace
} // namespace snipewalk
