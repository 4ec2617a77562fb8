#include "nutmeghollow/crash_suspects.h"

#include <algorithm>
#include <utility>

namespace nutmeghollow {

void CrashSuspects::AddCrash(Entry& entry, const CrashOfUpstream& crash) const {
  auto& crashes = entry.m_crashes;
  const auto seen = std::find_if(
      crashes.begin(), crashes.end(), [&](const CrashOfUpstream& known) {
        const Duration apart = known.m_crashed_at - crash.m_crashed_at;
        return known.m_upstream == crash.m_upstream &&
               std::max(apart, -apart) < m_parameters.m_same_crash_window;
      });
  if (seen != crashes.end()) {
    // Times of a report are late by its network delay, so that the earliest
    // are the most accurate.
    seen->m_sent_at = std::min(seen->m_sent_at, crash.m_sent_at);
    seen->m_crashed_at = std::min(seen->m_crashed_at, crash.m_crashed_at);
    return;
  }
  if (crash.m_crashed_at <= entry.m_cleared_at) {
    return;
  }
  const auto place = std::find_if(
      crashes.begin(), crashes.end(), [&](const CrashOfUpstream& known) {
        return known.m_crashed_at > crash.m_crashed_at;
      });
  crashes.insert(place, crash);
}

int CrashSuspects::CountInSequence(const Entry& entry, TimePoint now) const {
  int count = 0;
  TimePoint last;
  for (const CrashOfUpstream& crash : entry.m_crashes) {
    const bool in_sequence = count == 0 || crash.m_sent_at >= last;
    if (in_sequence && now - crash.m_crashed_at < m_parameters.m_expiry) {
      ++count;
      last = crash.m_crashed_at;
    }
  }
  return count;
}

void CrashSuspects::Expire(TimePoint now) {
  std::erase_if(m_entries, [&](const auto& entry) {
    return now - entry.second.m_changed_at >= m_parameters.m_expiry;
  });
  while (m_entries.size() > m_parameters.m_limit) {
    m_entries.erase(std::min_element(
        m_entries.begin(), m_entries.end(), [](const auto& a, const auto& b) {
          return a.second.m_changed_at < b.second.m_changed_at;
        }));
  }
}

bool CrashSuspects::NoteCrash(RequestDigest digest,
                              const CrashOfUpstream& crash,
                              TimePoint now) {
  const bool before = RefusedFor(digest, now) > Duration::zero();
  Entry& entry = m_entries[digest];
  AddCrash(entry, crash);
  entry.m_changed_at = now;
  Expire(now);
  return !before && RefusedFor(digest, now) > Duration::zero();
}

void CrashSuspects::NoteServed(RequestDigest digest, TimePoint now) {
  const auto found = m_entries.find(digest);
  if (found == m_entries.end() || found->second.m_crashes.empty()) {
    return;
  }
  found->second.m_crashes.clear();
  found->second.m_cleared_at = now;
  found->second.m_changed_at = now;
}

void CrashSuspects::MergeReport(const CrashReport& report, TimePoint now) {
  const bool clears = report.m_cleared_at != TimePoint();
  if (report.m_crashes.empty() && !m_entries.contains(report.m_digest)) {
    return;
  }
  Entry& entry = m_entries[report.m_digest];
  const bool is_new = entry.m_changed_at == TimePoint();
  if (clears && report.m_cleared_at > entry.m_cleared_at) {
    entry.m_cleared_at = report.m_cleared_at;
    std::erase_if(entry.m_crashes, [&](const CrashOfUpstream& crash) {
      return crash.m_crashed_at <= entry.m_cleared_at;
    });
  }
  const std::size_t known = entry.m_crashes.size();
  for (const CrashOfUpstream& crash : report.m_crashes) {
    AddCrash(entry, crash);
  }
  if (is_new || entry.m_crashes.size() > known) {
    // Also forwarded, for instances that the sender does not reach.
    entry.m_changed_at = now;
  }
  Expire(now);
}

bool CrashSuspects::IsSuspect(RequestDigest digest, TimePoint now) const {
  const auto found = m_entries.find(digest);
  return found != m_entries.end() && CountInSequence(found->second, now) > 0;
}

Duration CrashSuspects::RefusedFor(RequestDigest digest, TimePoint now) const {
  const auto found = m_entries.find(digest);
  if (found == m_entries.end() ||
      CountInSequence(found->second, now) < m_parameters.m_crash_limit) {
    return Duration::zero();
  }
  const TimePoint last = found->second.m_crashes.back().m_crashed_at;
  return std::max(last + m_parameters.m_refusal_duration - now,
                  Duration::zero());
}

std::vector<CrashReport> CrashSuspects::Reports(std::size_t max_reports,
                                                TimePoint now) const {
  std::vector<std::pair<TimePoint, RequestDigest>> newest;
  for (const auto& [digest, entry] : m_entries) {
    if (now - entry.m_changed_at < m_parameters.m_report_duration) {
      newest.emplace_back(entry.m_changed_at, digest);
    }
  }
  std::sort(newest.rbegin(), newest.rend());
  newest.resize(std::min(max_reports, newest.size()));
  std::vector<CrashReport> reports;
  for (const auto& [changed_at, digest] : newest) {
    const Entry& entry = m_entries.at(digest);
    reports.push_back({digest, entry.m_crashes, entry.m_cleared_at});
  }
  return reports;
}

}  // namespace nutmeghollow
