#include "nutmeghollow/crash_suspects.h"

#include <algorithm>
#include <utility>

namespace nutmeghollow {
namespace {

/// How often suspects are checked for their expiry.
constexpr Duration kExpiryPeriod = std::chrono::seconds(1);
/// Maximum number of crashes of a suspect that are kept.
constexpr std::size_t kMaxCrashes = 32;
/// Share of the suspects that is evicted at once.
constexpr std::size_t kEvictedShare = 8;

}  // namespace

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
  if (crashes.size() > kMaxCrashes) {
    crashes.erase(crashes.begin());
  }
}

std::vector<CrashOfUpstream> CrashSuspects::CrashesInSequence(
    const Entry& entry,
    TimePoint now) const {
  std::vector<CrashOfUpstream> counted;
  for (const CrashOfUpstream& crash : entry.m_crashes) {
    const bool in_sequence =
        counted.empty() || crash.m_sent_at >= counted.back().m_crashed_at;
    if (in_sequence && now - crash.m_crashed_at < m_parameters.m_expiry) {
      counted.push_back(crash);
    }
  }
  return counted;
}

int CrashSuspects::CrashLimit(const Suspect& suspect,
                              const Entry& entry) const {
  if (suspect.m_kind == SuspectKind::kRequest) {
    return m_parameters.m_crash_limit;
  }
  return entry.m_cleared_at == TimePoint()
             ? m_parameters.m_part_crash_limit
             : m_parameters.m_served_part_crash_limit;
}

void CrashSuspects::DropClearedCrashes(const Suspect& suspect,
                                       Entry& entry) const {
  for (const auto* served : {&m_served_parts, &m_older_served_parts}) {
    const auto found = served->find(PartId(suspect.m_id));
    if (suspect.m_kind == SuspectKind::kPromptPart && found != served->end()) {
      entry.m_cleared_at = std::max(entry.m_cleared_at, found->second);
    }
  }
  std::erase_if(entry.m_crashes, [&entry](const CrashOfUpstream& crash) {
    return crash.m_crashed_at <= entry.m_cleared_at;
  });
}

void CrashSuspects::RememberServed(const Suspect& suspect, TimePoint now) {
  if (suspect.m_kind != SuspectKind::kPromptPart) {
    return;
  }
  if (m_served_parts.size() >= m_parameters.m_served_part_limit / 2) {
    m_older_served_parts = std::exchange(m_served_parts, {});
  }
  m_served_parts[PartId(suspect.m_id)] = now;
}

void CrashSuspects::Expire(TimePoint now) {
  if (now >= m_next_expiry_at) {
    m_next_expiry_at = now + kExpiryPeriod;
    std::erase_if(m_entries, [&](const auto& entry) {
      return now - entry.second.m_changed_at >= m_parameters.m_expiry;
    });
  }
  if (m_entries.size() > m_parameters.m_limit) {
    Evict(now);
  }
}

void CrashSuspects::Evict(TimePoint now) {
  struct Candidate {
    std::size_t m_crashes = 0;
    TimePoint m_changed_at;
    Suspect m_suspect;
    auto operator<=>(const Candidate&) const = default;
  };
  std::vector<Candidate> candidates;
  for (const auto& [suspect, entry] : m_entries) {
    candidates.push_back(
        {CrashesInSequence(entry, now).size(), entry.m_changed_at, suspect});
  }
  std::sort(candidates.begin(), candidates.end());
  // Several at once, so that not each new suspect needs a sort.
  candidates.resize(m_entries.size() - m_parameters.m_limit +
                    m_parameters.m_limit / kEvictedShare);
  for (const Candidate& candidate : candidates) {
    m_entries.erase(candidate.m_suspect);
  }
}

