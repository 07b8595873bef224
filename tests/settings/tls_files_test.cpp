// Tests of the replacement of TLS files.
#include "snipewalk/settings/tls_files.h"

#include "standins/certificate_maker.h"

#include <gtest/gtest.h>

namespace snipewalk {
namespace {

using standins::certificate_maker;

class TlsRotationTest : public ::testing::Test
{
protected:
  tls_change Update(const tls_material& aMaterial, const char* aSecret = "k")
  {
    return mRotation.Update({ aMaterial, {} }, aSecret, mNow);
  }

  certificate_maker mAuthority{ "callers" };
  tls_rotation mRotation;
  wall_time mNow = std::chrono::system_clock::now();
};

// Guards against files that are in force too late, or made anew each time.
TEST_F(TlsRotationTest, ChangesOnlyWithTheContents)
{
  const tls_material first = mAuthority.Server();
  EXPECT_TRUE(Update(first).mContext);
  EXPECT_FALSE(Update(first).mContext);
  EXPECT_TRUE(Update(first, "next").mContext);
  EXPECT_TRUE(Update(mAuthority.Server(), "next").mContext);
}

// Guards against a broken file that replaces a usable one, or that is reported
// at each check, or that hides the repaired one.
TEST_F(TlsRotationTest, KeepsThePresentFilesWhenNewOnesAreBroken)
{
  const tls_material first = mAuthority.Server();
  ASSERT_TRUE(Update(first).mContext);
  tls_material broken = mAuthority.Server();
  const std::string key = std::exchange(broken.mKey, first.mKey);
  const tls_change refused = Update(broken);
  EXPECT_FALSE(refused.mContext);
  EXPECT_EQ(refused.mFault, "key: does not belong to the certificate");
  EXPECT_EQ(Update(broken).mFault, "");
  const tls_change missing =
    mRotation.Update({ {}, { tls_part::Key } }, "k", mNow);
  EXPECT_EQ(missing.mFault, "key: cannot be read");
  broken.mKey = key;
  EXPECT_TRUE(Update(broken).mContext);
}

// Guards against a certificate that ends without notice, and against a log
// that is filled with the notice.
TEST_F(TlsRotationTest, ReportsTheEndOncePerDay)
{
  ASSERT_TRUE(Update(mAuthority.Server()).mContext);
  const wall_time early = mNow - std::chrono::hours(24 * 20);
  EXPECT_FALSE(mRotation.ExpiryToReport(early));
  EXPECT_TRUE(mRotation.ExpiryToReport(mNow));
  EXPECT_FALSE(mRotation.ExpiryToReport(mNow + std::chrono::hours(23)));
  EXPECT_TRUE(mRotation.ExpiryToReport(mNow + std::chrono::hours(24)));
}

} // namespace
} // namespace snipewalk
