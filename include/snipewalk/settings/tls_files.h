// Replacement of the caller port's certificate, key and authorities when their
// files change.
#ifndef SNIPEWALK_SETTINGS_TLS_FILES_H_
#define SNIPEWALK_SETTINGS_TLS_FILES_H_

#include "snipewalk/base/time.h"
#include "snipewalk/connection/tls_context.h"

#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace snipewalk {

// A certificate that ends within this time is reported.
inline constexpr seconds kTlsExpiryNotice{ 14 * 24 * 3'600 };

struct tls_files
{
  std::string mCertificate;
  std::string mKey;
  std::string mAuthorities;

  bool IsSet() const { return !mCertificate.empty(); }
};

struct tls_contents
{
  tls_material mMaterial;
  std::vector<tls_part> mUnreadable;
};

tls_contents
ReadTlsFiles(const tls_files& aFiles);

struct tls_change
{
  // Set when new connections are to use another context.
  std::shared_ptr<const tls_context> mContext;
  // Why the new files are not used, once for each change of them; has no
  // secrets.
  std::string mFault;
};

// Decides which contents of the files are in force. Broken contents never
// replace usable ones.
class tls_rotation
{
public:
  // `aTicketSecret` is shared by the instances whose tickets are accepted.
  tls_change Update(const tls_contents& aContents,
                    const std::string& aTicketSecret,
                    wall_time aNow);

  // End of the present certificate's validity, once a day from
  // kTlsExpiryNotice before it.
  std::optional<wall_time> ExpiryToReport(wall_time aNow);

private:
  std::optional<tls_material> mPresent;
  std::string mTicketSecret;
  // Contents whose fault was reported.
  std::optional<tls_material> mRefused;
  wall_time mNextExpiryReport;
};

} // namespace snipewalk

#endif // SNIPEWALK_SETTINGS_TLS_FILES_H_
