// Two instances in one process in front of three stand-in servers. Only the
// first instance holds the slot of the service.
#ifndef SNIPEWALK_TESTS_TRAFFIC_TRAFFIC_FIXTURE_H_
#define SNIPEWALK_TESTS_TRAFFIC_TRAFFIC_FIXTURE_H_

#include "snipewalk/connection/http_codec.h"
#include "snipewalk/traffic/traffic_group.h"
#include "standins/backend_service.h"

#include <Poco/Net/SocketAddress.h>
#include <Poco/Net/StreamSocket.h>
#include <absl/strings/str_cat.h>

#include <memory>
#include <optional>
#include <string>
#include <thread>
#include <utility>
#include <vector>

namespace snipewalk {

// Blocking HTTP client of one connection.
class http_client
{
public:
  explicit http_client(const std::string& aAddress)
    : mSocket(Poco::Net::SocketAddress(aAddress))
  {
    mSocket.setReceiveTimeout(Poco::Timespan(10, 0));
  }

  void Send(std::string_view aBytes)
  {
    mSocket.sendBytes(aBytes.data(), static_cast<int>(aBytes.size()));
  }

  // Nothing when the connection ends first.
  std::optional<http_response> Receive()
  {
    for (;;) {
      auto response = mReader.ReadResponse(mBuffer);
      if (response.ok() && *response) {
        return **response;
      }
      char chunk[16 * 1024];
      const int count = mSocket.receiveBytes(chunk, sizeof(chunk));
      if (!response.ok() || count <= 0) {
        return std::nullopt;
      }
      mBuffer.append(chunk, static_cast<std::size_t>(count));
    }
  }

  http_response Call(const http_request& aRequest)
  {
    Send(WriteRequest(aRequest, "test"));
    return Receive().value_or(http_response{ 0, {}, "no response", false });
  }

private:
  Poco::Net::StreamSocket mSocket;
  http_reader mReader;
  std::string mBuffer;
};

using header_list = std::vector<std::pair<std::string, std::string>>;

inline http_request
Statement(const std::string& aKind,
          std::string aBody,
          const header_list& aHeaders = {})
{
  http_request request;
  request.mMethod = "POST";
  request.mTarget = "/v1/services/register/statements";
  request.mHeaders.Add("Snipewalk-Account", "fassnetz");
  request.mHeaders.Add("Snipewalk-Kind", aKind);
  for (const auto& [name, value] : aHeaders) {
    request.mHeaders.Add(name, value);
  }
  request.mBody = std::move(aBody);
  return request;
}

// One stand-in server on a thread of its own.
class standin_server_thread
{
public:
  explicit standin_server_thread(const standins::backend_options& aOptions)
    : mService(mLoop, aOptions)
    , mThread([this] { mLoop.Run(); })
  {
  }

  ~standin_server_thread()
  {
    mLoop.Stop();
    mThread.join();
  }

  std::string Address() const
  {
    return absl::StrCat("127.0.0.1:", mService.Port());
  }

private:
  event_loop mLoop;
  standins::backend_service mService;
  std::thread mThread;
};

// Three stand-in servers; s0 is the primary.
class standin_servers
{
public:
  standin_servers()
  {
    for (int i = 0; i < 3; ++i) {
      standins::backend_options options;
      options.mName = absl::StrCat("s", i);
      options.mSetUpDelay = milliseconds(1);
      mServers.push_back(std::make_unique<standin_server_thread>(options));
      mEndpoints.push_back({ options.mName, mServers.back()->Address() });
    }
    Order(0, "/v1/promote", R"({"term":1,"members":[]})");
    for (std::size_t i = 1; i < 3; ++i) {
      Order(i,
            "/v1/follow",
            absl::StrCat(R"({"term":1,"primary":{"name":"s0","address":")",
                         mEndpoints[0].mAddress,
                         "\"}}"));
    }
  }

  const std::vector<server_endpoint>& Endpoints() const { return mEndpoints; }

private:
  void Order(std::size_t aServer, std::string aTarget, std::string aBody)
  {
    http_request request;
    request.mMethod = "POST";
    request.mTarget = std::move(aTarget);
    request.mBody = std::move(aBody);
    http_client(mEndpoints[aServer].mAddress).Call(request);
  }

  std::vector<std::unique_ptr<standin_server_thread>> mServers;
  std::vector<server_endpoint> mEndpoints;
};

inline std::shared_ptr<service_view>
MakeView(const std::vector<server_endpoint>& aServers,
         const std::string& aHolder)
{
  auto view = std::make_shared<service_view>();
  view->mDocument.mService = "register";
  view->mDocument.mSlots = 1;
  for (const auto& server : aServers) {
    view->mDocument.mServers.push_back(
      { server.mName, server.mAddress, "munich", server_state::Active, {} });
    view->mTerm.mVoters.push_back(server.mName);
  }
  view->mTerm.mTerm = 1;
  view->mTerm.mPrimary = "s0";
  view->mSlots.mHolders.push_back({ aHolder, 1 });
  return view;
}

class traffic_fixture
{
public:
  explicit traffic_fixture(std::size_t aThreads = 2,
                           const std::string& aFleetKey = "fleet")
    : mHolder(Options("munich-1", aThreads, "fleet"), {})
    , mEntry(Options("munich-2", aThreads, aFleetKey), {})
  {
    mStarted = mHolder.Start().ok() && mEntry.Start().ok();
    PublishHolder("munich-1");
  }

  void PublishHolder(const std::string& aHolder)
  {
    mHolder.Publish(SnapshotFor("munich-1", aHolder));
    mEntry.Publish(SnapshotFor("munich-2", aHolder));
  }

  static traffic_options Options(const std::string& aName,
                                 std::size_t aThreads,
                                 const std::string& aFleetKey)
  {
    traffic_options options;
    options.mInstance = aName;
    options.mIncarnation = 1;
    options.mDataCentre = "munich";
    options.mFleetKeys = { aFleetKey };
    options.mThreads = aThreads;
    return options;
  }

  standin_servers mServers;
  traffic_group mHolder;
  traffic_group mEntry;
  bool mStarted = false;

private:
  std::shared_ptr<const routing_snapshot> SnapshotFor(
    const std::string& aInstance,
    const std::string& aHolder)
  {
    auto view = MakeView(mServers.Endpoints(), aHolder);
    view->mConnectionShare = aInstance == aHolder ? 10 : 0;
    auto snapshot = std::make_shared<routing_snapshot>();
    // All documents have arrived.
    snapshot->mRevision = 1;
    snapshot->mServices["register"] = view;
    for (const auto* group : { &mHolder, &mEntry }) {
      const std::string name = group == &mHolder ? "munich-1" : "munich-2";
      snapshot->mMembers[name] = { name,
                                   1,
                                   "munich",
                                   "bavaria",
                                   group->PeerAddress(),
                                   "",
                                   member_state::Alive };
    }
    snapshot->mSessionKeys = { { "k1", "secret", wall_time() } };
    return snapshot;
  }
};

} // namespace snipewalk

#endif // SNIPEWALK_TESTS_TRAFFIC_TRAFFIC_FIXTURE_H_
