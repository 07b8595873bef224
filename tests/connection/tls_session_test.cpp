// Tests of TLS sessions in memory.
#include "connection/tls_fixture.h"

#include <gtest/gtest.h>

#include <random>
#include <set>

namespace snipewalk {
namespace {

using standins::certificate_maker;
using standins::certificate_wish;

std::shared_ptr<const tls_context>
ClientContext(const tls_material& aMaterial)
{
  return *tls_context::Client(aMaterial);
}

// Session of a ticket that the client got.
std::shared_ptr<SSL_SESSION>
TicketOf(openssl_client& aClient)
{
  return { SSL_get1_session(aClient.Native()), SSL_SESSION_free };
}

class TlsSessionTest : public ::testing::Test
{
protected:
  certificate_maker mAuthority{ "callers" };
  tls_material mServerMaterial = mAuthority.Server();
  std::shared_ptr<const tls_context> mServer =
    *tls_context::Server(mServerMaterial, "fleet");
  std::shared_ptr<const tls_context> mClient =
    ClientContext(mAuthority.Client("fassnetz"));

  // The handshake of a client that must be refused.
  void ExpectRefused(const tls_context* aClient,
                     const std::string& aReason,
                     const std::string& aAlert)
  {
    openssl_client client(aClient);
    tls_server_end server(mServer);
    Converse(client, server);
    EXPECT_EQ(server.mSession->State(), tls_state::Failed);
    EXPECT_EQ(server.mSession->Failure(), aReason);
    EXPECT_NE(client.mAlert.find(aAlert), std::string::npos) << client.mAlert;
    EXPECT_EQ(server.mInput, "");
  }
};

// Guards against versions that do not connect, lost bytes, and a wrong account.
TEST_F(TlsSessionTest, CarriesBytesBothWays)
{
  for (const int version : { TLS1_2_VERSION, TLS1_3_VERSION }) {
    openssl_client client(mClient.get(), version);
    tls_server_end server(mServer);
    Converse(client, server);
    ASSERT_EQ(server.mSession->State(), tls_state::Established);
    EXPECT_EQ(server.mSession->PeerName(), "fassnetz");
    client.Write("request");
    server.Give(client.Take());
    EXPECT_EQ(server.mInput, "request");
    const std::string large(100'000, 'x');
    server.mSession->Send(large, server.mOutput);
    EXPECT_EQ(client.Give(server.Take()), large);
  }
}

// Guards against old protocol versions.
TEST_F(TlsSessionTest, RefusesTls11)
{
  openssl_client client(nullptr, TLS1_1_VERSION);
  // TLS 1.1 needs the lowest security level to be offered at all.
  SSL_set_security_level(client.Native(), 0);
  tls_server_end server(mServer);
  Converse(client, server);
  EXPECT_EQ(server.mSession->State(), tls_state::Failed);
  EXPECT_NE(client.mAlert.find("protocol version"), std::string::npos)
    << client.mAlert;
}

// Guards against callers that get further than the handshake without a
// certificate, and against refusals without an alert.
TEST_F(TlsSessionTest, RefusesClientWithoutCertificate)
{
  ExpectRefused(
    nullptr, "peer did not return a certificate", "certificate required");
}

// Guards against a certificate of somebody else's authority.
TEST_F(TlsSessionTest, RefusesCertificateOfAnotherAuthority)
{
  certificate_maker other("callers");
  tls_material material = other.Client("fassnetz");
  material.mAuthorities = mAuthority.Authority();
  ExpectRefused(
    ClientContext(material).get(), "certificate signature failure", "alert");
}

// Guards against certificates that expired, are for servers or name no account
// or several ones.
TEST_F(TlsSessionTest, RefusesUnfitCertificates)
{
  certificate_wish expired{ "fassnetz" };
  expired.mEnd = seconds(-60);
  ExpectRefused(ClientContext(mAuthority.Make(expired)).get(),
                "certificate has expired",
                "certificate expired");
  ExpectRefused(ClientContext(mServerMaterial).get(),
                "unsuitable certificate purpose",
                "alert");
  const char* nameless = "the certificate names no valid client account";
  certificate_wish two{ "fassnetz" };
  two.mSecondName = "tsagaan";
  for (const certificate_wish& wish :
       { certificate_wish{}, two, certificate_wish{ "a\nb" } }) {
    ExpectRefused(
      ClientContext(mAuthority.Make(wish)).get(), nameless, "alert");
  }
}

// Guards against a caller that makes an instance repeat handshakes.
TEST_F(TlsSessionTest, RefusesRenegotiation)
{
  openssl_client client(mClient.get(), TLS1_2_VERSION);
  SSL_clear_options(client.Native(), SSL_OP_NO_RENEGOTIATION);
  tls_server_end server(mServer);
  Converse(client, server);
  ASSERT_EQ(server.mSession->State(), tls_state::Established);
  ASSERT_EQ(SSL_renegotiate(client.Native()), 1);
  SSL_do_handshake(client.Native());
  server.Give(client.Take());
  client.Give(server.Take());
  EXPECT_EQ(client.mError, SSL_ERROR_SSL);
  EXPECT_NE(client.mAlert.find("no renegotiation"), std::string::npos)
    << client.mAlert;
}

// Guards against an end of the stream that could be a cut connection.
TEST_F(TlsSessionTest, ExchangesCloseNotify)
{
  openssl_client client(mClient.get());
  tls_server_end server(mServer);
  Converse(client, server);
  client.Write("last");
  SSL_shutdown(client.Native());
  EXPECT_EQ(server.Give(client.Take()), tls_state::Closed);
  EXPECT_EQ(server.mInput, "last");
  client.Give(server.Take());
  EXPECT_EQ(client.mError, SSL_ERROR_ZERO_RETURN);
  openssl_client second(mClient.get());
  tls_server_end closing(mServer);
  Converse(second, closing);
  closing.mSession->Close(closing.mOutput);
  closing.mSession->Send("late", closing.mOutput);
  EXPECT_EQ(second.Give(closing.Take()), "");
  EXPECT_EQ(second.mError, SSL_ERROR_ZERO_RETURN);
}

// Guards against records that are only read when they come in one piece.
TEST_F(TlsSessionTest, TakesRecordsByteByByte)
{
  openssl_client client(mClient.get());
  tls_server_end server(mServer);
  client.Give({});
  for (int i = 0; i < 4; ++i) {
    for (const char byte : client.Take()) {
      ASSERT_NE(server.Give({ byte }), tls_state::Failed);
    }
    client.Give(server.Take());
    if (i == 2) {
      client.Write("request");
    }
  }
  EXPECT_EQ(server.mInput, "request");
}

// Guards against changed or cut records that are taken for a request.
TEST_F(TlsSessionTest, RefusesChangedRecords)
{
  std::mt19937_64 random(17);
  for (int i = 0; i < 200; ++i) {
    openssl_client client(mClient.get());
    tls_server_end server(mServer);
    Converse(client, server);
    client.Write("request");
    std::string record = client.Take();
    const std::size_t at = random() % record.size();
    record[at] = static_cast<char>(record[at] ^ (1 + random() % 255));
    server.Give(record);
    EXPECT_EQ(server.mInput, "") << at;
    EXPECT_EQ(client.Give(server.Take()), "");
  }
}

// Guards against a ticket that another instance does not accept, and against
// a resumed session without an account.
TEST_F(TlsSessionTest, ResumesAtAnotherInstance)
{
  for (const int version : { TLS1_2_VERSION, TLS1_3_VERSION }) {
    openssl_client first(mClient.get(), version);
    tls_server_end server(mServer);
    Converse(first, server);
    EXPECT_FALSE(server.mSession->IsResumed());
    const auto ticket = TicketOf(first);
    tls_server_end other(*tls_context::Server(mAuthority.Server(), "fleet"));
    openssl_client second(mClient.get(), version);
    SSL_set_session(second.Native(), ticket.get());
    Converse(second, other);
    ASSERT_EQ(other.mSession->State(), tls_state::Established);
    EXPECT_TRUE(other.mSession->IsResumed());
    EXPECT_EQ(other.mSession->PeerName(), "fassnetz");
  }
}

// Guards against tickets that outlive the fleet key or the authority.
TEST_F(TlsSessionTest, RefusesTicketsOfOthers)
{
  openssl_client first(mClient.get());
  tls_server_end server(mServer);
  Converse(first, server);
  const auto ticket = TicketOf(first);
  tls_material widened = mServerMaterial;
  widened.mAuthorities += certificate_maker("new").Authority();
  for (const auto& context : { *tls_context::Server(widened, "fleet"),
                               *tls_context::Server(mServerMaterial, "new") }) {
    openssl_client second(mClient.get());
    SSL_set_session(second.Native(), ticket.get());
    tls_server_end other(context);
    Converse(second, other);
    EXPECT_EQ(other.mSession->State(), tls_state::Established);
    EXPECT_FALSE(other.mSession->IsResumed());
  }
}

// Guards against tickets that outlive the certificate that they stand for. A
// server with the same ticket keys that verifies nothing makes such a ticket.
TEST_F(TlsSessionTest, RefusesTicketOfExpiredCertificate)
{
  const auto lenient = *tls_context::Server(mServerMaterial, "fleet");
  SSL_CTX_set_verify(
    lenient->Native(), SSL_VERIFY_PEER, [](int, X509_STORE_CTX*) { return 1; });
  certificate_wish expired{ "fassnetz" };
  expired.mEnd = seconds(-60);
  const auto expiredClient = ClientContext(mAuthority.Make(expired));
  openssl_client first(expiredClient.get());
  tls_server_end server(lenient);
  Converse(first, server);
  ASSERT_EQ(server.mSession->State(), tls_state::Established);
  openssl_client second(expiredClient.get());
  SSL_set_session(second.Native(), TicketOf(first).get());
  tls_server_end strict(mServer);
  Converse(second, strict);
  EXPECT_EQ(strict.mSession->State(), tls_state::Failed);
  EXPECT_EQ(strict.mSession->Failure(), "certificate has expired");
}

// Guards against a client that trusts any server.
TEST_F(TlsSessionTest, ClientVerifiesTheServer)
{
  const auto connect = [&](const std::shared_ptr<const tls_context>& aClient,
                           const std::string& aAddress) {
    const auto client = tls_session::Client(aClient, aAddress);
    tls_server_end server(mServer);
    std::string input;
    std::string up;
    client->Start(up);
    while (!up.empty()) {
      server.Give(std::exchange(up, {}));
      client->Receive(server.Take(), input, up);
    }
    return client->State();
  };
  EXPECT_EQ(connect(mClient, "127.0.0.1"), tls_state::Established);
  EXPECT_EQ(connect(mClient, "127.0.0.2"), tls_state::Failed);
  tls_material stranger = mAuthority.Client("fassnetz");
  stranger.mAuthorities = certificate_maker("callers").Authority();
  EXPECT_EQ(connect(ClientContext(stranger), "127.0.0.1"), tls_state::Failed);
}

// Guards against faults of the files that are found only at the first caller.
TEST_F(TlsSessionTest, ChecksMaterial)
{
  const wall_time now = std::chrono::system_clock::now();
  const auto namesOf = [](const std::vector<tls_fault>& aFaults) {
    std::set<std::string> names;
    for (const auto& fault : aFaults) {
      names.insert(fault.mName);
    }
    return names;
  };
  using names = std::set<std::string>;
  EXPECT_EQ(namesOf(CheckTlsMaterial(mServerMaterial, now)), names());
  EXPECT_EQ(namesOf(CheckTlsMaterial({ "", "x", "y" }, now)),
            (names{ "bad_certificate", "bad_key", "bad_authorities" }));
  tls_material mixed = mServerMaterial;
  mixed.mKey = mAuthority.Server().mKey;
  EXPECT_EQ(namesOf(CheckTlsMaterial(mixed, now + std::chrono::hours(48))),
            (names{ "key_mismatch", "expired" }));
  EXPECT_EQ(
    namesOf(CheckTlsMaterial(mServerMaterial, now - std::chrono::hours(48))),
    names{ "not_yet_valid" });
  EXPECT_FALSE(tls_context::Server(mixed, "").ok());
  mixed = mServerMaterial;
  mixed.mCertificate.resize(mixed.mCertificate.size() / 2);
  EXPECT_EQ(namesOf(CheckTlsMaterial(mixed, now)), names{ "bad_certificate" });
}

} // namespace
} // namespace snipewalk
