/// @file
/// Detects requests of a gateway's routes that crash upstreams.
#pragma once

#include <ev.h>

#include <functional>
#include <vector>

#include "libnet/connect_check.h"
#include "nutmeghollow/crash_suspects.h"
#include "nutmeghollow/metrics.h"

namespace nutmeghollow {

/// An attempt whose connection broke.
struct BrokenAttempt {
  RequestDigest m_digest;
  /// Parts of the prompt that other requests may have as well.
  std::vector<PartId> m_shared_parts;
  PublicRequestId m_request;
  UpstreamId m_upstream;
  Endpoint m_endpoint;
  TimePoint m_sent_at{};
};

/// Decides whether this instance is cut off from the upstreams, and calls the
/// function with the result, possibly before it returns.
using CutOffCheck = std::function<void(std::function<void(bool cut_off)>)>;

/// Checks upstreams whose connections broke. An upstream whose host refuses new
/// connections crashed, unless this instance is cut off from all upstreams. One
/// that accepts a connection, or does not respond in time, does not count
/// against the request.
class CrashDetector {
 public:
  /// @param metrics must outlive this object.
  /// @param on_crash called after a crash was recorded, to report it to other
  /// instances.
  CrashDetector(struct ev_loop* loop,
                MetricsRegistry* metrics,
                CutOffCheck is_cut_off,
                std::function<void()> on_crash);

  /// Checks the upstream of a broken attempt.
  /// @param done called when the result is known, possibly before this returns.
  void CheckForCrash(const BrokenAttempt& attempt, std::function<void()> done);

  /// Records what another instance reported.
  void MergeReport(const CrashReport& report);
  /// Records that a response was generated from a prompt with these parts.
  void NotePartsServed(const std::vector<PartId>& shared_parts);
  /// @return remaining time for which a request is refused, because of itself
  /// or of a part of its prompt; zero when it may run.
  Duration RefusedFor(const RequestDigest& digest,
                      const std::vector<PartId>& shared_parts) const;

  CrashSuspects& Suspects() { return m_suspects; }

 private:
  void HandleRefusal(const BrokenAttempt& attempt,
                     TimePoint broke_at,
                     const std::function<void()>& done);
  void RecordCrash(const BrokenAttempt& attempt, TimePoint crashed_at);
  /// Logs that requests with a part are refused from now on.
  void LogRefusal(const Suspect& suspect, const char* reason);

  MetricsRegistry* m_metrics;
  CutOffCheck m_is_cut_off;
  std::function<void()> m_on_crash;
  net::ConnectChecker m_checker;
  CrashSuspects m_suspects;
};

}  // namespace nutmeghollow
