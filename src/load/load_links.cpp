// Connections of one thread of a load run.
#include "load/load_worker_state.h"

#include "snipewalk/connection/tls_session.h"

#include <utility>

namespace snipewalk {

void
load_worker_state::OpenIdleConnections()
{
  for (std::size_t i = 0; i < mOptions.mIdleConnections; ++i) {
    const std::string& address =
      mOptions.mInstances[i % mOptions.mInstances.size()];
    stream_connection::handlers handlers;
    handlers.mOnInput = [](std::string& aInput, time_point) { aInput.clear(); };
    mIdle.push_back(Connect(address, std::move(handlers)));
  }
}

std::unique_ptr<stream_connection>
load_worker_state::Connect(const std::string& aAddress,
                           stream_connection::handlers aHandlers)
{
  std::unique_ptr<tls_session> tls;
  if (mOptions.mTls) {
    tls = tls_session::Client(mOptions.mTls,
                              aAddress.substr(0, aAddress.rfind(':')));
  }
  return stream_connection::Connect(
    mLoop, aAddress, std::move(aHandlers), std::move(tls));
}

load_worker_state::link_number
load_worker_state::TakeLink(std::size_t aInstance)
{
  auto& idle = mIdleLinks[aInstance];
  while (!idle.empty()) {
    const link_number number = idle.back();
    idle.pop_back();
    if (mLinks.count(number) > 0) {
      return number;
    }
  }
  const link_number number = mNextLink++;
  link& opened = mLinks[number];
  opened.mInstance = aInstance;
  stream_connection::handlers handlers;
  handlers.mOnInput = [this, number](std::string& aInput, time_point) {
    OnInput(number, aInput);
  };
  handlers.mOnClosed = [this, number](close_cause aCause, time_point) {
    OnClosed(number, aCause);
  };
  opened.mStream = Connect(mOptions.mInstances[aInstance], std::move(handlers));
  return number;
}

void
load_worker_state::OnInput(link_number aLink, std::string& aInput)
{
  const auto found = mLinks.find(aLink);
  if (found == mLinks.end()) {
    return;
  }
  link& read = found->second;
  auto response = read.mReader.ReadResponse(aInput);
  if (!response.ok() || (response->has_value() && !read.mExchange)) {
    OnClosed(aLink, close_cause::ClosedByPeer);
    return;
  }
  if (!response->has_value()) {
    return;
  }
  const exchange done = *std::exchange(read.mExchange, std::nullopt);
  const std::size_t instance = read.mInstance;
  if ((*response)->mKeepAlive) {
    mIdleLinks[instance].push_back(aLink);
  } else {
    CloseLink(aLink);
  }
  const load_answer answer =
    DecodeLoadAnswer(done.mRequest, **response, done.mRequestId);
  Complete(done, instance, answer);
}

void
load_worker_state::OnClosed(link_number aLink, close_cause aCause)
{
  const auto found = mLinks.find(aLink);
  if (found == mLinks.end()) {
    return;
  }
  const auto lost = std::exchange(found->second.mExchange, std::nullopt);
  const std::size_t instance = found->second.mInstance;
  CloseLink(aLink);
  if (!lost) {
    return;
  }
  load_answer answer;
  const bool refused = aCause == close_cause::Refused;
  answer.mOutcome =
    refused ? statement_outcome::NotRun : statement_outcome::Unknown;
  answer.mReason = refused ? "caller_refused" : "caller_connection_lost";
  Complete(*lost, instance, answer);
}

void
load_worker_state::OnTimeout(link_number aLink)
{
  const auto found = mLinks.find(aLink);
  if (found == mLinks.end() || !found->second.mExchange) {
    return;
  }
  const exchange late = *std::exchange(found->second.mExchange, std::nullopt);
  const std::size_t instance = found->second.mInstance;
  CloseLink(aLink);
  load_answer answer;
  answer.mReason = "caller_timeout";
  Complete(late, instance, answer);
}

void
load_worker_state::CloseLink(link_number aLink)
{
  const auto found = mLinks.find(aLink);
  if (found == mLinks.end()) {
    return;
  }
  found->second.mStream->Close();
  // A handler of the stream may be running.
  auto closed = std::make_shared<link>(std::move(found->second));
  mLinks.erase(found);
  mLoop.Post([closed] {});
}

} // namespace snipewalk
