/// @file
/// The daemon: the decision library, its adapters, and the loop that joins
/// them.
///
/// Adapters put records into the inboxes and ask for a tick. Before the loop
/// sleeps, one tick runs the systems, and the actions that come out are
/// carried out by the adapters.
#pragma once

#include <ev.h>

#include <memory>

#include "nutmegd/settings.h"

namespace nutmeghollow {

/// One running instance.
class Daemon {
 public:
  /// Opens all endpoints.
  /// @throws std::runtime_error when one cannot be listened on.
  Daemon(struct ev_loop* loop, const Settings& settings);
  ~Daemon();
  Daemon(const Daemon&) = delete;
  Daemon& operator=(const Daemon&) = delete;

  /// Runs until the planned stop has ended. @return the exit code.
  int Run();

 private:
  class Impl;
  std::unique_ptr<Impl> m_impl;
};

}  // namespace nutmeghollow