bool CrashSuspects::AddCrashes(const Suspect& suspect,
                               const std::vector<CrashOfUpstream>& crashes,
                               TimePoint now) {
  const bool before = RefusedFor(suspect, now) > Duration::zero();
  Entry& entry = m_entries[suspect];
  for (const CrashOfUpstream& crash : crashes) {
    AddCrash(entry, crash);
  }
  DropClearedCrashes(suspect, entry);
  return !before && RefusedFor(suspect, now) > Duration::zero();
}

bool CrashSuspects::NoteCrash(const Suspect& suspect,
                              const CrashOfUpstream& crash,
                              TimePoint now) {
  const bool newly_refused = AddCrashes(suspect, {crash}, now);
  m_entries[suspect].m_changed_at = now;
  Expire(now);
  return newly_refused;
}

void CrashSuspects::NoteServed(const Suspect& suspect, TimePoint now) {
  RememberServed(suspect, now);
  const auto found = m_entries.find(suspect);
  if (found == m_entries.end() || found->second.m_crashes.empty()) {
    return;
  }
  found->second.m_crashes.clear();
  found->second.m_cleared_at = now;
  found->second.m_changed_at = now;
}

bool CrashSuspects::MergeReport(const CrashReport& report, TimePoint now) {
  const Suspect& suspect = report.m_suspect;
  if (report.m_crashes.empty() && !m_entries.contains(suspect)) {
    return false;
  }
  Entry& entry = m_entries[suspect];
  const bool is_new = entry.m_changed_at == TimePoint();
  const std::size_t known = entry.m_crashes.size();
  entry.m_cleared_at = std::max(entry.m_cleared_at, report.m_cleared_at);
  const bool newly_refused = AddCrashes(suspect, report.m_crashes, now);
  if (is_new || entry.m_crashes.size() > known) {
    // Also forwarded, for instances that the sender does not reach.
    entry.m_changed_at = now;
  }
  Expire(now);
  return newly_refused;
}

bool CrashSuspects::IsSuspect(const Suspect& suspect, TimePoint now) const {
  const auto found = m_entries.find(suspect);
  return found != m_entries.end() &&
         !CrashesInSequence(found->second, now).empty();
}

Duration CrashSuspects::RefusedFor(const Suspect& suspect,
                                   TimePoint now) const {
  const auto found = m_entries.find(suspect);
  if (found == m_entries.end()) {
    return Duration::zero();
  }
  const Entry& entry = found->second;
  const auto counted = static_cast<int>(CrashesInSequence(entry, now).size());
  if (counted < CrashLimit(suspect, entry)) {
    return Duration::zero();
  }
  const TimePoint last = entry.m_crashes.back().m_crashed_at;
  return std::max(last + m_parameters.m_refusal_duration - now,
                  Duration::zero());
}

std::vector<CrashReport> CrashSuspects::Reports(std::size_t max_reports,
                                                TimePoint now) {
  struct DueReport {
    bool m_refused = false;
    TimePoint m_changed_at;
    Suspect m_suspect;
    auto operator<=>(const DueReport&) const = default;
  };
  const bool repeat_refusals =
      now - m_refusals_reported_at >= m_parameters.m_refusal_report_period;
  std::vector<DueReport> due;
  for (const auto& [suspect, entry] : m_entries) {
    const bool refused = RefusedFor(suspect, now) > Duration::zero();
    if (now - entry.m_changed_at < m_parameters.m_report_duration ||
        (refused && repeat_refusals)) {
      due.push_back({refused, entry.m_changed_at, suspect});
    }
  }
  if (repeat_refusals) {
    m_refusals_reported_at = now;
  }
  std::sort(due.rbegin(), due.rend());
  due.resize(std::min(max_reports, due.size()));
  std::vector<CrashReport> reports;
  for (const DueReport& report : due) {
    const Entry& entry = m_entries.at(report.m_suspect);
    reports.push_back(
        {report.m_suspect, CrashesInSequence(entry, now), entry.m_cleared_at});
  }
  return reports;
}

}  // namespace nutmeghollow
