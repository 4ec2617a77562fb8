/// @file
/// A server for tests that replies to each request with scripted raw bytes, or
/// not at all, and may then close or reset the connection.
#pragma once

#include <ev.h>
#include <sys/socket.h>
#include <unistd.h>

#include <cerrno>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <utility>
#include <vector>

#include "libnet/event_loop.h"
#include "libnet/socket_address.h"

namespace nutmeghollow::net {

/// Reply of a scripted server to one request.
struct ScriptedReply {
  enum class ConnectionAction {
    kKeep,
    kClose,
    kReset,
    kEndOutput,  ///< Nothing more is sent; the connection stays open.
    /// The output ends with the bytes; the connection closes after the delay.
    kEndOutputAndClose,
  };
  std::string m_bytes;  ///< Empty to send nothing.
  ConnectionAction m_connection_action = ConnectionAction::kKeep;
  Duration m_action_delay{};  ///< From the bytes to the action.
};

/// Listens on a port of 127.0.0.1.
class ScriptedServer {
 public:
  using Script = std::function<ScriptedReply(const std::string& request)>;

  ScriptedServer(struct ev_loop* loop, Script script)
      : m_loop(loop), m_script(std::move(script)) {
    m_listener = BindSocket(Endpoint("127.0.0.1:0"), SOCK_STREAM);
    m_accept = std::make_unique<DescriptorWatcher>(loop, m_listener, EV_READ,
                                                   [this](int) { Accept(); });
  }
  ~ScriptedServer() {
    Stop();
    m_connections.clear();
  }
  ScriptedServer(const ScriptedServer&) = delete;
  ScriptedServer& operator=(const ScriptedServer&) = delete;

  Endpoint Address() const {
    SocketAddress address;
    address.m_size = sizeof(address.m_storage);
    getsockname(m_listener, reinterpret_cast<sockaddr*>(&address.m_storage),
                &address.m_size);
    return FormatEndpoint(address);
  }

  /// Refuses connections from now on.
  void Stop() {
    m_accept.reset();
    if (m_listener >= 0) {
      close(std::exchange(m_listener, -1));
    }
  }
  /// Closes every connection.
  void CloseAll() { m_connections.clear(); }

  /// Replies as soon as the head of a request is complete and reads nothing
  /// more.
  /// @param receive_buffer bytes that the system accepts nevertheless, so that
  /// a longer upload stays unfinished; 0 for its default.
  void ReplyBeforeBody(int receive_buffer = 4096) {
    m_reply_before_body = true;
    if (receive_buffer > 0) {  // Connections inherit it.
      setsockopt(m_listener, SOL_SOCKET, SO_RCVBUF, &receive_buffer,
                 sizeof(receive_buffer));
    }
  }

  /// Raw text of the requests received so far.
  std::vector<std::string> m_requests;
  int m_accepted = 0;
  int m_closed_by_peer = 0;

 private:
  struct Connection {
    ~Connection() {
      m_watcher.reset();
      close(m_descriptor);
    }
    int m_descriptor = -1;
    std::string m_input;
    std::unique_ptr<Timer> m_action_timer;
    std::unique_ptr<DescriptorWatcher> m_watcher;
  };

  void Accept() {
    const int descriptor = accept4(m_listener, nullptr, nullptr, SOCK_NONBLOCK);
    if (descriptor < 0) {
      return;
    }
    const int id = ++m_accepted;
    auto connection = std::make_unique<Connection>();
    connection->m_descriptor = descriptor;
    connection->m_watcher = std::make_unique<DescriptorWatcher>(
        m_loop, descriptor, EV_READ, [this, id](int) { Read(id); });
    m_connections[id] = std::move(connection);
  }

  void Read(int id) {
    Connection& connection = *m_connections.at(id);
    char buffer[16384];
    const int size_limit = m_reply_before_body ? 1 : sizeof(buffer);
    const ssize_t count = recv(connection.m_descriptor, buffer, size_limit, 0);
    if (count < 0 && errno == EAGAIN) {
      return;
    }
    if (count <= 0) {
      ++m_closed_by_peer;
      m_connections.erase(id);
      return;
    }
    connection.m_input.append(buffer, static_cast<std::size_t>(count));
    const std::size_t size = m_reply_before_body
                                 ? HeadSize(connection.m_input)
                                 : RequestSize(connection.m_input);
    if (size == 0 || connection.m_input.size() < size) {
      return;
    }
    if (m_reply_before_body) {
      connection.m_watcher.reset();
    }
    m_requests.push_back(connection.m_input.substr(0, size));
    connection.m_input.erase(0, size);
    SendReply(id, m_script(m_requests.back()));
  }

  void SendReply(int id, const ScriptedReply& reply) {
    Connection& connection = *m_connections.at(id);
    std::string_view remaining = reply.m_bytes;
    const bool ends_output =
        reply.m_connection_action ==
        ScriptedReply::ConnectionAction::kEndOutputAndClose;
    // The end is sent in one segment with the last bytes.
    const int flags = MSG_NOSIGNAL | (ends_output ? MSG_MORE : 0);
    while (!remaining.empty()) {
      const ssize_t sent = send(connection.m_descriptor, remaining.data(),
                                remaining.size(), flags);
      if (sent <= 0) {
        break;  // The socket's buffer is full; the rest is dropped.
      }
      remaining.remove_prefix(static_cast<std::size_t>(sent));
    }
    if (ends_output) {
      shutdown(connection.m_descriptor, SHUT_WR);
    }
    if (reply.m_action_delay == Duration::zero()) {
      Act(id, reply.m_connection_action);
      return;
    }
    connection.m_action_timer = std::make_unique<Timer>(
        m_loop,
        [this, id, action = reply.m_connection_action] { Act(id, action); });
    connection.m_action_timer->Start(reply.m_action_delay);
  }

  void Act(int id, ScriptedReply::ConnectionAction action) {
    Connection& connection = *m_connections.at(id);
    if (action == ScriptedReply::ConnectionAction::kEndOutput) {
      shutdown(connection.m_descriptor, SHUT_WR);
      return;
    }
    if (action == ScriptedReply::ConnectionAction::kReset) {
      const linger reset{1, 0};
      setsockopt(connection.m_descriptor, SOL_SOCKET, SO_LINGER, &reset,
                 sizeof(reset));
    }
    if (action != ScriptedReply::ConnectionAction::kKeep) {
      m_connections.erase(id);
    }
  }

  /// @return the size of the first request's head in bytes; zero while it is
  /// incomplete.
  static std::size_t HeadSize(const std::string& input) {
    const auto end = input.find("\r\n\r\n");
    return end == std::string::npos ? 0 : end + 4;
  }

  /// @return the size of the first request in bytes; zero while its header is
  /// incomplete.
  static std::size_t RequestSize(const std::string& input) {
    const std::size_t head = HeadSize(input);
    std::size_t body = 0;
    const auto length = input.find("Content-Length: ");
    if (length < head) {
      body = std::stoul(input.substr(length + 16));
    }
    return head + body;
  }

  struct ev_loop* m_loop;
  Script m_script;
  bool m_reply_before_body = false;
  int m_listener = -1;
  std::unique_ptr<DescriptorWatcher> m_accept;
  std::map<int, std::unique_ptr<Connection>> m_connections;
};

}  // namespace nutmeghollow::net
