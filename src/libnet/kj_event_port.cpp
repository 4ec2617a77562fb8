#include "libnet/kj_event_port.h"

namespace nutmeghollow::net {
namespace {

/// KJ events run in one iteration of the libev loop, so that requests of
/// callers are not delayed.
constexpr kj::uint kMaxEventsPerIteration = 256;

}  // namespace

KjEventPort::KjEventPort(struct ev_loop* loop) : m_loop(loop) {
  ev_idle_init(&m_idle, OnIdle);
  // An idle watcher of the highest priority runs in every iteration, even while
  // other watchers have events.
  ev_set_priority(&m_idle, EV_MAXPRI);
  m_idle.data = this;
}

KjEventPort::~KjEventPort() noexcept(false) {
  ev_idle_stop(m_loop, &m_idle);
}

bool KjEventPort::wait() {
  ev_run(m_loop, EVRUN_ONCE);
  return false;
}

bool KjEventPort::poll() {
  ev_run(m_loop, EVRUN_NOWAIT);
  return false;
}

void KjEventPort::setRunnable(bool runnable) {
  if (runnable) {
    ev_idle_start(m_loop, &m_idle);
  } else {
    ev_idle_stop(m_loop, &m_idle);
  }
}

void KjEventPort::OnIdle(struct ev_loop* /*loop*/,
                         ev_idle* watcher,
                         int /*events*/) {
  auto* port = static_cast<KjEventPort*>(watcher->data);
  if (port->m_kj_loop != nullptr) {
    port->m_kj_loop->run(kMaxEventsPerIteration);
  }
}

KjLoop::KjLoop(struct ev_loop* loop)
    : m_loop(loop), m_port(loop), m_kj_loop(m_port), m_scope(m_kj_loop) {
  m_port.Attach(&m_kj_loop);
}

KjLoop::~KjLoop() noexcept = default;

}  // namespace nutmeghollow::net
