// Settings of an instance: JSON with comments, checked as a whole.
#ifndef SNIPEWALK_SETTINGS_SETTINGS_H_
#define SNIPEWALK_SETTINGS_SETTINGS_H_

#include "snipewalk/base/findings.h"
#include "snipewalk/base/log.h"
#include "snipewalk/base/protocol_version.h"
#include "snipewalk/base/time.h"
#include "snipewalk/settings/tls_files.h"

#include <map>
#include <optional>
#include <string>
#include <vector>

namespace snipewalk {

struct instance_settings
{
  // Unique name of the instance in its fleet.
  std::string mInstance;
  std::string mDataCentre;
  std::string mRegion;

  // "IP:port" of each port of the instance.
  std::string mCallerAddress;
  // Forwarded statements from other instances (TCP).
  std::string mPeerAddress;
  // Membership (UDP) and dissemination (TCP), on the same number.
  std::string mControlAddress;
  std::string mAdminAddress;

  // Addresses of the platform's store; at least one.
  std::vector<std::string> mStoreAddresses;
  // Upper bound of this instance's calls to the store, per second.
  int mStoreCallsPerSecond = 20;

  // Control addresses of instances to join through; may be empty.
  std::vector<std::string> mSeeds;

  // Files that hold secrets; read again when they change. Without a fleet key
  // all addresses must be loopback addresses.
  std::string mFleetKeyFile;
  std::string mAdminTokenFile;

  // Certificate, key and authorities of the caller port as PEM; read again when
  // they change. All are set or none; without them callers are served in plain
  // HTTP on a loopback address.
  tls_files mCallerTls;

  // Addresses under which this instance reaches backend servers, by the address
  // in the documents; for instances behind network address translation.
  std::map<std::string, std::string> mAddressTranslation;

  int mTrafficThreads = 2;
  int mCallerConnectionLimit = 20'000;

  // A backend server is probed when no answer came for this long.
  milliseconds mProbeInterval{ 100 };
  // Silence after which a backend server can be suspected.
  milliseconds mSilenceLimit{ 1'000 };
  // Probes a second of all servers that are idle and without a fault.
  int mProbesPerSecond = 40;

  // How long a stopping instance still serves new connections while its health
  // answer is negative.
  milliseconds mShutdownNotice{ 3'000 };
  milliseconds mShutdownTransactionLimit{ 30'000 };

  // Highest version of the messages between instances that is used.
  int mProtocolVersionLimit = kNewestProtocolVersion;

  log_settings mLogs;
};

// Reads settings and checks the TLS files that they name. All problems are
// added to `aFindings`; the result is set exactly when none was added. A
// certificate must be valid at `aNow`.
std::optional<instance_settings>
ParseSettings(const std::string& aText,
              const std::string& aSource,
              findings& aFindings,
              wall_time aNow = std::chrono::system_clock::now());

// Reads a file of settings; an unreadable file is a finding.
std::optional<instance_settings>
LoadSettings(const std::string& aPath, findings& aFindings);

} // namespace snipewalk

#endif // SNIPEWALK_SETTINGS_SETTINGS_H_
