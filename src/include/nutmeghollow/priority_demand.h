/// @file
/// Demand by urgency, and who is served when there is too little for all.
#pragma once

#include <map>

#include "nutmeghollow/types.h"

namespace nutmeghollow {

/// Counts the requests of each priority in a sliding window. Answers the load
/// of a service all of whose upstreams limit their request rate below the
/// demand.
class PriorityDemand {
 public:
  /// Counts a request. @param priority rank; 0 is the most urgent.
  void Note(int priority, TimePoint now);
  /// @param capacity requests per second that can be served.
  /// @return the share of the requests of a priority to try to serve, 0 to 1.
  /// All of the most urgent ones; of the others what these leave, but no
  /// priority gets less than a quarter of what it would without priorities.
  double ServedShare(int priority, double capacity, TimePoint now) const;

 private:
  double Rate(int priority, TimePoint now) const;

  std::map<int, int> m_current;
  std::map<int, int> m_previous;
  TimePoint m_started_at{};  ///< Of the current half of the window.
};

}  // namespace nutmeghollow
