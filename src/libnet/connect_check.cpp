#include "libnet/connect_check.h"

#include <sys/socket.h>
#include <unistd.h>

#include <boost/leaf/handle_errors.hpp>
#include <cerrno>
#include <utility>

#include "libnet/event_loop.h"
#include "libnet/socket_address.h"

namespace nutmeghollow::net {
namespace {

/// Starts to connect. @return zero or an errno; EINPROGRESS while connecting.
int StartConnect(int descriptor, const Endpoint& endpoint) {
  return boost::leaf::try_handle_all(
      [&]() -> boost::leaf::result<int> {
        BOOST_LEAF_AUTO(address, ParseEndpoint(endpoint));
        return connect(descriptor, address.Get(), address.m_size) == 0 ? 0
                                                                       : errno;
      },
      [] { return EINVAL; });
}

int PendingError(int descriptor) {
  int error = 0;
  socklen_t size = sizeof(error);
  return getsockopt(descriptor, SOL_SOCKET, SO_ERROR, &error, &size) == 0
             ? error
             : errno;
}

ConnectOutcome OutcomeOf(int error) {
  if (error == 0) {
    return ConnectOutcome::kAccepted;
  }
  const bool refused = error == ECONNREFUSED || error == ECONNRESET;
  return refused ? ConnectOutcome::kRefused : ConnectOutcome::kUnknown;
}

}  // namespace

struct ConnectChecker::Attempt {
  Attempt(struct ev_loop* loop, int family, std::function<void()> on_timeout)
      : m_descriptor(
            socket(family, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0)),
        m_timer(loop, std::move(on_timeout)) {}
  ~Attempt() {
    m_watcher.reset();
    if (m_descriptor >= 0) {
      close(m_descriptor);
    }
  }
  Attempt(const Attempt&) = delete;
  Attempt& operator=(const Attempt&) = delete;

  int m_descriptor;
  std::unique_ptr<DescriptorWatcher> m_watcher;
  Timer m_timer;
  std::function<void(ConnectOutcome)> m_callback;
};

ConnectChecker::ConnectChecker(struct ev_loop* loop) : m_loop(loop) {}

ConnectChecker::~ConnectChecker() = default;

void ConnectChecker::Check(const Endpoint& endpoint,
                           Duration timeout,
                           std::function<void(ConnectOutcome)> callback) {
  const std::uint64_t id = ++m_last_id;
  const bool is_ipv6 = endpoint.str().starts_with('[');
  auto attempt = std::make_unique<Attempt>(
      m_loop, is_ipv6 ? AF_INET6 : AF_INET,
      [this, id] { End(id, ConnectOutcome::kUnknown); });
  const int error = attempt->m_descriptor < 0
                        ? errno
                        : StartConnect(attempt->m_descriptor, endpoint);
  if (error != EINPROGRESS) {
    callback(OutcomeOf(error));
    return;
  }
  const int descriptor = attempt->m_descriptor;
  attempt->m_callback = std::move(callback);
  attempt->m_timer.Start(timeout);
  attempt->m_watcher = std::make_unique<DescriptorWatcher>(
      m_loop, descriptor, EV_WRITE, [this, id, descriptor](int /*events*/) {
        End(id, OutcomeOf(PendingError(descriptor)));
      });
  m_attempts[id] = std::move(attempt);
}

void ConnectChecker::End(std::uint64_t id, ConnectOutcome outcome) {
  // Destroyed on return, since its own watcher or timer called this function.
  const auto ended = m_attempts.extract(id);
  if (!ended.empty()) {
    ended.mapped()->m_callback(outcome);
  }
}

}  // namespace nutmeghollow::net
