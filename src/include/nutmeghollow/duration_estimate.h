/// @file
/// Estimates how long a request takes at most.
#pragma once

#include <optional>

#include "nutmeghollow/types.h"

namespace nutmeghollow {

/// Moving averages of durations and of their deviation.
class DurationEstimate {
 public:
  /// Records the duration of a request that was served.
  void Note(Duration duration);
  /// @return a duration that few requests exceed; nothing before the first one.
  std::optional<Duration> UpperBound() const;

 private:
  std::optional<double> m_mean_us;
  double m_deviation_us = 0;
};

}  // namespace nutmeghollow
