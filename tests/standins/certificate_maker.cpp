// Implementation of certificates for tests by OpenSSL.
#include "standins/certificate_maker.h"

#include <openssl/evp.h>
#include <openssl/pem.h>
#include <openssl/rand.h>
#include <openssl/x509v3.h>

#include <functional>
#include <stdexcept>

namespace snipewalk::standins {

namespace {

void
Require(bool aHolds, const char* aWhat)
{
  if (!aHolds) {
    throw std::runtime_error(std::string("cannot make a certificate: ") +
                             aWhat);
  }
}

std::shared_ptr<EVP_PKEY>
NewKey()
{
  EVP_PKEY* key = EVP_EC_gen("P-256");
  Require(key != nullptr, "key");
  return { key, EVP_PKEY_free };
}

std::string
TextBy(const std::function<int(BIO*)>& aWrite)
{
  const std::unique_ptr<BIO, int (*)(BIO*)> memory(BIO_new(BIO_s_mem()),
                                                   BIO_free);
  Require(aWrite(memory.get()) == 1, "text");
  char* bytes = nullptr;
  const long length = BIO_get_mem_data(memory.get(), &bytes);
  return { bytes, static_cast<std::size_t>(length) };
}

std::string
TextOf(X509* aCertificate)
{
  return TextBy(
    [&](BIO* aOut) { return PEM_write_bio_X509(aOut, aCertificate); });
}

std::string
TextOf(EVP_PKEY* aKey)
{
  return TextBy([&](BIO* aOut) {
    return PEM_write_bio_PrivateKey(
      aOut, aKey, nullptr, nullptr, 0, nullptr, nullptr);
  });
}

void
AddName(X509* aCertificate, const std::string& aName)
{
  if (!aName.empty()) {
    X509_NAME_add_entry_by_NID(
      X509_get_subject_name(aCertificate),
      NID_commonName,
      MBSTRING_UTF8,
      reinterpret_cast<const unsigned char*>(aName.data()),
      static_cast<int>(aName.size()),
      -1,
      0);
  }
}

void
AddExtension(X509* aCertificate, int aKind, const char* aValue)
{
  X509_EXTENSION* extension =
    X509V3_EXT_conf_nid(nullptr, nullptr, aKind, aValue);
  Require(extension != nullptr, aValue);
  X509_add_ext(aCertificate, extension, -1);
  X509_EXTENSION_free(extension);
}

std::shared_ptr<X509>
NewCertificate(const certificate_wish& aWish, EVP_PKEY* aKey)
{
  std::shared_ptr<X509> made(X509_new(), X509_free);
  X509* certificate = made.get();
  std::uint32_t serial = 0;
  Require(
    RAND_bytes(reinterpret_cast<unsigned char*>(&serial), sizeof(serial)) == 1,
    "serial number");
  X509_set_version(certificate, X509_VERSION_3);
  ASN1_INTEGER_set(X509_get_serialNumber(certificate), serial);
  X509_gmtime_adj(X509_getm_notBefore(certificate), aWish.mBegin.count());
  X509_gmtime_adj(X509_getm_notAfter(certificate), aWish.mEnd.count());
  X509_set_pubkey(certificate, aKey);
  AddName(certificate, aWish.mName);
  AddName(certificate, aWish.mSecondName);
  return made;
}

} // namespace

certificate_maker::certificate_maker(const std::string& aName)
  : mKey(NewKey())
{
  certificate_wish wish;
  wish.mName = aName;
  wish.mBegin = seconds(-10 * 24 * 3'600);
  mCertificate = NewCertificate(wish, mKey.get());
  X509* certificate = mCertificate.get();
  X509_set_issuer_name(certificate, X509_get_subject_name(certificate));
  AddExtension(certificate, NID_basic_constraints, "critical,CA:TRUE");
  AddExtension(certificate, NID_key_usage, "critical,keyCertSign,cRLSign");
  Require(X509_sign(certificate, mKey.get(), EVP_sha256()) > 0, "signature");
  mText = TextOf(certificate);
}

tls_material
certificate_maker::Make(const certificate_wish& aWish) const
{
  const auto key = NewKey();
  const auto made = NewCertificate(aWish, key.get());
  X509* certificate = made.get();
  X509_set_issuer_name(certificate, X509_get_subject_name(mCertificate.get()));
  AddExtension(certificate,
               NID_ext_key_usage,
               aWish.mIsServer ? "serverAuth" : "clientAuth");
  if (aWish.mIsServer) {
    AddExtension(certificate, NID_subject_alt_name, "IP:127.0.0.1");
  }
  Require(X509_sign(certificate, mKey.get(), EVP_sha256()) > 0, "signature");
  return { TextOf(certificate), TextOf(key.get()), mText };
}

tls_material
certificate_maker::Server() const
{
  certificate_wish wish;
  wish.mName = "snipewalk";
  wish.mIsServer = true;
  return Make(wish);
}

tls_material
certificate_maker::Client(const std::string& aAccount) const
{
  certificate_wish wish;
  wish.mName = aAccount;
  return Make(wish);
}

} // namespace snipewalk::standins
