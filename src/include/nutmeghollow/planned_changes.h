/// @file
/// Planned changes: configuration objects that take effect at a set time.
///
/// A due change is committed by the operator commands with a command id made
/// from the plan, so that it takes effect once however many instances try.
#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>

#include "nutmeghollow/types.h"

namespace nutmeghollow {

struct World;

/// Settings of planned changes.
struct PlannedChangeParameters {
  /// Each further instance waits this much longer before it carries out a due
  /// change that is still there.
  Duration m_takeover_delay = std::chrono::seconds(3);
  /// Instances that carry out due changes.
  int m_candidates = 3;
  Duration m_check_period = std::chrono::milliseconds(100);
};

/// State of planned changes.
struct PlannedChangeState {
  PlannedChangeParameters m_parameters;
  TimePoint m_next_check{};
  std::uint64_t m_generation = 0;  ///< Of the times below.
  std::map<std::string, WallTime> m_due;
  std::map<std::string, TimePoint> m_tried_at;
};

/// Hands due planned changes to the operator commands.
void RunPlannedChanges(World& world, TimePoint now);

}  // namespace nutmeghollow
