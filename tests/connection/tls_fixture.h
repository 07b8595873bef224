// Two ends of a TLS connection in memory. The client is OpenSSL with memory
// BIOs, so that it shares no code with the session under test.
#ifndef SNIPEWALK_TESTS_CONNECTION_TLS_FIXTURE_H_
#define SNIPEWALK_TESTS_CONNECTION_TLS_FIXTURE_H_

#include "snipewalk/connection/tls_session.h"
#include "standins/certificate_maker.h"

#include <openssl/err.h>
#include <openssl/ssl.h>

#include <memory>
#include <string>
#include <utility>

namespace snipewalk {

class openssl_client
{
public:
  // A null context is a client without a certificate that verifies nothing.
  explicit openssl_client(const tls_context* aContext, int aVersion = 0)
    : mContext(aContext ? nullptr : SSL_CTX_new(TLS_client_method()),
               SSL_CTX_free)
    , mSsl(SSL_new(aContext ? aContext->Native() : mContext.get()), SSL_free)
    , mIn(BIO_new(BIO_s_mem()))
    , mOut(BIO_new(BIO_s_mem()))
  {
    SSL_set_bio(mSsl.get(), mIn, mOut);
    SSL_set_connect_state(mSsl.get());
    if (aVersion != 0) {
      SSL_set_min_proto_version(mSsl.get(), aVersion);
      SSL_set_max_proto_version(mSsl.get(), aVersion);
    }
  }

  SSL* Native() { return mSsl.get(); }

  // Bytes to the server.
  std::string Take()
  {
    char* bytes = nullptr;
    const long length = BIO_get_mem_data(mOut, &bytes);
    std::string taken(bytes, static_cast<std::size_t>(length));
    BIO_reset(mOut);
    return taken;
  }

  // Takes bytes of the server; what it decrypted. An alert becomes mError.
  std::string Give(const std::string& aBytes)
  {
    BIO_write(mIn, aBytes.data(), static_cast<int>(aBytes.size()));
    std::string text;
    char chunk[4'096];
    int count = 0;
    ERR_clear_error();
    while ((count = SSL_read(mSsl.get(), chunk, sizeof(chunk))) > 0) {
      text.append(chunk, static_cast<std::size_t>(count));
    }
    mError = SSL_get_error(mSsl.get(), count);
    if (mError == SSL_ERROR_SSL) {
      const char* reason = ERR_reason_error_string(ERR_peek_error());
      mAlert = reason ? reason : "";
    }
    return text;
  }

  void Write(const std::string& aText)
  {
    SSL_write(mSsl.get(), aText.data(), static_cast<int>(aText.size()));
  }

  int mError = SSL_ERROR_NONE;
  std::string mAlert;

private:
  std::unique_ptr<SSL_CTX, void (*)(SSL_CTX*)> mContext;
  std::unique_ptr<SSL, void (*)(SSL*)> mSsl;
  BIO* mIn;
  BIO* mOut;
};

// A server session and all that it received and sent.
class tls_server_end
{
public:
  explicit tls_server_end(std::shared_ptr<const tls_context> aContext)
    : mSession(tls_session::Server(std::move(aContext)))
  {
  }

  tls_state Give(const std::string& aRecords)
  {
    return mSession->Receive(aRecords, mInput, mOutput);
  }

  std::string Take() { return std::exchange(mOutput, {}); }

  std::unique_ptr<tls_session> mSession;
  std::string mInput;
  std::string mOutput;
};

// Moves bytes both ways until neither side has any more.
inline void
Converse(openssl_client& aClient, tls_server_end& aServer)
{
  aClient.Give({});
  for (int i = 0; i < 20; ++i) {
    const std::string up = aClient.Take();
    const bool failed = aServer.mSession->State() == tls_state::Failed;
    if (!up.empty() && !failed) {
      aServer.Give(up);
    }
    const std::string down = aServer.Take();
    if (up.empty() && down.empty()) {
      return;
    }
    aClient.Give(down);
  }
}

} // namespace snipewalk

#endif // SNIPEWALK_TESTS_CONNECTION_TLS_FIXTURE_H_
