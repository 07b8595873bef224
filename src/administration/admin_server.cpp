// Implementation of the admin port on Poco::Net::HTTPServer.
#include "snipewalk/administration/admin_server.h"

#include "admin_pages.h"

#include <Poco/Exception.h>
#include <Poco/Net/HTTPRequestHandler.h>
#include <Poco/Net/HTTPRequestHandlerFactory.h>
#include <Poco/Net/HTTPServer.h>
#include <Poco/Net/HTTPServerParams.h>
#include <Poco/Net/HTTPServerRequest.h>
#include <Poco/Net/HTTPServerResponse.h>
#include <Poco/Net/ServerSocket.h>
#include <Poco/Net/SocketAddress.h>
#include <Poco/ThreadPool.h>
#include <absl/strings/str_cat.h>

#include <utility>

namespace snipewalk {

namespace {

constexpr int kQueuedConnections = 32;
constexpr int kTimeoutSeconds = 5;

class page_handler : public Poco::Net::HTTPRequestHandler
{
public:
  page_handler(const admin_sources& aSources, const std::string& aInstance)
    : mSources(aSources)
    , mInstance(aInstance)
  {
  }

  void handleRequest(Poco::Net::HTTPServerRequest& aRequest,
                     Poco::Net::HTTPServerResponse& aResponse) override
  {
    admin_answer answer{ 405, R"({"message":"only GET is supported"})" };
    if (aRequest.getMethod() == "GET") {
      answer = AnswerAdmin(mSources,
                           mInstance,
                           aRequest.getURI(),
                           aRequest.get("Authorization", ""));
    }
    aResponse.setStatusAndReason(
      static_cast<Poco::Net::HTTPResponse::HTTPStatus>(answer.mStatus));
    aResponse.setContentType("application/json");
    // A thread is bound to an open connection; few threads serve many clients.
    aResponse.setKeepAlive(false);
    aResponse.sendBuffer(answer.mBody.data(), answer.mBody.size());
  }

private:
  const admin_sources& mSources;
  const std::string& mInstance;
};

class page_factory : public Poco::Net::HTTPRequestHandlerFactory
{
public:
  page_factory(const admin_sources& aSources, const std::string& aInstance)
    : mSources(aSources)
    , mInstance(aInstance)
  {
  }

  Poco::Net::HTTPRequestHandler* createRequestHandler(
    const Poco::Net::HTTPServerRequest&) override
  {
    return new page_handler(mSources, mInstance);
  }

private:
  const admin_sources& mSources;
  const std::string& mInstance;
};

Poco::Net::HTTPServerParams::Ptr
MakeParams(int aThreads)
{
  Poco::Net::HTTPServerParams::Ptr params(new Poco::Net::HTTPServerParams);
  params->setMaxThreads(aThreads);
  params->setMaxQueued(kQueuedConnections);
  params->setTimeout(Poco::Timespan(kTimeoutSeconds, 0));
  params->setKeepAlive(false);
  return params;
}

} // namespace

struct admin_server::server
{
  server(const admin_options& aOptions, const admin_sources& aSources)
    : mPool(1, aOptions.mThreads)
    , mSocket(Poco::Net::SocketAddress(aOptions.mAddress))
    , mHttp(new page_factory(aSources, aOptions.mInstance),
            mPool,
            mSocket,
            MakeParams(aOptions.mThreads))
  {
  }

  Poco::ThreadPool mPool;
  Poco::Net::ServerSocket mSocket;
  Poco::Net::HTTPServer mHttp;
};

admin_server::admin_server(admin_options aOptions, admin_sources aSources)
  : mOptions(std::move(aOptions))
  , mSources(std::move(aSources))
{
}

admin_server::~admin_server()
{
  Stop();
}

absl::Status
admin_server::Start()
{
  try {
    mServer = std::make_unique<server>(mOptions, mSources);
    mServer->mHttp.start();
  } catch (const Poco::Exception& error) {
    mServer.reset();
    return absl::UnavailableError(absl::StrCat(
      "cannot listen on ", mOptions.mAddress, ": ", error.displayText()));
  }
  return absl::OkStatus();
}

void
admin_server::Stop()
{
  if (mServer) {
    mServer->mHttp.stopAll(true);
    mServer.reset();
  }
}

std::string
admin_server::Address() const
{
  return mServer ? mServer->mSocket.address().toString() : std::string();
}

void
status_board::SetSnapshot(std::shared_ptr<const routing_snapshot> aSnapshot)
{
  const std::lock_guard<std::mutex> lock(mMutex);
  mSnapshot = std::move(aSnapshot);
}

void
status_board::SetEngine(const std::string& aService,
                        const engine_status& aStatus)
{
  const std::lock_guard<std::mutex> lock(mMutex);
  mEngines[aService] = aStatus;
}

void
status_board::SetControl(std::shared_ptr<const control_status> aStatus)
{
  const std::lock_guard<std::mutex> lock(mMutex);
  mControl = std::move(aStatus);
}

std::shared_ptr<const control_status>
status_board::Control() const
{
  const std::lock_guard<std::mutex> lock(mMutex);
  return mControl;
}

std::shared_ptr<const routing_snapshot>
status_board::Snapshot() const
{
  const std::lock_guard<std::mutex> lock(mMutex);
  return mSnapshot;
}

std::map<std::string, engine_status>
status_board::Engines() const
{
  const std::lock_guard<std::mutex> lock(mMutex);
  return mEngines;
}

} // namespace snipewalk
