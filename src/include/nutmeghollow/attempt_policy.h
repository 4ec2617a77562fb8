/// @file
/// Decides what to do after a failed attempt at an upstream.
#pragma once

#include "nutmeghollow/routing.h"
#include "nutmeghollow/types.h"

namespace nutmeghollow {

/// Why an attempt did not serve the request.
enum class AttemptFailure {
  kUnreachable,    ///< No connection: not run.
  kRefused,        ///< The upstream reports that it did not run the request.
  kWrongUpstream,  ///< Another upstream listens at the address: not run.
  kBroken,         ///< Sent; connection lost or response malformed.
  kTimedOut,       ///< Sent; no response within the timeout.
  kFailed,         ///< The upstream's own, complete error response.
};

/// @return true when such a failure proves that the request did not run.
bool ProvesNotRun(AttemptFailure failure);

/// State of a request when an attempt ends.
struct RequestProgress {
  int m_attempts = 0;           ///< Attempts so far, including the ended one.
  bool m_may_have_run = false;  ///< In any attempt, including the ended one.
  bool m_response_started = false;  ///< The caller has part of the response.
  bool m_can_resume = false;        ///< The event to resume from is known.
  Duration m_time_left{};
};

/// What to do after a failed attempt.
enum class NextStep {
  kRetryElsewhere,  ///< Take a retry from the allowance and send to another
                    ///< upstream.
  kResume,          ///< As kRetryElsewhere, after the last forwarded event.
  kForwardError,    ///< Forward the upstream's error response.
  kRefuse,          ///< Respond that the request did not run, with Retry-After.
  kFail,            ///< Respond that the request failed.
  kTimeOut,         ///< Respond that the upstream timed out.
  kAbort,           ///< Abort the response, so that it does not look complete.
};

/// Maximum time for which two upstreams have the request of a stream. One that
/// refuses it does so within a round trip.
inline constexpr Duration kMaxStreamOverlap = std::chrono::milliseconds(300);

/// Settings of retries.
struct AttemptPolicyParameters {
  /// Minimum time left for a retry: covers a connection within the region and
  /// the processing of a plain request.
  Duration m_min_time_left = std::chrono::milliseconds(40);
  /// Attempts beyond the route's maximum when the upstream is unreachable:
  /// failed connections cost the upstreams nothing.
  int m_max_unreachable = 4;
};

/// Decides what to do after a failed attempt.
NextStep DecideNextStep(const HttpRoute& route,
                        AttemptFailure failure,
                        const RequestProgress& progress,
                        const AttemptPolicyParameters& parameters);

/// @return the step that ends a request which must not be retried.
NextStep DecideFinalStep(AttemptFailure failure,
                         const RequestProgress& progress);

/// @return longest wait for the first byte of a response.
/// @param attempts_left attempts that remain after this one.
/// @param time_left until the caller's deadline or the route's timeout.
Duration FirstByteTimeout(const HttpRoute& route,
                          int attempts_left,
                          Duration time_left);

/// @return longest time without progress of a started response: without a
/// complete event of a stream, or without body bytes of another response.
/// Parameters as for FirstByteTimeout.
Duration IdleTimeout(const HttpRoute& route,
                     int attempts_left,
                     Duration time_left);

}  // namespace nutmeghollow
