// Implementation of reading PEM texts.
#include "connection/tls_pem.h"

#include "snipewalk/base/text.h"
#include "snipewalk/connection/caller_adapter.h"

#include <openssl/err.h>
#include <openssl/pem.h>

namespace snipewalk {

namespace {

openssl_ptr<BIO>
Reader(const std::string& aText)
{
  return openssl_ptr<BIO>(
    BIO_new_mem_buf(aText.data(), static_cast<int>(aText.size())));
}

// An encrypted key is refused; without this OpenSSL asks on the terminal.
int
NoPassword(char*, int, int, void*)
{
  return 0;
}

} // namespace

std::vector<openssl_ptr<X509>>
ReadCertificates(const std::string& aText)
{
  const auto reader = Reader(aText);
  std::vector<openssl_ptr<X509>> certificates;
  while (X509* next =
           PEM_read_bio_X509(reader.get(), nullptr, NoPassword, nullptr)) {
    certificates.emplace_back(next);
  }
  // The end of the text is the only error that is expected.
  const bool ended =
    ERR_GET_REASON(ERR_peek_last_error()) == PEM_R_NO_START_LINE;
  ERR_clear_error();
  if (!ended) {
    certificates.clear();
  }
  return certificates;
}

openssl_ptr<EVP_PKEY>
ReadPrivateKey(const std::string& aText)
{
  const auto reader = Reader(aText);
  openssl_ptr<EVP_PKEY> key(
    PEM_read_bio_PrivateKey(reader.get(), nullptr, NoPassword, nullptr));
  ERR_clear_error();
  return key;
}

std::string
AccountOf(const X509* aCertificate)
{
  const X509_NAME* subject = X509_get_subject_name(aCertificate);
  const int first = X509_NAME_get_index_by_NID(subject, NID_commonName, -1);
  if (first < 0 ||
      X509_NAME_get_index_by_NID(subject, NID_commonName, first) >= 0) {
    return {};
  }
  const ASN1_STRING* value =
    X509_NAME_ENTRY_get_data(X509_NAME_get_entry(subject, first));
  unsigned char* text = nullptr;
  const int length = ASN1_STRING_to_UTF8(&text, value);
  if (length < 0) {
    ERR_clear_error();
    return {};
  }
  // A NUL inside the name is kept here, and refused as a control character.
  std::string account(reinterpret_cast<char*>(text),
                      static_cast<std::size_t>(length));
  OPENSSL_free(text);
  return IsName(account, kAccountNameLimitBytes) ? account : std::string();
}

} // namespace snipewalk
