#include "libnet/http_server.h"

#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <cerrno>
#include <cstring>
#include <unordered_map>
#include <utility>

#include "libnet/event_loop.h"
#include "libnet/http_connection.h"
#include "libnet/log.h"
#include "libnet/socket_address.h"

namespace nutmeghollow::net {

using detail::ConnectionQueue;
using detail::HttpConnection;
using detail::HttpServerState;

namespace {

/// Interval of the checks of connections that are idle or not read.
constexpr Duration kCheckInterval = std::chrono::milliseconds(250);
/// Consecutive rounds of scheduled connections before other watchers run.
constexpr int kMaxRounds = 8;
/// Connections that are accepted before other watchers run.
constexpr int kMaxAccepted = 64;
/// Connections that are accepted when listening ends. The system queues about a
/// thousand.
constexpr int kMaxAcceptedAtEnd = 4096;
/// At the limit, one connection in so many is closed at once, so that a crowd
/// that waits to be accepted takes few wake-ups of the event loop.
constexpr int kConnectionsPerRoom = 16;
constexpr std::size_t kReadBufferBytes = 32 << 10;

int PortOf(int descriptor) {
  SocketAddress bound;
  bound.m_size = sizeof(bound.m_storage);
  getsockname(descriptor, reinterpret_cast<sockaddr*>(&bound.m_storage),
              &bound.m_size);
  const std::string endpoint = FormatEndpoint(bound).str();
  return std::stoi(endpoint.substr(endpoint.rfind(':') + 1));
}

}  // namespace

class HttpServer::Impl {
 public:
  Impl(struct ev_loop* loop,
       const Endpoint& endpoint,
       const HttpServerOptions& options,
       HttpHandler handler);
  ~Impl();
  Impl(const Impl&) = delete;
  Impl& operator=(const Impl&) = delete;

  void StopListening();
  void CloseAfterResponses() { m_state.m_close_after_responses = true; }
  std::size_t OpenRequests() const { return m_state.m_open_requests; }
  int Connections() const { return m_open_connections; }
  int Port() const { return m_port; }
  std::int64_t MalformedRequests() const {
    return m_state.m_malformed_requests;
  }

 private:
  /// Accepts connections that wait, `most` at most.
  void Accept(int most);
  bool OthersWait() const;
  void PauseListening(const char* reason);
  void ResumeListening();
  /// At the limit of connections, closes those that have been without a whole
  /// request for longest.
  /// @return false if there are none.
  bool MakeRoom();
  /// Runs the scheduled connections, and destroys those that are closed.
  void RunScheduled();
  void ScheduleYielded();
  void CheckConnections();

