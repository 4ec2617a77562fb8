/// @file
/// Graceful shutdown (drain) of this instance.
///
/// From the start of the drain the instance's own row is kLeaving, so that
/// membership announces it and entry lookups omit it. Callers that cached its
/// address are served for the keep time. The process exits when the keep time
/// has passed and every response is complete, at the drain limit, or on a
/// second signal.
#pragma once

#include <optional>

#include "nutmeghollow/types.h"

namespace nutmeghollow {

struct World;

/// Settings of the drain.
struct DrainParameters {
  /// Time for which callers may use an address from an entry lookup.
  Duration m_keep = std::chrono::seconds(5);
  /// Maximum duration of the drain.
  Duration m_limit = std::chrono::seconds(180);
  /// Maximum wait for the outcomes of completed requests to be recorded.
  Duration m_record_limit = std::chrono::seconds(20);
};

/// State of the drain.
struct DrainState {
  /// Set by the daemon when a second signal requests an immediate exit.
  bool m_stop_now = false;
  std::optional<TimePoint> m_started_at;
  std::optional<TimePoint> m_idle_since;  ///< Since when no request is open.
  bool m_exited = false;
};

/// Advances the drain by one tick. World::m_draining starts it.
void RunDrain(World& world, TimePoint now);

}  // namespace nutmeghollow
