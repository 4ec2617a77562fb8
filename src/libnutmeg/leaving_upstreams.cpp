#include "nutmeghollow/leaving_upstreams.h"

#include <algorithm>
#include <utility>

#include "nutmeghollow/hashing.h"

namespace nutmeghollow {

UpstreamHash HashOf(const UpstreamId& id) {
  return UpstreamHash(static_cast<std::uint32_t>(HashText(id.str())));
}

bool LeavingUpstreams::Note(const UpstreamProcess& process, TimePoint now) {
  if (!m_noted_at.emplace(process, now).second) {
    return false;
  }
  std::erase_if(m_noted_at, [&](const auto& entry) {
    return now - entry.second >= m_parameters.m_expiry;
  });
  while (m_noted_at.size() > m_parameters.m_limit) {
    m_noted_at.erase(std::min_element(
        m_noted_at.begin(), m_noted_at.end(),
        [](const auto& a, const auto& b) { return a.second < b.second; }));
  }
  return true;
}

std::vector<UpstreamProcess> LeavingUpstreams::News(std::size_t most,
                                                    TimePoint now) const {
  std::vector<std::pair<TimePoint, UpstreamProcess>> newest;
  for (const auto& [process, noted_at] : m_noted_at) {
    if (now - noted_at < m_parameters.m_tell_for) {
      newest.emplace_back(noted_at, process);
    }
  }
  std::sort(newest.rbegin(), newest.rend());
  newest.resize(std::min(most, newest.size()));
  std::vector<UpstreamProcess> news;
  news.reserve(newest.size());
  for (const auto& [noted_at, process] : newest) {
    news.push_back(process);
  }
  return news;
}

}  // namespace nutmeghollow
