#include "libnet/http_server.h"

#include <microhttpd.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <charconv>
#include <list>
#include <stdexcept>
#include <unordered_set>
#include <utility>
#include <vector>

#include "libnet/event_loop.h"
#include "libnet/http_exchange.h"
#include "libnet/log.h"
#include "libnet/socket_address.h"

namespace nutmeghollow::net {

using detail::HttpServerState;
using detail::MhdExchange;

namespace {

/// Interval of the check whether callers of suspended connections disconnected.
constexpr Duration kDisconnectCheckInterval = std::chrono::milliseconds(250);
/// Checks of suspended connections until those without a whole request are
/// checked, too, which may be many.
constexpr int kChecksPerWaitingCheck = 8;
/// Consecutive passes of libmicrohttpd before other watchers of the loop run.
constexpr int kMaxRunPasses = 8;
/// Passes that accept the pending connections when listening ends. Each pass
/// accepts several, and the system queues about a thousand.
constexpr int kMaxAcceptPasses = 256;

/// At the limit, one connection in so many is closed at once, so that a crowd
/// that waits to be accepted takes few wake-ups of the event loop.
constexpr int kConnectionsPerRoom = 16;

constexpr const char* kNoMemory = "no memory for the request body";

/// A connection of a caller, stored as the socket context of libmicrohttpd.
struct CallerConnection {
  int m_descriptor = -1;
  bool m_closing = false;  ///< It was shut down to make room.
  /// In the list of waiting connections, unless m_waits is false.
  std::list<CallerConnection*>::iterator m_position;
  bool m_waits = false;
};

/// State that libmicrohttpd stores for a request: its target until the header
/// has been read, and then the exchange, which takes over the target.
struct RequestState {
  std::string m_target;
  std::shared_ptr<MhdExchange> m_exchange;
};

/// Stores the request target, which libmicrohttpd reports before the header.
void* CreateRequestState(void* /*server*/,
                         const char* target,
                         MHD_Connection* /*connection*/) {
  return new RequestState{target, nullptr};
}

CallerConnection* ConnectionOf(MHD_Connection* connection) {
  const MHD_ConnectionInfo* info =
      MHD_get_connection_info(connection, MHD_CONNECTION_INFO_SOCKET_CONTEXT);
  return info == nullptr ? nullptr
                         : static_cast<CallerConnection*>(info->socket_context);
}

/// @return the value of Content-Length, or 0 when it is absent or invalid.
std::int64_t DeclaredLength(const HttpRequest& request) {
  const std::string text = HeaderValue(request.m_headers, "content-length");
  std::int64_t length = 0;
  std::from_chars(text.data(), text.data() + text.size(), length);
  return length;
}

}  // namespace

class HttpServer::Impl {
 public:
  Impl(struct ev_loop* loop,
       const Endpoint& endpoint,
       const HttpServerOptions& options,
       HttpHandler handler);
  ~Impl();

  void StopListening();
  void CloseAfterResponses() { m_server_state->m_close_after_responses = true; }
  std::size_t OpenRequests() const { return m_exchanges.size(); }
  int Connections() const;
  int Port() const { return m_port; }

 private:
  using ExchangeHandle = std::shared_ptr<MhdExchange>;

  static MHD_Result OnAccess(void* server,
                             MHD_Connection* connection,
                             const char* url,
                             const char* method,
                             const char* version,
                             const char* upload_data,
                             std::size_t* upload_size,
                             void** state);
  static void OnConnection(void* server,
                           MHD_Connection* connection,
                           void** context,
                           MHD_ConnectionNotificationCode code);
  static void OnCompleted(void* server,
                          MHD_Connection* connection,
                          void** state,
                          MHD_RequestTerminationCode code);
  MHD_Result StartRequest(MHD_Connection* connection,
                          const char* url,
                          const char* method,
                          const char* version,
                          RequestState& state);
  MHD_Result ContinueRequest(MHD_Connection* connection,
                             const ExchangeHandle& exchange,
                             const char* upload_data,
                             std::size_t* upload_size);
  void Run();
  void CheckSuspended();
  /// Makes libmicrohttpd read the end of connections without a whole request.
  void CheckWaiting();
  void ResumeYielded();
  /// Notes that a connection has no whole request, from now on.
  void StartWaiting(CallerConnection* connection);
  void StopWaiting(CallerConnection* connection);
  /// At the limit of connections, closes those that have been without a whole
  /// request for longest if others wait to be accepted.
  void MakeRoom();

