// The project's stand-in of the platform, in which a server can also be cut off
// from the store: its entry stays as it was and lapses after three heartbeats.
#ifndef REVIEW_STANDIN_2_PLATFORM_H_
#define REVIEW_STANDIN_2_PLATFORM_H_

#include "snipewalk/base/json_text.h"
#include "snipewalk/connection/event_loop.h"
#include "snipewalk/session/fleet_records.h"
#include "standins/http_service.h"
#include "standins/line_server_group.h"
#include "standins/platform_store.h"
#include "standins/promotion_service.h"

#include <functional>
#include <future>
#include <map>
#include <set>
#include <string>
#include <thread>

namespace review {

using namespace snipewalk;
using namespace snipewalk::standins;

class platform
{
public:
  static constexpr const char* kService = "ledger";

  // Starts servers "s1" (the primary) to "s<n>", with the limits and routes of
  // a small site: "main" is a primary route, "own" one of read your writes.
  explicit platform(int aServers)
    : mHttp(mLoop,
            { [this](connection_number aConnection,
                     const http_request& aRequest,
                     time_point) { OnCall(aConnection, aRequest); },
              [this](connection_number aConnection) {
                mStore.OnClosed(aConnection);
              },
              {} })
    , mStore(mHttp)
    , mServers(mLoop,
               kService,
               kMaxConnections,
               { [this](const std::string& aId, const Json::Value& aEntry) {
                  OnEntry(aId, aEntry);
                },
                 {} })
    , mPromotions(mLoop, mHttp, mServers)
  {
    mPort = mHttp.Listen(0);
    mStore.Write("config", "main", DesiredState());
    for (int i = 0; i < aServers; ++i) {
      mServers.Add();
    }
    // A server leads 300 ms after the order, as on the site.
    mPromotions.SetDelay(milliseconds(200));
    mThread = std::thread([this] { mLoop.Run(); });
  }
  ~platform()
  {
    mLoop.Stop();
    mThread.join();
  }
  platform(const platform&) = delete;
  platform& operator=(const platform&) = delete;

  std::string StoreAddress() const
  {
    return "127.0.0.1:" + std::to_string(mPort);
  }

  // Any thread; waits until the task is done.
  void Change(
    const std::function<void(line_server_group&, platform_store&)>& aTask)
  {
    std::promise<void> done;
    mLoop.Post([&] {
      aTask(mServers, mStore);
      done.set_value();
    });
    done.get_future().wait();
  }

  void Drain(const std::string& aServer)
  {
    Change([&](line_server_group& aServers, platform_store&) {
      aServers.Drain(aServer);
    });
  }

  std::string Primary()
  {
    std::string primary;
    Change([&](const line_server_group& aServers, const platform_store&) {
      const auto leading = aServers.Leading();
      primary = leading.empty() ? "" : leading.back();
    });
    return primary;
  }

  int Promotions()
  {
    int promotions = 0;
    Change([&](const line_server_group& aServers, const platform_store&) {
      promotions = aServers.Promotions();
    });
    return promotions;
  }

  // Field of a record of the instances; empty if there is none.
  std::string RecordField(const std::string& aRecord, const std::string& aField)
  {
    std::string value;
    Change([&](const line_server_group&, const platform_store& aStore) {
      value = aStore.Spec(kFleetKind, aRecord)[aField].asString();
    });
    return value;
  }
  std::string DutyHolder() { return RecordField(kDutyRecordName, "holder"); }

  // The store hears nothing of a server; its last heartbeat has just arrived.
  void CutFromStore(const std::string& aServer)
  {
    Change([&](const line_server_group&, platform_store&) {
      mCut.insert(aServer);
      mLoop.RunAt(mLoop.Now() + kEntryLifetime, [this, aServer](time_point) {
        if (mCut.contains(aServer)) {
          mStore.Delete(kServerKind, aServer);
        }
      });
    });
  }
  // The server reaches the store again and reports itself.
  void EndCut(const std::string& aServer)
  {
    Change([&](const line_server_group&, platform_store&) {
      mCut.erase(aServer);
      const auto held = mUnreported.find(aServer);
      mStore.Write(kServerKind,
                   aServer,
                   held == mUnreported.end() ? mEntries[aServer] : held->second);
      mUnreported.erase(aServer);
    });
  }

private:
  static constexpr const char* kServerKind = "servers";
  static constexpr int kMaxConnections = 23;
  // Three intervals of heartbeats.
  static constexpr milliseconds kEntryLifetime{ 3'600 };

  static Json::Value DesiredState()
  {
    Json::Value state = *ParseJsonObject(
      R"({"Version":3,"Routes":[)"
      R"({"Name":"a","DbName":"main","Kind":"primary","TimeoutMs":800,)"
      R"("TargetLatencyMs":150,"Priority":1,"Service":"ledger"},)"
      R"({"Name":"b","DbName":"own","Kind":"read_your_writes","TimeoutMs":800,)"
      R"("Priority":2,"Service":"ledger","MaxStalenessMs":2500}],)"
      R"("Services":[{"Name":"ledger","SyncReplicas":1}],)"
      R"("Limits":{"TxIdleMs":3000}})");
    state["Services"][0]["MaxConns"] = kMaxConnections;
    return state;
  }

  void OnCall(connection_number aConnection, const http_request& aRequest)
  {
    if (aRequest.mTarget == "/promote") {
      mPromotions.OnCall(aConnection, aRequest);
    } else {
      mStore.OnCall(aConnection, aRequest);
    }
  }

  void OnEntry(const std::string& aId, const Json::Value& aEntry)
  {
    if (mCut.contains(aId) && !aEntry.isNull()) {
      mUnreported[aId] = aEntry;
    } else if (aEntry.isNull()) {
      mStore.Delete(kServerKind, aId);
    } else {
      mEntries[aId] = aEntry;
      mStore.Write(kServerKind, aId, aEntry);
    }
  }

  event_loop mLoop;
  http_service mHttp;
  platform_store mStore;
  line_server_group mServers;
  promotion_service mPromotions;
  // Servers that the store hears nothing of, and what they would report.
  std::set<std::string> mCut;
  std::map<std::string, Json::Value> mUnreported;
  std::map<std::string, Json::Value> mEntries;
  std::uint16_t mPort = 0;
  std::thread mThread;
};

} // namespace review

#endif // REVIEW_STANDIN_2_PLATFORM_H_
