// Implementation of reading and checking the settings of an instance.
#include "snipewalk/settings/settings.h"

#include "snipewalk/base/json_reader.h"

#include <Poco/Net/IPAddress.h>

#include <absl/strings/str_cat.h>

#include <algorithm>
#include <array>
#include <fstream>
#include <set>
#include <sstream>

namespace snipewalk {

namespace {

constexpr integer_range kThreadRange{ 1, 64 };
constexpr integer_range kConnectionRange{ 1, 1'000'000 };
constexpr integer_range kCallsRange{ 1, 10'000 };
constexpr integer_range kProbeRangeMs{ 10, 60'000 };
constexpr integer_range kSilenceRangeMs{ 100, 60'000 };
constexpr integer_range kProbeRateRange{ 1, 10'000 };
constexpr integer_range kShutdownRangeMs{ 0, 600'000 };
constexpr integer_range kVersionRange{ kOldestProtocolVersion,
                                       kNewestProtocolVersion };
// Suspicion needs three unanswered probes within the silence limit.
constexpr int kProbesInSilence = 3;

// Keys of the section `tls`, in the order of tls_part.
constexpr std::array<const char*, 3> kTlsKeys{ "certificate_file",
                                               "key_file",
                                               "ca_file" };

bool
IsLoopback(const std::string& aAddress)
{
  const std::string host = aAddress.substr(0, aAddress.rfind(':'));
  Poco::Net::IPAddress parsed;
  return host == "[::1]" ||
         (Poco::Net::IPAddress::tryParse(host, parsed) && parsed.isLoopback());
}

// Reads settings section by section into one result.
class settings_reader
{
public:
  settings_reader(const json_text& aText, findings& aFindings, wall_time aNow)
    : mText(aText)
    , mRoot(aText, aText.Root(), "", aFindings)
    , mFindings(aFindings)
    , mNow(aNow)
  {
  }

  instance_settings Read()
  {
    ReadIdentity();
    ReadAddresses();
    ReadStore();
    ReadSecrets();
    ReadTls();
    ReadTranslation();
    ReadTraffic();
    ReadDetection();
    ReadShutdown();
    ReadLogs();
    mSettings.mProtocolVersionLimit =
      static_cast<int>(mRoot.OptionalInteger("protocol_version_limit",
                                             mSettings.mProtocolVersionLimit,
                                             kVersionRange));
    mRoot.Finish();
    CheckAddresses();
    return mSettings;
  }

private:
  object_reader Section(const Json::Value& aValue, const std::string& aName)
  {
    return { mText, aValue, aName, mFindings };
  }

  void ReadIdentity()
  {
    mSettings.mInstance = RequiredName("instance");
    mSettings.mDataCentre = RequiredName("data_centre");
    mSettings.mRegion = RequiredName("region");
  }

  std::string RequiredName(const std::string& aKey)
  {
    std::string name = mRoot.RequiredString(aKey);
    if (!name.empty() && !IsName(name)) {
      mRoot.Report(mText.Root()[aKey],
                   aKey,
                   "bad_name",
                   "must have 1 to 64 letters, digits, '.', '-' or '_'");
    }
    return name;
  }

  void ReadAddresses()
  {
    const Json::Value* addresses = mRoot.Object("addresses", true);
    if (!addresses) {
      return;
    }
    object_reader section = Section(*addresses, "addresses");
    mSettings.mCallerAddress = section.RequiredAddress("callers");
    mSettings.mPeerAddress = section.RequiredAddress("peers");
    mSettings.mControlAddress = section.RequiredAddress("control");
    mSettings.mAdminAddress = section.RequiredAddress("admin");
    section.Finish();
  }

  std::vector<std::string> Addresses(object_reader& aSection,
                                     const Json::Value& aObject,
                                     const std::string& aKey)
  {
    std::vector<std::string> addresses = aSection.OptionalStrings(aKey);
    for (std::size_t i = 0; i < addresses.size(); ++i) {
      if (!IsAddress(addresses[i])) {
        aSection.Report(aObject[aKey][static_cast<Json::ArrayIndex>(i)],
                        absl::StrCat(aKey, "[", i, "]"),
                        "bad_address",
                        "must be an IP number and a port");
      }
    }
    return addresses;
  }

  void ReadStore()
  {
    mSettings.mSeeds = Addresses(mRoot, mText.Root(), "seeds");
    const Json::Value* store = mRoot.Object("store", true);
    if (!store) {
      return;
    }
    object_reader section = Section(*store, "store");
    mSettings.mStoreAddresses = Addresses(section, *store, "addresses");
    if (mSettings.mStoreAddresses.empty()) {
      section.ReportHere("addresses", "missing", "needs at least one address");
    }
    mSettings.mStoreCallsPerSecond = static_cast<int>(section.OptionalInteger(
      "calls_per_second", mSettings.mStoreCallsPerSecond, kCallsRange));
    section.Finish();
  }

  void ReadSecrets()
  {
    mSettings.mFleetKeyFile = mRoot.OptionalString("fleet_key_file", "");
    mSettings.mAdminTokenFile = mRoot.OptionalString("admin_token_file", "");
  }

  void ReadTls()
  {
    const Json::Value* tls = mRoot.Object("tls", false);
    if (!tls) {
      return;
    }
    object_reader section = Section(*tls, "tls");
    tls_files& files = mSettings.mCallerTls;
    files.mCertificate = section.RequiredString(kTlsKeys[0]);
    files.mKey = section.RequiredString(kTlsKeys[1]);
    files.mAuthorities = section.RequiredString(kTlsKeys[2]);
    CheckTls(section, *tls);
    section.Finish();
  }

  void CheckTls(object_reader& aSection, const Json::Value& aTls)
  {
    const tls_contents contents = ReadTlsFiles(mSettings.mCallerTls);
    for (const tls_part part : contents.mUnreadable) {
      const char* key = kTlsKeys[static_cast<std::size_t>(part)];
      // A path that is missing altogether is reported already.
      if (aTls[key].isString()) {
        aSection.Report(aTls[key], key, "unreadable", "cannot be read");
      }
    }
    for (const tls_fault& fault : CheckTlsMaterial(contents.mMaterial, mNow)) {
      const bool unreadable = std::count(contents.mUnreadable.begin(),
                                         contents.mUnreadable.end(),
                                         fault.mPart) > 0;
      if (!unreadable) {
        const char* key = kTlsKeys[static_cast<std::size_t>(fault.mPart)];
        aSection.Report(aTls[key], key, fault.mName, fault.mMessage);
      }
    }
  }

  void ReadTranslation()
  {
    const Json::Value* map = mRoot.Object("address_translation", false);
    if (!map) {
      return;
    }
    object_reader section = Section(*map, "address_translation");
    for (const auto& from : map->getMemberNames()) {
      if (!IsAddress(from)) {
        section.Report((*map)[from], from, "bad_address", "is not an address");
      }
      mSettings.mAddressTranslation[from] = section.RequiredAddress(from);
    }
  }

  void ReadTraffic()
  {
    const Json::Value* traffic = mRoot.Object("traffic", false);
    if (!traffic) {
      return;
    }
    object_reader section = Section(*traffic, "traffic");
    mSettings.mTrafficThreads = static_cast<int>(section.OptionalInteger(
      "threads", mSettings.mTrafficThreads, kThreadRange));
    mSettings.mCallerConnectionLimit =
      static_cast<int>(section.OptionalInteger("caller_connections",
                                               mSettings.mCallerConnectionLimit,
                                               kConnectionRange));
    section.Finish();
  }

  void ReadDetection()
  {
    const Json::Value* detection = mRoot.Object("failure_detection", false);
    if (!detection) {
      return;
    }
    object_reader section = Section(*detection, "failure_detection");
    mSettings.mProbeInterval = milliseconds(section.OptionalInteger(
      "probe_interval_ms", mSettings.mProbeInterval.count(), kProbeRangeMs));
    mSettings.mSilenceLimit = milliseconds(section.OptionalInteger(
      "silence_limit_ms", mSettings.mSilenceLimit.count(), kSilenceRangeMs));
    mSettings.mProbesPerSecond = static_cast<int>(section.OptionalInteger(
      "probes_per_second", mSettings.mProbesPerSecond, kProbeRateRange));
    if (mSettings.mSilenceLimit < mSettings.mProbeInterval * kProbesInSilence) {
      section.ReportHere("silence_limit_ms",
                         "contradiction",
                         "must be at least three times probe_interval_ms");
    }
    section.Finish();
  }

  void ReadShutdown()
  {
    const Json::Value* shutdown = mRoot.Object("shutdown", false);
    if (!shutdown) {
      return;
    }
    object_reader section = Section(*shutdown, "shutdown");
    mSettings.mShutdownNotice = milliseconds(section.OptionalInteger(
      "notice_ms", mSettings.mShutdownNotice.count(), kShutdownRangeMs));
    mSettings.mShutdownTransactionLimit = milliseconds(
      section.OptionalInteger("transaction_limit_ms",
                              mSettings.mShutdownTransactionLimit.count(),
                              kShutdownRangeMs));
    section.Finish();
  }

  void ReadLogs()
  {
    mSettings.mLogs.mInstance = mSettings.mInstance;
    const Json::Value* logs = mRoot.Object("logs", false);
    if (!logs) {
      return;
    }
    object_reader section = Section(*logs, "logs");
    mSettings.mLogs.mLevel =
      section.OptionalEnum("level", kLogLevelNames, mSettings.mLogs.mLevel);
    if (const Json::Value* modules = section.Object("modules", false)) {
      object_reader levels = Section(*modules, "logs.modules");
      for (const auto& module : modules->getMemberNames()) {
        mSettings.mLogs.mModules[module] =
          levels.OptionalEnum(module, kLogLevelNames, log_level::Info);
      }
    }
    section.Finish();
  }

  void CheckAddresses()
  {
    const std::vector<std::string> own{ mSettings.mCallerAddress,
                                        mSettings.mPeerAddress,
                                        mSettings.mControlAddress,
                                        mSettings.mAdminAddress };
    if (!mSettings.mCallerAddress.empty() && !mText.Root().isMember("tls") &&
        !IsLoopback(mSettings.mCallerAddress)) {
      mRoot.ReportHere("tls",
                       "missing",
                       "is required because " + mSettings.mCallerAddress +
                         " is not a loopback address");
    }
    std::set<std::string> seen;
    for (const auto& address : own) {
      if (!address.empty() && !seen.insert(address).second) {
        mRoot.ReportHere(
          "addresses", "contradiction", address + " is used for two ports");
      }
      if (!address.empty() && mSettings.mFleetKeyFile.empty() &&
          !IsLoopback(address)) {
        mRoot.ReportHere("fleet_key_file",
                         "missing",
                         "is required because " + address +
                           " is not a loopback address");
      }
    }
  }

  const json_text& mText;
  object_reader mRoot;
  findings& mFindings;
  wall_time mNow;
  instance_settings mSettings;
};

} // namespace

std::optional<instance_settings>
ParseSettings(const std::string& aText,
              const std::string& aSource,
              findings& aFindings,
              wall_time aNow)
{
  findings own;
  const auto text = json_text::Parse(aText, aSource, own);
  instance_settings settings;
  if (text) {
    settings = settings_reader(*text, own, aNow).Read();
  }
  for (const auto& found : own.All()) {
    aFindings.Add(found);
  }
  return own.empty() ? std::optional(settings) : std::nullopt;
}

std::optional<instance_settings>
LoadSettings(const std::string& aPath, findings& aFindings)
{
  std::ifstream file(aPath);
  if (!file) {
    aFindings.Add({ aPath, 0, 0, "", "unreadable", "cannot be read", false });
    return std::nullopt;
  }
  std::ostringstream text;
  text << file.rdbuf();
  return ParseSettings(text.str(), aPath, aFindings);
}

} // namespace snipewalk
