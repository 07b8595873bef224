// Implementation of the instances of the session front end in tests.
#include "standins/session_fleet.h"

#include "standins/free_ports.h"

#include <absl/strings/str_cat.h>

#include <fstream>
#include <sstream>
#include <utility>

namespace snipewalk::standins {

session_fleet::session_fleet(std::string aBinaryDir, std::string aFolder)
  : mProcesses(std::move(aBinaryDir))
  , mFolder(std::move(aFolder))
{
}

std::string
session_fleet::SettingsPath(const std::string& aName) const
{
  return absl::StrCat(mFolder, "/session_front_", aName, ".json");
}

const session_fleet::ports&
session_fleet::Configure(const std::string& aName,
                         const std::string& aStoreAddress,
                         const std::string& aPromotionAddress)
{
  const auto free = FreePorts(4);
  const ports drawn{ free.at(0), free.at(1), free.at(2), free.at(3) };
  const auto address = [](std::uint16_t aPort) {
    return absl::StrCat("\"127.0.0.1:", aPort, "\"");
  };
  std::ofstream(SettingsPath(aName))
    << "{ \"instance\": \"" << aName << "\", \"data_centre\": \"dc1\",\n"
    << "\"caller_address\": " << address(drawn.mCallers)
    << ", \"ready_address\": " << address(drawn.mReady)
    << ", \"metrics_address\": " << address(drawn.mMetrics)
    << ", \"peer_address\": " << address(drawn.mPeers) << ",\n"
    << "\"store_address\": \"" << aStoreAddress
    << "\", \"promotion_address\": \"" << aPromotionAddress
    << "\", \"shutdown_grace_seconds\": " << kGrace.count() << " }";
  return mPorts[aName] = drawn;
}

void
session_fleet::WriteSettings(const std::string& aName,
                             const std::string& aText) const
{
  std::ofstream(SettingsPath(aName)) << aText;
}

std::string
session_fleet::Settings(const std::string& aName) const
{
  std::stringstream text;
  text << std::ifstream(SettingsPath(aName)).rdbuf();
  return text.str();
}

absl::Status
session_fleet::Start(const std::string& aName)
{
  if (mProcesses.Has(aName)) {
    mProcesses.Remove(aName);
  }
  return mProcesses.Start(
    aName, "snipewalk-sessions", { "--settings=" + SettingsPath(aName) });
}

bool
session_fleet::IsReady(const std::string& aName) const
{
  const auto probe = HttpCall(
    Ports(aName).mReady, "GET", "/v1/readyz", {}, {}, milliseconds(1'000));
  return probe.ok() && probe->mStatus == 200;
}

const session_fleet::ports&
session_fleet::Ports(const std::string& aName) const
{
  return mPorts.at(aName);
}

} // namespace snipewalk::standins
