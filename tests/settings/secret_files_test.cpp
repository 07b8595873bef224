// Tests of the rotation of secrets.
#include "snipewalk/settings/secret_files.h"

#include <gtest/gtest.h>

#include <cstdio>
#include <fstream>

namespace snipewalk {
namespace {

using keys = std::vector<std::string>;

const time_point kStart{ seconds(100) };

// Guards against a new key that signs before the other instances know it.
TEST(SecretRotationTest, NewKeyVerifiesAtOnceAndSignsLater)
{
  secret_rotation rotation("old", "t");
  EXPECT_EQ(rotation.Update({ "new", "t" }, kStart).mFleetKeys,
            (keys{ "old", "new" }));
  const time_point due = kStart + kFleetKeySignsAfter;
  EXPECT_FALSE(
    rotation.Update({ "new", "t" }, due - milliseconds(1)).mFleetKeys);
  EXPECT_EQ(rotation.Update({ "new", "t" }, due).mFleetKeys,
            (keys{ "new", "old" }));
}

// Guards against an old key that is refused too early or verifies for ever.
TEST(SecretRotationTest, OldKeyRetires)
{
  secret_rotation rotation("old", "t");
  rotation.Update({ "new", "t" }, kStart);
  const time_point signs = kStart + kFleetKeySignsAfter;
  rotation.Update({ "new", "t" }, signs);
  const time_point retires = signs + kFleetKeyRetiresAfter;
  EXPECT_FALSE(
    rotation.Update({ "new", "t" }, retires - milliseconds(1)).mFleetKeys);
  EXPECT_EQ(rotation.Update({ "new", "t" }, retires).mFleetKeys,
            (keys{ "new" }));
}

// Guards against a reverted edit that makes an unknown key sign.
TEST(SecretRotationTest, RevertedKeyGoesOnSigning)
{
  secret_rotation rotation("old", "t");
  rotation.Update({ "new", "t" }, kStart);
  rotation.Update({ "old", "t" }, kStart + seconds(5));
  EXPECT_EQ(rotation.FleetKeys(), (keys{ "old", "new" }));
  rotation.Update({ "old", "t" }, kStart + seconds(120));
  EXPECT_EQ(rotation.FleetKeys(), (keys{ "old", "new" }));
}

// Guards against a second edit that is signed with a key of the first at its
// time, or that takes the signing key away.
TEST(SecretRotationTest, SecondEditRestartsTheWait)
{
  secret_rotation rotation("a", "t");
  rotation.Update({ "b", "t" }, kStart);
  const time_point second = kStart + seconds(30);
  EXPECT_EQ(rotation.Update({ "c", "t" }, second).mFleetKeys,
            (keys{ "a", "c", "b" }));
  EXPECT_FALSE(
    rotation.Update({ "c", "t" }, kStart + kFleetKeySignsAfter).mFleetKeys);
  EXPECT_EQ(
    rotation.Update({ "c", "t" }, second + kFleetKeySignsAfter).mFleetKeys,
    (keys{ "c", "b", "a" }));
}

// Guards against a file in the middle of a rewrite that switches authentication
// off.
TEST(SecretRotationTest, IgnoresUnreadableAndEmptyFiles)
{
  secret_rotation rotation("old", "t");
  for (const auto& contents :
       { secret_contents{}, secret_contents{ "", "" } }) {
    const secret_changes changes = rotation.Update(contents, kStart);
    EXPECT_FALSE(changes.mFleetKeys);
    EXPECT_FALSE(changes.mAdminToken);
  }
}

// Guards against a revoked token that remains valid, and against changes that
// are reported again.
TEST(SecretRotationTest, ReplacesTheTokenAtOnce)
{
  secret_rotation rotation("key", "old");
  EXPECT_EQ(rotation.Update({ "key", "new" }, kStart).mAdminToken, "new");
  EXPECT_FALSE(rotation.Update({ "key", "new" }, kStart).mAdminToken);
}

// Guards against the line end of a file that becomes a part of the secret.
TEST(SecretFilesTest, ReadsWithoutTheLineEnd)
{
  const std::string path = testing::TempDir() + "secret_files_test";
  std::ofstream(path) << "key\n";
  EXPECT_EQ(ReadSecretFile(path), "key");
  std::remove(path.c_str());
  EXPECT_FALSE(ReadSecretFile(path));
  EXPECT_EQ(ReadSecretFile(""), "");
}

} // namespace
} // namespace snipewalk
