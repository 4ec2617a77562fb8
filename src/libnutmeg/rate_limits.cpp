#include "nutmeghollow/rate_limits.h"

#include <algorithm>

namespace nutmeghollow {

std::optional<double> RateLimits::RateOf(const Entry& entry) {
  if (entry.m_rate && entry.m_cold_rate) {
    return std::min(*entry.m_rate, *entry.m_cold_rate);
  }
  return entry.m_rate ? entry.m_rate : entry.m_cold_rate;
}

Duration RateLimits::PermitLifetime(const Entry& entry) const {
  return entry.m_cold_rate ? std::min(m_parameters.m_permit_lifetime,
                                      m_parameters.m_cold_permit_lifetime)
                           : m_parameters.m_permit_lifetime;
}

bool RateLimits::NoteCold(const UpstreamProcess& process,
                          double rate,
                          Duration remaining,
                          TimePoint now) {
  Entry& entry = m_entries[process];
  const bool is_plausible = entry.m_cold.Extend(rate, remaining, now);
  entry.m_cold_rate = entry.m_cold.RateAt(now);
  return is_plausible;
}

bool RateLimits::IsCold(const UpstreamProcess& process, TimePoint now) const {
  const auto found = m_entries.find(process);
  return found != m_entries.end() && found->second.m_cold.IsCold(now);
}

std::size_t RateLimits::ColdProcesses(TimePoint now) const {
  return static_cast<std::size_t>(std::count_if(
      m_entries.begin(), m_entries.end(),
      [&](const auto& entry) { return entry.second.m_cold.IsCold(now); }));
}

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
    Entry ended;
    ended.m_stated_at = now;
    ended.m_cold = found->second.m_cold;
    ended.m_cold_rate = found->second.m_cold_rate;
    found->second = std::move(ended);
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
      Entry& entry = m_entries[stated.m_process];
      entry.m_rate = stated.m_rate;
      entry.m_stated_at = stated.m_stated_at;
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

void RateLimits::Update(TimePoint now) {
  for (auto& [process, entry] : m_entries) {
    entry.m_cold_rate = entry.m_cold.RateAt(now);
  }
  std::erase_if(m_entries, [&](const auto& entry) {
    return !entry.second.m_cold_rate &&
           now - entry.second.m_stated_at >= m_parameters.m_expiry;
  });
}

std::optional<double> RateLimits::RateOf(const UpstreamProcess& process) const {
  const auto found = m_entries.find(process);
  return found == m_entries.end() ? std::nullopt : RateOf(found->second);
}

bool RateLimits::AnyLimited() const {
  return std::any_of(m_entries.begin(), m_entries.end(), [](const auto& entry) {
    return RateOf(entry.second).has_value();
  });
}

void RateLimits::AddPermit(const UpstreamProcess& process, TimePoint now) {
  const auto found = m_entries.find(process);
  if (found == m_entries.end()) {
    return;
  }
  const auto add = [&](std::deque<TimePoint>* times, Duration lifetime) {
    while (!times->empty() && now - times->front() >= lifetime) {
      times->pop_front();
    }
    times->push_back(now);
  };
  add(&found->second.m_permits, PermitLifetime(found->second));
  add(&found->second.m_received, m_parameters.m_average_window);
}

void RateLimits::NoteExhausted(const UpstreamProcess& process,
                               TimePoint until) {
  const auto found = m_entries.find(process);
  if (found != m_entries.end()) {
    found->second.m_exhausted_until = until;
  }
}

bool RateLimits::MayRequestPermit(const UpstreamProcess& process,
                                  TimePoint now) const {
  const auto found = m_entries.find(process);
  return found == m_entries.end() || now >= found->second.m_exhausted_until;
}

double RateLimits::ReceivedRate(const UpstreamProcess& process,
                                TimePoint now) const {
  const auto found = m_entries.find(process);
  if (found == m_entries.end()) {
    return 0;
  }
  const Duration window = m_parameters.m_average_window;
  return static_cast<double>(
             CountAfter(found->second.m_received, now - window)) /
         std::chrono::duration<double>(window).count();
}

std::size_t RateLimits::CountAfter(const std::deque<TimePoint>& times,
                                   TimePoint oldest) {
  return static_cast<std::size_t>(
      times.end() - std::upper_bound(times.begin(), times.end(), oldest));
}

std::size_t RateLimits::RemoveUnused(const UpstreamProcess& process,
                                     TimePoint now) {
  const auto found = m_entries.find(process);
  if (found == m_entries.end()) {
    return 0;
  }
  std::deque<TimePoint>& permits = found->second.m_permits;
  std::size_t removed = 0;
  const Duration lifetime = PermitLifetime(found->second);
  for (; !permits.empty() && now - permits.front() >= lifetime; ++removed) {
    permits.pop_front();
  }
  return removed;
}

std::size_t RateLimits::Permits(const UpstreamProcess& process,
                                TimePoint now) const {
  const auto found = m_entries.find(process);
  return found == m_entries.end()
             ? 0
             : CountAfter(found->second.m_permits,
                          now - PermitLifetime(found->second));
}

bool RateLimits::MaySend(const UpstreamProcess& process, TimePoint now) const {
  const auto found = m_entries.find(process);
  return found == m_entries.end() || !RateOf(found->second) ||
         CountAfter(found->second.m_permits,
                    now - PermitLifetime(found->second)) > 0;
}

bool RateLimits::TakePermit(const UpstreamProcess& process, TimePoint now) {
  const auto found = m_entries.find(process);
  if (found == m_entries.end() ||
      CountAfter(found->second.m_permits,
                 now - PermitLifetime(found->second)) == 0) {
    return false;
  }
  // The oldest valid one, so that the others last.
  auto& permits = found->second.m_permits;
  permits.erase(std::upper_bound(permits.begin(), permits.end(),
                                 now - PermitLifetime(found->second)));
  return true;
}

}  // namespace nutmeghollow
