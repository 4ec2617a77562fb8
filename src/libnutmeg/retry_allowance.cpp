#include "nutmeghollow/retry_allowance.h"

#include <algorithm>

namespace nutmeghollow {

void RetryAllowance::Expire(std::deque<TimePoint>& times, TimePoint now) const {
  while (!times.empty() && now - times.front() > m_parameters.m_window) {
    times.pop_front();
  }
}

void RetryAllowance::NoteRequest(const ServiceId& service, TimePoint now) {
  Window& window = m_windows[service];
  Expire(window.m_requests, now);
  window.m_requests.push_back(now);
}

bool RetryAllowance::Take(const ServiceId& service, TimePoint now) {
  Window& window = m_windows[service];
  Expire(window.m_requests, now);
  Expire(window.m_retries, now);
  const double allowed =
      m_parameters.m_used_fraction *
      (m_parameters.m_ratio * static_cast<double>(window.m_requests.size()) +
       m_parameters.m_slack / std::max(1, m_instances));
  if (static_cast<double>(window.m_retries.size()) + 1 > allowed) {
    return false;
  }
  window.m_retries.push_back(now);
  return true;
}

}  // namespace nutmeghollow
