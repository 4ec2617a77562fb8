/// @file
/// Requests of routes that crash upstreams.
///
/// A request that was in progress at an upstream whose process went away is a
/// suspect. Crashes count only in sequence: a request that was sent before its
/// last crash was over counts none, so that copies that were in progress when
/// several upstreams were lost together are not accused. At the second crash
/// the request is refused for a while. One that is served is cleared.
///
/// Instances tell each other of crashes, see FleetDigest.
#pragma once

#include <cstddef>
#include <map>
#include <vector>

#include "nutmeghollow/requests.h"
#include "nutmeghollow/types.h"
#include "nutmeghollow/upstream_pool.h"

namespace nutmeghollow {

/// An upstream that went away while it ran a request.
struct CrashOfUpstream {
  UpstreamHash m_upstream;
  TimePoint m_sent_at{};     ///< When the request was sent to it.
  TimePoint m_crashed_at{};  ///< When its connection broke.
};

/// What is told about one request.
struct CrashReport {
  RequestDigest m_digest;
  std::vector<CrashOfUpstream> m_crashes;
  TimePoint m_cleared_at{};  ///< Crashes up to here do not count.
};

/// Settings of the suspects.
struct CrashSuspectsParameters {
  /// Crashes in sequence after which a request is refused: one may be chance,
  /// and each further one takes the work of many callers with it.
  int m_crash_limit = 2;
  /// How long a request is refused after its last crash. Then it may run once
  /// more; long enough that it takes down less than one upstream a minute.
  Duration m_refuse_for = std::chrono::seconds(60);
  /// Crashes are forgotten after this time.
  Duration m_expiry = std::chrono::minutes(10);
  /// Crashes of one upstream within this time are one crash, seen twice. An
  /// upstream needs some seconds to come back.
  Duration m_same_crash = std::chrono::milliseconds(1500);
  /// How long a report is repeated, since digests may be lost.
  Duration m_report_duration = std::chrono::seconds(3);
  /// Most requests kept; those that crashed longest ago go first.
  std::size_t m_limit = 1024;
};

/// The suspects that an instance knows.
class CrashSuspects {
 public:
  CrashSuspects() = default;
  explicit CrashSuspects(CrashSuspectsParameters parameters)
      : m_parameters(parameters) {}

  /// Notes that a request was in progress at an upstream that went away.
  /// @return true when the request is refused from now on and was not before.
  bool NoteCrash(RequestDigest digest,
                 const CrashOfUpstream& crash,
                 TimePoint now);
  /// Notes that a request was served: it is no suspect any more.
  void NoteServed(RequestDigest digest, TimePoint now);
  /// Takes over what another instance tells.
  void MergeReport(const CrashReport& report, TimePoint now);

  /// @return true when the request crashed an upstream lately.
  bool IsSuspect(RequestDigest digest, TimePoint now) const;
  /// @return how long the request is refused from now on; zero when it may
  /// run.
  Duration RefusedFor(RequestDigest digest, TimePoint now) const;

  /// @return what to tell now, newest first. @param most reports at most.
  std::vector<CrashReport> Reports(std::size_t most, TimePoint now) const;
  std::size_t size() const { return m_entries.size(); }

 private:
  struct Entry {
    std::vector<CrashOfUpstream> m_crashes;  ///< In order of their time.
    TimePoint m_cleared_at{};
    TimePoint m_changed_at{};
  };

  void Add(Entry& entry, const CrashOfUpstream& crash) const;
  int Count(const Entry& entry, TimePoint now) const;
  void Expire(TimePoint now);

  CrashSuspectsParameters m_parameters;
  std::map<RequestDigest, Entry> m_entries;
};

}  // namespace nutmeghollow
