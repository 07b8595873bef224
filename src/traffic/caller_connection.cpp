// Implementation of a caller's connection.
#include "snipewalk/traffic/caller_connection.h"

#include <Poco/Net/StreamSocket.h>

#include <utility>

namespace snipewalk {

namespace {

constexpr int kStatusTimeout = 408;
constexpr int kStatusTooLarge = 413;
constexpr int kStatusBadRequest = 400;

} // namespace

caller_connection::caller_connection(event_loop& aLoop,
                                     const Poco::Net::StreamSocket& aSocket,
                                     caller_id aId,
                                     caller_owner& aOwner,
                                     caller_tls&& aTls)
  : mOwner(aOwner)
  , mId(aId)
  , mHandshaking(aTls.mSession != nullptr)
  , mAddress(std::move(aTls.mAddress))
  , mSince(aLoop.Now())
  , mStream(stream_connection::Adopt(aLoop,
                                     aSocket,
                                     Handlers(),
                                     std::move(aTls.mSession)))
{
}

stream_connection::handlers
caller_connection::Handlers()
{
  stream_connection::handlers handlers;
  handlers.mOnInput = [this](std::string& aInput, time_point aNow) {
    OnInput(aInput, aNow);
  };
  handlers.mOnClosed = [this](close_cause aCause, time_point aNow) {
    OnClosed(aCause, aNow);
  };
  if (mHandshaking) {
    handlers.mOnConnected = [this](time_point aNow) { OnEstablished(aNow); };
  }
  return handlers;
}

void
caller_connection::OnEstablished(time_point aNow)
{
  mAccount = mStream->Tls()->PeerName();
  mSince = aNow;
  // A verified certificate names an account; nothing is served without one.
  if (mAccount.empty()) {
    EndHandshake("the certificate names no client account", aNow);
    mStream->Close();
    mOwner.OnCallerClosed(mId);
    return;
  }
  EndHandshake({}, aNow);
}

void
caller_connection::OnClosed(close_cause aCause, time_point aNow)
{
  EndHandshake(aCause == close_cause::TlsFailure
                 ? mStream->Tls()->Failure()
                 : "the caller closed the connection",
               aNow);
  mOwner.OnCallerClosed(mId);
}

void
caller_connection::EndHandshake(const std::string& aFailure, time_point aNow)
{
  if (std::exchange(mHandshaking, false)) {
    const std::string address = std::exchange(mAddress, {});
    mOwner.OnCallerHandshake(address, aFailure, aNow);
  }
}

void
caller_connection::OnInput(std::string& aInput, time_point aNow)
{
  if (mBusy) {
    // Pipelined requests wait; beyond the limit the system holds them.
    if (aInput.size() > kReadAheadLimitBytes && !mPaused) {
      mPaused = true;
      mStream->PauseInput();
    }
    return;
  }
  auto request = mReader.ReadRequest(aInput);
  if (!request.ok()) {
    const bool large =
      request.status().code() == absl::StatusCode::kResourceExhausted;
    aInput.clear();
    Refuse(
      large ? kStatusTooLarge : kStatusBadRequest,
      { request.status().message().data(), request.status().message().size() });
    return;
  }
  if (!*request) {
    // The limit of a half-received request counts from its first bytes.
    if (!mHalfReceived) {
      mHalfReceived = true;
      mSince = aNow;
    }
    return;
  }
  mHalfReceived = false;
  Serve(**std::move(request), aNow);
}

void
caller_connection::Serve(http_request aRequest, time_point aNow)
{
  mBusy = true;
  mKeepAlive = aRequest.mKeepAlive;
  caller_context context = mOwner.Context(aNow);
  context.mVerifiedAccount = mAccount;
  auto decoded = DecodeCallerRequest(std::move(aRequest), context);
  if (const auto* refusal = std::get_if<caller_refusal>(&decoded)) {
    Respond(EncodeCallerRefusal(*refusal), aNow);
    return;
  }
  mOwner.OnCallerRequest(
    mId, std::get<caller_request>(std::move(decoded)), aNow);
}

void
caller_connection::Respond(http_response aResponse, time_point aNow)
{
  if (!mBusy || mEnding || !mStream->IsOpen()) {
    return;
  }
  mBusy = false;
  mSince = aNow;
  aResponse.mKeepAlive = mKeepAlive && !mOwner.ClosesCallers();
  mStream->Send(WriteResponse(aResponse));
  if (!aResponse.mKeepAlive) {
    CloseAfterOutput();
    return;
  }
  if (mPaused) {
    mPaused = false;
    mStream->ResumeInput();
  }
  if (mStream->HasInput()) {
    mStream->PostInput();
  }
}

void
caller_connection::Refuse(int aStatus, std::string_view aMessage)
{
  caller_refusal refusal;
  refusal.mStatus = aStatus;
  refusal.mMessage = std::string(aMessage);
  auto response = EncodeCallerRefusal(refusal);
  response.mKeepAlive = false;
  mStream->Send(WriteResponse(response));
  CloseAfterOutput();
}

void
caller_connection::CloseAfterOutput()
{
  mEnding = true;
  mBusy = true;
  mStream->CloseAfterOutput();
  if (!mStream->IsOpen()) {
    mOwner.OnCallerClosed(mId);
  }
}

bool
caller_connection::CloseIfOverdue(time_point aNow)
{
  const bool unread = mEnding && aNow - mSince >= kHalfRequestLimit;
  if (!mStream->IsOpen() || unread) {
    EndHandshake("the connection broke", aNow);
    mStream->Close();
    mOwner.OnCallerClosed(mId);
    return true;
  }
  if (mHandshaking && aNow - mSince >= kHandshakeLimit) {
    EndHandshake("not complete in time", aNow);
    mStream->Close();
    mOwner.OnCallerClosed(mId);
    return true;
  }
  if (mBusy) {
    return false;
  }
  if (mHalfReceived && aNow - mSince >= kHalfRequestLimit) {
    mSince = aNow;
    Refuse(kStatusTimeout, "the request was not received in time");
    return true;
  }
  return !mHalfReceived && CloseIfIdleSince(aNow - kCallerIdleLimit);
}

bool
caller_connection::CloseIfIdleSince(time_point aSince)
{
  if (mBusy || mHalfReceived || mHandshaking || mSince > aSince) {
    return false;
  }
  mStream->Close();
  mOwner.OnCallerClosed(mId);
  return true;
}

} // namespace snipewalk
