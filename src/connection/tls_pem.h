// Reads certificates and keys from PEM texts.
#ifndef SNIPEWALK_CONNECTION_TLS_PEM_H_
#define SNIPEWALK_CONNECTION_TLS_PEM_H_

#include <memory>
#include <string>
#include <vector>

#include <openssl/evp.h>
#include <openssl/ssl.h>
#include <openssl/x509.h>

namespace snipewalk {

struct openssl_deleter
{
  void operator()(X509* aValue) const { X509_free(aValue); }
  void operator()(EVP_PKEY* aValue) const { EVP_PKEY_free(aValue); }
  void operator()(BIO* aValue) const { BIO_free(aValue); }
  void operator()(SSL_CTX* aValue) const { SSL_CTX_free(aValue); }
};

template<typename Type>
using openssl_ptr = std::unique_ptr<Type, openssl_deleter>;

// All certificates of the text; empty when one of them is malformed.
std::vector<openssl_ptr<X509>>
ReadCertificates(const std::string& aText);

// Null when the text has no unencrypted private key.
openssl_ptr<EVP_PKEY>
ReadPrivateKey(const std::string& aText);

// The one common name of the subject, or an empty string when there is none,
// more than one, or one that is no valid account name.
std::string
AccountOf(const X509* aCertificate);

} // namespace snipewalk

#endif // SNIPEWALK_CONNECTION_TLS_PEM_H_
