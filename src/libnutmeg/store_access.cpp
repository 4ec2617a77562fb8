#include "nutmeghollow/store_access.h"

#include <algorithm>

namespace nutmeghollow {

Duration StoreAccess::Spacing(double draw) const {
  const Duration spacing =
      std::clamp(m_parameters.m_fleet_spacing * m_instances,
                 m_parameters.m_min_spacing, m_parameters.m_max_spacing);
  // From 75% to 125%.
  return std::chrono::duration_cast<Duration>(spacing * (0.75 + draw / 2));
}

void StoreAccess::NoteFailure(TimePoint now, double draw) {
  const bool first = !m_failed_at;
  m_failed_at = now;
  if (first) {
    m_next_call_at = now + Spacing(draw);
  }
}

bool StoreAccess::MayCall(TimePoint now, double draw) {
  if (!m_failed_at) {
    return true;
  }
  if (now < m_next_call_at) {
    return false;
  }
  m_next_call_at = now + Spacing(draw);
  return true;
}

}  // namespace nutmeghollow
