// HTTP form of store requests and replies.
#ifndef SNIPEWALK_STORE_STORE_HTTP_CODEC_H_
#define SNIPEWALK_STORE_STORE_HTTP_CODEC_H_

#include "snipewalk/connection/http_codec.h"
#include "snipewalk/messages/store_client.h"

namespace snipewalk {

http_request
EncodeStoreRequest(const store_request& aRequest);

// A put is Unknown unless the answer makes certain that it did not take
// effect: 412, 429 and other 4xx do, 5xx and malformed answers do not.
// A conflict has the current object if the answer carries its version and
// value; otherwise the caller has to read it.
store_reply
DecodeStoreReply(const store_request& aRequest, const http_response& aResponse);

} // namespace snipewalk

#endif // SNIPEWALK_STORE_STORE_HTTP_CODEC_H_
