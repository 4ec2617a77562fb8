/// @file
/// Planned stop of this instance.
///
/// From the start of the stop the own row is kLeaving, so that membership
/// announces it and look-ups leave it out. Callers who kept its address are
/// served for the keep time. The process ends when that has passed and every
/// answer is whole, or at the drain limit, or at a second signal.
#pragma once

#include <optional>

#include "nutmeghollow/types.h"

namespace nutmeghollow {

struct World;

/// Settings of the planned stop.
struct DrainParameters {
  /// Time for which callers may use an address that they were told.
  Duration m_keep = std::chrono::seconds(5);
  /// Longest planned stop.
  Duration m_limit = std::chrono::seconds(180);
  /// Longest wait for the outcomes of finished requests to be recorded.
  Duration m_record_limit = std::chrono::seconds(20);
};

/// State of the planned stop.
struct DrainState {
  /// Set by the daemon when a second signal asks for an immediate end.
  bool m_stop_now = false;
  std::optional<TimePoint> m_started_at;
  std::optional<TimePoint> m_idle_since;  ///< No request since then.
  bool m_exited = false;
};

/// Runs the planned stop once. World::m_draining starts it.
void RunDrain(World& world, TimePoint now);

}  // namespace nutmeghollow
