#include "nutmeghollow/leaving_upstreams.h"

#include <algorithm>
#include <utility>

#include "nutmeghollow/hashing.h"

namespace nutmeghollow {

UpstreamHash HashOf(const UpstreamId& id) {
  return UpstreamHash(static_cast<std::uint32_t>(HashText(id.str())));
}

bool LeavingUpstreams::Add(const UpstreamProcess& process,
                           bool reportable,
                           TimePoint now) {
  if (!m_entries.emplace(process, Entry{now, reportable}).second) {
    return false;
  }
  std::erase_if(m_entries, [&](const auto& entry) {
    return now - entry.second.m_added_at >= m_parameters.m_expiry;
  });
  while (m_entries.size() > m_parameters.m_limit) {
    m_entries.erase(std::min_element(
        m_entries.begin(), m_entries.end(), [](const auto& a, const auto& b) {
          return a.second.m_added_at < b.second.m_added_at;
        }));
  }
  return true;
}

std::vector<UpstreamProcess> LeavingUpstreams::ToReport(std::size_t limit,
                                                        TimePoint now) const {
  std::vector<std::pair<TimePoint, UpstreamProcess>> newest;
  for (const auto& [process, entry] : m_entries) {
    if (entry.m_reportable &&
        now - entry.m_added_at < m_parameters.m_report_duration) {
      newest.emplace_back(entry.m_added_at, process);
    }
  }
  std::sort(newest.rbegin(), newest.rend());
  newest.resize(std::min(limit, newest.size()));
  std::vector<UpstreamProcess> processes;
  processes.reserve(newest.size());
  for (const auto& [added_at, process] : newest) {
    processes.push_back(process);
  }
  return processes;
}

}  // namespace nutmeghollow
