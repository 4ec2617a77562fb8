/// @file
/// Detects requests of routes, and parts of their prompts, that crash
/// upstreams.
///
/// A request that was in progress at an upstream whose process terminated is a
/// suspect, and so is each part of its prompt that other requests may have too:
/// such a part may crash every engine that begins to generate after it, with
/// requests of which no two are equal. Most parts of the requests that an
/// upstream takes down with it are sound; a request that is served clears its
/// own.
///
/// Crashes count only in sequence: a crash of an attempt that was sent before
/// the previous counted crash is ignored, so that copies of a request, or
/// requests with one part, that were in progress when several upstreams failed
/// together do not count as repeated crashes. Suspects with enough crashes are
/// refused for a limited time.
///
/// Instances exchange crash reports, see FleetDigest.
#pragma once

#include <compare>
#include <cstddef>
#include <map>
#include <vector>

#include "nutmeghollow/requests.h"
#include "nutmeghollow/types.h"
#include "nutmeghollow/upstream_pool.h"

namespace nutmeghollow {

/// What a crash may be due to.
enum class SuspectKind {
  kRequest,     ///< One request and its repetitions.
  kPromptPart,  ///< All requests with one part in their prompts.
};

/// Identifies a suspect in the fleet.
struct Suspect {
  SuspectKind m_kind = SuspectKind::kRequest;
  std::uint64_t m_id = 0;  ///< Value of the digest or of the part's id.

  auto operator<=>(const Suspect&) const = default;
};

inline Suspect SuspectOf(RequestDigest digest) {
  return {SuspectKind::kRequest, digest.value()};
}
inline Suspect SuspectOf(PartId part) {
  return {SuspectKind::kPromptPart, part.value()};
}

/// An upstream that terminated while it ran a request.
struct CrashOfUpstream {
  UpstreamHash m_upstream;
  TimePoint m_sent_at{};     ///< When the request was sent to it.
  TimePoint m_crashed_at{};  ///< When its connection broke.
};

/// What instances report to each other about one suspect.
struct CrashReport {
  Suspect m_suspect;
  std::vector<CrashOfUpstream> m_crashes;
  TimePoint m_cleared_at{};  ///< Crashes up to this time do not count.
};

/// Settings of the crash detection.
struct CrashSuspectsParameters {
  /// Crashes in sequence after which a request is refused. One may be a
  /// coincidence; each further one loses the work of many callers.
  int m_crash_limit = 2;
  /// As m_crash_limit, for a part of a prompt. Sound requests have parts in
  /// common with those that crash upstreams.
  int m_part_crash_limit = 3;
  /// As m_part_crash_limit, for a part of requests that were served before. Of
  /// two parts with the same crashes, the one that was never served is refused
  /// first, and the crashes end with it.
  int m_served_part_crash_limit = 5;
  /// How long a suspect is refused after its last crash, before it may run
  /// once more. Long enough that it crashes less than one upstream per minute.
  Duration m_refusal_duration = std::chrono::seconds(60);
  /// Crashes expire after this time.
  Duration m_expiry = std::chrono::minutes(10);
  /// Crashes of one upstream within this time are one crash, detected twice:
  /// an upstream needs some seconds to restart.
  Duration m_same_crash_window = std::chrono::milliseconds(1500);
  /// How long a report is repeated, since digests may be lost.
  Duration m_report_duration = std::chrono::seconds(3);
  /// How often a refused suspect is reported after that, for instances that
  /// started since.
  Duration m_refusal_report_period = std::chrono::seconds(1);
  /// Maximum number of suspects. Those with the fewest crashes are evicted
  /// first, and of these the least recently changed.
  std::size_t m_limit = 1024;
  /// Maximum number of parts that are known to have been served.
  std::size_t m_served_part_limit = 4096;
};

/// The suspects known to an instance.
class CrashSuspects {
 public:
  CrashSuspects() = default;
  explicit CrashSuspects(CrashSuspectsParameters parameters)
      : m_parameters(parameters) {}

  /// Records that a suspect was in progress at an upstream that terminated.
  /// @return true when it is refused from now on and was not before.
  bool NoteCrash(const Suspect& suspect,
                 const CrashOfUpstream& crash,
                 TimePoint now);
  /// Records that a request was served: it is no longer a suspect.
  void NoteServed(const Suspect& suspect, TimePoint now);
  /// Merges a report of another instance.
  /// @return true when the suspect is refused from now on and was not before.
  bool MergeReport(const CrashReport& report, TimePoint now);

  /// @return true when the suspect has an unexpired crash.
  bool IsSuspect(const Suspect& suspect, TimePoint now) const;
  /// @return remaining time for which requests with the suspect are refused;
  /// zero when they may run.
  Duration RefusedFor(const Suspect& suspect, TimePoint now) const;

  /// @param max_reports maximum number of reports.
  /// @return the reports that are due now: refused suspects first, then the
  /// most recently changed.
  std::vector<CrashReport> Reports(std::size_t max_reports, TimePoint now);
  std::size_t size() const { return m_entries.size(); }

 private:
  struct Entry {
    std::vector<CrashOfUpstream> m_crashes;  ///< Ordered by time.
    TimePoint m_cleared_at{};
    TimePoint m_changed_at{};
  };

  void AddCrash(Entry& entry, const CrashOfUpstream& crash) const;
  /// @return true when the suspect is refused from now on and was not before.
  bool AddCrashes(const Suspect& suspect,
                  const std::vector<CrashOfUpstream>& crashes,
                  TimePoint now);
  /// @return the crashes that count, ordered by time.
  std::vector<CrashOfUpstream> CrashesInSequence(const Entry& entry,
                                                 TimePoint now) const;
  int CrashLimit(const Suspect& suspect, const Entry& entry) const;
  /// Drops the crashes before a suspect was last served, here also if that was
  /// before it was a suspect.
  void DropClearedCrashes(const Suspect& suspect, Entry& entry) const;
  void RememberServed(const Suspect& suspect, TimePoint now);
  void Expire(TimePoint now);
  void Evict(TimePoint now);

  CrashSuspectsParameters m_parameters;
  std::map<Suspect, Entry> m_entries;
  /// When parts of prompts were last served. Of two generations; the older one
  /// is discarded when the newer one is full.
  std::map<PartId, TimePoint> m_served_parts;
  std::map<PartId, TimePoint> m_older_served_parts;
  TimePoint m_refusals_reported_at{};
  TimePoint m_next_expiry_at{};
};

}  // namespace nutmeghollow
