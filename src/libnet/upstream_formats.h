/// @file
/// Wire formats of model engines and plain services. Another format is added as
/// another set of these functions.
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

/// A caller's request, retained while it may still be sent to an upstream.
struct OutgoingRequest {
  RequestKind m_kind = RequestKind::kChat;
  std::string m_method = "POST";
  std::string m_path;    ///< Path at the upstream, including the query.
  HeaderList m_headers;  ///< As received; the format selects which to forward.
  std::shared_ptr<const std::string> m_body;
  PublicRequestId m_public_id;
  int m_priority = 0;  ///< Rank; lower is served first.
  bool m_streamed = false;
};

/// Network timeouts of calls to upstreams.
struct UpstreamTimeouts {
  Duration m_connect = std::chrono::seconds(1);
  /// To the first byte of a chat response. A response that is not streamed and
  /// takes longer is requested again on a new connection.
  Duration m_chat_first_byte = std::chrono::seconds(8);
  /// To the first byte of a service's response.
  Duration m_service_first_byte = std::chrono::seconds(110);
  /// Maximum time without data within a response.
  Duration m_idle = std::chrono::seconds(5);
};

/// Wire format of model engines.
struct EngineFormat {
  /// Makes the call that runs a chat under a request id.
  std::function<HttpCall(const OutgoingRequest&, const std::string& id)> m_run;
  /// Makes the call for the rest of a stream, from a byte offset.
  std::function<HttpCall(const std::string& id, std::int64_t offset)> m_resume;
  /// Makes the call that cancels a chat.
  std::function<HttpCall(const std::string& id)> m_cancel;
  /// @return true when the response states that the request did not run.
  std::function<bool(int status, const HeaderMap&)> m_is_refusal;
  /// @return true when the response is a stream with an end marker.
  std::function<bool(int status, const HeaderMap&)> m_is_stream;
};

/// Wire format of plain services.
struct ServiceFormat {
  /// Makes the call under a request id.
  std::function<HttpCall(const OutgoingRequest&, const std::string& id)> m_run;
  /// @return true when the response states that the request did not run.
  std::function<bool(int status, const HeaderMap&)> m_is_refusal;
  /// Decodes the response to a query of an idempotency key.
  std::function<KeyStatusResult(const HttpResponse&)> m_read_status;
};

/// @return the format of the stand-in engine.
EngineFormat MakeEngineFormat();
/// @return the format of the stand-in service.
ServiceFormat MakeServiceFormat();

/// @return the header fields of a response that are forwarded to the caller.
HeaderList HeadersForCaller(const HeaderMap& headers);

}  // namespace nutmeghollow::net
