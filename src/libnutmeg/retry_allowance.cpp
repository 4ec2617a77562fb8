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

RetryUse RetryAllowance::UseOf(const ServiceId& service, TimePoint now) {
  Window& window = m_windows[service];
  Expire(window.m_requests, now);
  Expire(window.m_retries, now);
  const double allowed =
      m_parameters.m_used_fraction *
      (m_parameters.m_ratio * static_cast<double>(window.m_requests.size()) +
       m_parameters.m_slack / std::max(1, m_instances));
  return {window.m_requests.size(), window.m_retries.size(), allowed};
}

void RetryAllowance::Return(const ServiceId& service) {
  std::deque<TimePoint>& retries = m_windows[service].m_retries;
  if (!retries.empty()) {
    retries.pop_back();
  }
}

bool RetryAllowance::Take(const ServiceId& service, TimePoint now) {
  const RetryUse use = UseOf(service, now);
  if (static_cast<double>(use.m_retries) + 1 > use.m_allowed) {
    return false;
  }
  m_windows[service].m_retries.push_back(now);
  return true;
}

}  // namespace nutmeghollow
