// Implementation of the replacement of TLS files.
#include "snipewalk/settings/tls_files.h"

#include "snipewalk/settings/secret_files.h"

#include <absl/strings/str_cat.h>

#include <array>
#include <string_view>

namespace snipewalk {

namespace {

constexpr std::chrono::hours kExpiryReportInterval{ 24 };
constexpr std::array<const char*, 3> kPartNames{ "certificate",
                                                 "key",
                                                 "authorities" };

std::string
FaultOf(const tls_contents& aContents, wall_time aNow)
{
  std::string text;
  const auto add = [&](tls_part aPart, const std::string& aMessage) {
    absl::StrAppend(&text,
                    text.empty() ? "" : "; ",
                    kPartNames[static_cast<std::size_t>(aPart)],
                    ": ",
                    aMessage);
  };
  for (const tls_part part : aContents.mUnreadable) {
    add(part, "cannot be read");
  }
  // Contents of an unreadable file would be reported a second time.
  if (text.empty()) {
    for (const tls_fault& fault : CheckTlsMaterial(aContents.mMaterial, aNow)) {
      add(fault.mPart, fault.mMessage);
    }
  }
  return text;
}

} // namespace

tls_contents
ReadTlsFiles(const tls_files& aFiles)
{
  tls_contents contents;
  const auto read = [&](const std::string& aPath, tls_part aPart) {
    const auto text = aPath.empty() ? std::nullopt : ReadSecretFile(aPath);
    if (!text) {
      contents.mUnreadable.push_back(aPart);
    }
    return text.value_or(std::string());
  };
  contents.mMaterial.mCertificate =
    read(aFiles.mCertificate, tls_part::Certificate);
  contents.mMaterial.mKey = read(aFiles.mKey, tls_part::Key);
  contents.mMaterial.mAuthorities =
    read(aFiles.mAuthorities, tls_part::Authorities);
  return contents;
}

tls_change
tls_rotation::Update(const tls_contents& aContents,
                     const std::string& aTicketSecret,
                     wall_time aNow)
{
  const tls_material& material = aContents.mMaterial;
  const bool isPresent = mPresent == material;
  if (isPresent) {
    mRefused.reset();
    if (mTicketSecret == aTicketSecret) {
      return {};
    }
  }
  tls_change change;
  // The present files stay in force with a new ticket secret even after their
  // certificate expired.
  std::string fault = isPresent ? std::string() : FaultOf(aContents, aNow);
  if (fault.empty()) {
    auto context = tls_context::Server(material, aTicketSecret);
    if (context.ok()) {
      change.mContext = *std::move(context);
    } else {
      fault = std::string(context.status().message());
    }
  }
  if (!change.mContext) {
    if (mRefused != material) {
      mRefused = material;
      change.mFault = std::move(fault);
    }
    return change;
  }
  mPresent = material;
  mTicketSecret = aTicketSecret;
  mRefused.reset();
  mNextExpiryReport = {};
  return change;
}

std::optional<wall_time>
tls_rotation::ExpiryToReport(wall_time aNow)
{
  if (!mPresent || aNow < mNextExpiryReport) {
    return std::nullopt;
  }
  const auto end = TlsCertificateEnd(mPresent->mCertificate);
  if (!end.ok()) {
    return std::nullopt;
  }
  if (aNow + kTlsExpiryNotice < *end) {
    mNextExpiryReport = *end - kTlsExpiryNotice;
    return std::nullopt;
  }
  mNextExpiryReport = aNow + kExpiryReportInterval;
  return *end;
}

} // namespace snipewalk
