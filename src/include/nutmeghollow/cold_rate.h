/// @file
/// Request rate of an upstream process that is cold: it has just started or has
/// lost its warm state, and falls over when it gets many more requests than it
/// tolerates.
///
/// After the end of the cold state the rate grows step by step, so that the
/// requests that were kept away do not arrive all at once.
#pragma once

#include <optional>

#include "nutmeghollow/types.h"

namespace nutmeghollow {

/// Tolerance of the upstreams of a service while they are cold.
struct ColdPolicy {
  /// Requests per second from all instances together; 0: no limit.
  double m_rate = 0;
  /// Duration of the cold state of a process that does not state its own.
  Duration m_duration{};
};

/// Settings of the growth after the cold state.
struct ColdRateParameters {
  /// The rate doubles with each step after the end of the cold state.
  Duration m_step = std::chrono::milliseconds(300);
  /// After these steps the process has eight times its cold rate, which is more
  /// than a warm one gets, and is no longer limited.
  int m_steps = 3;
  /// A longer remaining time is an error of the upstream and is not used:
  /// warming up takes seconds to minutes.
  Duration m_max_remaining = std::chrono::minutes(10);
};

/// Rate of one process.
class ColdRate {
 public:
  explicit ColdRate(ColdRateParameters parameters = {})
      : m_parameters(parameters) {}

  /// Records that the process stays cold for a time. The latest end that was
  /// stated holds, since a shorter statement may be an older one.
  /// @param rate requests per second that it tolerates.
  /// @return false when the time is not plausible; nothing changes then.
  bool Extend(double rate, Duration remaining, TimePoint now);
  /// @return true while the process is cold.
  bool IsCold(TimePoint now) const { return now < m_until; }
  /// @return requests per second that the process may get; unset: no limit.
  std::optional<double> RateAt(TimePoint now) const;
  /// @return the end of the cold state.
  TimePoint Until() const { return m_until; }

 private:
  ColdRateParameters m_parameters;
  double m_rate = 0;
  TimePoint m_until{};
};

}  // namespace nutmeghollow
