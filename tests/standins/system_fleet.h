// A whole system for a test: store, groups of backend servers, instances and,
// if asked for, a fault-injecting proxy between each instance and each server.
#ifndef SNIPEWALK_STANDINS_SYSTEM_FLEET_H_
#define SNIPEWALK_STANDINS_SYSTEM_FLEET_H_

#include "snipewalk/base/time.h"
#include "snipewalk/load/history.h"
#include "standins/certificate_maker.h"
#include "standins/process_fleet.h"

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include <absl/status/statusor.h>

namespace snipewalk::standins {

struct system_options
{
  int mInstances = 3;
  int mServices = 1;
  int mServersPerService = 3;
  int mSlots = 3;
  int mConnectionsPerServer = 20;
  std::vector<std::string> mBackendArguments;
  // Each instance reaches each server through its own fault link, named
  // "<instance>/<server>".
  bool mFaultLinks = false;
  milliseconds mShutdownNotice{ 100 };
  // The platform's list names the instances from the start; else it is empty.
  bool mPlatformList = false;
  // More members of the document's top object, such as "\"acknowledge\":
  // \"primary\"".
  std::string mDocumentExtra;
  // Versions of the messages between instances that they may use.
  std::optional<int> mProtocolVersionLimit;
  // Makes the certificates of the instances and of the callers; without it the
  // caller ports are plain.
  std::shared_ptr<certificate_maker> mAuthority;
};

// Answer to a statement as a caller sees it.
struct caller_answer
{
  // Zero when no whole HTTP answer came.
  int mStatus = 0;
  std::string mOutcome;
  std::string mReason;
  std::string mSession;
  std::string mTransaction;
  std::string mServer;
  std::string mBody;
  std::string mRetryAfter;
  // Nothing when the answer states no age.
  std::optional<std::uint64_t> mDataAgeMs;

  bool Done() const { return mOutcome == "done"; }
};

struct caller_statement
{
  std::string mService = "service1";
  std::string mKind = "read";
  std::string mBody;
  std::string mSession;
  std::string mKey;
  std::string mTransaction;
  std::string mAccount = "workshop-7";
  // Account of the client certificate where it is another one.
  std::string mCertificateAccount;
  std::optional<std::uint64_t> mMaxAgeMs;
  std::uint64_t mTimeoutMs = 5'000;
};

class system_fleet
{
public:
  // Starts everything, stores the documents and waits until each instance
  // answers a write to each service.
  static absl::StatusOr<std::unique_ptr<system_fleet>> Start(
    const system_options& aOptions);
  ~system_fleet();

  caller_answer Send(int aInstance, const caller_statement& aStatement) const;
  caller_answer Write(int aInstance,
                      const std::string& aBody,
                      const std::string& aKey = {},
                      const std::string& aSession = {}) const;
  caller_answer Read(int aInstance,
                     const std::string& aBody,
                     const std::string& aSession = {}) const;
  // "done", "absent" and so on, from the outcomes endpoint.
  caller_answer Outcome(int aInstance, const std::string& aKey) const;

  // Stores a document for `aService` in which the named servers leave.
  absl::Status PutDocument(int aService,
                           const std::vector<std::string>& aLeaving);

  // Applies JSON to the fault links whose name is given, or all for "*".
  absl::Status SetFaults(const std::string& aLink, const std::string& aJson);
  absl::Status SilenceConnections(const std::string& aLink);
  absl::Status SetStoreFaults(const std::string& aJson) const;
  // Replaces the platform's list of live instances.
  absl::Status SetPlatformList(const std::vector<int>& aInstances) const;
  Json::Value StoreStats() const;

  // Object of the store, parsed; null when absent.
  Json::Value StoreObject(const std::string& aKind,
                          const std::string& aName) const;
  // Name of the primary that the store records, or an empty string.
  std::string Primary(int aService) const;
  std::uint64_t Term(int aService) const;

  // Answer of an instance's admin port.
  Json::Value Admin(int aInstance, const std::string& aTarget) const;

  // Conditional update of a document from the ETag `aVersion`; the status.
  int PutText(int aService,
              const std::string& aText,
              const std::string& aVersion);
  // ETag of the stored document.
  std::string DocumentVersion(int aService) const;
  std::string DocumentOf(int aService,
                         const std::vector<std::string>& aLeaving) const;
  // What an instance's /v1/state says of a service; an empty object when it
  // does not know the service or does not answer.
  Json::Value ServiceState(int aInstance, int aService) const;
  std::uint64_t VersionAt(int aInstance, int aService) const;
  // Instances that may have connections open.
  int SlotsInUse(int aService) const;
  // /standin/stats of a server.
  Json::Value ServerStats(const std::string& aServer) const;
  // All statements that a server executed.
  std::uint64_t Statements(const std::string& aServer) const;

  // Starts snipewalk-load against all instances and services.
  absl::Status StartLoad(const std::vector<std::string>& aArguments);
  // Waits for the end of the load; its history, empty when unreadable.
  std::vector<history_record> FinishLoad(milliseconds aTimeout);
  // Writes the files of the instances' caller ports by renaming.
  void WriteTlsFiles(const tls_material& aMaterial) const;
  // Path of a file of this system, such as "tls-ca.pem".
  std::string PathOf(const std::string& aFile) const;
  // What an instance logged.
  std::string LogOf(int aInstance) const;
  // Gives an instance that does not run new ports.
  void MoveInstance(int aInstance);

  // For instances started from now on.
  void SetProtocolVersionLimit(std::optional<int> aLimit)
  {
    mOptions.mProtocolVersionLimit = aLimit;
  }
  // Starts an instance (again) under its name and ports.
  absl::Status StartInstance(int aInstance);
  static std::string InstanceName(int aInstance);
  // SIGTERM, then waits for the exit code; -1 when it did not end in time.
  int StopInstance(int aInstance, milliseconds aTimeout);

  process_fleet& Processes() { return mProcesses; }
  // Services and instances count from 0.
  const backend_group& Group(int aService) const { return mGroups[aService]; }
  std::uint16_t CallerPort(int aInstance) const;
  std::string ControlAddress(int aInstance) const;
  std::uint16_t StorePort() const { return mStorePort; }
  int Instances() const { return mOptions.mInstances; }
  static std::string ServiceName(int aService);
  child_process& Server(const std::string& aName);

private:
  struct instance_ports
  {
    std::uint16_t mCallers = 0;
    std::uint16_t mPeers = 0;
    std::uint16_t mControl = 0;
    std::uint16_t mAdmin = 0;
  };

  explicit system_fleet(system_options aOptions);
  absl::Status StartStore();
  absl::Status StartGroups();
  absl::Status StartFaultLinks();
  std::string SettingsOf(int aInstance) const;
  std::string TlsSettings() const;
  absl::Status WaitUntilServing() const;

  system_options mOptions;
  std::string mFolder;
  process_fleet mProcesses;
  std::vector<backend_group> mGroups;
  std::vector<instance_ports> mPorts;
  std::uint16_t mStorePort = 0;
  std::uint16_t mStoreControlPort = 0;
  std::uint16_t mFaultPort = 0;
  // Fault link address by "<instance>/<server>".
  std::map<std::string, std::string> mLinks;
};

} // namespace snipewalk::standins

#endif // SNIPEWALK_STANDINS_SYSTEM_FLEET_H_
