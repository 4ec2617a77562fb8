/// @file
/// HTTP/1.1 server on libmicrohttpd, driven by the libev loop.
///
/// A handler receives each request with its whole body. It answers at once or
/// later, whole or as a stream. A stream holds a bounded amount of memory: the
/// writer stops at the high-water mark and goes on when the reader drained it.
#pragma once

#include <ev.h>

#include <functional>
#include <map>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

#include "nutmeghollow/types.h"

namespace nutmeghollow::net {

/// Header fields with names in lower case.
using HeaderMap = std::multimap<std::string, std::string>;

/// @return the first value of a header, or an empty text.
std::string HeaderValue(const HeaderMap& headers, const std::string& name);

/// One HTTP request.
struct HttpRequest {
  std::string m_method;
  std::string m_path;    ///< Without the query; percent-decoded.
  std::string m_target;  ///< Path and query, byte for byte as received.
  std::map<std::string, std::string> m_query;
  HeaderMap m_headers;
  std::string m_body;
};

/// Header fields of an answer, in order.
using HeaderList = std::vector<std::pair<std::string, std::string>>;

/// One request and the answer to it. It stays usable after the caller has
/// gone; writes then have no effect.
class HttpExchange {
 public:
  virtual ~HttpExchange() = default;

  virtual const HttpRequest& Request() const = 0;

  /// Sends a whole answer. Call it once, and not together with a stream.
  virtual void Respond(int status,
                       const HeaderList& headers,
                       std::string body) = 0;

  /// Starts a streamed answer with chunked transfer coding.
  virtual void BeginStream(int status, const HeaderList& headers) = 0;
  /// Appends to the stream. @return false when the high-water mark is reached:
  /// the writer should wait for the call set by OnDrained.
  virtual bool Write(std::string_view data) = 0;
  /// Ends the stream in the regular way.
  virtual void EndStream() = 0;
  /// Closes the connection so that the caller sees an incomplete answer.
  virtual void AbortStream() = 0;

  /// @return bytes accepted by Write that were not yet sent.
  virtual std::size_t Buffered() const = 0;
  /// @return true once the caller closed the connection early.
  virtual bool CallerDisconnected() const = 0;

  /// Sets the call made when the caller closes before the answer has ended.
  virtual void OnDisconnect(std::function<void()> callback) = 0;
  /// Sets the call made when a stream's buffer fell below the low-water mark.
  virtual void OnDrained(std::function<void()> callback) = 0;
};

/// An error that the server answers by itself, such as 413.
struct HttpErrorResponse {
  HeaderList m_headers;
  std::string m_body;
};

/// Makes the answer to an error that the server itself finds.
/// @param status HTTP status. @param detail one sentence for the caller.
using HttpErrorHook =
    std::function<HttpErrorResponse(int status, const std::string& detail)>;

/// Limits of a server.
struct HttpServerOptions {
  Bytes m_body_limit{8 << 20};           ///< Larger bodies get 413.
  Bytes m_header_limit{32 << 10};        ///< Memory for a request's header.
  Bytes m_stream_high_water{256 << 10};  ///< Unsent bytes that stop a writer.
  /// The library's memory for a connection, beyond the header limit.
  Bytes m_connection_memory{48 << 10};
  int m_connection_limit = 20000;
  /// Longest silence of a caller whose answer is not being prepared.
  Duration m_idle_timeout = std::chrono::seconds(120);
  HttpErrorHook m_error_hook;  ///< Plain text bodies when empty.
};

/// Called for each request once its body is complete.
using HttpHandler = std::function<void(std::shared_ptr<HttpExchange>)>;

/// Listens on one endpoint.
class HttpServer {
 public:
  /// @throws std::runtime_error when the endpoint cannot be listened on.
  HttpServer(struct ev_loop* loop,
             const Endpoint& endpoint,
             const HttpServerOptions& options,
             HttpHandler handler);
  ~HttpServer();
  HttpServer(const HttpServer&) = delete;
  HttpServer& operator=(const HttpServer&) = delete;

  /// Refuses new connections; open ones go on.
  void StopListening();
  /// Makes each further answer the last one of its connection.
  void CloseAfterResponses();
  /// @return open connections.
  int Connections() const;
  /// @return the port listened on, useful after asking for port 0.
  int Port() const;

 private:
  class Impl;
  std::unique_ptr<Impl> m_impl;
};

}  // namespace nutmeghollow::net
