/// @file
/// One request of an HTTP server and the state of its response. Internal to the
/// server.
#pragma once

#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <string_view>

#include "libnet/http_server.h"
#include "nutmeghollow/flow_control.h"

namespace nutmeghollow::net::detail {

/// An exchange of a connection, which reads its body and writes its response.
class ServerExchange final
    : public HttpExchange,
      public std::enable_shared_from_this<ServerExchange> {
 public:
  /// What ReadStream has found.
  enum class StreamStep {
    kData,     ///< It has appended data.
    kWait,     ///< There is none now.
    kEnd,      ///< The stream has ended normally.
    kAborted,  ///< The stream has no end; the connection must be closed.
  };

  /// @param on_change called when there is something to write, or the
  /// connection must be closed, until Detach.
  ServerExchange(const HttpServerOptions& options,
                 HttpRequest request,
                 std::function<void()> on_change);

  // HttpExchange:
  const HttpRequest& Request() const override { return m_request; }
  std::shared_ptr<const std::string> TakeBody() override;
  void Respond(int status,
               const HeaderList& headers,
               std::string body) override;
  void BeginStream(int status, const HeaderList& headers) override;
  bool Write(std::string_view data) override;
  void EndStream() override;
  void AbortStream() override;
  bool CallerDisconnected() const override { return m_caller_disconnected; }
  void OnDisconnect(std::function<void()> callback) override;
  void OnDrained(std::function<void()> callback) override;
  void OnEnd(std::function<void(bool complete)> callback) override;

  /// Sets the limit of the body and reserves memory for its start and for the
  /// fields of the request.
  /// @param declared length that the head states, or 0.
  /// @return false without memory.
  bool OpenBody(std::size_t limit, std::uint64_t declared);
  /// Appends a part of the request body.
  /// @return false if the connection is to be closed, since far more arrives
  /// than may be stored.
  bool AppendBody(std::string_view data);
  /// Notes that the whole body has arrived.
  void CompleteBody() { m_reservation.Complete(); }
  /// Frees a body for which there is no memory; the rest of it is dropped.
  void RefuseBody(const char* reason);
  bool BodyIsTooLarge() const { return m_body_too_large; }
  bool BodyIsRefused() const { return m_body_refused; }
  bool BodyIsDropped() const { return m_body_dropped; }

  /// Gives a response that the server itself generates.
  void RespondWithError(int status, const std::string& detail);

  /// @return true when the head of a response can be written.
  bool Ready() const { return m_ready; }
  bool Aborted() const { return m_aborted; }
  bool Streamed() const { return m_streamed; }
  /// @return true when the handler has given the response to its end.
  bool HasWholeResponse() const { return m_ready && (!m_streamed || m_ended); }
  int Status() const { return m_status; }
  const HeaderList& Fields() const { return m_headers; }
  /// @return the body of a response that is not streamed.
  std::string TakeResponseBody();
  /// Moves data of the stream.
  /// @param most bytes at most. @param target the data are appended to it.
  StreamStep ReadStream(std::size_t most, std::string* target);

  /// Notes that the connection is not available any more.
  /// @param complete false if the response was not written to its end.
  void Detach(bool complete);

 private:
  /// @return bytes of the stream that the connection has not taken.
  std::size_t Buffered() const { return m_buffer.size() - m_sent; }
  void NoteChange() const;
  /// Makes room for a body of this size.
  /// @return false if there is no memory for it.
  bool GrowBody(std::size_t size);
  /// Frees the body and what it has reserved.
  void DiscardBody();
  /// Makes the connection close because the body gives way to others.
  void DropBody();

  std::shared_ptr<BodyMemory> m_body_memory;
  HttpErrorHook m_error_hook;
  std::size_t m_discard_limit;
  std::function<void()> m_on_change;
  bool m_detached = false;

  HttpRequest m_request;
  BodyReservation m_reservation;   ///< Until TakeBody.
  std::size_t m_field_memory = 0;  ///< Part of the reservation.
  std::size_t m_reserved = 0;      ///< Capacity of the body.
  std::size_t m_body_limit = 0;
  std::size_t m_declared = 0;   ///< Content-Length, or 0.
  std::size_t m_discarded = 0;  ///< Bytes of a rejected body.
  bool m_body_too_large = false;
  bool m_body_refused = false;  ///< There was no memory for it.
  bool m_body_dropped = false;  ///< It gave way to others.

  bool m_caller_disconnected = false;
  bool m_ready = false;
  bool m_streamed = false;
  bool m_ended = false;
  bool m_aborted = false;
  int m_status = 0;
  HeaderList m_headers;
  std::string m_buffer;    ///< Whole body, or buffered data of a stream.
  std::size_t m_sent = 0;  ///< Bytes of m_buffer that the connection has.
  std::function<void()> m_on_disconnect;
  FlowControl m_flow;
  std::function<void()> m_on_drained;
  std::function<void(bool complete)> m_on_end;
};

}  // namespace nutmeghollow::net::detail
