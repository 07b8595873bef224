// Implementation of HMAC-SHA256 by OpenSSL.
#include "snipewalk/base/hmac.h"

#include <openssl/crypto.h>
#include <openssl/evp.h>
#include <openssl/hmac.h>

namespace snipewalk {

std::string
HmacSha256(std::string_view aKey, std::string_view aText)
{
  std::string code(kHmacBytes, '\0');
  unsigned int length = 0;
  HMAC(EVP_sha256(),
       aKey.data(),
       static_cast<int>(aKey.size()),
       reinterpret_cast<const unsigned char*>(aText.data()),
       aText.size(),
       reinterpret_cast<unsigned char*>(code.data()),
       &length);
  return code;
}

bool
EqualInConstantTime(std::string_view aLeft, std::string_view aRight)
{
  return aLeft.size() == aRight.size() &&
         CRYPTO_memcmp(aLeft.data(), aRight.data(), aLeft.size()) == 0;
}

} // namespace snipewalk
