/// @file
/// HTTP/1.1 server on a libev event loop.
///
/// The handler is called once a request's body is complete. It responds
/// immediately or later, with a whole body or as a stream. To bound the memory
/// of a stream, the writer pauses at the high-water mark and resumes when the
/// buffer has drained.
#pragma once

#include <ev.h>

#include <functional>
#include <map>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

#include "nutmeghollow/body_memory.h"
#include "nutmeghollow/types.h"

namespace nutmeghollow::net {

/// Header fields by lower-case name.
using HeaderMap = std::multimap<std::string, std::string>;

/// @param name header name in lower case.
/// @return the header's first value, or an empty string when it is absent.
std::string HeaderValue(const HeaderMap& headers, const std::string& name);

/// HTTP request.
struct HttpRequest {
  std::string m_method;
  std::string m_path;    ///< Without the query; percent-decoded.
  std::string m_target;  ///< Path and query, byte for byte as received.
  std::map<std::string, std::string> m_query;
  HeaderMap m_headers;
  /// Size of the head as received, with line ends; 0 if it was checked by
  /// another instance.
  std::size_t m_head_bytes = 0;
  std::string m_body;
};

/// Header fields of a response, in order.
using HeaderList = std::vector<std::pair<std::string, std::string>>;

/// A request and its response. It stays usable after the caller disconnected;
/// writes then have no effect.
class HttpExchange {
 public:
  virtual ~HttpExchange() = default;

  virtual const HttpRequest& Request() const = 0;
  /// Moves the body out of the request, whose m_body is empty afterwards. The
  /// body is freed with the last reference to it.
  /// @return the body; null when it is empty or was taken before.
  virtual std::shared_ptr<const std::string> TakeBody() = 0;

  /// Sends a complete response. Call it at most once, and not together with
  /// BeginStream.
  virtual void Respond(int status,
                       const HeaderList& headers,
                       std::string body) = 0;

  /// Starts a streamed response with chunked transfer coding.
  virtual void BeginStream(int status, const HeaderList& headers) = 0;
  /// Appends to the stream.
  /// @return false when the high-water mark is reached; the writer should then
  /// wait for the callback set with OnDrained.
  virtual bool Write(std::string_view data) = 0;
  /// Ends the stream normally.
  virtual void EndStream() = 0;
  /// Closes the connection without ending the stream, so that the caller can
  /// tell that the response is incomplete.
  virtual void AbortStream() = 0;

  /// @return true once the caller closed the connection before the response
  /// was complete.
  virtual bool CallerDisconnected() const = 0;

  /// Sets the callback for a caller that closes the connection before the
  /// response is complete. It runs at most once.
  virtual void OnDisconnect(std::function<void()> callback) = 0;
  /// Sets the callback for a stream's buffer that has drained to the low-water
  /// mark after Write returned false.
  virtual void OnDrained(std::function<void()> callback) = 0;
  /// Sets the callback for the end of the response. It runs once, with false
  /// when the connection ended before the response was written to its end.
  virtual void OnEnd(std::function<void(bool complete)> callback) = 0;
};

/// Response to an error that the server detects itself, such as 413.
struct HttpErrorResponse {
  HeaderList m_headers;
  std::string m_body;
};

/// Creates the response to an error that the server detects itself.
/// @param status HTTP status.
/// @param detail one sentence for the caller.
using HttpErrorHook =
    std::function<HttpErrorResponse(int status, const std::string& detail)>;

/// Limits and error responses of a server.
struct HttpServerOptions {
  Bytes m_body_limit{8 << 20};  ///< Larger bodies are rejected with 413.
  /// The limit in force, at most m_body_limit; when unset, m_body_limit.
  std::function<Bytes()> m_current_body_limit;
  /// Bytes of a rejected body that are read and dropped: a caller gets the
  /// response only after it has sent its body. Beyond it the connection is
  /// closed.
  Bytes m_discard_limit{64 << 20};
  /// Larger heads of requests are rejected with 431.
  Bytes m_header_limit{32 << 10};
  Bytes m_stream_high_water{256 << 10};  ///< Unsent bytes that pause a writer.
  int m_connection_limit = 20000;
  /// Inactive connections are closed after this time, except while the
  /// response is being prepared.
  Duration m_idle_timeout = std::chrono::seconds(120);
  /// Budget for request bodies, shared by servers; null for none.
  /// The fields of a request with very many of them count as well.
  std::shared_ptr<BodyMemory> m_body_memory;
  HttpErrorHook m_error_hook;  ///< When unset, bodies are plain text.
};

/// Called for each request once its body is complete.
using HttpHandler = std::function<void(std::shared_ptr<HttpExchange>)>;

/// HTTP server that listens on one endpoint.
class HttpServer {
 public:
  /// @throws std::runtime_error when it cannot listen on the endpoint.
  HttpServer(struct ev_loop* loop,
             const Endpoint& endpoint,
             const HttpServerOptions& options,
             HttpHandler handler);
  ~HttpServer();
  HttpServer(const HttpServer&) = delete;
  HttpServer& operator=(const HttpServer&) = delete;

  /// Refuses new connections; open ones continue.
  void StopListening();
  /// Closes each connection after its next response.
  void CloseAfterResponses();
  /// @return number of requests whose response is not written to its end.
  std::size_t OpenRequests() const;
  /// @return number of open connections.
  int Connections() const;
  /// @return number of requests that were refused because their framing was not
  /// valid or their header too large.
  std::int64_t MalformedRequests() const;
  /// @return the listening port, which the system chose if port 0 was given.
  int Port() const;

 private:
  class Impl;
  std::unique_ptr<Impl> m_impl;
};

}  // namespace nutmeghollow::net
