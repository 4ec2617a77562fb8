#include "nutmeghollow/priority_demand.h"

#include <algorithm>
#include <utility>

namespace nutmeghollow {
namespace {

constexpr Duration kHalfWindow = std::chrono::milliseconds(1000);
/// Least share of a priority, relative to the share that all would get alike.
constexpr double kMinRelativeShare = 0.25;

int CountOf(const std::map<int, int>& counts, int priority) {
  const auto found = counts.find(priority);
  return found == counts.end() ? 0 : found->second;
}

}  // namespace

void PriorityDemand::Note(int priority, TimePoint now) {
  if (now - m_started_at >= kHalfWindow) {
    const bool adjacent = now - m_started_at < 2 * kHalfWindow;
    m_previous = adjacent ? std::exchange(m_current, {}) : std::map<int, int>();
    m_current.clear();
    m_started_at = now;
  }
  ++m_current[priority];
}

double PriorityDemand::Rate(int priority, TimePoint now) const {
  const double part =
      std::clamp(std::chrono::duration<double>(now - m_started_at).count() /
                     std::chrono::duration<double>(kHalfWindow).count(),
                 0.0, 1.0);
  return CountOf(m_current, priority) +
         (1.0 - part) * CountOf(m_previous, priority);
}

double PriorityDemand::ServedShare(int priority,
                                   double capacity,
                                   TimePoint now) const {
  double more_urgent = 0;
  double total = 0;
  std::map<int, int> priorities = m_current;
  priorities.insert(m_previous.begin(), m_previous.end());
  for (const auto& [other, count] : priorities) {
    const double rate = Rate(other, now);
    total += rate;
    more_urgent += other < priority ? rate : 0;
  }
  const double own = Rate(priority, now);
  // The most urgent are not held back: what they cannot use is known only when
  // they try.
  if (own <= 0 || more_urgent <= 0 || total <= capacity) {
    return 1.0;
  }
  const double least = kMinRelativeShare * capacity / total;
  return std::clamp((capacity - more_urgent) / own, least, 1.0);
}

}  // namespace nutmeghollow
