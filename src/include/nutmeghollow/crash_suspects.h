/// @file
/// Detects requests of routes that crash upstreams.
///
/// A request that was in progress at an upstream whose process terminated is a
/// suspect. Crashes count only in sequence: a crash of an attempt that was sent
/// before the previous counted crash is ignored, so that copies of a request
/// that were in progress when several upstreams failed together do not count
/// as repeated crashes. After the second crash the request is refused for a
/// limited time. A request that is served is cleared.
///
/// Instances exchange crash reports, see FleetDigest.
#pragma once

#include <cstddef>
#include <map>
#include <vector>

#include "nutmeghollow/requests.h"
#include "nutmeghollow/types.h"
#include "nutmeghollow/upstream_pool.h"

namespace nutmeghollow {

/// An upstream that terminated while it ran a request.
struct CrashOfUpstream {
  UpstreamHash m_upstream;
  TimePoint m_sent_at{};     ///< When the request was sent to it.
  TimePoint m_crashed_at{};  ///< When its connection broke.
};

/// What instances report to each other about one request.
struct CrashReport {
  RequestDigest m_digest;
  std::vector<CrashOfUpstream> m_crashes;
  TimePoint m_cleared_at{};  ///< Crashes up to this time do not count.
};

/// Settings of the crash detection.
struct CrashSuspectsParameters {
  /// Crashes in sequence after which a request is refused. One may be a
  /// coincidence; each further one loses the work of many callers.
  int m_crash_limit = 2;
  /// How long a request is refused after its last crash, before it may run
  /// once more. Long enough that it crashes less than one upstream per minute.
  Duration m_refusal_duration = std::chrono::seconds(60);
  /// Crashes expire after this time.
  Duration m_expiry = std::chrono::minutes(10);
  /// Crashes of one upstream within this time are one crash, detected twice:
  /// an upstream needs some seconds to restart.
  Duration m_same_crash_window = std::chrono::milliseconds(1500);
  /// How long a report is repeated, since digests may be lost.
  Duration m_report_duration = std::chrono::seconds(3);
  /// Maximum number of entries; the least recently changed are evicted first.
  std::size_t m_limit = 1024;
};

/// The suspects known to an instance.
class CrashSuspects {
 public:
  CrashSuspects() = default;
  explicit CrashSuspects(CrashSuspectsParameters parameters)
      : m_parameters(parameters) {}

  /// Records that a request was in progress at an upstream that terminated.
  /// @return true when the request is refused from now on and was not before.
  bool NoteCrash(RequestDigest digest,
                 const CrashOfUpstream& crash,
                 TimePoint now);
  /// Records that a request was served: it is no longer a suspect.
  void NoteServed(RequestDigest digest, TimePoint now);
  /// Merges a report of another instance.
  void MergeReport(const CrashReport& report, TimePoint now);

  /// @return true when the request has an unexpired crash.
  bool IsSuspect(RequestDigest digest, TimePoint now) const;
  /// @return remaining time for which the request is refused; zero when it may
  /// run.
  Duration RefusedFor(RequestDigest digest, TimePoint now) const;

  /// @param max_reports maximum number of reports.
  /// @return the reports that are due now, newest first.
  std::vector<CrashReport> Reports(std::size_t max_reports,
                                   TimePoint now) const;
  std::size_t size() const { return m_entries.size(); }

 private:
  struct Entry {
    std::vector<CrashOfUpstream> m_crashes;  ///< Ordered by time.
    TimePoint m_cleared_at{};
    TimePoint m_changed_at{};
  };

  void AddCrash(Entry& entry, const CrashOfUpstream& crash) const;
  int CountInSequence(const Entry& entry, TimePoint now) const;
  void Expire(TimePoint now);

  CrashSuspectsParameters m_parameters;
  std::map<RequestDigest, Entry> m_entries;
};

}  // namespace nutmeghollow
