// Instances of the session front end as child processes.
#ifndef SNIPEWALK_STANDINS_SESSION_FLEET_H_
#define SNIPEWALK_STANDINS_SESSION_FLEET_H_

#include "standins/process_fleet.h"

#include <cstdint>
#include <map>
#include <string>

namespace snipewalk::standins {

class session_fleet
{
public:
  struct ports
  {
    std::uint16_t mCallers = 0;
    std::uint16_t mReady = 0;
    std::uint16_t mMetrics = 0;
    std::uint16_t mPeers = 0;
  };

  // From SIGTERM until an instance ends by itself.
  static constexpr seconds kGrace{ 4 };

  // `aFolder` takes the settings files.
  session_fleet(std::string aBinaryDir, std::string aFolder);

  // Draws ports and writes the settings of an instance. The addresses are the
  // ones under which it reaches the store and the promotion call.
  const ports& Configure(const std::string& aName,
                         const std::string& aStoreAddress,
                         const std::string& aPromotionAddress);
  // Replaces the settings file of a configured instance.
  void WriteSettings(const std::string& aName, const std::string& aText) const;
  // The text of its settings file.
  std::string Settings(const std::string& aName) const;
  // Starts a configured instance, also once more after its end.
  absl::Status Start(const std::string& aName);
  // Whether its readiness probe answers 200.
  bool IsReady(const std::string& aName) const;

  const ports& Ports(const std::string& aName) const;
  child_process& At(const std::string& aName) { return mProcesses.At(aName); }

private:
  std::string SettingsPath(const std::string& aName) const;

  process_fleet mProcesses;
  std::string mFolder;
  std::map<std::string, ports> mPorts;
};

} // namespace snipewalk::standins

#endif // SNIPEWALK_STANDINS_SESSION_FLEET_H_
