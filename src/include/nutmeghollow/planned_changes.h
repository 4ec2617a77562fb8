/// @file
/// Planned changes: configuration objects that take effect at a set time.
///
/// A due change is committed as an operator command whose id is derived from
/// the plan, so that it takes effect once even if several instances submit it.
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
  /// Each further candidate waits this much longer before it submits a due
  /// change that is still pending.
  Duration m_takeover_delay = std::chrono::seconds(3);
  /// Number of instances that may submit a due change.
  int m_candidates = 3;
  Duration m_check_period = std::chrono::milliseconds(100);
};

/// State of planned changes.
struct PlannedChangeState {
  PlannedChangeParameters m_parameters;
  TimePoint m_next_check{};
  std::uint64_t m_generation = 0;  ///< Configuration that m_due was read from.
  std::map<std::string, WallTime> m_due;
  std::map<std::string, TimePoint> m_last_attempts;
};

/// Submits due planned changes as operator commands.
void RunPlannedChanges(World& world, TimePoint now);

}  // namespace nutmeghollow
