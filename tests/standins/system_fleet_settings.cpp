// Settings of the instances and service documents of a system of processes.
#include "standins/system_fleet.h"

#include <absl/strings/str_cat.h>

#include <algorithm>

namespace snipewalk::standins {

namespace {

std::string
LocalAddress(std::uint16_t aPort)
{
  return absl::StrCat("127.0.0.1:", aPort);
}

std::string
Quoted(const std::string& aText)
{
  return Json::valueToQuotedString(aText.c_str());
}

} // namespace

std::string
system_fleet::SettingsOf(int aInstance) const
{
  const instance_ports& ports = mPorts[aInstance];
  std::string seeds;
  for (const auto& other : mPorts) {
    absl::StrAppend(
      &seeds, seeds.empty() ? "" : ",", Quoted(LocalAddress(other.mControl)));
  }
  std::string translation;
  for (const auto& group : mGroups) {
    for (const auto& server : group.Servers()) {
      const auto link =
        mLinks.find(InstanceName(aInstance) + "/" + server.mName);
      if (link != mLinks.end()) {
        absl::StrAppend(&translation,
                        translation.empty() ? "" : ",",
                        Quoted(server.mAddress),
                        ":",
                        Quoted(link->second));
      }
    }
  }
  return absl::StrCat("{\"instance\":",
                      Quoted(InstanceName(aInstance)),
                      ",\"data_centre\":\"dc",
                      aInstance % 3 + 1,
                      "\",\"region\":\"r1\",\"addresses\":{\"callers\":",
                      Quoted(LocalAddress(ports.mCallers)),
                      ",\"peers\":",
                      Quoted(LocalAddress(ports.mPeers)),
                      ",\"control\":",
                      Quoted(LocalAddress(ports.mControl)),
                      ",\"admin\":",
                      Quoted(LocalAddress(ports.mAdmin)),
                      "},\"store\":{\"addresses\":[",
                      Quoted(LocalAddress(mStorePort)),
                      "]},\"seeds\":[",
                      seeds,
                      "],\"address_translation\":{",
                      translation,
                      "},\"shutdown\":{\"notice_ms\":",
                      mOptions.mShutdownNotice.count(),
                      "}",
                      TlsSettings(),
                      mOptions.mProtocolVersionLimit
                        ? absl::StrCat(",\"protocol_version_limit\":",
                                       *mOptions.mProtocolVersionLimit)
                        : "",
                      "}");
}

std::string
system_fleet::TlsSettings() const
{
  if (!mOptions.mAuthority) {
    return {};
  }
  return absl::StrCat(",\"tls\":{\"certificate_file\":",
                      Quoted(PathOf("tls-certificate.pem")),
                      ",\"key_file\":",
                      Quoted(PathOf("tls-key.pem")),
                      ",\"ca_file\":",
                      Quoted(PathOf("tls-ca.pem")),
                      "}");
}

std::string
system_fleet::DocumentOf(int aService,
                         const std::vector<std::string>& aLeaving) const
{
  std::string servers;
  int number = 0;
  for (const auto& server : mGroups[aService].Servers()) {
    const bool leaves =
      std::find(aLeaving.begin(), aLeaving.end(), server.mName) !=
      aLeaving.end();
    absl::StrAppend(&servers,
                    servers.empty() ? "" : ",",
                    "{\"name\":",
                    Quoted(server.mName),
                    ",\"address\":",
                    Quoted(server.mAddress),
                    ",\"data_centre\":\"dc",
                    ++number,
                    "\"",
                    leaves ? ",\"state\":\"leaving\"" : "",
                    "}");
  }
  return absl::StrCat("{\"service\":",
                      Quoted(ServiceName(aService)),
                      ",\"servers\":[",
                      servers,
                      "],\"slots\":",
                      mOptions.mSlots,
                      ",\"connections_per_server\":",
                      mOptions.mConnectionsPerServer,
                      mOptions.mDocumentExtra.empty() ? "" : ",",
                      mOptions.mDocumentExtra,
                      "}");
}

} // namespace snipewalk::standins