  std::shared_ptr<HttpServerState> m_server_state;
  HttpHandler m_handler;
  MHD_Daemon* m_daemon = nullptr;
  int m_listen_descriptor = -1;
  int m_port = 0;
  std::unordered_set<MhdExchange*> m_exchanges;
  /// Connections without a whole request, in the order of the time since when.
  std::list<CallerConnection*> m_waiting;
  int m_checks = 0;   ///< Of suspended connections.
  int m_closing = 0;  ///< Connections that were shut down and are still open.
  std::unique_ptr<DescriptorWatcher> m_epoll_watcher;
  std::unique_ptr<PrepareWatcher> m_prepare_watcher;
  std::unique_ptr<Timer> m_disconnect_check_timer;
  std::unique_ptr<Timer> m_next_run_timer;
};

HttpServer::Impl::Impl(struct ev_loop* loop,
                       const Endpoint& endpoint,
                       const HttpServerOptions& options,
                       HttpHandler handler)
    : m_server_state(std::make_shared<HttpServerState>()),
      m_handler(std::move(handler)) {
  m_server_state->m_options = options;
  m_listen_descriptor = BindSocket(endpoint, SOCK_STREAM);
  SocketAddress bound;
  bound.m_size = sizeof(bound.m_storage);
  getsockname(m_listen_descriptor,
              reinterpret_cast<sockaddr*>(&bound.m_storage), &bound.m_size);
  const std::string bound_endpoint = FormatEndpoint(bound).str();
  m_port = std::stoi(bound_endpoint.substr(bound_endpoint.rfind(':') + 1));

  const auto idle_seconds = static_cast<unsigned int>(
      std::chrono::ceil<std::chrono::seconds>(options.m_idle_timeout).count());
  const auto memory = static_cast<std::size_t>(
      options.m_connection_memory.value() + options.m_header_limit.value());
  m_daemon = MHD_start_daemon(
      MHD_USE_EPOLL | MHD_ALLOW_SUSPEND_RESUME, 0, nullptr, nullptr,
      &Impl::OnAccess, this, MHD_OPTION_LISTEN_SOCKET, m_listen_descriptor,
      MHD_OPTION_URI_LOG_CALLBACK, &CreateRequestState, nullptr,
      MHD_OPTION_NOTIFY_COMPLETED, &Impl::OnCompleted, this,
      MHD_OPTION_NOTIFY_CONNECTION, &Impl::OnConnection, this,
      MHD_OPTION_CONNECTION_LIMIT,
      static_cast<unsigned int>(options.m_connection_limit),
      MHD_OPTION_CONNECTION_TIMEOUT, idle_seconds,
      MHD_OPTION_CONNECTION_MEMORY_LIMIT, memory, MHD_OPTION_END);
  if (m_daemon == nullptr) {
    close(m_listen_descriptor);
    throw std::runtime_error(endpoint.str() + ": HTTP server did not start");
  }
  const MHD_DaemonInfo* info =
      MHD_get_daemon_info(m_daemon, MHD_DAEMON_INFO_EPOLL_FD);
  m_epoll_watcher = std::make_unique<DescriptorWatcher>(
      loop, info->epoll_fd, EV_READ, [this](int) { Run(); });
  m_prepare_watcher = std::make_unique<PrepareWatcher>(loop, [this] {
    if (m_server_state->m_needs_run) {
      Run();
    }
  });
  m_disconnect_check_timer = std::make_unique<Timer>(loop, [this] {
    CheckSuspended();
    if (++m_checks % kChecksPerWaitingCheck == 0) {
      CheckWaiting();
    }
    Run();
  });
  m_disconnect_check_timer->StartRepeating(kDisconnectCheckInterval);
  m_next_run_timer = std::make_unique<Timer>(loop, [this] {
    ResumeYielded();
    Run();
  });
}

HttpServer::Impl::~Impl() {
  m_epoll_watcher.reset();
  m_prepare_watcher.reset();
  // Suspended connections must be resumed before libmicrohttpd stops, and a
  // request that is read meanwhile must not be suspended.
  m_server_state->m_stopping = true;
  ResumeYielded();
  for (MhdExchange* exchange : m_exchanges) {
    if (!exchange->HasWholeResponse()) {
      exchange->AbortStream();
    }
  }
  // A response that is ready takes several passes to be written.
  for (int pass = 0; pass < kMaxRunPasses; ++pass) {
    MHD_run(m_daemon);
  }
  for (MhdExchange* exchange : m_exchanges) {
    exchange->ResetIfCloseDelimited();
  }
  MHD_stop_daemon(m_daemon);
  if (m_listen_descriptor >= 0) {
    close(m_listen_descriptor);
  }
}

void HttpServer::Impl::StopListening() {
  if (m_listen_descriptor < 0) {
    return;
  }
  // Connections that the system has already established are accepted, because
  // their callers' connect calls have succeeded.
  pollfd listener{m_listen_descriptor, POLLIN, 0};
  for (int pass = 0; pass < kMaxAcceptPasses && poll(&listener, 1, 0) > 0;
       ++pass) {
    MHD_run(m_daemon);
  }
  MHD_quiesce_daemon(m_daemon);
  close(m_listen_descriptor);
  m_listen_descriptor = -1;
}

int HttpServer::Impl::Connections() const {
  const MHD_DaemonInfo* info =
      MHD_get_daemon_info(m_daemon, MHD_DAEMON_INFO_CURRENT_CONNECTIONS);
  return static_cast<int>(info->num_connections);
}

MHD_Result HttpServer::Impl::OnAccess(void* server,
                                      MHD_Connection* connection,
                                      const char* url,
                                      const char* method,
                                      const char* version,
                                      const char* upload_data,
                                      std::size_t* upload_size,
                                      void** state) {
  auto* self = static_cast<Impl*>(server);
  auto& request = *static_cast<RequestState*>(*state);
  if (request.m_exchange == nullptr) {
    return self->StartRequest(connection, url, method, version, request);
  }
  // A copy, because the handler may end the request during the call.
  const ExchangeHandle exchange = request.m_exchange;
  return self->ContinueRequest(connection, exchange, upload_data, upload_size);
}

MHD_Result HttpServer::Impl::StartRequest(MHD_Connection* connection,
                                          const char* url,
                                          const char* method,
                                          const char* version,
                                          RequestState& state) {
  auto exchange = std::make_shared<MhdExchange>(m_server_state, connection);
  m_exchanges.insert(exchange.get());
  state.m_exchange = exchange;
  // libmicrohttpd sends no chunks to older clients.
  exchange->m_close_delimited = std::string_view(version) != "HTTP/1.1";
  const std::size_t header_size =
      exchange->ReadHeader(method, url, std::move(state.m_target));
  const auto header_limit = static_cast<std::size_t>(
      m_server_state->m_options.m_header_limit.value());
  if (header_size > header_limit) {
    return exchange->QueueError(431, "the request header is too large");
  }
  const HttpRequest& request = exchange->Request();
  const HttpServerOptions& options = m_server_state->m_options;
  std::int64_t limit = options.m_body_limit.value();
  if (options.m_current_body_limit) {
    limit = std::min(limit, options.m_current_body_limit().value());
  }
  const std::int64_t length = DeclaredLength(request);
  const bool waits_for_continue = request.m_headers.count("expect") > 0;
  const bool has_memory = exchange->OpenBody(limit, length);
  if (length > limit &&
      (length > options.m_discard_limit.value() || waits_for_continue)) {
    return exchange->QueueError(413, "the request body is too large");
  }
  if (!has_memory) {
    exchange->RefuseBody("no memory for its start");
    if (waits_for_continue) {
      return exchange->QueueError(503, kNoMemory);
    }
  }
  return MHD_YES;
}

MHD_Result HttpServer::Impl::ContinueRequest(MHD_Connection* connection,
                                             const ExchangeHandle& exchange,
                                             const char* upload_data,
                                             std::size_t* upload_size) {
  if (*upload_size > 0) {
    if (exchange->YieldAfterParts()) {
      return MHD_YES;
    }
    const bool goes_on = exchange->AppendBody({upload_data, *upload_size});
    *upload_size = 0;
    return goes_on ? MHD_YES : MHD_NO;
  }
  if (m_server_state->m_stopping && !exchange->m_dispatched) {
    return exchange->QueueError(503, "the server stops");
  }
  if (exchange->BodyIsDropped()) {
    return MHD_NO;  // Closes the connection.
  }
  if (exchange->BodyIsTooLarge() && !exchange->m_dispatched) {
    return exchange->QueueError(413, "the request body is too large");
  }
  if (exchange->BodyIsRefused() && !exchange->m_dispatched) {
    return exchange->QueueError(503, kNoMemory);
  }
  if (!exchange->m_dispatched) {
    exchange->m_dispatched = true;
    StopWaiting(ConnectionOf(connection));
    exchange->CompleteBody();
    m_handler(exchange);
  }
  return exchange->QueueOrSuspend();
}

void HttpServer::Impl::OnConnection(void* server,
                                    MHD_Connection* connection,
                                    void** context,
                                    MHD_ConnectionNotificationCode code) {
  auto* self = static_cast<Impl*>(server);
  if (code == MHD_CONNECTION_NOTIFY_STARTED) {
    auto started = std::make_unique<CallerConnection>();
    started->m_descriptor =
        MHD_get_connection_info(connection, MHD_CONNECTION_INFO_CONNECTION_FD)
            ->connect_fd;
    self->StartWaiting(started.get());
    *context = started.release();
    return;
  }
  const std::unique_ptr<CallerConnection> closed(
      static_cast<CallerConnection*>(std::exchange(*context, nullptr)));
  self->StopWaiting(closed.get());
  if (closed->m_closing) {
    --self->m_closing;
    // libmicrohttpd accepts others with its next run.
    self->m_server_state->m_needs_run = true;
  }
}

void HttpServer::Impl::StartWaiting(CallerConnection* connection) {
  if (!connection->m_waits && !connection->m_closing) {
    connection->m_waits = true;
    connection->m_position = m_waiting.insert(m_waiting.end(), connection);
  }
}

void HttpServer::Impl::StopWaiting(CallerConnection* connection) {
  if (std::exchange(connection->m_waits, false)) {
    m_waiting.erase(connection->m_position);
  }
}

void HttpServer::Impl::MakeRoom() {
  const int limit = m_server_state->m_options.m_connection_limit;
  pollfd listener{m_listen_descriptor, POLLIN, 0};
  if (m_listen_descriptor < 0 || Connections() - m_closing < limit ||
      poll(&listener, 1, 0) <= 0) {
    return;
  }
  int closed = 0;
  for (const int room = std::max(1, limit / kConnectionsPerRoom);
       closed < room && !m_waiting.empty(); ++closed) {
    CallerConnection* connection = m_waiting.front();
    StopWaiting(connection);
    connection->m_closing = true;
    // libmicrohttpd reads the end of the connection and closes it.
    shutdown(connection->m_descriptor, SHUT_RDWR);
  }
  m_closing += closed;
  Log(LogLevel::kWarning, "connections_closed",
      {{"reason", std::string("at the limit, without a whole request")},
       {"closed", static_cast<std::int64_t>(closed)},
       {"limit", static_cast<std::int64_t>(limit)}});
}

void HttpServer::Impl::OnCompleted(void* server,
                                   MHD_Connection* connection,
                                   void** state,
                                   MHD_RequestTerminationCode code) {
  if (*state == nullptr) {
    return;
  }
  const std::unique_ptr<RequestState> request(
      static_cast<RequestState*>(std::exchange(*state, nullptr)));
  const ExchangeHandle exchange = request->m_exchange;
  if (exchange == nullptr) {
    return;  // Ended before its header was complete.
  }
  auto* self = static_cast<Impl*>(server);
  self->m_exchanges.erase(exchange.get());
  CallerConnection* caller = ConnectionOf(connection);
  self->StopWaiting(caller);
  self->StartWaiting(caller);
  exchange->Detach(code == MHD_REQUEST_TERMINATED_COMPLETED_OK);
}

void HttpServer::Impl::Run() {
  for (int pass = 0; pass < kMaxRunPasses; ++pass) {
    m_server_state->m_needs_run = false;
    MHD_run(m_daemon);
    MHD_UNSIGNED_LONG_LONG timeout = 1;
    const bool more =
        MHD_get_timeout(m_daemon, &timeout) == MHD_YES && timeout == 0;
    if (!more && !m_server_state->m_needs_run) {
      MakeRoom();
      if (m_server_state->m_has_yielded) {
        m_next_run_timer->Start(Duration(0));
      }
      return;
    }
  }
  m_next_run_timer->Start(Duration(0));
}

void HttpServer::Impl::ResumeYielded() {
  if (!std::exchange(m_server_state->m_has_yielded, false)) {
    return;
  }
  for (MhdExchange* exchange : m_exchanges) {
    exchange->ResumeYielded();
  }
}

void HttpServer::Impl::CheckSuspended() {
  std::vector<pollfd> descriptors;
  std::vector<MhdExchange*> suspended;
  for (MhdExchange* exchange : m_exchanges) {
    if (exchange->Suspended()) {
      descriptors.push_back({exchange->Descriptor(), POLLRDHUP, 0});
      suspended.push_back(exchange);
    }
  }
  if (descriptors.empty() ||
      poll(descriptors.data(), descriptors.size(), 0) <= 0) {
    return;
  }
  std::vector<ExchangeHandle> disconnected;
  for (std::size_t index = 0; index < suspended.size(); ++index) {
    if ((descriptors[index].revents & (POLLRDHUP | POLLHUP | POLLERR)) != 0) {
      disconnected.push_back(suspended[index]->shared_from_this());
    }
  }
  for (const ExchangeHandle& exchange : disconnected) {
    exchange->ReportDisconnect();
    exchange->ResumeIfSuspended();
  }
}

void HttpServer::Impl::CheckWaiting() {
  std::vector<pollfd> descriptors;
  descriptors.reserve(m_waiting.size());
  for (const CallerConnection* connection : m_waiting) {
    descriptors.push_back({connection->m_descriptor, POLLRDHUP, 0});
  }
  if (poll(descriptors.data(), descriptors.size(), 0) <= 0) {
    return;
  }
  for (const pollfd& descriptor : descriptors) {
    if (descriptor.revents != 0) {
      // libmicrohttpd is told of new events only, and reads once for each: an
      // end that came together with bytes is left. This is another event; bytes
      // that are not read yet stay readable.
      shutdown(descriptor.fd, SHUT_RD);
    }
  }
}

HttpServer::HttpServer(struct ev_loop* loop,
                       const Endpoint& endpoint,
                       const HttpServerOptions& options,
                       HttpHandler handler)
    : m_impl(
          std::make_unique<Impl>(loop, endpoint, options, std::move(handler))) {
}

HttpServer::~HttpServer() = default;

void HttpServer::StopListening() {
  m_impl->StopListening();
}

void HttpServer::CloseAfterResponses() {
  m_impl->CloseAfterResponses();
}

std::size_t HttpServer::OpenRequests() const {
  return m_impl->OpenRequests();
}

int HttpServer::Connections() const {
  return m_impl->Connections();
}

int HttpServer::Port() const {
  return m_impl->Port();
}

}  // namespace nutmeghollow::net
