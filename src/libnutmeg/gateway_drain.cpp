#include "nutmeghollow/gateway_drain.h"

#include <algorithm>

namespace nutmeghollow {

GatewayDrain::GatewayDrain(TimePoint started_at,
                           const GatewayDrainParameters& parameters)
    : m_started_at(started_at),
      m_estimates_until(started_at + std::min(parameters.m_estimates_for,
                                              parameters.m_grace / 4)),
      m_requests_until(
          started_at + parameters.m_grace -
          std::min(parameters.m_request_margin, parameters.m_grace / 6)),
      m_exits_at(started_at + parameters.m_grace - parameters.m_exit_margin) {
  m_serves_until = std::min(
      started_at + parameters.m_entry_ttl * parameters.m_serve_ttl_factor +
          parameters.m_listen_margin,
      m_requests_until);
  m_listens_until = m_serves_until - parameters.m_listen_margin;
}

bool GatewayDrain::MayAccept(TimePoint now,
                             Duration time_left,
                             std::optional<Duration> estimate,
                             bool others_ready) const {
  if (now + time_left <= m_requests_until) {
    return true;
  }
  return !others_ready && now < m_estimates_until && estimate &&
         now + *estimate <= m_requests_until;
}

DrainStep GatewayDrain::Next(TimePoint now,
                             std::size_t open_requests,
                             std::size_t open_responses) const {
  if (now < m_listens_until) {
    return DrainStep::kServe;
  }
  if (now < m_serves_until) {
    return DrainStep::kStopListening;
  }
  const bool is_done = open_requests == 0 && open_responses == 0;
  if (is_done || now >= m_exits_at) {
    return DrainStep::kExit;
  }
  return now < m_requests_until ? DrainStep::kStopListening
                                : DrainStep::kEndRequests;
}

}  // namespace nutmeghollow
