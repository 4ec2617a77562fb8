/// @file
/// Runs KJ promises, on which Cap'n Proto RPC is based, on a libev loop.
#pragma once

#include <ev.h>
#include <kj/async.h>

namespace nutmeghollow::net {

/// Runs the KJ loop from an idle watcher of libev while KJ has events. The
/// libev loop drives the thread; no KJ code blocks.
class KjEventPort final : public kj::EventPort {
 public:
  explicit KjEventPort(struct ev_loop* loop);
  ~KjEventPort() noexcept(false);
  KjEventPort(const KjEventPort&) = delete;
  KjEventPort& operator=(const KjEventPort&) = delete;

  /// Sets the KJ loop to run.
  void Attach(kj::EventLoop* kj_loop) { m_kj_loop = kj_loop; }

  bool wait() override;
  bool poll() override;
  void setRunnable(bool runnable) override;

 private:
  static void OnIdle(struct ev_loop* loop, ev_idle* watcher, int events);

  struct ev_loop* m_loop;
  kj::EventLoop* m_kj_loop = nullptr;
  ev_idle m_idle{};
};

/// The KJ loop of a thread. At most one may exist per thread, and it must
/// outlive all promises.
class KjLoop {
 public:
  explicit KjLoop(struct ev_loop* loop);
  ~KjLoop() noexcept;
  KjLoop(const KjLoop&) = delete;
  KjLoop& operator=(const KjLoop&) = delete;

  /// @return the underlying libev loop.
  struct ev_loop* Loop() const {
    return m_loop;
  }

 private:
  struct ev_loop* m_loop;
  KjEventPort m_port;
  kj::EventLoop m_kj_loop;
  kj::WaitScope m_scope;
};

}  // namespace nutmeghollow::net
