// TCP links of the fault proxy.
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <array>
#include <cerrno>
#include <deque>
#include <list>

#include "standins/proxy.h"

namespace nutmeghollow::standins {
namespace {

constexpr std::size_t kReadBufferSize = 64 << 10;
constexpr std::size_t kMaxBufferedBytes = 1 << 20;

/// Bytes to forward at m_due.
struct DelayedBytes {
  TimePoint m_due;
  std::string m_bytes;
};

/// One direction of a forwarded connection.
struct Flow {
  const Socket* m_from = nullptr;
  const Socket* m_to = nullptr;
  std::deque<DelayedBytes> m_delayed;
  std::size_t m_buffered_bytes = 0;
  bool m_read_ended = false;     ///< m_from reached the end of its data.
  bool m_write_ended = false;    ///< m_to is shut down for writing.
  bool m_write_blocked = false;  ///< m_to has to become writable first.
};

/// One forwarded connection.
class Connection {
 public:
  Connection(struct ev_loop* loop,
             Socket caller,
             Socket target,
             std::string source,
             LinkFaults* faults,
             std::function<void(Connection*)> on_closed)
      : m_loop(loop),
        m_caller(std::move(caller)),
        m_target(std::move(target)),
        m_source(std::move(source)),
        m_faults(faults),
        m_on_closed(std::move(on_closed)),
        m_timer(loop, [this] { Advance(); }),
        m_caller_watcher(loop,
                         m_caller.Descriptor(),
                         EV_READ,
                         [this](int events) { OnReady(true, events); }),
        m_target_watcher(loop,
                         m_target.Descriptor(),
                         EV_READ,
                         [this](int events) { OnReady(false, events); }) {
    m_request.m_from = &m_caller;
    m_request.m_to = &m_target;
    m_response.m_from = &m_target;
    m_response.m_to = &m_caller;
    m_request.m_write_blocked = true;  // Until connect() completes.
    UpdateWatchers();
  }

  const std::string& Source() const { return m_source; }

  /// Stops forwarding without closing either socket.
  void Stall() {
    m_stalled = true;
    m_timer.Stop();
    UpdateWatchers();
  }

  /// Makes the closing of both sockets send RST.
  void Reset() const {
    m_caller.ResetOnClose();
    m_target.ResetOnClose();
  }

 private:
  void OnReady(bool is_caller, int events) {
    Flow& incoming = is_caller ? m_request : m_response;
    Flow& outgoing = is_caller ? m_response : m_request;
    if ((events & EV_WRITE) != 0) {
      outgoing.m_write_blocked = false;
    }
    if ((events & EV_READ) != 0 && !Read(incoming)) {
      Close(true);
      return;
    }
    Advance();
  }

  /// @return false when the connection failed.
  bool Read(Flow& flow) {
    std::array<char, kReadBufferSize> buffer;
    const auto count =
        recv(flow.m_from->Descriptor(), buffer.data(), buffer.size(), 0);
    if (count < 0) {
      return errno == EAGAIN || errno == EINTR;
    }
    if (count == 0) {
      flow.m_read_ended = true;
      return true;
    }
    flow.m_delayed.push_back({net::BootTime() + m_faults->m_delay,
                              std::string(buffer.data(), count)});
    flow.m_buffered_bytes += count;
    return true;
  }

  void Advance() {
    if (m_stalled) {
      return;
    }
    if (!Write(m_request) || !Write(m_response)) {
      Close(true);
      return;
    }
    if (m_request.m_write_ended && m_response.m_write_ended) {
      Close(false);
      return;
    }
    ScheduleNext();
    UpdateWatchers();
  }

  /// @return false when the connection failed or must be reset by a fault.
  bool Write(Flow& flow) {
    const TimePoint now = net::BootTime();
    while (!flow.m_delayed.empty() && !flow.m_write_blocked &&
           flow.m_delayed.front().m_due <= now) {
      std::string& bytes = flow.m_delayed.front().m_bytes;
      const auto count = send(flow.m_to->Descriptor(), bytes.data(),
                              bytes.size(), MSG_NOSIGNAL);
      if (count < 0 && errno != EAGAIN) {
        return false;
      }
      if (count < 0) {
        flow.m_write_blocked = true;
        break;
      }
      flow.m_buffered_bytes -= count;
      if (static_cast<std::size_t>(count) == bytes.size()) {
        flow.m_delayed.pop_front();
      } else {
        bytes.erase(0, count);
      }
      if (&flow == &m_response && ReachesCut(count)) {
        return false;
      }
    }
    if (flow.m_read_ended && flow.m_delayed.empty() && !flow.m_write_ended &&
        !flow.m_write_blocked) {
      flow.m_write_ended = true;
      shutdown(flow.m_to->Descriptor(), SHUT_WR);
    }
    return true;
  }

  /// Counts forwarded response bytes.
  /// @return true when the connection must be reset now.
  bool ReachesCut(std::int64_t count) {
    m_response_bytes += count;
    if (m_faults->m_cut_count > 0 &&
        m_response_bytes >= m_faults->m_cut_after) {
      --m_faults->m_cut_count;
      return true;
    }
    return false;
  }

