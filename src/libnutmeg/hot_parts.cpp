#include "nutmeghollow/hot_parts.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace nutmeghollow {

void HotPartTracker::Note(PartId chat, TimePoint now) {
  const Duration half = m_parameters.m_window / 2;
  if (now - m_half_started_at >= half) {
    const bool previous_is_recent = now - m_half_started_at < 2 * half;
    m_previous = previous_is_recent ? std::move(m_current) : Half();
    m_current = Half();
    m_half_started_at = now;
  }
  ++m_current.m_requests[chat];
  ++m_current.m_total;
}

int HotPartTracker::Count(PartId chat) const {
  const auto count = [chat](const Half& half) {
    const auto found = half.m_requests.find(chat);
    return found == half.m_requests.end() ? 0 : found->second;
  };
  return count(m_current) + count(m_previous);
}

double HotPartTracker::Rate(PartId chat, TimePoint now) const {
  const Duration half = m_parameters.m_window / 2;
  const Duration length = half + std::min(half, now - m_half_started_at);
  return Count(chat) / std::chrono::duration<double>(length).count();
}

std::size_t HotPartTracker::Spread(PartId chat, std::size_t engines) const {
  const int requests = Count(chat);
  const int total = m_current.m_total + m_previous.m_total;
  if (requests < m_parameters.m_min_requests) {
    return 1;
  }
  const double share = static_cast<double>(requests) / total;
  const auto spread = static_cast<std::size_t>(std::ceil(
      share * static_cast<double>(engines) / m_parameters.m_load_fraction));
  return std::clamp<std::size_t>(spread, 1, std::max<std::size_t>(engines, 1));
}

}  // namespace nutmeghollow
