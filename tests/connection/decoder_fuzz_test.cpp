// Feeds mutated inputs to the decoders of the caller, peer and backend ports.
#include "connection/mutator.h"
#include "connection/tls_fixture.h"
#include "snipewalk/base/text.h"
#include "snipewalk/connection/backend_adapter.h"
#include "snipewalk/connection/caller_adapter.h"
#include "snipewalk/connection/frame_codec.h"
#include "snipewalk/connection/http_codec.h"
#include "snipewalk/connection/peer_messages.h"

#include <gtest/gtest.h>

namespace snipewalk {
namespace {

constexpr int kInputs = 100'000;
constexpr std::size_t kChunkBytes = 4'096;
const time_point kNow{ seconds(1'000) };

// Hands a mutated stream to `aRead` in chunks, as a connection does, until
// `aRead` returns false. Fails when more than `aLimit` bytes stay unread.
template<typename Read>
void
FeedInChunks(const std::string& aStream, std::size_t aLimit, const Read& aRead)
{
  std::string buffer;
  for (std::size_t at = 0; at < aStream.size(); at += kChunkBytes) {
    buffer.append(aStream, at, kChunkBytes);
    if (!aRead(buffer)) {
      return;
    }
    ASSERT_LE(buffer.size(), aLimit + kChunkBytes);
  }
}

void
CheckStatement(const statement_request& aStatement)
{
  EXPECT_TRUE(IsName(aStatement.mService, kServiceNameLimitBytes));
  EXPECT_TRUE(IsName(aStatement.mAccount, kAccountNameLimitBytes));
  EXPECT_TRUE(IsHeaderSafe(aStatement.mSession));
  EXPECT_TRUE(IsHeaderSafe(aStatement.mTransaction));
  EXPECT_TRUE(IsHeaderSafe(aStatement.mIdempotencyKey));
  EXPECT_TRUE(IsHeaderSafe(aStatement.mRequestId));
  EXPECT_GE(aStatement.mDeadline, kNow);
  EXPECT_LE(aStatement.mDeadline, kNow + kStatementTimeoutLimit);
}

void
CheckCaller(http_request aRequest, id_source& aIds, int& aAccepted)
{
  const caller_context context{ kNow, aIds, [](const std::string&) {
                                 return milliseconds(100);
                               } };
  const auto decoded = DecodeCallerRequest(std::move(aRequest), context);
  if (const auto* refusal = std::get_if<caller_refusal>(&decoded)) {
    EXPECT_FALSE(refusal->mMessage.empty());
    EXPECT_GE(refusal->mStatus, 400);
    std::string bytes = WriteResponse(EncodeCallerRefusal(*refusal));
    const auto parsed = http_reader().ReadResponse(bytes);
    EXPECT_TRUE(parsed.ok() && *parsed && bytes.empty());
    return;
  }
  ++aAccepted;
  const auto& request = std::get<caller_request>(decoded);
  if (const auto* statement = std::get_if<statement_request>(&request.mBody)) {
    CheckStatement(*statement);
  }
}

// NOLINTBEGIN(bugprone-suspicious-missing-comma): the lines of one message
// are joined on purpose.
std::vector<std::string>
CallerInputs()
{
  const std::string head = "POST /v1/services/register/statements HTTP/1.1\r\n"
                           "Host: a\r\nSnipewalk-Account: fassnetz\r\n";
  return { head + "Snipewalk-Kind: read\r\nSnipewalk-Max-Age-Ms: 250\r\n"
                  "Content-Length: 5\r\n\r\nget a",
           head + "Snipewalk-Kind: write\r\nIdempotency-Key: k-1\r\n"
                  "Snipewalk-Timeout-Ms: 900\r\nContent-Length: 7\r\n\r\n"
                  "set a 1",
           head + "Snipewalk-Kind: commit\r\nSnipewalk-Transaction: abc\r\n"
                  "Snipewalk-Request-Id: r\xc3\xa9\r\n\r\n",
           "GET /v1/services/register/outcomes/k%2F1 HTTP/1.1\r\n"
           "Snipewalk-Account: a\r\n\r\n",
           "GET /v1/health HTTP/1.1\r\n\r\n" };
}
// NOLINTEND(bugprone-suspicious-missing-comma)

// Guards against callers that crash an instance, exhaust its memory or smuggle
// fields to a server.
TEST(CallerDecoderFuzzTest, SurvivesMutatedInputs)
{
  mutator mutate(11, CallerInputs());
  id_source ids(1);
  const http_limits limits;
  int accepted = 0;
  int refused = 0;
  for (int i = 0; i < kInputs && !HasFailure(); ++i) {
    http_reader reader;
    FeedInChunks(mutate.Next(),
                 limits.mHeadBytes + limits.mBodyBytes,
                 [&](std::string& aBuffer) {
                   for (;;) {
                     auto request = reader.ReadRequest(aBuffer);
                     if (!request.ok()) {
                       ++refused;
                       EXPECT_FALSE(request.status().message().empty());
                       return false;
                     }
                     if (!*request) {
                       return true;
                     }
                     CheckCaller(**std::move(request), ids, accepted);
                   }
                 });
  }
  EXPECT_GT(accepted, kInputs / 50);
  EXPECT_GT(refused, kInputs / 50);
}

std::vector<std::string>
PeerInputs()
{
  statement_request statement;
  statement.mRequestId = "1-1";
  statement.mService = "register";
  statement.mAccount = "fassnetz";
  statement.mKind = statement_kind::Write;
  statement.mMaxAge = milliseconds(20);
  statement.mIdempotencyKey = "fassnetz/k";
  statement.mBody = "set a 1";
  statement.mDeadline = kNow + seconds(2);
  outcome_request outcome{ "1-2", "register", "fassnetz", "k", kNow };
  statement_response response;
  response.mRequestId = "1-1";
  response.mOutcome = statement_outcome::Done;
  response.mBody = "ok";
  response.mDataAge = milliseconds(3);
  std::vector<std::string> inputs;
  for (const peer_message& message :
       { peer_message(peer_hello{ "i1", std::string(16, 'n') }),
         peer_message(
           peer_challenge{ "i2", std::string(16, 'm'), std::string(32, 'p') }),
         peer_message(peer_proof{ std::string(32, 'p') }),
         peer_message(peer_ping()),
         peer_message(statement),
         peer_message(outcome),
         peer_message(response) }) {
    std::string frame;
    AppendFrame(frame, EncodePeerMessage(message, kNow));
    inputs.push_back(std::move(frame));
  }
  return inputs;
}

// Reads all whole frames; false when the link would be closed.
bool
ReadFrames(std::string& aBuffer, int& aAccepted, int& aRefused)
{
  std::string_view rest(aBuffer);
  for (;;) {
    const auto frame = TakeFrame(rest, kFrameLimitBytes);
    if (!frame.ok()) {
      EXPECT_FALSE(frame.status().message().empty());
      ++aRefused;
      return false;
    }
    if (!*frame) {
      aBuffer.erase(0, aBuffer.size() - rest.size());
      return true;
    }
    const auto message = DecodePeerMessage(**frame, kNow);
    if (!message.ok()) {
      EXPECT_FALSE(message.status().message().empty());
      ++aRefused;
      return false;
    }
    ++aAccepted;
    if (const auto* statement = std::get_if<statement_request>(&*message)) {
      CheckStatement(*statement);
    }
  }
}

// Guards against a peer that crashes an instance or exhausts its memory, and
// against fields that were checked at the entry only.
TEST(PeerDecoderFuzzTest, SurvivesMutatedInputs)
{
  mutator mutate(12, PeerInputs());
  int accepted = 0;
  int refused = 0;
  for (int i = 0; i < kInputs && !HasFailure(); ++i) {
    FeedInChunks(mutate.Next(), kFrameLimitBytes, [&](std::string& aBuffer) {
      return ReadFrames(aBuffer, accepted, refused);
    });
    // Frames hide most payloads behind a wrong length, so payloads are also
    // fed without it.
    const std::string frame = mutate.Next();
    const std::string payload =
      frame.substr(std::min(frame.size(), kFrameHeaderBytes));
    const auto message = DecodePeerMessage(payload, kNow);
    message.ok() ? ++accepted : ++refused;
  }
  EXPECT_GT(accepted, kInputs / 50);
  EXPECT_GT(refused, kInputs / 50);
}

// NOLINTBEGIN(bugprone-suspicious-missing-comma): the lines of one message
// are joined on purpose.
std::vector<std::string>
BackendInputs()
{
  return { "HTTP/1.1 200 OK\r\nRequest-Id: r1\r\nTerm: 3\r\nIndex: 7\r\n"
           "Content-Length: 2\r\n\r\nok",
           "HTTP/1.1 409 Conflict\r\nReason: behind\r\nTerm: 3\r\n"
           "Content-Length: 0\r\n\r\n",
           "HTTP/1.1 200 OK\r\nContent-Length: 83\r\n\r\n"
           R"({"server":"s1","term":3,"role":"replica","log_term":2,)"
           R"("received":9,"applied":8} )"
           "  ",
           "HTTP/1.1 200 OK\r\nContent-Length: 38\r\n\r\n"
           R"({"state":"done","index":5,"body":"ok"})",
           "HTTP/1.1 500 Internal Server Error\r\n\r\n" };
}
// NOLINTEND(bugprone-suspicious-missing-comma)

// Decodes the replies of one mutated stream as each kind of call.
bool
ReadReplies(http_reader& aReader,
            std::string& aBuffer,
            backend_call aCall,
            int& aAccepted,
            int& aRefused)
{
  for (;;) {
    const auto response = aReader.ReadResponse(aBuffer);
    if (!response.ok()) {
      EXPECT_FALSE(response.status().message().empty());
      ++aRefused;
      return false;
    }
    if (!*response) {
      return true;
    }
    const auto reply = DecodeBackendReply(aCall, **response);
    if (!reply.ok()) {
      EXPECT_FALSE(reply.status().message().empty());
      ++aRefused;
      return false;
    }
    ++aAccepted;
    // A refusal that promises "not executed" comes from a 409 only.
    if (reply->mError != backend_error::None &&
        reply->mError != backend_error::Malformed &&
        reply->mError != backend_error::Internal) {
      EXPECT_EQ((*response)->mStatus, 409);
    }
  }
}

// Guards against a backend server's reply that crashes an instance or is taken
// for something that it does not say.
TEST(BackendReplyFuzzTest, SurvivesMutatedInputs)
{
  mutator mutate(13, BackendInputs());
  const http_limits limits;
  int accepted = 0;
  int refused = 0;
  for (int i = 0; i < kInputs && !HasFailure(); ++i) {
    http_reader reader;
    const auto call = static_cast<backend_call>(mutate.Below(7));
    FeedInChunks(mutate.Next(),
                 limits.mHeadBytes + limits.mBodyBytes,
                 [&](std::string& aBuffer) {
                   return ReadReplies(reader, aBuffer, call, accepted, refused);
                 });
  }
  EXPECT_GT(accepted, kInputs / 50);
  EXPECT_GT(refused, kInputs / 50);
}

// First messages of clients of both versions. The bytes that OpenSSL draws at
// random are set to fixed ones, so that the inputs repeat.
std::vector<std::string>
TlsInputs(const tls_context& aClient)
{
  constexpr std::size_t kRandomAt = 11;
  constexpr std::size_t kKeyBytes = 32;
  std::vector<std::string> inputs;
  for (const int version : { TLS1_2_VERSION, TLS1_3_VERSION }) {
    openssl_client client(&aClient, version);
    client.Give({});
    std::string hello = client.Take();
    hello.replace(kRandomAt, kKeyBytes, kKeyBytes, 'r');
    if (version == TLS1_3_VERSION) {
      // The session id, and the key share at the end.
      hello.replace(kRandomAt + kKeyBytes + 1, kKeyBytes, kKeyBytes, 's');
      hello.replace(hello.size() - kKeyBytes, kKeyBytes, kKeyBytes, 'k');
    }
    inputs.push_back(std::move(hello));
  }
  return inputs;
}

// Guards against a caller that crashes an instance or makes it send more than
// a handshake before the certificate was verified.
TEST(TlsSessionFuzzTest, SurvivesMutatedInputs)
{
  constexpr std::size_t kFlightLimitBytes = 8 * 1024;
  const standins::certificate_maker authority("callers");
  const auto server = *tls_context::Server(authority.Server(), "fleet");
  const auto client = *tls_context::Client(authority.Client("fassnetz"));
  mutator mutate(14, TlsInputs(*client));
  int answered = 0;
  int refused = 0;
  for (int i = 0; i < kInputs && !HasFailure(); ++i) {
    tls_server_end end(server);
    FeedInChunks(mutate.Next(), 0, [&](std::string& aBuffer) {
      return end.Give(std::exchange(aBuffer, {})) == tls_state::Handshaking;
    });
    EXPECT_EQ(end.mInput, "");
    EXPECT_LE(end.mOutput.size(), kFlightLimitBytes);
    EXPECT_NE(end.mSession->State(), tls_state::Established);
    if (end.mSession->State() == tls_state::Failed) {
      ++refused;
      EXPECT_FALSE(end.mSession->Failure().empty());
    } else if (!end.mOutput.empty()) {
      ++answered;
    }
  }
  EXPECT_GT(answered, kInputs / 50);
  EXPECT_GT(refused, kInputs / 50);
}

} // namespace
} // namespace snipewalk
