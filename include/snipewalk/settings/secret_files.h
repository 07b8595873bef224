// Rotation of the fleet key and the admin token when their files change.
#ifndef SNIPEWALK_SETTINGS_SECRET_FILES_H_
#define SNIPEWALK_SETTINGS_SECRET_FILES_H_

#include "snipewalk/base/time.h"

#include <optional>
#include <string>
#include <vector>

namespace snipewalk {

inline constexpr milliseconds kSecretCheckInterval{ 5'000 };
// A new fleet key signs only once every instance has had time to read it.
inline constexpr milliseconds kFleetKeySignsAfter{ 60'000 };
// Time for which a replaced fleet key still verifies: an instance may read the
// new key almost one minute late and signs with the old one for a minute more.
inline constexpr milliseconds kFleetKeyRetiresAfter{ 300'000 };

// Contents of a file of secrets without the line end. An empty path gives an
// empty secret; nothing when the file cannot be read.
std::optional<std::string>
ReadSecretFile(const std::string& aPath);

// Nothing for a file that cannot be read.
struct secret_contents
{
  std::optional<std::string> mFleetKey;
  std::optional<std::string> mAdminToken;
};

// What has to be set; nothing where it is unchanged.
struct secret_changes
{
  // All keys verify, the first signs.
  std::optional<std::vector<std::string>> mFleetKeys;
  std::optional<std::string> mAdminToken;
};

// Unreadable and empty contents change nothing: a file that is truncated while
// it is rewritten must not switch authentication off.
class secret_rotation
{
public:
  secret_rotation(std::string aFleetKey, std::string aAdminToken);

  secret_changes Update(const secret_contents& aContents, time_point aNow);

  // All keys verify, the first signs.
  std::vector<std::string> FleetKeys() const;

private:
  struct timed_key
  {
    std::string mKey;
    time_point mDue;
  };

  void Adopt(const std::string& aKey, time_point aNow);
  void Retire(std::string aKey, time_point aNow);

  std::string mSigner;
  // Verifies, and signs from mDue on.
  std::optional<timed_key> mNext;
  // Verify until mDue. Holds neither mSigner nor the key of mNext.
  std::vector<timed_key> mRetired;
  std::string mAdminToken;
};

} // namespace snipewalk

#endif // SNIPEWALK_SETTINGS_SECRET_FILES_H_
