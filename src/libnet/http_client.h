/// @file
/// HTTP/1.1 client on the multi-socket interface of libcurl, driven by libev.
///
/// A call is sent at most once: the client never repeats a request by itself,
/// not even when a reused connection turns out to be closed.
#pragma once

#include <ev.h>

#include <cstddef>
#include <functional>
#include <memory>
#include <string>
#include <string_view>

#include "libnet/http_server.h"
#include "nutmeghollow/types.h"

namespace nutmeghollow::net {

/// Identifies a call of one client.
using HttpCallId = Number<struct HttpCallTag>;

/// One request to send.
struct HttpCall {
  std::string m_method = "GET";
  Endpoint m_endpoint;
  std::string m_path = "/";  ///< With the query, already encoded.
  HeaderList m_headers;
  std::shared_ptr<const std::string> m_body;  ///< Null for none.
  Duration m_connect_timeout = std::chrono::seconds(1);
  /// From the start of the call to the end of the answer's head, after any
  /// interim answers: a head that comes byte by byte is no answer.
  Duration m_head_timeout = std::chrono::seconds(60);
  /// Longest silence between two bytes of the answer.
  Duration m_idle_timeout = std::chrono::seconds(30);
  Duration m_total_timeout = std::chrono::seconds(600);
  /// Opens a new connection and closes it afterwards.
  bool m_dedicated_connection = false;
  /// A connection that was idle for longer is not used again.
  std::chrono::seconds m_reuse_max_idle{20};
  /// Takes an answer without a length that ends with a regular close.
  bool m_accept_close_delimited = false;
};

/// Most bytes of an answer's head, with its interim answers and trailers.
/// Callers' heads are bounded by a third of it.
inline constexpr std::size_t kMaxHeadBytes = 64 << 10;
/// Most reads in a row that bring neither a line of a head nor a byte of a
/// body: a line or a chunk's extension without an end. A line of a sound
/// server comes in one or two.
inline constexpr int kMaxReadsWithoutProgress = 32;

/// How a call ended.
enum class HttpCallOutcome {
  kComplete,       ///< The whole answer arrived.
  kConnectFailed,  ///< No connection was made; no byte was sent.
  kBroken,         ///< The connection ended early or the answer is malformed.
  kTimeout,        ///< One of the time-outs passed.
};

/// The end of a call.
struct HttpCallResult {
  HttpCallOutcome m_kind = HttpCallOutcome::kBroken;
  /// True when a byte of the request may have left this process.
  bool m_may_have_been_sent = false;
  std::string m_detail;
};

/// Calls made during a call. Any of them may be empty.
struct HttpCallEvents {
  /// Just before the first byte of the request is written.
  std::function<void()> m_on_send;
  std::function<void(int status, const HeaderMap& headers)> m_on_headers;
  /// @return false to pause; the same data is delivered again after Resume.
  std::function<bool(std::string_view data)> m_on_data;
  /// Last call; not made after Cancel.
  std::function<void(const HttpCallResult& end)> m_on_end;
};

/// Sends calls and keeps connections that are known to be good.
class HttpClient {
 public:
  explicit HttpClient(struct ev_loop* loop);
  ~HttpClient();
  HttpClient(const HttpClient&) = delete;
  HttpClient& operator=(const HttpClient&) = delete;

  /// Starts a call. No event is made before this returns.
  HttpCallId Start(HttpCall call, HttpCallEvents events);
  /// Ends a call and closes its connection. Unknown ids have no effect.
  void Cancel(HttpCallId id);
  /// Goes on with a paused call.
  void Resume(HttpCallId id);
  /// @return calls in progress.
  std::size_t Active() const;

 private:
  class Impl;
  std::unique_ptr<Impl> m_impl;
};

/// A whole answer, for calls whose answers are small.
struct HttpResponse {
  HttpCallResult m_end;
  int m_status = 0;
  HeaderMap m_headers;
  std::string m_body;
};

/// Sends a call and collects its whole answer.
/// @param body_limit a larger answer ends the call as broken.
HttpCallId Fetch(HttpClient& client,
                 HttpCall call,
                 Bytes body_limit,
                 std::function<void(HttpResponse)> callback);

}  // namespace nutmeghollow::net
