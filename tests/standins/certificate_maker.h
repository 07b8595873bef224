// Makes authorities, certificates and keys for tests at run time; no key is
// kept in the repository.
#ifndef SNIPEWALK_STANDINS_CERTIFICATE_MAKER_H_
#define SNIPEWALK_STANDINS_CERTIFICATE_MAKER_H_

#include "snipewalk/connection/tls_context.h"

#include <memory>
#include <string>

struct evp_pkey_st;
struct x509_st;

namespace snipewalk::standins {

struct certificate_wish
{
  std::string mName{};
  // Both relative to the present.
  seconds mBegin{ -3'600 };
  seconds mEnd{ 24 * 3'600 };
  // Names the address 127.0.0.1 and may be used by servers.
  bool mIsServer = false;
  // A second common name, if not empty.
  std::string mSecondName{};
};

class certificate_maker
{
public:
  // Makes an authority of this name.
  explicit certificate_maker(const std::string& aName);

  // PEM text of the authority's certificate.
  const std::string& Authority() const { return mText; }

  // A certificate of this authority with its key, and the authority as the one
  // that the other side's certificate must come from.
  tls_material Make(const certificate_wish& aWish) const;
  tls_material Server() const;
  tls_material Client(const std::string& aAccount) const;

private:
  std::shared_ptr<evp_pkey_st> mKey;
  std::shared_ptr<x509_st> mCertificate;
  std::string mText;
};

} // namespace snipewalk::standins

#endif // SNIPEWALK_STANDINS_CERTIFICATE_MAKER_H_
