/// @file
/// Wire formats of model engines and plain services. A new format of either
/// is another set of these functions.
#pragma once

#include <cstdint>
#include <functional>
#include <memory>
#include <string>

#include "libnet/http_client.h"
#include "nutmeghollow/claims.h"
#include "nutmeghollow/requests.h"
#include "nutmeghollow/types.h"

namespace nutmeghollow::net {

/// A caller's request, kept for as long as it may be sent.
struct OutgoingRequest {
  RequestKind m_kind = RequestKind::kChat;
  std::string m_method = "POST";
  std::string m_path;    ///< At the upstream, with the query.
  HeaderList m_headers;  ///< As received; the format picks what goes on.
  std::shared_ptr<const std::string> m_body;
  PublicRequestId m_public_id;
  int m_priority = 0;  ///< Rank; lower is served first.
  bool m_streamed = false;
};

/// How long the network may take.
struct UpstreamTimeouts {
  Duration m_connect = std::chrono::seconds(1);
  /// To the first byte of a chat. A whole answer that takes longer is asked
  /// for again on a new connection.
  Duration m_chat_first_byte = std::chrono::seconds(8);
  /// To the first byte of a service's answer.
  Duration m_service_first_byte = std::chrono::seconds(110);
  /// Longest silence inside an answer.
  Duration m_idle = std::chrono::seconds(5);
};

/// Format of model engines.
struct EngineClient {
  /// Makes the call that runs a chat under an id.
  std::function<HttpCall(const OutgoingRequest&, const std::string& id)> m_run;
  /// Makes the call for the rest of a stream.
  std::function<HttpCall(const std::string& id, std::int64_t offset)> m_resume;
  /// Makes the call that cancels a chat.
  std::function<HttpCall(const std::string& id)> m_cancel;
  /// Tells whether an answer says that the request did not run.
  std::function<bool(int status, const HeaderMap&)> m_refused;
  /// Tells whether an answer is a stream with an end marker.
  std::function<bool(int status, const HeaderMap&)> m_is_stream;
};

/// Format of plain services.
struct ServiceClient {
  /// Makes the call under an id.
  std::function<HttpCall(const OutgoingRequest&, const std::string& id)> m_run;
  /// Tells whether an answer says that the request did not run.
  std::function<bool(int status, const HeaderMap&)> m_refused;
  /// Reads the answer to a question about an idempotency key.
  std::function<KeyStatusResult(const HttpResponse&)> m_read_status;
};

/// @return the format that the stand-ins speak.
EngineClient MakeEngineClient();
/// @return the format that the stand-ins speak.
ServiceClient MakeServiceClient();

/// @return the header fields of an answer that go on to the caller.
HeaderList HeadersForCaller(const HeaderMap& headers);

}  // namespace nutmeghollow::net
