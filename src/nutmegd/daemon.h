/// @file
/// The daemon: connects the decision library to its network adapters in one
/// event loop.
///
/// Adapters append records to the inboxes and schedule a tick. Before the loop
/// sleeps, a tick runs the systems, and the adapters execute the resulting
/// actions.
#pragma once

#include <ev.h>

#include <memory>

#include "nutmegd/settings.h"

namespace nutmeghollow {

/// One running instance.
class Daemon {
 public:
  /// Starts to listen on all endpoints.
  /// @throws std::runtime_error when the daemon cannot listen on one of them.
  Daemon(struct ev_loop* loop, const Settings& settings);
  ~Daemon();
  Daemon(const Daemon&) = delete;
  Daemon& operator=(const Daemon&) = delete;

  /// Runs until the drain has ended. @return the exit code of the process.
  int Run();

 private:
  class Impl;
  std::unique_ptr<Impl> m_impl;
};

}  // namespace nutmeghollow
