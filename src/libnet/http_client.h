/// @file
/// HTTP/1.1 client on the multi-socket interface of libcurl, driven by libev.
///
/// A request is sent at most once: the client never retries by itself, not even
/// when a reused connection turns out to be closed.
#pragma once

#include <ev.h>

#include <cstddef>
#include <functional>
#include <memory>
#include <string>
#include <string_view>

#include "libnet/http_server.h"
#include "nutmeghollow/response_memory.h"
#include "nutmeghollow/types.h"

namespace nutmeghollow::net {

/// Identifies a call within one client.
using HttpCallId = Number<struct HttpCallTag>;

/// One request to send, with its time limits.
struct HttpCall {
  std::string m_method = "GET";
  Endpoint m_endpoint;
  std::string m_path = "/";  ///< Includes the query; already encoded.
  HeaderList m_headers;
  std::shared_ptr<const std::string> m_body;  ///< Null if none.
  Duration m_connect_timeout = std::chrono::seconds(1);
  /// From the start of the call to the end of the final response's head.
  /// Interim responses and a head that arrives byte by byte do not extend it.
  Duration m_head_timeout = std::chrono::seconds(60);
  /// Maximum time between two bytes of the response.
  Duration m_idle_timeout = std::chrono::seconds(30);
  /// From the start of the call to the end of the response.
  Duration m_total_timeout = std::chrono::seconds(600);
  /// Opens a new connection for this call and closes it afterwards.
  bool m_dedicated_connection = false;
  /// Connections idle for longer than this are not reused.
  std::chrono::seconds m_reuse_max_idle{20};
  /// Accepts a response without a length that ends when the server closes the
  /// connection normally.
  bool m_accept_close_delimited = false;
};

/// Maximum size of a response head, including interim responses and trailers.
/// The gateway limits the request heads of its callers to less than a third of
/// it.
inline constexpr std::size_t kMaxHeadBytes = 64 << 10;
/// Limits of the memory of response heads, until the end of their calls. A
/// field of a few bytes takes a hundred times as many, so kMaxHeadBytes alone
/// does not bound it.
inline constexpr ResponseMemoryParameters kHeadMemory{
    .m_total = 8 << 20,
    .m_max_per_response = 256 << 10,
    .m_min_per_response = 32 << 10};
/// Maximum number of consecutive reads that complete no line of the head and
/// yield no byte of the body; after the first, they also have at most
/// kMaxHeadBytes. This occurs with an unterminated header line or chunk
/// extension. A line of a correct server arrives in one or two reads.
inline constexpr int kMaxReadsWithoutProgress = 32;

/// How a call ended.
enum class HttpCallOutcome {
  kComplete,       ///< The response is complete.
  kConnectFailed,  ///< Not connected; no byte was sent.
  kBroken,         ///< The connection closed early or the response is invalid.
  kTimeout,        ///< A timeout expired after the request may have been sent.
};

/// Result of a call.
struct HttpCallResult {
  HttpCallOutcome m_outcome = HttpCallOutcome::kBroken;
  /// True when a byte of the request may have left this process.
  bool m_may_have_been_sent = false;
  std::string m_detail;  ///< Error message; empty when complete.
  /// True when the response had neither a length nor chunks, so that only the
  /// end of its connection delimits it.
  bool m_close_delimited = false;
};

/// Callbacks of a call. Any of them may be empty.
struct HttpCallEvents {
  /// Called just before the first byte of the request is written.
  std::function<void()> m_on_send;
  /// Called when the head of the final response is complete.
  std::function<void(int status, const HeaderMap& headers)> m_on_headers;
  /// Called for each part of the body. @return false to pause; the same data is
  /// delivered again after Resume.
  std::function<bool(std::string_view data)> m_on_data;
  /// The last callback; not called after Cancel.
  std::function<void(const HttpCallResult& result)> m_on_end;
};

/// Sends requests and reuses connections that are known to be in a valid state.
class HttpClient {
 public:
  explicit HttpClient(struct ev_loop* loop);
  ~HttpClient();
  HttpClient(const HttpClient&) = delete;
  HttpClient& operator=(const HttpClient&) = delete;

  /// Starts a call. No callback is called before this returns.
  HttpCallId Start(HttpCall call, HttpCallEvents events);
  /// Aborts a call and closes its connection. Unknown ids are ignored.
  void Cancel(HttpCallId id);
  /// Resumes a paused call.
  void Resume(HttpCallId id);
  /// @return true when the call was sent on a connection that had carried
  /// another one. A response without an id may then belong to that one.
  bool IsOnReusedConnection(HttpCallId id) const;
  /// @return number of calls in progress.
  std::size_t Active() const;

 private:
  class Impl;
  std::unique_ptr<Impl> m_impl;
};

/// A response with its whole body, for small responses.
struct HttpResponse {
  HttpCallResult m_call_result;
  int m_status = 0;
  HeaderMap m_headers;
  std::string m_body;
};

/// Sends a request and collects the whole response.
/// @param body_limit maximum size of the body; a larger one ends the call with
/// kBroken.
/// @param callback called once with the response; not called after Cancel.
/// @return the id of the call.
HttpCallId Fetch(HttpClient& client,
                 HttpCall call,
                 Bytes body_limit,
                 std::function<void(HttpResponse)> callback);

}  // namespace nutmeghollow::net
