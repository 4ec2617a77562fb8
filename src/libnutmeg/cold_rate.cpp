#include "nutmeghollow/cold_rate.h"

#include <algorithm>

namespace nutmeghollow {

bool ColdRate::Extend(double rate, Duration remaining, TimePoint now) {
  if (remaining > m_parameters.m_max_remaining) {
    return false;
  }
  m_rate = rate;
  m_until = std::max(m_until, now + remaining);
  return true;
}

std::optional<double> ColdRate::RateAt(TimePoint now) const {
  if (m_until == TimePoint() || m_rate <= 0) {
    return std::nullopt;
  }
  if (now < m_until) {
    return m_rate;
  }
  const auto steps = (now - m_until) / m_parameters.m_step + 1;
  if (steps > m_parameters.m_steps) {
    return std::nullopt;
  }
  return m_rate * static_cast<double>(1 << steps);
}

}  // namespace nutmeghollow
