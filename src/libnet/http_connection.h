/// @file
/// One connection of an HTTP server. Internal to the server.
#pragma once

#include <cstdint>
#include <functional>
#include <list>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

#include "libnet/event_loop.h"
#include "libnet/http_exchange.h"
#include "libnet/http_request_reader.h"
#include "libnet/http_server.h"

namespace nutmeghollow::net::detail {

class HttpConnection;

/// Connections in the order in which they entered.
using ConnectionQueue = std::list<HttpConnection*>;

/// Place of a connection in a queue, until this object is destroyed.
class QueuePlace {
 public:
  QueuePlace() = default;
  ~QueuePlace() { Leave(); }
  QueuePlace(const QueuePlace&) = delete;
  QueuePlace& operator=(const QueuePlace&) = delete;

  /// Enters at the end, also if it is in the queue already.
  void EnterAtEnd(ConnectionQueue* queue, HttpConnection* connection);
  void Leave();

 private:
  ConnectionQueue* m_queue = nullptr;
  ConnectionQueue::iterator m_position;
};

/// What the connections of a server share with it.
struct HttpServerState {
  struct ev_loop* m_loop = nullptr;
  HttpServerOptions m_options;
  HttpHandler m_handler;
  std::function<void()> m_on_close;  ///< A connection has been closed.
  bool m_close_after_responses = false;
  bool m_stopping = false;  ///< No further request is passed to the handler.
  std::size_t m_open_requests = 0;
  std::int64_t m_malformed_requests = 0;
  std::vector<char> m_read_buffer;
  /// To be continued in this iteration of the event loop.
  std::vector<HttpConnection*> m_scheduled;
  /// To be continued in the next iteration.
  std::vector<HttpConnection*> m_yielded;
  ConnectionQueue m_without_request;  ///< A whole one, that is.
  ConnectionQueue m_by_activity;
  ConnectionQueue m_draining;
  ConnectionQueue m_not_reading;
};

/// Reads requests from a socket, one at a time, and writes their responses.
class HttpConnection {
 public:
  /// @param descriptor of a non-blocking socket, closed by this object.
  HttpConnection(HttpServerState* server, int descriptor);
  ~HttpConnection();
  HttpConnection(const HttpConnection&) = delete;
  HttpConnection& operator=(const HttpConnection&) = delete;

  /// Reads what has arrived, as far as the server reads at once.
  void Receive();
  /// Reads on in what has arrived, and writes what is ready.
  void Continue();
  /// Makes the server call Continue in this iteration of the event loop.
  void Schedule();
  /// Closes the socket. The server destroys the object afterwards.
  void Close();
  bool Closed() const { return m_closed; }
  /// Ends a request whose handler has not given the whole response.
  void AbortUnfinished();

  /// Closes the connection if it has been inactive for too long.
  /// @return false if it has not.
  bool CloseIfIdle(TimePoint now);
  /// Closes the connection if its caller has had the time to close it.
  /// @return false if not.
  bool CloseIfDrained(TimePoint now);
  /// @return true when the caller has closed the connection, which is noticed
  /// here only while nothing is read.
  bool CallerHasLeft() const;

 private:
  enum class Phase {
    kReading,    ///< A request, or nothing.
    kPreparing,  ///< The handler prepares the response.
    kWriting,    ///< The response.
    kDraining,   ///< After the last response, until the caller closes.
  };

  void OnEvents(int events);
  /// @return number of bytes that were used.
  std::size_t Parse(std::string_view bytes);
  void ParseInput();
  void StartRequest(bool body_follows);
  bool AppendBody();
  void CompleteRequest();
  void RefuseMalformed();
  /// Answers with an error before the request has been read to its end.
  void RefuseUnread(int status, const std::string& detail);

  void Send();
  bool HasOutput() const { return m_sent < m_output.size() + m_body.size(); }
  /// Makes further output, if there is any.
  /// @return false if there is none now.
  bool MakeOutput();
  void BeginResponse();
  bool ReadStream();
  void FinishResponse();
  /// @return false if the socket takes no more now, or is closed.
  bool WriteOutput();
  void StartDraining();

  void NoteActivity();
  void UpdateEvents();

  HttpServerState* m_server;
  int m_descriptor;
  DescriptorWatcher m_watcher;
  int m_events;
  Phase m_phase = Phase::kReading;
  bool m_closed = false;
  bool m_scheduled = false;
  bool m_yielded = false;
  bool m_caller_ended = false;  ///< Nothing more will arrive.

  std::string m_input;                          ///< Received and not used.
  std::unique_ptr<HttpRequestReader> m_reader;  ///< Null between requests.
  std::shared_ptr<ServerExchange> m_exchange;
  bool m_keeps = false;  ///< The connection, after the response.
  bool m_http11 = false;
  bool m_is_head = false;
  bool m_close_delimited = false;  ///< The stream ends with the connection.
  bool m_response_ended = false;   ///< No further output will be made.

  std::string m_output;
  std::string m_body;  ///< Of a response that is not streamed; after m_output.
  std::size_t m_sent = 0;  ///< Of both.

  TimePoint m_last_activity{};
  TimePoint m_draining_since{};
  std::int64_t m_drained = 0;  ///< Bytes dropped since then.
  QueuePlace m_without_request;
  QueuePlace m_by_activity;
  QueuePlace m_draining;
  QueuePlace m_not_reading;
};

}  // namespace nutmeghollow::net::detail
