// Callers with TLS, with real processes.
#include "standins/system_fleet.h"
#include "standins/tls_caller.h"

#include <gtest/gtest.h>

namespace snipewalk::standins {
namespace {

class TlsTest : public ::testing::Test
{
protected:
  void SetUp() override
  {
    system_options options;
    options.mAuthority = mAuthority;
    auto fleet = system_fleet::Start(options);
    ASSERT_TRUE(fleet.ok()) << fleet.status();
    mFleet = *std::move(fleet);
  }

  std::shared_ptr<const tls_context> Client(
    const certificate_maker& aAuthority) const
  {
    tls_material material = aAuthority.Client("workshop-7");
    material.mAuthorities = mAuthority->Authority();
    return *tls_context::Client(material);
  }

  static http_request Statement(const std::string& aKind,
                                const std::string& aBody)
  {
    http_request request;
    request.mMethod = "POST";
    request.mTarget = "/v1/services/service1/statements";
    request.mHeaders.Add("Snipewalk-Kind", aKind);
    request.mBody = aBody;
    return request;
  }

  std::shared_ptr<certificate_maker> mAuthority =
    std::make_shared<certificate_maker>("callers");
  std::unique_ptr<system_fleet> mFleet;
};

// Guards against a session that does not see its own write at another instance
// over TLS.
TEST_F(TlsTest, ReadsOwnWriteThroughAnotherInstance)
{
  std::string session;
  for (int i = 0; i < 12; ++i) {
    const std::string value = "cleaned" + std::to_string(i);
    const auto written =
      mFleet->Write(i % 3, "set drum/1 " + value, {}, session);
    ASSERT_TRUE(written.Done()) << written.mStatus << written.mBody;
    session = written.mSession;
    const auto read = mFleet->Read((i + 1) % 3, "get drum/1", session);
    EXPECT_EQ(read.mBody, value) << read.mStatus;
  }
}

// Guards against an account that acts as another one, and against a request
// that runs although it is refused.
TEST_F(TlsTest, AccountCannotActAsAnother)
{
  caller_statement foreign;
  foreign.mKind = "write";
  foreign.mBody = "set drum/2 forged";
  foreign.mCertificateAccount = "workshop-8";
  const auto refused = mFleet->Send(0, foreign);
  EXPECT_EQ(refused.mStatus, 403);
  EXPECT_EQ(refused.mOutcome, "not_run");
  EXPECT_NE(mFleet->Read(1, "get drum/2").mBody, "forged");
  // Without the header the certificate alone names the account.
  const auto caller =
    tls_caller::Connect(mFleet->CallerPort(0), Client(*mAuthority));
  ASSERT_TRUE(caller.ok()) << caller.status();
  const auto answer = (*caller)->Call(Statement("write", "set drum/2 own"));
  ASSERT_TRUE(answer.ok()) << answer.status();
  EXPECT_EQ(answer->mStatus, 200) << answer->mBody;
}

// Guards against callers of another authority or in plain HTTP that get any
// answer, and against refusals without a reason in the log.
TEST_F(TlsTest, RefusesCallersWithoutValidCertificate)
{
  const certificate_maker other("callers");
  const auto caller = tls_caller::Connect(mFleet->CallerPort(0), Client(other));
  // The client of TLS 1.3 hears of the refusal after its own last message.
  const absl::Status status =
    caller.ok() ? (*caller)->Call(Statement("read", "get drum/1")).status()
                : caller.status();
  EXPECT_EQ(status.code(), absl::StatusCode::kUnauthenticated) << status;
  EXPECT_FALSE(HttpCall(mFleet->CallerPort(0), "GET", "/v1/health").ok());
  EXPECT_TRUE(WaitFor([&] {
    return mFleet->LogOf(0).find("certificate signature failure") !=
           std::string::npos;
  }))
    << mFleet->LogOf(0);
}

// Guards against new keys that need a restart or cut open connections, and
// against a broken file that stops the port.
TEST_F(TlsTest, ReplacesKeysWithoutRestart)
{
  const certificate_maker next("callers of next year");
  const auto open =
    tls_caller::Connect(mFleet->CallerPort(0), Client(*mAuthority));
  ASSERT_TRUE(open.ok()) << open.status();
  tls_material broken = mAuthority->Server();
  broken.mKey = next.Server().mKey;
  mFleet->WriteTlsFiles(broken);
  EXPECT_TRUE(WaitFor([&] {
    return mFleet->LogOf(0).find("does not belong to the certificate") !=
           std::string::npos;
  }))
    << mFleet->LogOf(0);
  EXPECT_TRUE(mFleet->Write(0, "set drum/3 old").Done());
  // The instance's certificate stays one of the authority that callers know.
  tls_material replaced = mAuthority->Server();
  replaced.mAuthorities = next.Authority();
  mFleet->WriteTlsFiles(replaced);
  const auto withNext = Client(next);
  EXPECT_TRUE(WaitFor([&] {
    // Requests on the connection that was open before go on.
    const auto kept = (*open)->Call(Statement("write", "set drum/3 open"));
    EXPECT_TRUE(kept.ok() && kept->mStatus == 200) << kept.status();
    const auto caller = tls_caller::Connect(mFleet->CallerPort(0), withNext);
    const auto read = caller.ok()
                        ? (*caller)->Call(Statement("read", "get drum/3"))
                        : caller.status();
    return read.ok() && read->mStatus == 200;
  }));
  EXPECT_FALSE(mFleet->Write(0, "set drum/3 late").Done());
}

} // namespace
} // namespace snipewalk::standins
