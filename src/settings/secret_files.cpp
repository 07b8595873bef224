// Implementation of the rotation of secrets.
#include "snipewalk/settings/secret_files.h"

#include <absl/strings/ascii.h>

#include <fstream>
#include <sstream>
#include <utility>

namespace snipewalk {

std::optional<std::string>
ReadSecretFile(const std::string& aPath)
{
  if (aPath.empty()) {
    return std::string();
  }
  std::ifstream file(aPath);
  std::ostringstream text;
  text << file.rdbuf();
  if (!file) {
    return std::nullopt;
  }
  std::string secret = text.str();
  absl::StripTrailingAsciiWhitespace(&secret);
  return secret;
}

secret_rotation::secret_rotation(std::string aFleetKey, std::string aAdminToken)
  : mSigner(std::move(aFleetKey))
  , mAdminToken(std::move(aAdminToken))
{
}

std::vector<std::string>
secret_rotation::FleetKeys() const
{
  std::vector<std::string> keys{ mSigner };
  if (mNext) {
    keys.push_back(mNext->mKey);
  }
  for (const auto& retired : mRetired) {
    keys.push_back(retired.mKey);
  }
  return keys;
}

void
secret_rotation::Retire(std::string aKey, time_point aNow)
{
  mRetired.push_back({ std::move(aKey), aNow + kFleetKeyRetiresAfter });
}

void
secret_rotation::Adopt(const std::string& aKey, time_point aNow)
{
  if (aKey == (mNext ? mNext->mKey : mSigner)) {
    return;
  }
  if (mNext) {
    Retire(std::move(mNext->mKey), aNow);
    mNext.reset();
  }
  std::erase_if(
    mRetired, [&](const timed_key& aRetired) { return aRetired.mKey == aKey; });
  if (aKey != mSigner) {
    mNext = { aKey, aNow + kFleetKeySignsAfter };
  }
}

secret_changes
secret_rotation::Update(const secret_contents& aContents, time_point aNow)
{
  const std::vector<std::string> before = FleetKeys();
  if (!aContents.mFleetKey.value_or("").empty()) {
    Adopt(*aContents.mFleetKey, aNow);
  }
  if (mNext && aNow >= mNext->mDue) {
    Retire(std::exchange(mSigner, std::move(mNext->mKey)), aNow);
    mNext.reset();
  }
  std::erase_if(
    mRetired, [&](const timed_key& aRetired) { return aNow >= aRetired.mDue; });
  secret_changes changes;
  if (std::vector<std::string> keys = FleetKeys(); keys != before) {
    changes.mFleetKeys = std::move(keys);
  }
  const std::string token = aContents.mAdminToken.value_or("");
  if (!token.empty() && token != mAdminToken) {
    mAdminToken = token;
    changes.mAdminToken = token;
  }
  return changes;
}

} // namespace snipewalk
