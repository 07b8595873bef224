// Tests of which instances a change of primary waits for.
#include "session/controller_fixture.h"

namespace snipewalk {
namespace {

const instance_record kOther{ "x", "dc1", "x", 1, instance_state::Live };

class ControllerReleaseTest : public SessionControllerTest
{
protected:
  void Record(instance_state aState)
  {
    instance_record record = kOther;
    record.mState = aState;
    mStore.Write(
      kFleetKind, FleetRecordName(record), EncodeFleetRecord(record));
  }
  // The other instance was marked as gone longer ago than a confirmation lasts.
  void LetItBeGoneForLong()
  {
    mNetwork.mStatuses = { { "a", { server_role::Replica, 2, { 2, 9 }, {} } } };
    mStore.Write("servers", "a", "replica");
    Record(instance_state::Gone);
    Run(4'000);
  }
  // The watches do not deliver either change.
  void RegisterAndMarkAsGoneUnseen()
  {
    mStore.mWatchesMissChanges = true;
    Record(instance_state::Live);
    Record(instance_state::Gone);
    mStore.mWatchesMissChanges = false;
  }
  // Whether the holder of the duty asks the other instance to release the
  // primary, which leaves now.
  bool AsksToRelease()
  {
    instance& holder = *mNetwork.mInstances.at(HolderName());
    mStore.Write("servers", "p", "draining");
    Run(400);
    return holder.mAskedToRelease.contains(kOther.mPeerAddress);
  }
};

// An instance that has been gone for longer than a confirmation lasts is not
// waited for.
TEST_F(ControllerReleaseTest, WaitsForNoInstanceThatHasBeenGoneForLong)
{
  LetItBeGoneForLong();
  EXPECT_FALSE(AsksToRelease());
}

// Guards against stale reads: an instance that registered again and was marked
// as gone a second time was confirmed in between, also if the holder of the
// duty sees only the second mark.
TEST_F(ControllerReleaseTest, WaitsForAnInstanceThatWasMarkedAsGoneAgain)
{
  LetItBeGoneForLong();
  RegisterAndMarkAsGoneUnseen();
  Run(900);
  EXPECT_TRUE(AsksToRelease());
}

// The same if it sees the second mark only as it lists the instances.
TEST_F(ControllerReleaseTest, WaitsForAnInstanceWhoseNewMarkItHasNotSeen)
{
  LetItBeGoneForLong();
  RegisterAndMarkAsGoneUnseen();
  EXPECT_TRUE(AsksToRelease());
}

} // namespace
} // namespace snipewalk
