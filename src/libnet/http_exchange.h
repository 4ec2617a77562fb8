/// @file
/// One request of an HTTP server and the state of its answer. Private to
/// http_server.cpp.
#pragma once

#include <microhttpd.h>

#include <functional>
#include <memory>
#include <optional>
#include <string>

#include "libnet/http_server.h"

namespace nutmeghollow::net::detail {

/// What the server needs to know about its exchanges.
struct ServerLink {
  HttpServerOptions m_options;
  bool m_needs_run = false;  ///< A connection was resumed.
  bool m_close_after_answers = false;
  bool m_stopping = false;  ///< No further request is handed on.
};

/// An exchange on one libmicrohttpd connection.
class MhdExchange final : public HttpExchange,
                          public std::enable_shared_from_this<MhdExchange> {
 public:
  MhdExchange(std::shared_ptr<ServerLink> link, MHD_Connection* connection);

  // HttpExchange:
  const HttpRequest& Request() const override { return m_request; }
  void Respond(int status,
               const HeaderList& headers,
               std::string body) override;
  void BeginStream(int status, const HeaderList& headers) override;
  bool Write(std::string_view data) override;
  void EndStream() override;
  void AbortStream() override;
  std::size_t Buffered() const override { return m_buffer.size() - m_sent; }
  bool CallerDisconnected() const override { return m_gone; }
  void OnDisconnect(std::function<void()> callback) override;
  void OnDrained(std::function<void()> callback) override;

  /// Fills in the request line and header fields. @return their size.
  std::size_t ReadHeader(const char* method,
                         const char* url,
                         std::string target);
  /// Appends a part of the body. @return false above the limit.
  bool AppendBody(std::string_view data);
  /// Hands a ready answer to the library, or suspends the connection.
  MHD_Result Proceed();
  /// Copies stream data for the library. @return as its reader callback.
  ssize_t ReadStream(char* target, std::size_t size);
  /// Queues an error answer made by the server itself.
  MHD_Result QueueError(int status, const std::string& detail);

  /// Tells the handler, once, that nobody waits for the answer.
  void ReportGone();
  /// The library ended the request; the connection is not used again.
  void Detach(bool complete);
  /// Lets a suspended connection go on.
  void Wake();

  bool Suspended() const { return m_suspended; }
  int Descriptor() const { return m_descriptor; }
  bool m_dispatched = false;
  bool m_body_too_large = false;

 private:
  MHD_Result Queue(MHD_Response* response);
  void AddHeaders(MHD_Response* response) const;
  void Suspend();

  std::shared_ptr<ServerLink> m_link;
  MHD_Connection* m_connection;
  int m_descriptor = -1;
  HttpRequest m_request;

  bool m_suspended = false;
  bool m_gone = false;
  bool m_ready = false;  ///< An answer or a stream may be queued.
  bool m_queued = false;
  bool m_streamed = false;
  bool m_ended = false;
  bool m_aborted = false;
  bool m_above_high_water = false;
  int m_status = 0;
  HeaderList m_headers;
  std::string m_buffer;    ///< Whole body, or the unsent part of a stream.
  std::size_t m_sent = 0;  ///< Bytes of the buffer already handed over.
  std::function<void()> m_on_gone;
  std::function<void()> m_on_drained;
};

}  // namespace nutmeghollow::net::detail