  HttpServerState m_state;
  int m_listen_descriptor = -1;
  int m_port = 0;
  int m_open_connections = 0;
  std::unordered_map<HttpConnection*, std::unique_ptr<HttpConnection>>
      m_connections;
  std::unique_ptr<DescriptorWatcher> m_listen_watcher;
  bool m_listening_paused = false;
  std::unique_ptr<PrepareWatcher> m_prepare_watcher;
  std::unique_ptr<Timer> m_check_timer;
  std::unique_ptr<Timer> m_next_run_timer;
};

HttpServer::Impl::Impl(struct ev_loop* loop,
                       const Endpoint& endpoint,
                       const HttpServerOptions& options,
                       HttpHandler handler) {
  m_state.m_loop = loop;
  m_state.m_options = options;
  m_state.m_handler = std::move(handler);
  m_state.m_read_buffer.resize(kReadBufferBytes);
  m_state.m_on_close = [this] {
    --m_open_connections;
    ResumeListening();
  };
  m_listen_descriptor = BindSocket(endpoint, SOCK_STREAM);
  m_port = PortOf(m_listen_descriptor);
  m_listen_watcher = std::make_unique<DescriptorWatcher>(
      loop, m_listen_descriptor, EV_READ,
      [this](int) { Accept(kMaxAccepted); });
  m_prepare_watcher =
      std::make_unique<PrepareWatcher>(loop, [this] { RunScheduled(); });
  m_check_timer = std::make_unique<Timer>(loop, [this] { CheckConnections(); });
  m_check_timer->StartRepeating(kCheckInterval);
  m_next_run_timer =
      std::make_unique<Timer>(loop, [this] { ScheduleYielded(); });
}

HttpServer::Impl::~Impl() {
  m_state.m_stopping = true;
  for (const auto& [connection, owner] : m_connections) {
    connection->AbortUnfinished();
  }
  StopListening();
  // A response that is ready may take several writes.
  for (int round = 0; round < kMaxRounds; ++round) {
    for (const auto& [connection, owner] : m_connections) {
      connection->Continue();
      connection->Receive();
    }
  }
  m_state.m_on_close = [] {};
  m_connections.clear();
}

void HttpServer::Impl::StopListening() {
  if (m_listen_descriptor < 0) {
    return;
  }
  // Connections that the system has already established are accepted, because
  // their callers' connect calls have succeeded.
  Accept(kMaxAcceptedAtEnd);
  m_listen_watcher.reset();
  close(m_listen_descriptor);
  m_listen_descriptor = -1;
}

bool HttpServer::Impl::OthersWait() const {
  pollfd listener{m_listen_descriptor, POLLIN, 0};
  return poll(&listener, 1, 0) > 0;
}

void HttpServer::Impl::Accept(int most) {
  for (int accepted = 0; accepted < most; ++accepted) {
    if (m_open_connections >= m_state.m_options.m_connection_limit) {
      if (!OthersWait()) {
        return;
      }
      if (!MakeRoom()) {
        PauseListening("at the limit, all with a request");
        return;
      }
    }
    const int descriptor = accept4(m_listen_descriptor, nullptr, nullptr,
                                   SOCK_NONBLOCK | SOCK_CLOEXEC);
    if (descriptor < 0) {
      if (errno == EINTR || errno == ECONNABORTED) {
        continue;
      }
      if (errno != EAGAIN) {
        PauseListening(std::strerror(errno));
      }
      return;
    }
    ++m_open_connections;
    auto connection = std::make_unique<HttpConnection>(&m_state, descriptor);
    HttpConnection* key = connection.get();
    m_connections.emplace(key, std::move(connection));
  }
}

void HttpServer::Impl::PauseListening(const char* reason) {
  if (m_listening_paused) {
    return;
  }
  Log(LogLevel::kWarning, "accepting_paused",
      {{"reason", std::string(reason)},
       {"connections", static_cast<std::int64_t>(m_open_connections)}});
  m_listening_paused = true;
  m_listen_watcher->SetEvents(0);
}

void HttpServer::Impl::ResumeListening() {
  if (m_listen_watcher != nullptr && std::exchange(m_listening_paused, false)) {
    m_listen_watcher->SetEvents(EV_READ);
  }
}

bool HttpServer::Impl::MakeRoom() {
  const int limit = m_state.m_options.m_connection_limit;
  ConnectionQueue& waiting = m_state.m_without_request;
  int closed = 0;
  for (const int room = std::max(1, limit / kConnectionsPerRoom);
       closed < room && !waiting.empty(); ++closed) {
    waiting.front()->Close();
  }
  if (closed > 0) {
    Log(LogLevel::kWarning, "connections_closed",
        {{"reason", std::string("at the limit, without a whole request")},
         {"closed", static_cast<std::int64_t>(closed)},
         {"limit", static_cast<std::int64_t>(limit)}});
  }
  return closed > 0;
}

void HttpServer::Impl::RunScheduled() {
  for (int round = 0; round < kMaxRounds && !m_state.m_scheduled.empty();
       ++round) {
    for (HttpConnection* connection : std::exchange(m_state.m_scheduled, {})) {
      if (connection->Closed()) {
        m_connections.erase(connection);
      } else {
        connection->Continue();
      }
    }
  }
  if (!m_state.m_scheduled.empty() || !m_state.m_yielded.empty()) {
    m_next_run_timer->Start(Duration(0));
  }
}

void HttpServer::Impl::ScheduleYielded() {
  for (HttpConnection* connection : std::exchange(m_state.m_yielded, {})) {
    connection->Schedule();
  }
}

void HttpServer::Impl::CheckConnections() {
  const TimePoint now = BootTime();
  ConnectionQueue& draining = m_state.m_draining;
  while (!draining.empty() && draining.front()->CloseIfDrained(now)) {
  }
  ConnectionQueue& by_activity = m_state.m_by_activity;
  while (!by_activity.empty() && by_activity.front()->CloseIfIdle(now)) {
  }
  const ConnectionQueue not_reading = m_state.m_not_reading;
  for (HttpConnection* connection : not_reading) {
    if (connection->CallerHasLeft()) {
      connection->Close();
    }
  }
  ResumeListening();
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

std::int64_t HttpServer::MalformedRequests() const {
  return m_impl->MalformedRequests();
}

}  // namespace nutmeghollow::net
