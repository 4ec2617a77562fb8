#include "nutmeghollow/rate_limits.h"

#include <algorithm>

namespace nutmeghollow {

bool RateLimits::NoteResponse(const UpstreamProcess& process,
                              std::optional<double> rate,
                              TimePoint sent_at,
                              TimePoint now) {
  const auto found = m_entries.find(process);
  if (!rate) {
    if (found == m_entries.end() || !found->second.m_rate ||
        sent_at <= found->second.m_stated_at) {
      return false;
    }
    found->second = Entry{std::nullopt, now, {}};
    return true;
  }
  Entry& entry = m_entries[process];
  const bool changed = entry.m_rate != rate;
  entry.m_rate = rate;
  entry.m_stated_at = now;
  return changed;
}

void RateLimits::Merge(const StatedRate& stated) {
  const auto found = m_entries.find(stated.m_process);
  if (found == m_entries.end()) {
    if (stated.m_rate) {
      m_entries[stated.m_process] = {stated.m_rate, stated.m_stated_at, {}};
    }
    return;
  }
  if (stated.m_stated_at > found->second.m_stated_at) {
    found->second.m_rate = stated.m_rate;
    found->second.m_stated_at = stated.m_stated_at;
  }
}

std::vector<StatedRate> RateLimits::ToReport(std::size_t limit, TimePoint now) {
  std::vector<StatedRate> report;
  auto entry = m_entries.upper_bound(m_last_reported);
  for (std::size_t seen = 0; seen < m_entries.size() && report.size() < limit;
       ++seen, ++entry) {
    if (entry == m_entries.end()) {
      entry = m_entries.begin();
    }
    if (now - entry->second.m_stated_at < m_parameters.m_report_duration) {
      report.push_back(
          {entry->first, entry->second.m_rate, entry->second.m_stated_at});
      m_last_reported = entry->first;
    }
  }
  return report;
}

void RateLimits::RemoveExpired(TimePoint now) {
  std::erase_if(m_entries, [&](const auto& entry) {
    return now - entry.second.m_stated_at >= m_parameters.m_expiry;
  });
}

bool RateLimits::IsLimited(const UpstreamProcess& process) const {
  const auto found = m_entries.find(process);
  return found != m_entries.end() && found->second.m_rate.has_value();
}

std::vector<StatedRate> RateLimits::Limited() const {
  std::vector<StatedRate> limited;
  for (const auto& [process, entry] : m_entries) {
    if (entry.m_rate) {
      limited.push_back({process, entry.m_rate, entry.m_stated_at});
    }
  }
  return limited;
}

bool RateLimits::AnyLimited() const {
  return std::any_of(
      m_entries.begin(), m_entries.end(),
      [](const auto& entry) { return entry.second.m_rate.has_value(); });
}

void RateLimits::AddPermits(const UpstreamProcess& process,
                            int count,
                            TimePoint now) {
  const auto found = m_entries.find(process);
  if (found == m_entries.end()) {
    return;
  }
  std::deque<TimePoint>& permits = found->second.m_permits;
  while (!permits.empty() &&
         now - permits.front() >= m_parameters.m_permit_lifetime) {
    permits.pop_front();
  }
  permits.insert(permits.end(), static_cast<std::size_t>(std::max(0, count)),
                 now);
}

std::size_t RateLimits::CountValid(const Entry& entry, TimePoint oldest) {
  return static_cast<std::size_t>(
      entry.m_permits.end() - std::upper_bound(entry.m_permits.begin(),
                                               entry.m_permits.end(), oldest));
}

bool RateLimits::MaySend(const UpstreamProcess& process, TimePoint now) const {
  const auto found = m_entries.find(process);
  return found == m_entries.end() || !found->second.m_rate ||
         CountValid(found->second, now - m_parameters.m_permit_lifetime) > 0;
}

bool RateLimits::TakePermit(const UpstreamProcess& process, TimePoint now) {
  const auto found = m_entries.find(process);
  if (found == m_entries.end() ||
      CountValid(found->second, now - m_parameters.m_permit_lifetime) == 0) {
    return false;
  }
  // The newest one, so that a use is as close as possible to its allocation.
  found->second.m_permits.pop_back();
  return true;
}

}  // namespace nutmeghollow