  void ScheduleNext() {
    const TimePoint now = net::BootTime();
    TimePoint next = TimePoint::max();
    for (const Flow* flow : {&m_request, &m_response}) {
      if (!flow->m_delayed.empty() && !flow->m_write_blocked) {
        next = std::min(next, flow->m_delayed.front().m_due);
      }
    }
    if (next != TimePoint::max()) {
      m_timer.Start(std::max(next - now, Duration(1)));
    }
  }

  static int WatchedEvents(const Flow& incoming, const Flow& outgoing) {
    int events = 0;
    if (!incoming.m_read_ended &&
        incoming.m_buffered_bytes < kMaxBufferedBytes) {
      events |= EV_READ;
    }
    if (outgoing.m_write_blocked) {
      events |= EV_WRITE;
    }
    return events;
  }

  void UpdateWatchers() {
    SetEvents(m_caller_watcher, m_caller_events,
              m_stalled ? 0 : WatchedEvents(m_request, m_response));
    SetEvents(m_target_watcher, m_target_events,
              m_stalled ? 0 : WatchedEvents(m_response, m_request));
  }

  static void SetEvents(net::DescriptorWatcher& watcher,
                        int& current,
                        int events) {
    if (events != current) {
      current = events;
      watcher.SetEvents(events);
    }
  }

  void Close(bool reset) {
    if (reset) {
      Reset();
    }
    m_on_closed(this);
  }

  struct ev_loop* m_loop;
  Socket m_caller;
  Socket m_target;
  std::string m_source;
  LinkFaults* m_faults;
  std::function<void(Connection*)> m_on_closed;
  Flow m_request;
  Flow m_response;
  std::int64_t m_response_bytes = 0;
  bool m_stalled = false;
  net::Timer m_timer;
  int m_caller_events = EV_READ;
  int m_target_events = EV_READ;
  net::DescriptorWatcher m_caller_watcher;
  net::DescriptorWatcher m_target_watcher;
};

class TcpLink : public Link {
 public:
  TcpLink(struct ev_loop* loop, const Endpoint& listen, const Endpoint& target)
      : m_loop(loop),
        m_target(SocketAddress(target)),
        m_listener(OpenListener(listen, SOCK_STREAM)),
        m_watcher(loop,
                  m_listener.Descriptor(),
                  EV_READ,
                  [this](int) { Accept(); }),
        m_removal_timer(loop, [this] { m_closed_connections.clear(); }) {}

  nlohmann::json Stats() const override {
    return {{"kind", "tcp"},
            {"accepted", m_accepted},
            {"open", m_connections.size()}};
  }

 protected:
  void StallConnections(const std::string& source) override {
    for (const auto& connection : m_connections) {
      if (source.empty() || connection->Source() == source) {
        connection->Stall();
      }
    }
  }

  void ResetConnections(const std::string& source) override {
    m_connections.remove_if([&](const auto& connection) {
      const bool matches = source.empty() || connection->Source() == source;
      if (matches) {
        connection->Reset();
      }
      return matches;
    });
  }

 private:
  void Accept() {
    sockaddr_in address{};
    socklen_t length = sizeof(address);
    Socket caller(accept4(m_listener.Descriptor(),
                          reinterpret_cast<sockaddr*>(&address), &length,
                          SOCK_NONBLOCK | SOCK_CLOEXEC));
    if (!caller.Valid()) {
      return;
    }
    ++m_accepted;
    const std::string source = AddressText(address);
    LinkFaults& faults = Faults(source);
    Socket target =
        faults.m_refuse ? Socket() : OpenConnection(m_target, SOCK_STREAM);
    if (!target.Valid()) {
      caller.ResetOnClose();
      return;
    }
    m_connections.push_back(std::make_unique<Connection>(
        m_loop, std::move(caller), std::move(target), source, &faults,
        [this](Connection* closed) { Remove(closed); }));
    if (faults.m_blocked) {
      m_connections.back()->Stall();
    }
  }

  /// Defers the destruction, because the connection itself calls this.
  void Remove(Connection* closed) {
    auto found = std::find_if(
        m_connections.begin(), m_connections.end(),
        [closed](const auto& entry) { return entry.get() == closed; });
    if (found != m_connections.end()) {
      closed->Stall();
      m_closed_connections.splice(m_closed_connections.end(), m_connections,
                                  found);
      m_removal_timer.Start(Duration(1));
    }
  }

  struct ev_loop* m_loop;
  sockaddr_in m_target;
  Socket m_listener;
  net::DescriptorWatcher m_watcher;
  std::list<std::unique_ptr<Connection>> m_connections;
  std::list<std::unique_ptr<Connection>> m_closed_connections;
  net::Timer m_removal_timer;
  std::int64_t m_accepted = 0;
};

}  // namespace

std::unique_ptr<Link> MakeTcpLink(struct ev_loop* loop,
                                  const Endpoint& listen,
                                  const Endpoint& target) {
  return std::make_unique<TcpLink>(loop, listen, target);
}

}  // namespace nutmeghollow::standins
