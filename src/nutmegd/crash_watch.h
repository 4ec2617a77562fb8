/// @file
/// Finds out which requests crash upstreams, for the routes of a gateway.
#pragma once

#include <ev.h>

#include <functional>

#include "libnet/connect_check.h"
#include "nutmeghollow/crash_suspects.h"
#include "nutmeghollow/metrics.h"

namespace nutmeghollow {

/// An attempt whose connection broke.
struct BrokenAttempt {
  RequestDigest m_digest;
  PublicRequestId m_request;
  UpstreamId m_upstream;
  Endpoint m_endpoint;
  TimePoint m_sent_at{};
};

/// Looks at upstreams whose connections broke. One at which nobody listens any
/// more crashed; one that accepts a connection, or does not answer, is not
/// held against the request.
class CrashWatch {
 public:
  /// @param on_crash called when a crash was noted, to tell other instances.
  CrashWatch(struct ev_loop* loop,
             MetricsRegistry* metrics,
             std::function<void()> on_crash);

  /// Looks at the upstream of a broken attempt. @param done is called when it
  /// is known, possibly before this returns.
  void Investigate(const BrokenAttempt& attempt, std::function<void()> done);

  CrashSuspects& Suspects() { return m_suspects; }

 private:
  void NoteCrash(const BrokenAttempt& attempt, TimePoint crashed_at);

  MetricsRegistry* m_metrics;
  std::function<void()> m_on_crash;
  net::ConnectChecker m_checker;
  CrashSuspects m_suspects;
};

}  // namespace nutmeghollow
